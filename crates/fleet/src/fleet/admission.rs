//! What the router queries before it admits work, and what it reports of it.

use super::Fleet;
use crate::account::{AccountStats, Availability};
use crate::limit::{Budget, LimitKey, Subject};
use basalthill_policy::api::Time;

impl Fleet {
    /// What is open for a request that these limits count: of the limit that has least. It counts as demand.
    pub fn availability(&mut self, now: Time, keys: &[LimitKey]) -> Availability {
        let mut availability = Availability::UNLIMITED;
        for key in keys {
            if let Some(account) = self.accounts.settled(now, *key) {
                availability = availability.and(account.availability(now));
            }
        }
        availability
    }

    /// Spends a token of each limit on a request that is admitted.
    pub fn spend(&mut self, keys: &[LimitKey]) {
        for key in keys {
            if let Some(account) = self.accounts.get_mut(*key) {
                account.spend();
            }
        }
    }

    /// Records that a request is rejected: the next one is given a later time to retry.
    pub fn record_rejection(&mut self, keys: &[LimitKey]) {
        for key in keys {
            if let Some(account) = self.accounts.get_mut(*key) {
                account.record_rejection();
            }
        }
    }

    /// The key of a budget, if there is a limit on it.
    pub fn budget_key(&self, budget: Budget) -> Option<LimitKey> {
        let limit = self.config.limits.iter().find(|limit| limit.subject == Subject::Budget(budget))?;
        Some(LimitKey::global(&limit.name))
    }

    /// The tokens of a budget that can be spent now; none if it has no account.
    pub fn tokens_left(&mut self, now: Time, key: LimitKey) -> u32 {
        self.accounts.settled(now, key).map_or(0, |account| account.tokens_left())
    }

    /// Records demand for a token of a budget that is exhausted.
    pub fn record_missing_token(&mut self, key: LimitKey) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.record_missing_token();
        }
    }

    /// Records demand for a token of a budget and spends it if it is there. Returns whether it is, or there
    /// is no account for the budget.
    pub fn take_token(&mut self, now: Time, key: LimitKey) -> bool {
        self.accounts.settled(now, key).is_none_or(|account| account.take_token(now))
    }

    /// How many attempts more may be in flight under a key, each for a span at most; no bound if it has no
    /// account.
    pub fn free_slots(&mut self, now: Time, key: LimitKey, span: Time) -> u64 {
        self.accounts.settled(now, key).map_or(u64::MAX, |account| account.free_slots(now, span))
    }

    /// Occupies a slot by an attempt, until a time at the latest. `number` tells attempts apart.
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

    /// Records demand for a slot that was not free.
    pub fn record_missing_slot(&mut self, key: LimitKey) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.record_missing_slot();
        }
    }

    /// The figures of an account.
    pub fn account_stats(&self, now: Time, key: LimitKey) -> Option<AccountStats> {
        self.accounts.get(key).map(|account| account.stats(now))
    }
}
