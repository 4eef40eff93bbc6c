//! Exponential backoff between calls to discovery.

use fastrand::Rng;
use std::time::Duration;

/// The delay after the first failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// The limit on a delay. The router must have received discovery's list 6 s after discovery has become
/// reachable, regardless of how earlier calls ended. Suppose that a watch times out (2.25 s), then a
/// call times out, then a call is refused at once, and each of the three is followed by a delay of this limit
/// (0.5 s). If the call that times out does so before its response head (1.2 s), the next call starts after
/// 2.25 + 0.5 + 1.2 + 0.5 + 0 + 0.5 = 4.95 s. If it does so after a head that came at once (2.25 s), the next
/// call starts after 2.25 + 0.5 + 2.25 + 0.5 + 0 + 0.5 = 6.0 s.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// The limit on a delay if discovery serves the calls of all routers one after another. Serving one call of
/// each router takes up to eight seconds. If rejected routers called more often, discovery would be busy
/// with calls that have timed out before it serves them, and no router would ever receive a list.
const MAX_SHARED_DELAY: Duration = Duration::from_millis(8000);
/// The limit on a delay if discovery serves the calls of all routers one after another, and is unreachable.
/// After an outage of any length, the router must receive the list within 6 s. A call that times out (2.25 s)
/// and the longest delay with jitter (3 s) have to fit into this time.
const MAX_UNREACHABLE_DELAY: Duration = Duration::from_millis(2000);
/// The smallest factor that jitter applies to a delay; the largest is greater by 1.
const MIN_JITTER: f64 = 0.5;
/// The multiplier that gives each watch of a router its own jitter seed (the 64-bit golden ratio).
const SEED_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why a call failed, as far as the backoff depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call failed for a reason other than a rejection: discovery did not respond in time, the connection
    /// failed or was closed, or the response was invalid.
    Unreachable,
    /// Discovery rejected the call for lack of capacity.
    Rejected,
}

/// Delays that double after each failed call, up to a limit, until a call succeeds.
#[derive(Debug)]
pub struct Backoff {
    delay: Duration,
    max_delay: Duration,
    jitter: Option<Rng>,
}

impl Backoff {
    /// Creates the backoff for a discovery that responds to each router independently, immediately and at
    /// negligible cost.
    pub fn without_jitter() -> Backoff {
        Backoff { delay: INITIAL_DELAY, max_delay: MAX_DELAY, jitter: None }
    }

    /// Creates the backoff for a discovery that serves all routers one after another. Each delay is
    /// multiplied by a random factor between 0.5 and 1.5, so that routers that are rejected at the same time
    /// retry at different times. The factors depend on the router's `seed` and the number of the `watch`.
    pub fn with_jitter(seed: u64, watch: u64) -> Backoff {
        let rng = Rng::with_seed(seed ^ watch.wrapping_mul(SEED_STRIDE));
        Backoff { delay: INITIAL_DELAY, max_delay: MAX_SHARED_DELAY, jitter: Some(rng) }
    }

    /// Resets the delay after a successful call, to half the initial delay.
    pub fn reset(&mut self) {
        self.delay = INITIAL_DELAY / 2;
    }

    /// Returns the delay before the next call, given the failure of the last one.
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
