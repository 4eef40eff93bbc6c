//! Estimation of how long a request has waited before it arrived, from the frequent client timeouts of its
//! class.
//!
//! Most clients of a class use one of a few timeouts. A request that arrives with less time left than any of
//! these has waited before its arrival: while a router was stalled, or during an earlier attempt at another
//! router.

use crate::api::Time;

/// The number of timeouts recorded per class. They include each timeout that more than a quarter of the
/// requests have.
const RECORDED_TIMEOUTS: usize = 3;

/// A timeout and its count of votes.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    timeout: Time,
    /// The number of votes; zero if the entry is free.
    votes: u32,
}

/// The frequent client timeouts of one class, found by the Misra-Gries algorithm.
#[derive(Clone, Debug, Default)]
pub(super) struct FrequentTimeouts {
    candidates: [Candidate; RECORDED_TIMEOUTS],
}

impl FrequentTimeouts {
    /// Counts a request that arrived with `time_left` until its deadline, and returns how long it had waited
    /// before its arrival: zero if `time_left` is within `tolerance` of a recorded timeout, otherwise the
    /// time by which the most frequent timeout exceeds `time_left`.
    pub(super) fn elapsed_before_arrival(&mut self, time_left: Time, tolerance: Time) -> Time {
        let matches = |candidate: &Candidate| {
            let distance = time_left.since(candidate.timeout).max(candidate.timeout.since(time_left));
            candidate.votes > 0 && distance < tolerance
        };
        if let Some(candidate) = self.candidates.iter_mut().find(|candidate| matches(candidate)) {
            candidate.votes += 1;
            return Time(0);
        }
        self.vote_for_new(time_left);
        let most_frequent = self.candidates.iter().max_by_key(|candidate| candidate.votes);
        most_frequent.map_or(Time(0), |candidate| candidate.timeout.since(time_left))
    }

    /// Records a new timeout in a free entry, or takes one vote from each entry if none is free.
    fn vote_for_new(&mut self, timeout: Time) {
        if let Some(free) = self.candidates.iter_mut().find(|candidate| candidate.votes == 0) {
            *free = Candidate { timeout, votes: 1 };
            return;
        }
        for candidate in &mut self.candidates {
            candidate.votes -= 1;
        }
    }
}
