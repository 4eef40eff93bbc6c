//! Idle connections to hosts. A connection is either here or with the one exchange that uses it.

use super::io;
use super::semaphore::Permit;
use crate::protocol::host::HostCodec;
use async_io::Async;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection to a host that has welcomed us.
pub struct HostConnection {
    /// Its socket.
    pub stream: Async<TcpStream>,
    /// Its protocol's state.
    pub side: HostCodec,
    /// Its descriptor.
    pub _permit: Permit,
}

struct Idle {
    connection: HostConnection,
    since: Instant,
}

/// What the pool has for an address.
pub enum Taken {
    /// A connection.
    Ready(HostConnection),
    /// One that still rests, for so long.
    Resting(Duration),
    /// Nothing.
    Nothing,
}

/// Idle connections by address, the one used last at the end.
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    rest: Duration,
    longest: Duration,
}

impl Pool {
    /// An empty pool that lets connections rest for `rest` and closes what has been idle for `longest`.
    pub fn new(rest: Duration, longest: Duration) -> Pool {
        Pool { idle: RefCell::default(), rest, longest }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the connection used last that is still open and has rested.
    pub fn take(&self, addr: SocketAddr) -> Taken {
        let mut idle = self.idle.borrow_mut();
        let Some(list) = idle.get_mut(&addr) else { return Taken::Nothing };
        list.retain(|i| i.since.elapsed() < self.longest && io::silent(&i.connection.stream));
        match (list.iter().rposition(|i| i.since.elapsed() >= self.rest), list.first()) {
            (Some(n), _) => Taken::Ready(list.remove(n).connection),
            (None, Some(first)) => Taken::Resting(self.rest.saturating_sub(first.since.elapsed())),
            (None, None) => Taken::Nothing,
        }
    }

    /// Takes a connection in.
    pub fn put(&self, addr: SocketAddr, connection: HostConnection) {
        let idle = Idle { connection, since: Instant::now() };
        self.idle.borrow_mut().entry(addr).or_default().push(idle);
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes the connections to an address that have been idle since before a moment.
    pub fn close_older(&self, addr: SocketAddr, at: Instant) {
        if let Some(list) = self.idle.borrow_mut().get_mut(&addr) {
            list.retain(|idle| idle.since >= at);
        }
    }

    /// Closes the connection that has been idle for longest.
    pub fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().filter_map(|(addr, list)| Some((list.first()?.since, *addr))).min();
        if let Some(list) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            list.remove(0);
        }
    }

    /// Closes what has been idle for too long or was closed by its host.
    pub fn tidy(&self) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|i| i.since.elapsed() < self.longest && io::silent(&i.connection.stream));
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

#[cfg(test)]
mod tests;
