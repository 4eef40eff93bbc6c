//! The ledger of a limit's units at one router: how many there are, now and at any later time, if nothing
//! more is done. Units that are leased or borrowed expire at a time of their own; units that are lent out
//! come back at one.
//!
//! Times are rounded to ticks, against this router: what it has expires a tick early, what it has lent comes
//! back a tick late. So there are few different times, and a look at all of the future visits some dozens of
//! them.

use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// A tick of the ledger, in nanoseconds.
const TICK_NS: u64 = 10_000_000;

/// Units by the time at which they expire or come back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Units that expire at each tick, less those that come back at it.
    expiries: BTreeMap<u64, i64>,
    /// Units that are there now: the sum of `expiries`.
    balance: i64,
}

impl Ledger {
    fn add_expiry(&mut self, tick: u64, units: i64) {
        let at_tick = self.expiries.entry(tick).or_default();
        *at_tick += units;
        self.balance += units;
        if *at_tick == 0 {
            self.expiries.remove(&tick);
        }
    }

    /// Adds units that are there until a time.
    pub fn credit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0 / TICK_NS, units as i64);
    }

    /// Undoes a [`Ledger::credit`].
    pub fn cancel_credit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0 / TICK_NS, -(units as i64));
    }

    /// Takes units out until a time.
    pub fn debit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0.div_ceil(TICK_NS), -(units as i64));
    }

    /// Undoes a [`Ledger::debit`].
    pub fn cancel_debit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0.div_ceil(TICK_NS), units as i64);
    }

    /// The fewest units that are there at any time from `from` on and before `until`. What expired before
    /// `from` must not have been discarded.
    pub fn minimum(&self, from: Time, until: Time) -> i64 {
        let first_tick = from.0 / TICK_NS;
        let end_tick = until.0.div_ceil(TICK_NS).max(first_tick + 1);
        // At the time of a tick, what expires at it is gone.
        let expired: i64 = self.expiries.range(..=first_tick).map(|(_, units)| units).sum();
        let mut units = self.balance - expired;
        let mut minimum = units;
        for (_, expiring) in self.expiries.range(first_tick + 1..end_tick) {
            units -= expiring;
            minimum = minimum.min(units);
        }
        minimum
    }

    /// The units that are there at this moment.
    pub fn current(&self, now: Time) -> i64 {
        self.minimum(now, now.plus(Time(1)))
    }

    /// Discards what has expired by a time.
    pub fn discard_expired(&mut self, now: Time) {
        while let Some(first) = self.expiries.first_entry().filter(|entry| *entry.key() <= now.0 / TICK_NS) {
            self.balance -= first.remove();
        }
    }

    /// When units expire or come back next.
    pub fn next_change(&self) -> Option<Time> {
        self.expiries.first_key_value().map(|(tick, _)| Time(tick * TICK_NS))
    }
}

#[cfg(test)]
mod tests;
