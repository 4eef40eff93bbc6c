//! The connections of a client and their timeouts, from the start of the connect until the removal.

use super::exchange::Exchange;
use super::routers::{RouterIndex, Routers};
use super::{ConnectionId, RequestId};
use crate::protocol::MessageDecoder;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The state of a connection.
#[derive(Debug)]
pub(super) enum ConnectionState {
    /// The connect has not completed.
    Connecting,
    /// Connected; the router has not sent its first ReadyForQuery.
    Startup,
    /// Ready for a statement.
    Idle,
    /// A statement is being sent, or has been sent and its response is not complete.
    Busy(Exchange),
}

/// One connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// The router at the other end.
    pub(super) router: RouterIndex,
    /// The connection's state.
    pub(super) state: ConnectionState,
    /// Decodes the received bytes.
    pub(super) decoder: MessageDecoder,
    /// End of the connection's lifetime: it is closed the first time that it becomes idle after this.
    expires_at: Instant,
    /// The time at which the connection is closed because its startup has taken too long, or because it
    /// has been idle for too long. `None` while it is busy.
    timeout: Option<Instant>,
}

/// The timeout of a connection, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timeout {
    at: Instant,
    connection: ConnectionId,
}

/// All connections of a client.
#[derive(Debug, Default)]
pub(super) struct Connections {
    by_id: BTreeMap<ConnectionId, Connection>,
    idle: BTreeSet<ConnectionId>,
    timeouts: BTreeSet<Timeout>,
    /// Number of connections that have not completed their startup.
    starting: usize,
}

impl Connections {
    /// Adds a connection that is being opened.
    pub(super) fn insert(
        &mut self,
        id: ConnectionId,
        router: RouterIndex,
        expires_at: Instant,
        connect_deadline: Instant,
    ) {
        let connection = Connection {
            router,
            state: ConnectionState::Connecting,
            decoder: MessageDecoder::default(),
            expires_at,
            timeout: None,
        };
        self.by_id.insert(id, connection);
        self.set_timeout(id, Some(connect_deadline));
        self.starting += 1;
    }

    /// Removes a connection and its timeout.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.set_timeout(id, None);
        let connection = self.by_id.remove(&id)?;
        self.idle.remove(&id);
        if matches!(connection.state, ConnectionState::Connecting | ConnectionState::Startup) {
            self.starting -= 1;
        }
        Some(connection)
    }

    /// Returns a connection by its id.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Records that the connect has completed. Returns false if the connection is unknown or was not
    /// connecting.
    pub(super) fn mark_connected(&mut self, id: ConnectionId) -> bool {
        match self.by_id.get_mut(&id) {
            Some(connection) if matches!(connection.state, ConnectionState::Connecting) => {
                connection.state = ConnectionState::Startup;
                true
            }
            _ => false,
        }
    }

    /// Records that a connection has completed its startup. The caller must then pass it to
    /// [`Connections::make_idle`], which makes it available.
    pub(super) fn complete_startup(&mut self, id: ConnectionId) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.state = ConnectionState::Idle;
            self.starting -= 1;
        }
    }

    /// Makes a connection available for requests until `idle_deadline`. Returns false, without making it
    /// available, if the connection has reached its lifetime; the caller must close it.
    pub(super) fn make_idle(&mut self, id: ConnectionId, now: Instant, idle_deadline: Instant) -> bool {
        if self.by_id.get(&id).is_some_and(|connection| connection.expires_at <= now) {
            return false;
        }
        self.idle.insert(id);
        self.set_timeout(id, Some(idle_deadline));
        true
    }

    /// Starts an exchange of a statement of `statement_bytes` bytes on an idle connection. Returns the router
    /// at the other end, or `None` if the connection is unknown.
    pub(super) fn start_exchange(
        &mut self,
        id: ConnectionId,
        request: RequestId,
        statement_bytes: usize,
    ) -> Option<RouterIndex> {
        self.idle.remove(&id);
        self.set_timeout(id, None);
        let connection = self.by_id.get_mut(&id)?;
        connection.state = ConnectionState::Busy(Exchange::new(request, statement_bytes));
        Some(connection.router)
    }

    /// Takes the exchange from a busy connection; returns `None` if the connection is not busy. The caller
    /// must then pass the connection to [`Connections::make_idle`] or remove it.
    pub(super) fn take_exchange(&mut self, id: ConnectionId) -> Option<Exchange> {
        let connection = self.by_id.get_mut(&id)?;
        match std::mem::replace(&mut connection.state, ConnectionState::Idle) {
            ConnectionState::Busy(exchange) => Some(exchange),
            other => {
                connection.state = other;
                None
            }
        }
    }

    /// Returns the idle connection whose router has the fewest requests in flight. Among equals it returns
    /// the newest, so that older connections reach their idle timeout.
    pub(super) fn least_loaded_idle(&self, routers: &Routers) -> Option<ConnectionId> {
        let requests_in_flight = |id: &ConnectionId| {
            let connection = self.by_id.get(id);
            connection.map_or(usize::MAX, |connection| routers.requests_in_flight(connection.router))
        };
        self.idle.iter().rev().copied().min_by_key(requests_in_flight)
    }

    /// Returns whether any connection is idle.
    pub(super) fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Returns the number of connections that have not completed their startup.
    pub(super) fn starting_count(&self) -> usize {
        self.starting
    }

    /// Returns the time of the earliest timeout.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.timeouts.first().map(|timeout| timeout.at)
    }

    /// Returns the connection with the earliest timeout, if that has passed, and clears the timeout.
    pub(super) fn pop_timed_out(&mut self, now: Instant) -> Option<ConnectionId> {
        let timeout = self.timeouts.first().copied().filter(|timeout| timeout.at <= now)?;
        self.set_timeout(timeout.connection, None);
        Some(timeout.connection)
    }

    /// Returns the ids of all connections, in ascending order.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.by_id.keys().copied().collect()
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of timeouts that are set.
    pub(super) fn timeout_count(&self) -> usize {
        self.timeouts.len()
    }

    fn set_timeout(&mut self, id: ConnectionId, at: Option<Instant>) {
        let Some(connection) = self.by_id.get_mut(&id) else { return };
        if let Some(previous) = std::mem::replace(&mut connection.timeout, at) {
            self.timeouts.remove(&Timeout { at: previous, connection: id });
        }
        self.timeouts.extend(at.map(|at| Timeout { at, connection: id }));
    }
}
