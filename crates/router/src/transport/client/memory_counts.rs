//! Counts of what the router has done because memory was short.

use std::cell::Cell;

/// What the router has done because memory was short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Rows of hosts that were discarded; their requests were rejected, or failed if they were writes.
    pub discarded_rows: u32,
    /// Messages of clients that were discarded; those that are requests are rejected.
    pub discarded_messages: u32,
    /// Connections that were reset because their clients had stopped reading.
    pub reset_readers: u32,
}

/// The counters behind [`MemoryCounts`].
#[derive(Default)]
pub struct MemoryCounters(Cell<MemoryCounts>);

impl MemoryCounters {
    /// Counts a row that was discarded.
    pub fn count_discarded_row(&self) {
        self.update(|counts| counts.discarded_rows += 1);
    }

    /// Counts a message of a client that was discarded.
    pub fn count_discarded_message(&self) {
        self.update(|counts| counts.discarded_messages += 1);
    }

    /// Counts a connection that was reset because its client had stopped reading.
    pub fn count_reset_reader(&self) {
        self.update(|counts| counts.reset_readers += 1);
    }

    /// Returns the counts since the last call.
    pub fn take(&self) -> MemoryCounts {
        self.0.take()
    }

    fn update(&self, change: impl FnOnce(&mut MemoryCounts)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }
}
