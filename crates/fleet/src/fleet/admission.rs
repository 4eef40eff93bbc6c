//! The interface for admission control: queries of the capacity that is available under the limits, and
//! records of its use.

use super::Fleet;
use crate::account::{AccountStats, Availability};
use crate::limit::{Budget, LimitKey, Subject};
use basalthill_policy::api::Time;

impl Fleet {
    /// Returns the availability for a request that these limits count: that of the scarcest limit. Records
    /// the request as demand.
    pub fn availability(&mut self, now: Time, keys: &[LimitKey]) -> Availability {
        let mut availability = Availability::UNLIMITED;
        for key in keys {
            if let Some(account) = self.accounts.settled(now, *key) {
                availability = availability.and(account.availability(now));
            }
        }
        availability
    }

    /// Spends a token of each limit for a request that is admitted.
    pub fn spend(&mut self, keys: &[LimitKey]) {
        for key in keys {
            if let Some(account) = self.accounts.get_mut(*key) {
                account.spend();
            }
        }
    }

    /// Records that a request is rejected, so that the next one is given a later time to retry.
    pub fn record_rejection(&mut self, keys: &[LimitKey]) {
        for key in keys {
            if let Some(account) = self.accounts.get_mut(*key) {
                account.record_rejection();
            }
        }
    }

    /// Returns the key of a budget, or `None` if it is not limited.
    pub fn budget_key(&self, budget: Budget) -> Option<LimitKey> {
        let limit = self.config.limits.iter().find(|limit| limit.subject == Subject::Budget(budget))?;
        Some(LimitKey::global(&limit.name))
    }

    /// Returns the number of tokens of a budget that can be spent now; zero if the budget has no account.
    pub fn tokens_left(&mut self, now: Time, key: LimitKey) -> u32 {
        self.accounts.settled(now, key).map_or(0, |account| account.tokens_left())
    }

    /// Records demand for a token of an exhausted budget.
    pub fn record_missing_token(&mut self, key: LimitKey) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.record_missing_token();
        }
    }

    /// Records demand for a token of a budget, and spends a token if one is available. Returns whether the
    /// action is allowed: a token was available, or the budget has no account.
    pub fn take_token(&mut self, now: Time, key: LimitKey) -> bool {
        self.accounts.settled(now, key).is_none_or(|account| account.take_token(now))
    }

    /// Returns how many further attempts may be in flight under a key, each for at most `span`; `u64::MAX` if
    /// the key has no account.
    pub fn free_slots(&mut self, now: Time, key: LimitKey, span: Time) -> u64 {
        self.accounts.settled(now, key).map_or(u64::MAX, |account| account.free_slots(now, span))
    }

    /// Occupies a slot for the attempt `number`, until `until` at the latest.
    pub fn occupy_slot(&mut self, now: Time, key: LimitKey, number: u64, until: Time) {
        if let Some(account) = self.accounts.settled(now, key) {
            account.occupy_slot(number, until);
        }
    }

    /// Releases the slot of an attempt.
    pub fn release_slot(&mut self, now: Time, key: LimitKey, number: u64) {
        if let Some(account) = self.accounts.settled(now, key) {
            account.release_slot(number);
        }
    }

    /// Records demand for a slot when none was free.
    pub fn record_missing_slot(&mut self, key: LimitKey) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.record_missing_slot();
        }
    }

    /// Returns the statistics of an account for the status output.
    pub fn account_stats(&self, now: Time, key: LimitKey) -> Option<AccountStats> {
        self.accounts.get(key).map(|account| account.stats(now))
    }
}
