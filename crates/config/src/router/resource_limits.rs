//! The resources that a router may use, and the budgets that follow from them.

use super::{MAX_RESPONSE_MEMORY, MAX_STATEMENT_LEN};

/// The number of file descriptors reserved for standard streams, the reactor, signals, the listener and
/// service discovery.
pub const RESERVED_SOCKETS: usize = 24;

/// The session-floor table may use the memory divided by this.
const SESSION_TABLE_DIVISOR: usize = 16;

/// All connections together may hold this fraction of the memory, as numerator and denominator, in requests
/// beyond their shares.
const REQUEST_MEMORY: (usize, usize) = (3, 16);

/// All connections together may hold this fraction of the memory, as numerator and denominator, in responses
/// beyond their shares.
const RESPONSE_MEMORY: (usize, usize) = (3, 16);

/// The shares of all connections together are the memory divided by this.
const CONNECTION_SHARES_DIVISOR: usize = 16;

/// The upper limit of a connection's share, in bytes.
const MAX_CONNECTION_SHARE: usize = 16 * 1024;

/// The lower limit of a connection's share, in bytes: it has to hold the handshake and an error response.
const MIN_CONNECTION_SHARE: usize = 2 * 1024;

/// The resources that a router may use, and the budgets that follow from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of file descriptors that the process may use.
    pub sockets: usize,
    /// The memory that the process may use, in MiB.
    pub memory_mb: u64,
}

impl Limits {
    /// Returns the number of descriptors that connections to hosts and clients may use together.
    pub fn descriptors(&self) -> usize {
        self.sockets.saturating_sub(RESERVED_SOCKETS)
    }

    /// Returns the number of descriptors that connections to clients may use: half of
    /// [`descriptors`](Self::descriptors). The other half remains for connections to hosts, however many
    /// clients connect.
    pub fn client_descriptors(&self) -> usize {
        self.descriptors() / 2
    }

    /// Returns the number of clients at which each new client causes the eviction of the client that has been
    /// idle for longest. All clients together can have at most `sockets / 3` connections open. Many clients
    /// send one request and then leave their connection open. Without evictions below that limit, idle
    /// connections would reach it, and clients with a request could not connect.
    pub fn client_eviction_threshold(&self) -> usize {
        self.sockets / 4
    }

    /// Returns the number of descriptors in use up to which several reads of a client may be in flight.
    /// Beyond it, each client has one request in flight, so that clients that pipeline do not take the
    /// descriptors that others need.
    pub fn pipelining_descriptors(&self) -> usize {
        self.descriptors() * 3 / 4
    }

    /// Returns the maximum size of the session-floor table, in bytes.
    pub fn session_table_bytes(&self) -> usize {
        self.memory_bytes() / SESSION_TABLE_DIVISOR
    }

    /// Returns how many bytes of clients' requests all connections together may hold beyond their shares,
    /// from the read at the client's socket until the request has its reply and no attempt is in flight.
    pub fn request_memory_bytes(&self) -> usize {
        let (numerator, denominator) = REQUEST_MEMORY;
        (self.memory_bytes() * numerator / denominator).max(MAX_STATEMENT_LEN)
    }

    /// Returns how many bytes each connection, to a host or a client, may hold in messages of one direction
    /// without asking for any of the memory that all connections share. A connection with small messages
    /// therefore never waits for memory that others hold.
    pub fn connection_share_bytes(&self) -> usize {
        let share = self.memory_bytes() / CONNECTION_SHARES_DIVISOR / self.descriptors().max(1);
        share.clamp(MIN_CONNECTION_SHARE, MAX_CONNECTION_SHARE)
    }

    /// Returns how many bytes of hosts' responses all connections together may hold beyond their shares, from
    /// the read at the host's socket to the write at the client's.
    pub fn response_memory_bytes(&self) -> usize {
        let (numerator, denominator) = RESPONSE_MEMORY;
        (self.memory_bytes() * numerator / denominator).max(MAX_RESPONSE_MEMORY)
    }

    fn memory_bytes(&self) -> usize {
        (self.memory_mb << 20) as usize
    }
}
