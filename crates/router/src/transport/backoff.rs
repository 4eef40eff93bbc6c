//! Exponential backoff between calls of discovery.

use fastrand::Rng;
use std::time::Duration;

/// The first delay after a call that brought nothing.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// What discovery has counts as received 6 s after it can be reached, whatever became of calls before. The
/// longest way to it: a silent watch (2.25 s), a delay, a call that is given up (1.2 s before its head,
/// 2.25 s after it), a delay, one that is refused, a delay, and the call that brings the list: 5.1 s.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Where calls of all routers are served in turn, discovery serves one of each in eight seconds at the worst.
/// Called more often by routers that it rejects, it would be busy with calls that are too late by the time
/// they have their turn, and no router would ever get a list.
const MAX_SHARED_DELAY: Duration = Duration::from_millis(8000);
/// A shared discovery that was unreachable has 6 s for its changes to arrive, too, after however long an
/// outage: a call that is given up (2.25 s), and the longest delay with jitter (3 s).
const MAX_UNREACHABLE_DELAY: Duration = Duration::from_millis(2000);
/// With jitter, a delay is this part of its length at least, and as much more than its length at most.
const MIN_JITTER: f64 = 0.5;
/// Spreads the numbers of a router's watches over the seeds (the 64-bit golden ratio).
const SEED_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// What became of a call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Nobody answered, or the connection failed.
    Unreachable,
    /// Discovery is there, and had no capacity for the call.
    Rejected,
}

/// Delays that double, up to a limit, until a call succeeds.
#[derive(Debug)]
pub struct Backoff {
    delay: Duration,
    max_delay: Duration,
    jitter: Option<Rng>,
}

impl Backoff {
    /// For a discovery that answers each router by itself, at once and at no cost.
    pub fn without_jitter() -> Backoff {
        Backoff { delay: INITIAL_DELAY, max_delay: MAX_DELAY, jitter: None }
    }

    /// For one that serves all routers in turn. Those that it rejects together call again at different
    /// moments: each delay is drawn from half to one and a half times its length.
    pub fn with_jitter(seed: u64, watch: u64) -> Backoff {
        let rng = Rng::with_seed(seed ^ watch.wrapping_mul(SEED_STRIDE));
        Backoff { delay: INITIAL_DELAY, max_delay: MAX_SHARED_DELAY, jitter: Some(rng) }
    }

    /// Starts anew after a call that succeeded.
    pub fn reset(&mut self) {
        self.delay = INITIAL_DELAY / 2;
    }

    /// The delay before the next call, after what became of the last one.
    pub fn next_delay(&mut self, failure: CallFailure) -> Duration {
        let limit = match failure {
            CallFailure::Rejected => self.max_delay,
            CallFailure::Unreachable => self.max_delay.min(MAX_UNREACHABLE_DELAY),
        };
        let delay = self.delay.min(limit);
        self.delay = (delay * 2).min(limit);
        match &mut self.jitter {
            Some(rng) => delay.mul_f64(MIN_JITTER + rng.f64()),
            None => delay,
        }
    }
}

#[cfg(test)]
mod tests;
