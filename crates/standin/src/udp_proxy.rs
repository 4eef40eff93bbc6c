//! A lossy UDP proxy between router processes on loopback. It has a port for each directed pair of routers
//! and applies faults to the datagrams between them.

use crate::link_faults::LinkFaults;
use crate::Rng;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum length of a forwarded datagram, in bytes; longer datagrams are truncated to it.
const MAX_DATAGRAM_LEN: usize = 2048;
/// Datagrams with a shorter delay are sent immediately, because a timer would take at least as long.
const MIN_TIMER_DELAY: Duration = Duration::from_micros(50);

/// Datagrams that a router has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size of the datagrams, in bytes.
    pub bytes: u64,
}

/// The links of a proxy and their traffic.
#[derive(Debug)]
pub struct Links {
    /// Address that each router listens on. Datagrams to a router without an address are lost.
    pub targets: Vec<Option<SocketAddr>>,
    /// Faults of the links.
    pub faults: LinkFaults,
    /// Traffic that the proxy has received from each router, including lost datagrams.
    pub sent: Vec<Traffic>,
    rng: Rng,
}

/// A UDP proxy. It runs until the process exits.
#[derive(Clone)]
pub struct UdpProxy {
    links: Arc<Mutex<Links>>,
    /// Addresses of the proxy's sockets, by sending and receiving router.
    link_addrs: Vec<Vec<SocketAddr>>,
}

impl UdpProxy {
    /// Starts a proxy for a number of routers, without faults or delays.
    pub fn start(routers: usize, seed: u64) -> io::Result<UdpProxy> {
        let links = Links {
            targets: vec![None; routers],
            faults: LinkFaults::none(0..0),
            sent: vec![Traffic::default(); routers],
            rng: Rng::with_seed(seed),
        };
        let links = Arc::new(Mutex::new(links));
        let mut sockets = Vec::new();
        let mut link_addrs = Vec::new();
        for _ in 0..routers {
            let row = bind_link_sockets(routers)?;
            link_addrs.push(row.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?);
            sockets.push(row);
        }
        let shared = Arc::clone(&links);
        std::thread::spawn(move || run(sockets, &shared));
        Ok(UdpProxy { links, link_addrs })
    }

    /// Returns the address to which one router sends datagrams for another.
    pub fn link_addr(&self, from: usize, to: usize) -> SocketAddr {
        self.link_addrs[from][to]
    }

    /// Locks the links for reading or changing them.
    pub fn links(&self) -> MutexGuard<'_, Links> {
        lock(&self.links)
    }

    /// Cuts all links between the groups of routers in both directions, and repairs all other links.
    pub fn partition(&self, groups: &[Vec<usize>]) {
        self.links().faults.partition(groups);
    }

    /// Repairs all cut links.
    pub fn heal(&self) {
        self.links().faults.cut.clear();
    }
}

fn lock(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

fn bind_link_sockets(routers: usize) -> io::Result<Vec<UdpSocket>> {
    (0..routers).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))).collect()
}

/// Forwards the datagrams of all links on this thread. Does not return.
fn run(sockets: Vec<Vec<UdpSocket>>, links: &Arc<Mutex<Links>>) {
    let executor = Rc::new(LocalExecutor::new());
    for (from, row) in sockets.into_iter().enumerate() {
        for (to, socket) in row.into_iter().enumerate() {
            let link = Link { from, to, links: Arc::clone(links) };
            executor.spawn(link.forward(Rc::clone(&executor), socket)).detach();
        }
    }
    async_io::block_on(executor.run(std::future::pending::<()>()));
}

/// The link from one router to another.
struct Link {
    from: usize,
    to: usize,
    links: Arc<Mutex<Links>>,
}

/// Target address of a datagram, and the delays of its copies.
struct Deliveries {
    target: SocketAddr,
    delays: Vec<Duration>,
}

impl Link {
    async fn forward(self, executor: Rc<LocalExecutor<'static>>, socket: UdpSocket) {
        let Ok(socket) = Async::new(socket) else { return };
        let socket = Rc::new(socket);
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        loop {
            let Ok(len) = socket.recv(&mut buffer).await else { continue };
            let datagram = &buffer[..len];
            let Some(Deliveries { target, delays }) = self.deliveries(len) else { continue };
            for delay in delays {
                if delay < MIN_TIMER_DELAY {
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

    /// Counts a datagram of `len` bytes and returns its target and the delays of its copies. Returns `None`
    /// if the receiving router has no address yet.
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
