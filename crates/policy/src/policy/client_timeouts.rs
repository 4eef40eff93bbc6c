//! The client timeouts that many requests of a class come with.
//!
//! Clients of a class mostly use one of a few timeouts. A request that comes with less time left than usual
//! has waited before: for a router that stood still, or through an earlier attempt elsewhere.

use crate::api::Time;

/// Timeouts remembered for each class. Each one that comes with more than a quarter of the requests is among
/// them.
const REMEMBERED_TIMEOUTS: usize = 3;

/// A timeout and the votes for it.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    timeout: Time,
    /// Zero if the place is free.
    votes: u32,
}

/// The frequent client timeouts of one class, found by the majority vote of Misra and Gries.
#[derive(Clone, Debug, Default)]
pub(super) struct FrequentTimeouts {
    candidates: [Candidate; REMEMBERED_TIMEOUTS],
}

impl FrequentTimeouts {
    /// Counts a request that came with `time_left` and returns how long it has waited already: zero if that
    /// is a frequent timeout, give or take `tolerance`, else what the most frequent one exceeds it by.
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

    /// Gives a free place to a new timeout, or takes a vote from all if there is none.
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
