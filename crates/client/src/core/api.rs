//! The types of the core's interface: ids, actions, counters and table sizes.

use crate::outcome::RequestReport;
use std::net::SocketAddr;
use std::time::Instant;

/// The id of a request of this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The id of a connection of this client. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An operation that the driver must execute.
#[derive(Debug)]
pub enum Action {
    /// Open a connection, and report [`Core::handle_connected`](super::Core::handle_connected) or
    /// [`Core::handle_disconnected`](super::Core::handle_disconnected).
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The router's address.
        address: SocketAddr,
    },
    /// Write bytes, and report [`Core::handle_written`](super::Core::handle_written).
    Write {
        /// The connection.
        connection: ConnectionId,
        /// The bytes: either one complete statement or a message that is no statement.
        bytes: Vec<u8>,
        /// The request's deadline if the bytes are a statement: no byte may be written after it. `None` for
        /// other messages.
        deadline: Option<Instant>,
    },
    /// Close a connection. No further event may be reported for it.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Deliver a request's report to its caller.
    Complete {
        /// The completed request.
        request: RequestId,
        /// The outcome and the attempts.
        report: RequestReport,
    },
}

/// Why a connection that the client did not close was lost or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The connect was refused (`ECONNREFUSED`): no process listens on the address.
    NotListening,
    /// The connect failed with an error other than `ECONNREFUSED`, or the connection was lost after it had
    /// been opened.
    Other,
}

/// Counts since the client was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests submitted.
    pub requests: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Retries that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Connections that the client has begun to open.
    pub connects: u64,
    /// Ejections of routers, one for each time that a circuit breaker opened.
    pub ejections: u64,
}

/// The sizes of a client's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests without an outcome.
    pub requests: usize,
    /// Connections that are being opened or are open.
    pub connections: usize,
    /// Connection timeouts that are set.
    pub timeouts: usize,
}
