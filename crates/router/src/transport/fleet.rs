//! The link to the peers of a fleet: one UDP socket. Received datagrams are verified on a separate thread, so
//! that invalid ones don't delay requests; valid ones are passed to the router's thread.

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

/// The maximum number of verified datagrams queued for the router's thread. Further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 1024;
/// The longest time that the reader waits for a datagram before it checks whether the link has been closed.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The interval at which the reader reports the number of invalid datagrams.
const DROP_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The link to the peers, if this router belongs to a fleet.
#[derive(Default)]
pub struct FleetLink(RefCell<Option<FleetSocket>>);

impl FleetLink {
    /// Sends a datagram, if there is a link.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.0.borrow().as_ref() {
            socket.send(to, bytes);
        }
    }

    /// Closes the socket and stops its reader.
    pub fn close(&self) {
        self.0.borrow_mut().take();
    }
}

/// Opens the link and joins the fleet, if the settings define one.
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

/// Applies the fleet settings that were read again. Changes that affect the socket need a restart and are
/// logged as warnings.
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

/// Returns the address on which a router listens for its peers; `None` if the settings have no `listen`
/// address and the roster lacks the router's name.
fn listen_address(name: &str, settings: &FleetSettings) -> Option<SocketAddr> {
    settings.listen.or_else(|| settings.roster.get(NodeId::of(name)).map(|peer| peer.addr))
}

/// The socket, its reader thread, and the task that passes verified datagrams to routing. When the
/// `FleetSocket` is dropped, the thread and the task are stopped.
struct FleetSocket {
    socket: UdpSocket,
    /// The address to listen on, as configured when the socket was opened.
    listen: SocketAddr,
    codec: Arc<RwLock<DatagramCodec>>,
    closed: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
    task: Option<Task<()>>,
}

impl FleetSocket {
    /// Binds the socket and starts the reader.
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
        let task = driver.tasks.spawn(forward_inputs(Rc::clone(driver), receiver));
        let names = settings.roster.len();
        // The test harness of the fleet parses the address in this line.
        tracing::info!("fleet: {names} names, listens on {}", socket.local_addr()?);
        Ok(FleetSocket { socket, listen, codec, closed, reader: Some(reader), task })
    }

    /// Sends a datagram. A failure is treated like the loss of the datagram in the network.
    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(e) = self.socket.send_to(bytes, to) {
            tracing::debug!(%to, error = %e, "fleet: sending a datagram failed");
        }
    }

    /// Uses the keys of these settings for verification from now on.
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

/// The reader thread: receives and verifies datagrams.
struct DatagramReader {
    socket: UdpSocket,
    codec: Arc<RwLock<DatagramCodec>>,
    closed: Arc<AtomicBool>,
    sender: Sender<FleetInput>,
    /// The number of datagrams dropped since the last report, by reason.
    dropped: BTreeMap<DropReason, u64>,
    reported_at: Instant,
}

impl DatagramReader {
    fn run(mut self) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        while !self.closed.load(Ordering::Relaxed) {
            match self.socket.recv_from(&mut bytes) {
                Ok((len, from)) => self.verify(&bytes[..len], from),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // Some operating systems report the closed port of a peer here.
                Err(e) => tracing::debug!(error = %e, "fleet: receiving a datagram failed"),
            }
            if !self.dropped.is_empty() && self.reported_at.elapsed() >= DROP_REPORT_INTERVAL {
                self.report_dropped();
            }
        }
    }

    /// Verifies a datagram, and passes it on if it is valid.
    fn verify(&mut self, bytes: &[u8], from: SocketAddr) {
        let decoded = self.codec.read().unwrap_or_else(PoisonError::into_inner).decode(bytes);
        match decoded {
            Ok(Payload::Packet(packet)) => self.queue_input(FleetInput::Packet(packet)),
            Ok(Payload::Status(query)) => self.queue_input(FleetInput::OperatorQuery { query, from }),
            Err(reason) => *self.dropped.entry(reason).or_default() += 1,
        }
    }

    /// Queues an input for the router's thread. If the queue is full, the input is dropped.
    fn queue_input(&self, input: FleetInput) {
        let _ = self.sender.try_send(input);
    }

    fn report_dropped(&mut self) {
        self.reported_at = Instant::now();
        for (reason, count) in std::mem::take(&mut self.dropped) {
            self.queue_input(FleetInput::DatagramsDropped { reason, count });
        }
    }
}

/// Passes the reader's inputs to routing.
async fn forward_inputs(driver: Rc<Driver>, receiver: Receiver<FleetInput>) {
    while let Ok(input) = receiver.recv().await {
        driver.handle(Input::Fleet(input));
    }
}
