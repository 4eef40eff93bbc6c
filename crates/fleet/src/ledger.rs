//! The ledger of a limit's units at one router: how many units the router has now, and at any later time if
//! nothing further is credited or debited. Leased and borrowed units expire at a given time, and lent units
//! become available again at a given time.
//!
//! Times are rounded to ticks, so that the router never counts too many units: units that it has expire up to
//! a tick early, and units that it has lent become available up to a tick late. Rounding keeps the number of
//! different times small, so a scan over all future changes visits a few dozen entries.

use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// The length of a tick, in nanoseconds.
const TICK_NS: u64 = 10_000_000;

/// A balance of units, and the times at which it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Units that expire at each tick, minus those that become available again.
    expiries: BTreeMap<u64, i64>,
    /// The sum of `expiries`: the units before the first of these ticks.
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

    /// Adds units that expire at `until`.
    pub fn credit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0 / TICK_NS, units as i64);
    }

    /// Cancels a [`Ledger::credit`].
    pub fn cancel_credit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0 / TICK_NS, -(units as i64));
    }

    /// Deducts units until `until`.
    pub fn debit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0.div_ceil(TICK_NS), -(units as i64));
    }

    /// Cancels a [`Ledger::debit`].
    pub fn cancel_debit(&mut self, units: u64, until: Time) {
        self.add_expiry(until.0.div_ceil(TICK_NS), units as i64);
    }

    /// Returns the tick at which units that are credited until `until` expire.
    pub fn last_tick_before(until: Time) -> Time {
        Time(until.0 / TICK_NS * TICK_NS)
    }

    /// Returns the smallest number of units at any time from `from` until just before `until`. Entries that
    /// expire after `from` must not have been discarded: `from` must not be before the time of the last
    /// [`Ledger::discard_expired`].
    pub fn minimum(&self, from: Time, until: Time) -> i64 {
        let first_tick = from.0 / TICK_NS;
        let end_tick = until.0.div_ceil(TICK_NS).max(first_tick + 1);
        // Units that expire at a tick are not counted at the time of that tick.
        let expired: i64 = self.expiries.range(..=first_tick).map(|(_, units)| units).sum();
        let mut units = self.balance - expired;
        let mut minimum = units;
        for (_, expiring) in self.expiries.range(first_tick + 1..end_tick) {
            units -= expiring;
            minimum = minimum.min(units);
        }
        minimum
    }

    /// Returns the number of units now.
    pub fn current(&self, now: Time) -> i64 {
        self.minimum(now, now.plus(Time(1)))
    }

    /// Discards entries that have expired at `now`.
    pub fn discard_expired(&mut self, now: Time) {
        while let Some(first) = self.expiries.first_entry().filter(|entry| *entry.key() <= now.0 / TICK_NS) {
            self.balance -= first.remove();
        }
    }

    /// Returns the next time at which units expire or become available again.
    pub fn next_change(&self) -> Option<Time> {
        self.expiries.first_key_value().map(|(tick, _)| Time(tick * TICK_NS))
    }
}

#[cfg(test)]
mod tests;
