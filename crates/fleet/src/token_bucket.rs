//! The token bucket of a rate at one router.
//!
//! Tokens fill at the fraction of the rate that the router's units stand for, and never exceed the same
//! fraction of the burst. So the tokens of all routers together never exceed the burst and fill no faster
//! than the rate.

use crate::ledger::Ledger;
use crate::limit::RATE_UNITS;
use crate::timing::Timing;
use basalthill_policy::api::Time;

/// The rate below which the time until the next token is not computed, in tokens a second.
const MIN_RETRY_RATE_PER_S: f64 = 1e-3;
/// Rejected requests are spread over the time in which this many bursts refill, and no further.
const MAX_DEFERRED_BURSTS: f64 = 4.0;

/// The tokens of a rate.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    /// The time of the last refill.
    refilled_at: Time,
    /// Rejected requests whose retry time has not come: each has been given a token of its own.
    deferred: f64,
    /// The most tokens that the units allow, as of the last refill.
    capacity: f64,
}

impl TokenBucket {
    /// An empty bucket: the tokens of an earlier incarnation may have been spent.
    pub fn new(now: Time, per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket { per_s, burst, tokens: 0.0, refilled_at: now, deferred: 0.0, capacity: 0.0 }
    }

    /// Refills up to now. `reserved` units are there whatever the ledger says; of the ledger's units, no more
    /// than `max_ledger_units` are used.
    ///
    /// Over a span in which the units changed, the fewest of them count: after a suspension nothing is filled
    /// by units that expired in it.
    pub fn refill(
        &mut self,
        now: Time,
        reserved: u64,
        ledger: &Ledger,
        max_ledger_units: Option<u64>,
        timing: &Timing,
    ) {
        let max_ledger_units = max_ledger_units.map_or(i64::MAX, |units| units as i64);
        let fraction = |ledger_units: i64| {
            let units = reserved as i64 + ledger_units.min(max_ledger_units);
            units.max(0) as f64 / RATE_UNITS as f64
        };
        if now > self.refilled_at {
            let elapsed_s = timing.min_elapsed(now.since(self.refilled_at)).secs();
            let refill = fraction(ledger.minimum(self.refilled_at, now)) * self.per_s * elapsed_s;
            self.tokens += refill;
            self.deferred = (self.deferred - refill).max(0.0);
            self.refilled_at = now;
        }
        self.capacity = fraction(ledger.current(now)) * self.burst;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// How full the bucket is, from 0 to 1; zero if its capacity is less than one token.
    pub fn fill_level(&self) -> f64 {
        if self.capacity < 1.0 {
            return 0.0;
        }
        (self.tokens / self.capacity).clamp(0.0, 1.0)
    }

    /// The fill level for a request that arrives now: zero if there is no token for it, and above zero
    /// otherwise. [`TokenBucket::refill`] must have been called at this time.
    pub fn admission_level(&self) -> f64 {
        if self.tokens >= 1.0 {
            self.fill_level().max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    }

    /// The capacity that so many units give.
    pub fn capacity_of(&self, units: u64) -> f64 {
        units as f64 / RATE_UNITS as f64 * self.burst
    }

    /// The number of tokens that can be spent now.
    pub fn available(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Spends one token.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// When a request that is rejected now may be retried, at a rate of so many units. Each rejected request
    /// is given another moment, at the rate at which tokens will be there.
    pub fn retry_after(&self, reserved: u64, ledger_units: i64) -> Time {
        let units = (reserved as i64 + ledger_units).max(0);
        let per_s = units as f64 / RATE_UNITS as f64 * self.per_s;
        let missing = (self.deferred + 1.0 - self.tokens).max(0.0);
        let wait_s = missing / per_s.max(MIN_RETRY_RATE_PER_S);
        Time((wait_s * 1e9) as u64)
    }

    /// Records that a request was rejected and given the time of [`TokenBucket::retry_after`].
    pub fn record_rejection(&mut self) {
        self.deferred = (self.deferred + 1.0).min(MAX_DEFERRED_BURSTS * self.burst);
    }
}

#[cfg(test)]
mod tests;
