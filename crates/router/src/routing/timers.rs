//! Timers in the order in which they are due; each is taken back when what it guards has ended.

use basalthill_policy::api::{Attempt, RequestId, Time};
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The decisions asked for it.
    Policy(u64),
    /// The limit of an attempt.
    Attempt(RequestId, Attempt),
    /// The limit of a probe.
    Probe(u64),
}

/// A timer's place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(Time, u64);

/// All timers of a router.
#[derive(Debug, Default)]
pub struct Timers {
    set: BTreeMap<TimerKey, Timer>,
    count: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn add(&mut self, due: Time, timer: Timer) -> TimerKey {
        self.count += 1;
        let key = TimerKey(due, self.count);
        self.set.insert(key, timer);
        key
    }

    /// Takes a timer back.
    pub fn cancel(&mut self, key: TimerKey) {
        self.set.remove(&key);
    }

    /// The timers that are due; they stay until they are taken back.
    pub fn due(&self, now: Time) -> Vec<(TimerKey, Timer)> {
        self.set.range(..=TimerKey(now, u64::MAX)).map(|(k, t)| (*k, *t)).collect()
    }

    /// When the first is due.
    pub fn next(&self) -> Option<Time> {
        self.set.first_key_value().map(|(k, _)| k.0)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.set.len()
    }
}
