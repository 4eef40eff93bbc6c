//! How many units are there, now and at any later time, if nothing more is done: what comes lapses at a
//! time of its own, what is lent out comes back at one.
//!
//! Times are rounded to ticks, against the holder: what it has lapses a tick early, what it has lent
//! comes back a tick late. So there are few of them, and a look at all of the future is a walk over some
//! dozens.

use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// A tick of the ledger.
const TICK: u64 = 10_000_000;

/// Units by the time at which they go or come back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Units that go at a tick; those that come back then are counted against them.
    goes: BTreeMap<u64, i64>,
    /// Units that are there now: the sum of the above.
    now: i64,
}

impl Ledger {
    fn change(&mut self, tick: u64, units: i64) {
        let there = self.goes.entry(tick).or_default();
        *there += units;
        self.now += units;
        if *there == 0 {
            self.goes.remove(&tick);
        }
    }

    /// Units are there until a time.
    pub fn credit(&mut self, units: u64, until: Time) {
        self.change(until.0 / TICK, units as i64);
    }

    /// Takes back an [`Ledger::credit`].
    pub fn cancel_credit(&mut self, units: u64, until: Time) {
        self.change(until.0 / TICK, -(units as i64));
    }

    /// Units are away until a time.
    pub fn debit(&mut self, units: u64, until: Time) {
        self.change(until.0.div_ceil(TICK), -(units as i64));
    }

    /// Takes back a [`Ledger::debit`].
    pub fn cancel_debit(&mut self, units: u64, until: Time) {
        self.change(until.0.div_ceil(TICK), units as i64);
    }

    /// The fewest units that are there at any time from `from` on and before `until`. What lapsed before
    /// `from` must not have been forgotten by then.
    pub fn minimum(&self, from: Time, until: Time) -> i64 {
        // At a tick's time, what goes at it is gone.
        let (from, until) = (from.0 / TICK, until.0.div_ceil(TICK).max(from.0 / TICK + 1));
        let mut there = self.now - self.goes.range(..=from).map(|g| g.1).sum::<i64>();
        let mut least = there;
        for (_, units) in self.goes.range(from + 1..until) {
            there -= units;
            least = least.min(there);
        }
        least
    }

    /// Forgets what has gone by a time.
    pub fn discard_before(&mut self, before: Time) {
        while let Some(first) = self.goes.first_entry().filter(|e| *e.key() <= before.0 / TICK) {
            self.now -= first.remove();
        }
    }

    /// When something goes or comes back next.
    pub fn next_change(&self) -> Option<Time> {
        self.goes.first_key_value().map(|(tick, _)| Time(tick * TICK))
    }

    /// Whether nothing is written down.
    pub fn is_empty(&self) -> bool {
        self.goes.is_empty()
    }

    /// How many times are written down.
    pub fn len(&self) -> usize {
        self.goes.len()
    }
}

#[cfg(test)]
mod tests;
