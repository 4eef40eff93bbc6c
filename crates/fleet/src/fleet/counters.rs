//! Counters of datagrams.

use crate::codec::DropReason;
use std::collections::BTreeMap;

/// Datagrams since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub accepted: u64,
    /// Datagrams dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

impl Counters {
    /// Counts dropped datagrams.
    pub(super) fn count_dropped(&mut self, reason: DropReason, count: u64) {
        *self.dropped.entry(reason).or_default() += count;
    }

    /// Counts a datagram that is sent, and its bytes.
    pub(super) fn count_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.sent_bytes += bytes as u64;
    }
}
