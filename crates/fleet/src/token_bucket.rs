//! The token bucket of a rate at one router.
//!
//! Tokens are refilled at the fraction of the rate that the router's units represent, up to the same fraction
//! of the burst. So the tokens of all routers together never exceed the burst and are refilled no faster than
//! the rate.

use crate::ledger::Ledger;
use crate::limit::RATE_UNITS;
use crate::timing::Timing;
use basalthill_policy::api::Time;

/// The lowest rate, in tokens per second, that retry times are computed with: it bounds them when the router
/// has almost no units.
const MIN_RETRY_RATE_PER_S: f64 = 1e-3;
/// The number of bursts after which deferred requests are no longer counted. Retry times are spread over the
/// time in which this many bursts are refilled.
const MAX_DEFERRED_BURSTS: f64 = 4.0;

/// The token bucket of a rate limit at one router.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    /// The time of the last refill.
    refilled_at: Time,
    /// Rejected requests whose retry time has not passed. Each was given the refill time of a different
    /// token.
    deferred: f64,
    /// The largest number of tokens that the units allow, as of the last refill.
    capacity: f64,
}

impl TokenBucket {
    /// Creates an empty bucket, because the tokens of an earlier incarnation may have been spent.
    pub fn new(now: Time, per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket { per_s, burst, tokens: 0.0, refilled_at: now, deferred: 0.0, capacity: 0.0 }
    }

    /// Refills the bucket up to `now`. `reserved` units count in addition to those in the ledger; of the
    /// ledger's units, at most `max_ledger_units` are used.
    ///
    /// The refill since the last one uses the smallest number of units in that span, so after a suspension of
    /// the process no tokens come from units that expired during it.
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

    /// Returns how full the bucket is, from 0 to 1; zero if its capacity is less than one token.
    pub fn fill_level(&self) -> f64 {
        if self.capacity < 1.0 {
            return 0.0;
        }
        (self.tokens / self.capacity).clamp(0.0, 1.0)
    }

    /// Returns the fill level for a request that arrives now: zero if there is no token for it, and above
    /// zero otherwise. [`TokenBucket::refill`] must have been called at this time.
    pub fn admission_level(&self) -> f64 {
        if self.tokens >= 1.0 {
            self.fill_level().max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    }

    /// Returns the capacity of the bucket with this many units.
    pub fn capacity_of(&self, units: u64) -> f64 {
        units as f64 / RATE_UNITS as f64 * self.burst
    }

    /// Returns the number of tokens that can be spent now.
    pub fn available(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Spends one token.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time, from now, after which a request that is rejected now may be retried, at the refill
    /// rate of `reserved` and `ledger_units`. Each rejected request is given a later time than the one
    /// before, spaced by the time that one token takes to refill.
    pub fn retry_after(&self, reserved: u64, ledger_units: i64) -> Time {
        let units = (reserved as i64 + ledger_units).max(0);
        let per_s = units as f64 / RATE_UNITS as f64 * self.per_s;
        let missing = (self.deferred + 1.0 - self.tokens).max(0.0);
        let wait_s = missing / per_s.max(MIN_RETRY_RATE_PER_S);
        Time((wait_s * 1e9) as u64)
    }

    /// Records that a request was rejected and given the time returned by [`TokenBucket::retry_after`].
    pub fn record_rejection(&mut self) {
        self.deferred = (self.deferred + 1.0).min(MAX_DEFERRED_BURSTS * self.burst);
    }
}

#[cfg(test)]
mod tests;
