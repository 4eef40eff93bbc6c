//! The limits of the machine, and what follows from them.

use super::MAX_STATEMENT_LEN;

/// Descriptors kept back for standard streams, the reactor, signals, the listener and discovery.
pub const RESERVED_SOCKETS: usize = 24;

/// Of the memory, the session-floor table may take this part.
const SESSION_TABLE_DIVISOR: usize = 16;

/// Of the memory, large statements may take this part.
const LARGE_STATEMENTS_DIVISOR: usize = 4;

/// Limits of the machine, and the budgets that follow from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// File descriptors that the program may use.
    pub sockets: usize,
    /// Memory in MiB.
    pub memory_mb: u64,
}

impl Limits {
    /// How many descriptors connections to members and clients may use together.
    pub fn descriptors(&self) -> usize {
        self.sockets.saturating_sub(RESERVED_SOCKETS)
    }

    /// How many of them clients may use at most: with the other half, connections to members never lack one,
    /// however many clients connect.
    pub fn client_descriptors(&self) -> usize {
        self.descriptors() / 2
    }

    /// With more clients than this, a new one takes the place of the client that has been quiet for longest.
    /// Clients together use a third of all descriptors; many send one request and leave their connection open
    /// for good, and those with a request would find no capacity.
    pub fn client_eviction_threshold(&self) -> usize {
        self.sockets / 4
    }

    /// Most memory, in bytes, that the session-floor table may come to take.
    pub fn session_table_bytes(&self) -> usize {
        self.memory_bytes() / SESSION_TABLE_DIVISOR
    }

    /// How many statements past [`LARGE_STATEMENT_LEN`](super::LARGE_STATEMENT_LEN) may be received at a
    /// time. One may stand in memory twice while it is taken over.
    pub fn max_large_statements(&self) -> usize {
        (self.memory_bytes() / LARGE_STATEMENTS_DIVISOR / (2 * MAX_STATEMENT_LEN)).max(1)
    }

    fn memory_bytes(&self) -> usize {
        (self.memory_mb << 20) as usize
    }
}
