//! The link to the other routers of a fleet: one UDP socket. Datagrams are checked on a thread of their own,
//! so that noise costs requests nothing; what passes is handed to the router's thread.

use super::driver::Driver;
use super::ServeError;
use crate::routing::{FleetInput, Input};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use basalthill_config::local_settings::FleetSettings;
use basalthill_config::router::RouterConfig;
use basalthill_fleet::packet::{Payload, MAX_DATAGRAM};
use basalthill_fleet::{DatagramCodec, DropReason, NodeId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Checked datagrams that wait for the router's thread; more are dropped, as by a network.
const MAX_QUEUED_DATAGRAMS: usize = 1024;
/// How long the reader waits for a datagram before it checks whether the router has ended.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// How often the reader reports what it has dropped.
const DROP_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The link of this router, if it is in a fleet.
#[derive(Default)]
pub struct FleetLink(RefCell<Option<FleetSocket>>);

impl FleetLink {
    /// Sends a datagram, if there is a link.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.0.borrow().as_ref() {
            socket.send(to, bytes);
        }
    }

    /// Closes the socket and ends its reader.
    pub fn close(&self) {
        self.0.borrow_mut().take();
    }
}

/// Joins the fleet, if the settings name one.
pub fn join(driver: &Rc<Driver>, config: &RouterConfig) -> Result<(), ServeError> {
    let Some(settings) = &config.local_settings.fleet else { return Ok(()) };
    let Some(listen) = listen_address(&config.name, settings) else { return Ok(()) };
    let socket =
        FleetSocket::open(driver, listen, settings).map_err(|source| ServeError::Fleet { listen, source })?;
    driver.fleet.0.replace(Some(socket));
    driver.with_router(|router, now, effects| {
        router.join_fleet(now, &config.name, settings, config.seed, effects);
    });
    Ok(())
}

/// Takes over the fleet's settings as they were read again; where the socket would change, the old one stays.
pub fn reload(driver: &Rc<Driver>, name: &str, reloaded: Option<&FleetSettings>) {
    let link = driver.fleet.0.borrow();
    let (socket, settings) = match (link.as_ref(), reloaded) {
        (Some(socket), Some(settings)) => (socket, settings),
        (None, None) => return,
        (None, Some(_)) | (Some(_), None) => {
            tracing::warn!(
                key = "fleet",
                "configuration: fleet was added or removed, which needs a restart; the old value stays"
            );
            return;
        }
    };
    if listen_address(name, settings) != Some(socket.listen) {
        tracing::warn!(
            key = "fleet.listen",
            "configuration: fleet.listen has changed, which needs a restart; the old value stays"
        );
    }
    socket.set_keys(settings);
    drop(link);
    driver.with_router(|router, now, effects| router.reload_fleet(now, settings, effects));
}

/// Where a router listens for the others.
fn listen_address(name: &str, settings: &FleetSettings) -> Option<SocketAddr> {
    settings.listen.or_else(|| settings.roster.get(NodeId::of(name)).map(|peer| peer.addr))
}

/// The socket, its reader and the task that takes what the reader has checked. Dropped, it ends both.
struct FleetSocket {
    socket: UdpSocket,
    /// Where the settings said to listen.
    listen: SocketAddr,
    codec: Arc<RwLock<DatagramCodec>>,
    closed: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
    task: Option<Task<()>>,
}

impl FleetSocket {
    /// Binds the socket and starts to read.
    fn open(driver: &Rc<Driver>, listen: SocketAddr, settings: &FleetSettings) -> io::Result<FleetSocket> {
        let socket = UdpSocket::bind(listen)?;
        let reader_socket = socket.try_clone()?;
        reader_socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let codec = Arc::new(RwLock::new(DatagramCodec::new(settings.keys.clone())));
        let closed = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_DATAGRAMS);
        let reader = DatagramReader {
            socket: reader_socket,
            codec: Arc::clone(&codec),
            closed: Arc::clone(&closed),
            sender,
            dropped: BTreeMap::new(),
            reported_at: Instant::now(),
        };
        let reader = std::thread::Builder::new().name("fleet".into()).spawn(move || reader.run())?;
        let task = driver.tasks.spawn(take_inputs(Rc::clone(driver), receiver));
        let names = settings.roster.len();
        // The harness of the fleet's tests reads the address from this line.
        tracing::info!("fleet: {names} names, listens on {}", socket.local_addr()?);
        Ok(FleetSocket { socket, listen, codec, closed, reader: Some(reader), task })
    }

    /// Sends a datagram. One that can't be sent counts as lost on the way.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(e) = self.socket.send_to(bytes, to) {
            tracing::debug!(%to, error = %e, "fleet: a datagram can't be sent");
        }
    }

    /// Checks with these keys from now on.
    fn set_keys(&self, settings: &FleetSettings) {
        let codec = DatagramCodec::new(settings.keys.clone());
        *self.codec.write().unwrap_or_else(PoisonError::into_inner) = codec;
    }
}

impl Drop for FleetSocket {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        self.task.take();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// Reads and checks datagrams, on a thread of its own.
struct DatagramReader {
    socket: UdpSocket,
    codec: Arc<RwLock<DatagramCodec>>,
    closed: Arc<AtomicBool>,
    sender: Sender<FleetInput>,
    /// Datagrams dropped and not reported yet, by reason.
    dropped: BTreeMap<DropReason, u64>,
    reported_at: Instant,
}

impl DatagramReader {
    fn run(mut self) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        while !self.closed.load(Ordering::Relaxed) {
            match self.socket.recv_from(&mut bytes) {
                Ok((len, from)) => self.check(&bytes[..len], from),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // Some systems report a peer's closed port here.
                Err(e) => tracing::debug!(error = %e, "fleet: the socket can't be read"),
            }
            if !self.dropped.is_empty() && self.reported_at.elapsed() >= DROP_REPORT_INTERVAL {
                self.report_dropped();
            }
        }
    }

    /// Hands a datagram on, if it passes.
    fn check(&mut self, bytes: &[u8], from: SocketAddr) {
        let decoded = self.codec.read().unwrap_or_else(PoisonError::into_inner).decode(bytes);
        match decoded {
            Ok(Payload::Packet(packet)) => self.hand_on(FleetInput::Packet(packet)),
            Ok(Payload::Status(query)) => self.hand_on(FleetInput::OperatorQuery { query, from }),
            Err(reason) => *self.dropped.entry(reason).or_default() += 1,
        }
    }

    /// Where the router's thread does not keep up, inputs are lost, as on a full link.
    fn hand_on(&self, input: FleetInput) {
        let _ = self.sender.try_send(input);
    }

    fn report_dropped(&mut self) {
        self.reported_at = Instant::now();
        for (reason, count) in std::mem::take(&mut self.dropped) {
            self.hand_on(FleetInput::DatagramsDropped { reason, count });
        }
    }
}

/// Feeds what the reader has checked to routing.
async fn take_inputs(driver: Rc<Driver>, receiver: Receiver<FleetInput>) {
    while let Ok(input) = receiver.recv().await {
        driver.handle(Input::Fleet(input));
    }
}
