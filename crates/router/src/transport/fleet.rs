//! Talk with the other routers: one UDP socket. Datagrams are checked on a thread of their own, so that noise
//! costs requests nothing; what passes comes to the router's thread.

use super::Hub;
use crate::routing::{FleetInput, Input};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use basalthill_config::local_settings::FleetSettings;
use basalthill_fleet::packet::{Payload, MAX_DATAGRAM};
use basalthill_fleet::{DatagramCodec, DropReason, NodeId};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Checked datagrams that wait for the router's thread; more are dropped, as by a network.
const WAITING: usize = 1024;
/// How long the reader waits before it looks whether the router has ended.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How often the router's thread hears of what was dropped.
const TELL_EVERY: Duration = Duration::from_millis(500);

/// The socket, its reader and the task that takes what it has checked.
pub struct Link {
    socket: UdpSocket,
    listen: SocketAddr,
    seal: Arc<RwLock<DatagramCodec>>,
    ended: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
    task: Option<Task<()>>,
}

/// Where a router listens for the others.
pub fn address(name: &str, settings: &FleetSettings) -> Option<SocketAddr> {
    settings.listen.or_else(|| settings.names.get(NodeId::of(name)).map(|peer| peer.addr))
}

impl Link {
    /// Binds the socket and starts to read.
    pub fn start(hub: &Rc<Hub>, listen: SocketAddr, settings: &FleetSettings) -> io::Result<Link> {
        let socket = UdpSocket::bind(listen)?;
        let reading = socket.try_clone()?;
        reading.set_read_timeout(Some(LOOK_EVERY))?;
        let seal = Arc::new(RwLock::new(DatagramCodec::new(settings.keys.clone())));
        let ended = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = async_channel::bounded(WAITING);
        let (theirs, over) = (Arc::clone(&seal), Arc::clone(&ended));
        let reader = std::thread::Builder::new().name("fleet".into());
        let reader = reader.spawn(move || read(&reading, &theirs, &over, &sender))?;
        let task = hub.spawn(take(Rc::clone(hub), receiver));
        log::info!("fleet: {} names, listens on {}", settings.names.len(), socket.local_addr()?);
        Ok(Link { socket, listen, seal, ended, reader: Some(reader), task })
    }

    /// Sends a datagram, or lets it go: the core takes it for lost.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Err(e) = self.socket.send_to(bytes, to) {
            log::debug!("fleet: {to}: {e}");
        }
    }

    /// Checks with other keys from now on.
    pub fn keys(&self, settings: &FleetSettings) {
        *self.seal.write().unwrap_or_else(PoisonError::into_inner) =
            DatagramCodec::new(settings.keys.clone());
    }

    /// Where it was asked to listen.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        self.task.take();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

fn read(socket: &UdpSocket, seal: &RwLock<DatagramCodec>, ended: &AtomicBool, sender: &Sender<FleetInput>) {
    let mut bytes = [0; MAX_DATAGRAM + 1];
    let mut dropped: BTreeMap<DropReason, u64> = BTreeMap::new();
    let mut told = Instant::now();
    while !ended.load(Ordering::Relaxed) {
        match socket.recv_from(&mut bytes) {
            Ok((len, from)) => {
                let opened = seal.read().unwrap_or_else(PoisonError::into_inner).decode(&bytes[..len]);
                match opened {
                    // Where the other side does not keep up, what comes is lost, as on a full link.
                    Ok(Payload::Packet(packet)) => drop(sender.try_send(FleetInput::Packet(packet))),
                    Ok(Payload::Status(asked)) => {
                        drop(sender.try_send(FleetInput::OperatorQuery { query: asked, from }))
                    }
                    Err(why) => *dropped.entry(why).or_default() += 1,
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // A peer's port that is closed is told here on some systems.
            Err(e) => log::debug!("fleet: {e}"),
        }
        if !dropped.is_empty() && told.elapsed() >= TELL_EVERY {
            told = Instant::now();
            for (why, count) in std::mem::take(&mut dropped) {
                let _ = sender.try_send(FleetInput::DatagramsDropped { reason: why, count });
            }
        }
    }
}

async fn take(hub: Rc<Hub>, receiver: Receiver<FleetInput>) {
    while let Ok(input) = receiver.recv().await {
        hub.input(Input::Fleet(input));
    }
}
