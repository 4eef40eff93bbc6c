//! Spends rights: tokens that fill at the rate that is held, and places that are taken until a time at the
//! latest.

use crate::ledger::Ledger;
use crate::limit::UNITS;
use crate::times::Timing;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// Tokens of a rate. They fill by the units held, and never stand above the units' part of the burst: so
/// those of all routers together never stand above the burst, and fill no faster than the rate.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    at: Time,
    /// Requests refused that have been told a moment of their own to come back at.
    deferred: f64,
    /// The most that the units allow, as of the last filling.
    capacity: f64,
}

impl TokenBucket {
    /// None yet: what an earlier life had may have been spent.
    pub fn new(now: Time, per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket { per_s, burst, tokens: 0.0, at: now, deferred: 0.0, capacity: 0.0 }
    }

    /// Fills up to now. Over a time in which the units changed, by the fewest: after a standstill nothing is
    /// filled by what lapsed in it. `floor` units are there whatever the ledger says.
    /// Of the others, no more than `most` are used.
    pub fn refill(&mut self, now: Time, floor: u64, ledger: &Ledger, most: Option<u64>, times: &Timing) {
        let most = most.map_or(i64::MAX, |m| m as i64);
        let beyond = |from, until| ledger.minimum(from, until).min(most);
        let held = |from, until| (floor as i64 + beyond(from, until)).max(0) as f64 / UNITS as f64;
        if now > self.at {
            let span = times.surely(now.since(self.at)).secs();
            self.tokens += held(self.at, now) * self.per_s * span;
            self.deferred = (self.deferred - held(self.at, now) * self.per_s * span).max(0.0);
            self.at = now;
        }
        self.capacity = held(now, now.plus(Time(1))) * self.burst;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// How full the tokens stand, as a share of what the units allow; empty if that is not one request.
    pub fn level(&self) -> f64 {
        if self.capacity < 1.0 {
            return 0.0;
        }
        (self.tokens / self.capacity).clamp(0.0, 1.0)
    }

    /// How full the tokens stand for a request that comes now; zero if there is none for it. For
    /// [`TokenBucket::refill`] to have been called at this time.
    pub fn admission_level(&self) -> f64 {
        if self.tokens >= 1.0 {
            self.level().max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    }

    /// How many tokens so many units allow at once.
    pub fn tokens_for(&self, units: u64) -> f64 {
        units as f64 / UNITS as f64 * self.burst
    }

    /// Whole tokens that are there.
    pub fn available_tokens(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Spends one.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// When one who is refused now may come back: each is told another moment, as tokens will be there.
    pub fn retry_after(&self, floor: u64, held: i64) -> Time {
        let per_s = (floor as i64 + held).max(0) as f64 / UNITS as f64 * self.per_s;
        let wait = (self.deferred + 1.0 - self.tokens).max(0.0) / per_s.max(1e-3);
        Time((wait * 1e9) as u64)
    }

    /// One has been told to come back.
    pub fn record_rejection(&mut self) {
        // Nobody is sent further off than some bursts from now.
        self.deferred = (self.deferred + 1.0).min(4.0 * self.burst);
    }
}

/// Places that are taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlotTable {
    taken: BTreeMap<u64, Time>,
}

impl SlotTable {
    /// Takes a place, until a time at the latest.
    pub fn occupy(&mut self, number: u64, until: Time, ledger: &mut Ledger) {
        if let Some(before) = self.taken.insert(number, until) {
            ledger.cancel_debit(1, before);
        }
        ledger.debit(1, until);
    }

    /// Gives a place back.
    pub fn release(&mut self, number: u64, ledger: &mut Ledger) {
        if let Some(until) = self.taken.remove(&number) {
            ledger.cancel_debit(1, until);
        }
    }

    /// Forgets places whose time is over.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        let over: Vec<u64> = self.taken.iter().filter(|t| *t.1 <= now).map(|t| *t.0).collect();
        over.into_iter().for_each(|number| self.release(number, ledger));
    }

    /// How many are taken.
    pub fn len(&self) -> usize {
        self.taken.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }
}

#[cfg(test)]
mod tests;
