//! Idle connections to hosts. A connection is either here or with the one exchange that uses it.

use super::budget::Permit;
use super::io;
use crate::protocol::host::HostSide;
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
    pub side: HostSide,
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
mod tests {
    use super::*;
    use crate::transport::budget::Budget;
    use std::io::Write;
    use std::net::TcpListener;

    #[test]
    fn a_connection_rests_and_one_that_has_brought_more_is_never_used_again() -> std::io::Result<()> {
        let host = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = host.local_addr()?;
        let budget = Budget::new(9);
        let connected = || -> std::io::Result<(HostConnection, TcpStream)> {
            let (near, far) = (TcpStream::connect(addr)?, host.accept()?.0);
            let permit = budget.take().expect("a descriptor");
            Ok((
                HostConnection { stream: Async::new(near)?, side: HostSide::default(), _permit: permit },
                far,
            ))
        };
        let (day, zero) = (Duration::from_secs(86_400), Duration::ZERO);
        let resting = Pool::new(day, day);
        let (one, _far) = connected()?;
        resting.put(addr, one);
        assert!(matches!(resting.take(addr), Taken::Resting(left) if left > zero));
        let rested = Pool::new(zero, day);
        let ((one, mut far), (two, _far_of_two)) = (connected()?, connected()?);
        far.write_all(b"D")?;
        far.flush()?;
        async_io::block_on(one.stream.readable())?;
        rested.put(addr, two);
        rested.put(addr, one);
        assert!(matches!(rested.take(addr), Taken::Ready(_)));
        assert!(matches!(rested.take(addr), Taken::Nothing), "the one that has brought more is closed");
        assert_eq!(budget.left(), 8);
        Ok(())
    }
}
