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
pub struct Tokens {
    per_s: f64,
    burst: f64,
    tokens: f64,
    at: Time,
    /// Requests refused that have been told a moment of their own to come back at.
    told: f64,
    /// The most that the units allow, as of the last filling.
    most: f64,
}

impl Tokens {
    /// None yet: what an earlier life had may have been spent.
    pub fn new(now: Time, per_s: f64, burst: f64) -> Tokens {
        Tokens { per_s, burst, tokens: 0.0, at: now, told: 0.0, most: 0.0 }
    }

    /// Fills up to now. Over a time in which the units changed, by the fewest: after a standstill nothing is
    /// filled by what lapsed in it. `floor` units are there whatever the ledger says.
    /// Of the others, no more than `most` are used.
    pub fn fill(&mut self, now: Time, floor: u64, ledger: &Ledger, most: Option<u64>, times: &Timing) {
        let most = most.map_or(i64::MAX, |m| m as i64);
        let beyond = |from, until| ledger.least(from, until).min(most);
        let held = |from, until| (floor as i64 + beyond(from, until)).max(0) as f64 / UNITS as f64;
        if now > self.at {
            let span = times.surely(now.since(self.at)).secs();
            self.tokens += held(self.at, now) * self.per_s * span;
            self.told = (self.told - held(self.at, now) * self.per_s * span).max(0.0);
            self.at = now;
        }
        self.most = held(now, now.plus(Time(1))) * self.burst;
        self.tokens = self.tokens.min(self.most);
    }

    /// How full the tokens stand, as a share of what the units allow; empty if that is not one request.
    pub fn level(&self) -> f64 {
        if self.most < 1.0 {
            return 0.0;
        }
        (self.tokens / self.most).clamp(0.0, 1.0)
    }

    /// How full the tokens stand for a request that comes now; zero if there is none for it. For
    /// [`Tokens::fill`] to have been called at this time.
    pub fn open(&self) -> f64 {
        if self.tokens >= 1.0 {
            self.level().max(f64::MIN_POSITIVE)
        } else {
            0.0
        }
    }

    /// How many tokens so many units allow at once.
    pub fn worth(&self, units: u64) -> f64 {
        units as f64 / UNITS as f64 * self.burst
    }

    /// Whole tokens that are there.
    pub fn whole(&self) -> u32 {
        self.tokens.max(0.0) as u32
    }

    /// Spends one.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// When one who is refused now may come back: each is told another moment, as tokens will be there.
    pub fn back(&self, floor: u64, held: i64) -> Time {
        let per_s = (floor as i64 + held).max(0) as f64 / UNITS as f64 * self.per_s;
        let wait = (self.told + 1.0 - self.tokens).max(0.0) / per_s.max(1e-3);
        Time((wait * 1e9) as u64)
    }

    /// One has been told to come back.
    pub fn refuse(&mut self) {
        // Nobody is sent further off than some bursts from now.
        self.told = (self.told + 1.0).min(4.0 * self.burst);
    }
}

/// Places that are taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Places {
    taken: BTreeMap<u64, Time>,
}

impl Places {
    /// Takes a place, until a time at the latest.
    pub fn take(&mut self, number: u64, until: Time, ledger: &mut Ledger) {
        if let Some(before) = self.taken.insert(number, until) {
            ledger.regain(1, before);
        }
        ledger.lend(1, until);
    }

    /// Gives a place back.
    pub fn give_back(&mut self, number: u64, ledger: &mut Ledger) {
        if let Some(until) = self.taken.remove(&number) {
            ledger.regain(1, until);
        }
    }

    /// Forgets places whose time is over.
    pub fn lapse(&mut self, now: Time, ledger: &mut Ledger) {
        let over: Vec<u64> = self.taken.iter().filter(|t| *t.1 <= now).map(|t| *t.0).collect();
        over.into_iter().for_each(|number| self.give_back(number, ledger));
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
