//! The pool of idle connections to hosts. A connection is either in the pool or owned by the one exchange
//! that uses it.

use super::io::{self, ReadBuffer};
use super::memory_budget::MemoryAccount;
use super::semaphore::Permit;
use crate::protocol::host::HostCodec;
use async_io::Async;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection whose startup has completed: the host has sent AuthenticationOk and ReadyForQuery.
pub struct HostConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The protocol state of the connection.
    pub codec: HostCodec,
    /// The memory of the response that is being received.
    pub memory: MemoryAccount,
    /// The permit for the socket's descriptor.
    pub _descriptor: Permit,
}

impl HostConnection {
    /// Waits until the host sends something and reads once, as much as the connection may hold. Returns the
    /// number of bytes that were read, 0 at the end of the stream.
    pub async fn read(&mut self, buffer: &ReadBuffer) -> std::io::Result<usize> {
        let HostConnection { stream, codec, memory, .. } = self;
        let max_len = memory.allowed().saturating_sub(codec.memory());
        buffer.read(stream, max_len, |bytes| codec.feed(bytes)).await
    }
}

struct IdleConnection {
    connection: HostConnection,
    idle_since: Instant,
}

/// The result of [`HostPool::check_out`].
pub enum Checkout {
    /// A connection that can be used now.
    Ready(Box<HostConnection>),
    /// All idle connections were used less than the reuse delay ago; the first can be reused after this time.
    ReusableAfter(Duration),
    /// The pool has no connection to the address.
    Empty,
}

/// The timeouts of a pool and of the connections that are opened for it.
#[derive(Clone, Copy, Debug)]
pub struct PoolTimeouts {
    /// The time after a response during which a connection is not reused: the host may still send an error
    /// after the response.
    pub reuse_delay: Duration,
    /// The time after which an idle connection is closed. It is shorter than the host's own idle timeout.
    pub idle: Duration,
    /// The limit on opening a connection, from the connect to the host's ReadyForQuery.
    pub connect: Duration,
}

/// The idle connections by address, each list ordered from the least to the most recently used.
pub struct HostPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    timeouts: PoolTimeouts,
}

impl HostPool {
    /// Creates an empty pool.
    pub fn new(timeouts: PoolTimeouts) -> HostPool {
        HostPool { idle: RefCell::default(), timeouts }
    }

    /// Returns the limit on opening a connection, from the connect to the host's ReadyForQuery.
    pub fn connect_timeout(&self) -> Duration {
        self.timeouts.connect
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the most recently used connection that is still open and has passed its reuse delay.
    pub fn check_out(&self, addr: SocketAddr) -> Checkout {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&addr) else { return Checkout::Empty };
        connections.retain(|c| self.is_usable(c));
        let reuse_delay = self.timeouts.reuse_delay;
        if let Some(index) = connections.iter().rposition(|c| c.idle_since.elapsed() >= reuse_delay) {
            return Checkout::Ready(Box::new(connections.remove(index).connection));
        }
        match connections.first() {
            Some(first) => Checkout::ReusableAfter(reuse_delay.saturating_sub(first.idle_since.elapsed())),
            None => Checkout::Empty,
        }
    }

    /// Puts a connection back after use.
    pub fn check_in(&self, addr: SocketAddr, connection: HostConnection) {
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.borrow_mut().entry(addr).or_default().push(idle);
    }

    /// Closes all idle connections to an address.
    pub fn close_all(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes the connections to an address that were last used before `instant`.
    pub fn close_idle_since_before(&self, addr: SocketAddr, instant: Instant) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&addr) {
            connections.retain(|c| c.idle_since >= instant);
        }
    }

    /// Closes the connection that has been idle the longest.
    pub fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let first_of_each = idle.iter().filter_map(|(addr, list)| Some((list.first()?.idle_since, *addr)));
        let oldest = first_of_each.min();
        if let Some(connections) = oldest.and_then(|(_, addr)| idle.get_mut(&addr)) {
            connections.remove(0);
        }
    }

    /// Closes connections that have exceeded the idle timeout, were closed by their host, or have unexpected
    /// input.
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
