//! The router's timers, ordered by when they are due. The timer of an exchange is cancelled when the exchange
//! ends. [`Router`](super::Router) sets and fires timers; transport calls it at [`Timers::next_due`].

use basalthill_policy::api::{Attempt, RequestId, Time};
use std::collections::BTreeMap;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The policy has requested it, with this token.
    Policy(u64),
    /// The timeout of an attempt.
    Attempt(RequestId, Attempt),
    /// The timeout of a health check.
    Probe(u64),
}

/// Identifies a timer by when it is due and by a number that is unique among the router's timers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    due: Time,
    number: u64,
}

/// All timers of a router.
#[derive(Debug, Default)]
pub struct Timers {
    timers: BTreeMap<TimerKey, Timer>,
    last_number: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn add(&mut self, due: Time, timer: Timer) -> TimerKey {
        self.last_number += 1;
        let key = TimerKey { due, number: self.last_number };
        self.timers.insert(key, timer);
        key
    }

    /// Cancels a timer. Has no effect if it has already been cancelled.
    pub fn cancel(&mut self, key: TimerKey) {
        self.timers.remove(&key);
    }

    /// Returns the timers that are due, the earliest first. They stay set until they are cancelled.
    pub fn due(&self, now: Time) -> Vec<(TimerKey, Timer)> {
        let last = TimerKey { due: now, number: u64::MAX };
        self.timers.range(..=last).map(|(key, timer)| (*key, *timer)).collect()
    }

    /// Returns when the first timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(key, _)| key.due)
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.timers.len()
    }
}
