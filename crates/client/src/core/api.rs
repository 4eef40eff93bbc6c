//! The types of the core's interface: ids, actions, and what it reports of itself.

use crate::outcome::RequestReport;
use std::net::SocketAddr;
use std::time::Instant;

/// A request of this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A connection of this client; an id is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What the driver has to do.
#[derive(Debug)]
pub enum Action {
    /// Open a connection, and report [`Core::handle_connected`](super::Core::handle_connected) or
    /// [`Core::handle_disconnected`](super::Core::handle_disconnected).
    Connect {
        /// The new connection.
        connection: ConnectionId,
        /// The router's address.
        address: SocketAddr,
    },
    /// Write bytes, and report [`Core::handle_written`](super::Core::handle_written).
    Write {
        /// The connection.
        connection: ConnectionId,
        /// The bytes, all of them a statement or none.
        bytes: Vec<u8>,
        /// For a statement, the request's deadline: no byte may be written after it.
        deadline: Option<Instant>,
    },
    /// Close a connection, and report nothing more of it.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Hand a report to the caller.
    Complete {
        /// The request that has its outcome.
        request: RequestId,
        /// The report.
        report: RequestReport,
    },
}

/// Why a connection ended, or did not come up, without having been closed by this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The connect was refused: no process listens on the address.
    NotListening,
    /// Any other reason.
    Other,
}

/// What a client has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests submitted.
    pub requests: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Retries that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Connections opened.
    pub connects: u64,
    /// Ejections of routers.
    pub ejections: u64,
}

/// The sizes of a client's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests without an outcome.
    pub requests: usize,
    /// Connections.
    pub connections: usize,
    /// Timeouts of connections.
    pub timeouts: usize,
}
