//! A lossy UDP proxy between router processes on loopback: a port for each directed pair of routers, and
//! faults on the links between them.

use crate::link_faults::LinkFaults;
use crate::Rng;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The longest datagram that passes, in bytes.
const MAX_DATAGRAM: usize = 2048;
/// Shorter delays than this are left out: a timer would take as long.
const SHORTEST_TIMER: Duration = Duration::from_micros(50);

/// Datagrams that a router has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// The links of a proxy, and what has passed.
#[derive(Debug)]
pub struct Links {
    /// Where each router really listens. Datagrams to the others are lost.
    pub targets: Vec<Option<SocketAddr>>,
    /// What goes wrong.
    pub faults: LinkFaults,
    /// What has reached the proxy from each router.
    pub sent: Vec<Traffic>,
    rng: Rng,
}

/// A proxy. It runs until the process ends.
#[derive(Clone)]
pub struct UdpProxy {
    links: Arc<Mutex<Links>>,
    ports: Vec<Vec<SocketAddr>>,
}

impl UdpProxy {
    /// Starts a proxy between so many routers, without faults and delays.
    pub fn start(routers: usize, seed: u64) -> io::Result<UdpProxy> {
        let links = Links {
            targets: vec![None; routers],
            faults: LinkFaults::none(0..0),
            sent: vec![Traffic::default(); routers],
            rng: Rng::with_seed(seed),
        };
        let links = Arc::new(Mutex::new(links));
        let mut sockets = Vec::new();
        let mut ports = Vec::new();
        for _ in 0..routers {
            let row = bind_row(routers)?;
            ports.push(row.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?);
            sockets.push(row);
        }
        let shared = Arc::clone(&links);
        std::thread::spawn(move || run(sockets, &shared));
        Ok(UdpProxy { links, ports })
    }

    /// Where one router reaches another.
    pub fn link_addr(&self, from: usize, to: usize) -> SocketAddr {
        self.ports[from][to]
    }

    /// Locks the links, to look at them or to change them.
    pub fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.links)
    }

    /// Cuts all links between groups of routers, and repairs all others.
    pub fn partition(&self, groups: &[Vec<usize>]) {
        self.links().faults.partition(groups);
    }

    /// Repairs all links that are cut.
    pub fn heal(&self) {
        self.links().faults.cut.clear();
    }
}

fn lock(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

fn bind_row(routers: usize) -> io::Result<Vec<UdpSocket>> {
    (0..routers).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))).collect()
}

/// Forwards datagrams of all pairs, on this thread, for ever.
fn run(sockets: Vec<Vec<UdpSocket>>, links: &Arc<Mutex<Links>>) {
    let executor = Rc::new(LocalExecutor::new());
    for (from, row) in sockets.into_iter().enumerate() {
        for (to, socket) in row.into_iter().enumerate() {
            let pair = Pair { from, to, links: Arc::clone(links) };
            executor.spawn(pair.forward(Rc::clone(&executor), socket)).detach();
        }
    }
    async_io::block_on(executor.run(std::future::pending::<()>()));
}

/// A directed pair of routers.
struct Pair {
    from: usize,
    to: usize,
    links: Arc<Mutex<Links>>,
}

/// Where a datagram goes, and the delays of its copies.
struct Deliveries {
    target: SocketAddr,
    delays: Vec<Duration>,
}

impl Pair {
    async fn forward(self, executor: Rc<LocalExecutor<'static>>, socket: UdpSocket) {
        let Ok(socket) = Async::new(socket) else { return };
        let socket = Rc::new(socket);
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            let Ok(len) = socket.recv(&mut buffer).await else { continue };
            let datagram = &buffer[..len];
            let Some(Deliveries { target, delays }) = self.deliveries(len) else { continue };
            for delay in delays {
                if delay < SHORTEST_TIMER {
                    let _ = socket.send_to(datagram, target).await;
                } else {
                    let socket = Rc::clone(&socket);
                    let datagram = datagram.to_vec();
                    let deliver_later = async move {
                        Timer::after(delay).await;
                        let _ = socket.send_to(&datagram, target).await;
                    };
                    executor.spawn(deliver_later).detach();
                }
            }
        }
    }

    /// Counts a datagram of so many bytes and decides what becomes of it. `None` if the router that it is
    /// for is not known.
    fn deliveries(&self, len: usize) -> Option<Deliveries> {
        let mut links = lock(&self.links);
        let links = &mut *links;
        let sent = &mut links.sent[self.from];
        sent.datagrams += 1;
        sent.bytes += len as u64;
        let delays = links.faults.deliveries(self.from, self.to, |bound| links.rng.u64(..bound));
        Some(Deliveries { target: links.targets[self.to]?, delays })
    }
}
