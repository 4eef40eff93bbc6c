//! Idle connections to hosts. A connection is either here or with the one exchange that uses it.

use super::io;
use super::semaphore::Permit;
use crate::protocol::host::HostCodec;
use async_io::Async;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection that its host has accepted and authenticated.
pub struct HostConnection {
    /// Its socket.
    pub stream: Async<TcpStream>,
    /// The state of the protocol on it.
    pub codec: HostCodec,
    /// Its descriptor.
    pub _descriptor: Permit,
}

struct IdleConnection {
    connection: HostConnection,
    idle_since: Instant,
}

/// What the pool has for an address.
pub enum Checkout {
    /// A connection to use.
    Ready(HostConnection),
    /// All connections were used too recently; the first can be reused after this long.
    ReusableAfter(Duration),
    /// No connection.
    Empty,
}

/// The timeouts of a pool and of the connections made for it.
#[derive(Clone, Copy, Debug)]
pub struct PoolTimeouts {
    /// How long a connection is left alone after an answer: its host may still send an error behind it.
    pub reuse_delay: Duration,
    /// Connections that were idle for longer are closed, before their host does so.
    pub idle: Duration,
    /// How long a new connection may take, up to the host's ReadyForQuery.
    pub connect: Duration,
}

/// The idle connections by address, the most recently used last.
pub struct HostPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    timeouts: PoolTimeouts,
}

impl HostPool {
    /// An empty pool.
    pub fn new(timeouts: PoolTimeouts) -> HostPool {
        HostPool { idle: RefCell::default(), timeouts }
    }

    /// How long a new connection may take.
    pub fn connect_timeout(&self) -> Duration {
        self.timeouts.connect
    }

    /// How many connections are idle.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the most recently used connection that is still open and may be reused by now.
    pub fn check_out(&self, addr: SocketAddr) -> Checkout {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&addr) else { return Checkout::Empty };
        connections.retain(|c| self.is_usable(c));
        let reuse_delay = self.timeouts.reuse_delay;
        if let Some(n) = connections.iter().rposition(|c| c.idle_since.elapsed() >= reuse_delay) {
            return Checkout::Ready(connections.remove(n).connection);
        }
        match connections.first() {
            Some(first) => Checkout::ReusableAfter(reuse_delay.saturating_sub(first.idle_since.elapsed())),
            None => Checkout::Empty,
        }
    }

    /// Returns a connection after use.
    pub fn check_in(&self, addr: SocketAddr, connection: HostConnection) {
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.borrow_mut().entry(addr).or_default().push(idle);
    }

    /// Closes the idle connections to an address.
    pub fn close_all(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes the connections to an address that have been idle since before `instant`.
    pub fn close_idle_since_before(&self, addr: SocketAddr, instant: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&addr) {
            connections.retain(|c| c.idle_since >= instant);
        }
    }

    /// Closes the connection that has been idle for longest.
    pub fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let first_of_each = idle.iter().filter_map(|(addr, list)| Some((list.first()?.idle_since, *addr)));
        let oldest = first_of_each.min();
        if let Some(connections) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            connections.remove(0);
        }
    }

    /// Closes what has been idle for too long or was closed by its host.
    pub fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| self.is_usable(c));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn is_usable(&self, idle: &IdleConnection) -> bool {
        idle.idle_since.elapsed() < self.timeouts.idle && io::is_silent(&idle.connection.stream)
    }
}

#[cfg(test)]
mod tests;
