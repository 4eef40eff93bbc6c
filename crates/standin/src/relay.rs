//! The network between routers, over UDP on loopback: a port for each directed pair, and faults on each
//! of them.

use crate::fleet::Dice;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How the links are, and what has passed.
pub struct Links {
    /// Where each router really listens.
    pub targets: Vec<Option<SocketAddr>>,
    /// Pairs whose datagrams from the first to the second are lost.
    pub cut: BTreeSet<(usize, usize)>,
    /// Datagrams lost, in a thousand.
    pub loss: u64,
    /// Datagrams that come twice, in a thousand.
    pub twice: u64,
    /// Shortest and longest time on the way, in microseconds.
    pub delay_us: (u64, u64),
    /// Datagrams that came to the relay from each router, and their bytes.
    pub sent: Vec<(u64, u64)>,
    dice: Dice,
}

/// A relay; it goes on until the process ends.
#[derive(Clone)]
pub struct UdpProxy {
    links: Arc<Mutex<Links>>,
    ports: Vec<Vec<SocketAddr>>,
}

impl UdpProxy {
    /// A relay between so many routers; their links are whole.
    pub fn start(routers: usize, seed: u64) -> io::Result<UdpProxy> {
        let links = Links {
            targets: vec![None; routers],
            cut: BTreeSet::new(),
            loss: 0,
            twice: 0,
            delay_us: (0, 0),
            sent: vec![(0, 0); routers],
            dice: Dice(seed),
        };
        let links = Arc::new(Mutex::new(links));
        let bind = |_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
        let sockets: Vec<Vec<UdpSocket>> =
            (0..routers).map(|_| (0..routers).map(bind).collect()).collect::<io::Result<_>>()?;
        let addr = |s: &UdpSocket| s.local_addr();
        let ports: Vec<Vec<SocketAddr>> =
            sockets.iter().map(|row| row.iter().map(addr).collect()).collect::<io::Result<_>>()?;
        let shared = Arc::clone(&links);
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for (from, row) in sockets.into_iter().enumerate() {
                for (to, socket) in row.into_iter().enumerate() {
                    let passed = pass(Rc::clone(&executor), Arc::clone(&shared), from, to, socket);
                    executor.spawn(passed).detach();
                }
            }
            async_io::block_on(executor.run(std::future::pending::<()>()));
        });
        Ok(UdpProxy { links, ports })
    }

    /// Where one router reaches another.
    pub fn port(&self, from: usize, to: usize) -> SocketAddr {
        self.ports[from][to]
    }

    /// How the links are.
    pub fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts all links between groups of routers; others are whole again.
    pub fn split(&self, groups: &[Vec<usize>]) {
        let mut links = self.links();
        links.cut.clear();
        for (n, one) in groups.iter().enumerate() {
            for (_, other) in groups.iter().enumerate().filter(|(m, _)| *m != n) {
                links.cut.extend(one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))));
            }
        }
    }

    /// Makes all links whole.
    pub fn heal(&self) {
        self.links().cut.clear();
    }
}

async fn pass(
    executor: Rc<LocalExecutor<'static>>,
    links: Arc<Mutex<Links>>,
    from: usize,
    to: usize,
    socket: UdpSocket,
) {
    let Ok(socket) = Async::new(socket) else { return };
    let socket = Rc::new(socket);
    let mut bytes = [0; 2048];
    loop {
        let Ok(len) = socket.recv(&mut bytes).await else { continue };
        let mut delays = Vec::new();
        let target = {
            let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
            links.sent[from].0 += 1;
            links.sent[from].1 += len as u64;
            let (loss, twice, (least, most)) = (links.loss, links.twice, links.delay_us);
            if links.cut.contains(&(from, to)) || links.dice.below(1000) < loss {
                continue;
            }
            for _ in 0..1 + u64::from(links.dice.below(1000) < twice) {
                delays.push(least + links.dice.below(most.saturating_sub(least).max(1)));
            }
            links.targets[to]
        };
        let Some(target) = target else { continue };
        for delay in delays {
            if delay < 50 {
                let _ = socket.send_to(&bytes[..len], target).await;
            } else {
                let (socket, bytes) = (Rc::clone(&socket), bytes[..len].to_vec());
                let late = async move {
                    Timer::after(Duration::from_micros(delay)).await;
                    let _ = socket.send_to(&bytes, target).await;
                };
                executor.spawn(late).detach();
            }
        }
    }
}
