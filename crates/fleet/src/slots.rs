//! The slots of a concurrency limit that are occupied at one router. Each is released at its latest release
//! time, if not earlier.

use crate::ledger::Ledger;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// The occupied slots. Each deducts one unit from the ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OccupiedSlots {
    /// The latest release time of each slot, by the number that its user gave.
    expiries: BTreeMap<u64, Time>,
}

impl OccupiedSlots {
    /// Occupies a slot until `until` at the latest.
    pub fn occupy(&mut self, number: u64, until: Time, ledger: &mut Ledger) {
        if let Some(previous) = self.expiries.insert(number, until) {
            ledger.cancel_debit(1, previous);
        }
        ledger.debit(1, until);
    }

    /// Releases a slot.
    pub fn release(&mut self, number: u64, ledger: &mut Ledger) {
        if let Some(until) = self.expiries.remove(&number) {
            ledger.cancel_debit(1, until);
        }
    }

    /// Releases slots whose latest release time has passed.
    pub fn expire(&mut self, now: Time, ledger: &mut Ledger) {
        let expired: Vec<u64> =
            self.expiries.iter().filter(|(_, until)| **until <= now).map(|(number, _)| *number).collect();
        for number in expired {
            self.release(number, ledger);
        }
    }

    /// Returns the number of occupied slots.
    pub fn count(&self) -> u64 {
        self.expiries.len() as u64
    }
}
