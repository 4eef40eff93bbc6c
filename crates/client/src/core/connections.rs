//! The connections of a client, from the moment that they are opened until they are removed, with their
//! timeouts.

use super::exchange::Exchange;
use super::routers::{RouterIndex, Routers};
use super::{ConnectionId, RequestId};
use crate::protocol::MessageDecoder;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// What a connection does.
#[derive(Debug)]
pub(super) enum ConnectionState {
    /// The connect has not completed.
    Connecting,
    /// Connected; the router has not sent its first ReadyForQuery.
    Startup,
    /// Ready for a statement.
    Idle,
    /// A statement was given to it, and its response is not complete.
    Busy(Exchange),
}

/// One connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// The router it leads to.
    pub(super) router: RouterIndex,
    /// What it does.
    pub(super) state: ConnectionState,
    /// Decodes what is received.
    pub(super) decoder: MessageDecoder,
    /// Closed the first time that it becomes idle after this.
    expires_at: Instant,
    /// When connecting takes too long, or being idle does.
    timeout: Option<Instant>,
}

/// The place of a connection in the order of timeouts.
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
    /// Connections that have not completed their startup.
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

    /// Removes a connection with its timeout.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.set_timeout(id, None);
        let connection = self.by_id.remove(&id)?;
        self.idle.remove(&id);
        if matches!(connection.state, ConnectionState::Connecting | ConnectionState::Startup) {
            self.starting -= 1;
        }
        Some(connection)
    }

    /// A connection by its id.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Notes that the connect has completed. Returns false for a connection that was not connecting.
    pub(super) fn mark_connected(&mut self, id: ConnectionId) -> bool {
        match self.by_id.get_mut(&id) {
            Some(connection) if matches!(connection.state, ConnectionState::Connecting) => {
                connection.state = ConnectionState::Startup;
                true
            }
            _ => false,
        }
    }

    /// Notes that a connection has completed its startup. It has still to be given back by
    /// [`Connections::make_idle`].
    pub(super) fn complete_startup(&mut self, id: ConnectionId) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.state = ConnectionState::Idle;
            self.starting -= 1;
        }
    }

    /// Makes a connection available until `idle_deadline`. Returns false if it has reached its lifetime and
    /// is to be closed.
    pub(super) fn make_idle(&mut self, id: ConnectionId, now: Instant, idle_deadline: Instant) -> bool {
        if self.by_id.get(&id).is_some_and(|connection| connection.expires_at <= now) {
            return false;
        }
        self.idle.insert(id);
        self.set_timeout(id, Some(idle_deadline));
        true
    }

    /// Gives an idle connection a statement of so many bytes. Returns the router it leads to.
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

    /// Takes the exchange from a busy connection. It has still to be given back by
    /// [`Connections::make_idle`], or removed.
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

    /// The idle connection whose router has the fewest requests in flight. Of one router's connections it is
    /// the newest, so that the others reach their idle timeouts.
    pub(super) fn least_loaded_idle(&self, routers: &Routers) -> Option<ConnectionId> {
        let requests_in_flight = |id: &ConnectionId| {
            let connection = self.by_id.get(id);
            connection.map_or(usize::MAX, |connection| routers.requests_in_flight(connection.router))
        };
        self.idle.iter().rev().copied().min_by_key(requests_in_flight)
    }

    /// Whether any connection is idle.
    pub(super) fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// How many connections have not completed their startup.
    pub(super) fn starting(&self) -> usize {
        self.starting
    }

    /// The earliest timeout.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.timeouts.first().map(|timeout| timeout.at)
    }

    /// Takes the connection with the earliest timeout, if that has passed, and clears the timeout.
    pub(super) fn pop_timed_out(&mut self, now: Instant) -> Option<ConnectionId> {
        let timeout = self.timeouts.first().copied().filter(|timeout| timeout.at <= now)?;
        self.set_timeout(timeout.connection, None);
        Some(timeout.connection)
    }

    /// The ids of all connections, in order.
    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.by_id.keys().copied().collect()
    }

    /// The number of connections.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The number of timeouts.
    pub(super) fn timeouts(&self) -> usize {
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
