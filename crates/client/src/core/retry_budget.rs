//! The retry budget: retries stay a fraction of the requests, so that they can't multiply an overload.

use crate::config::Config;
use crate::request::Priority;

/// Budgets smaller than this, in retries, are not divided by priority.
const MIN_DIVIDED_CAPACITY: f64 = 4.0;

/// A token bucket: each request adds a fraction of a retry, each retry takes one.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Retries that each request adds.
    deposit: f64,
    /// Upper limit of the balance, in retries.
    capacity: f64,
    /// Retries that may be made now.
    balance: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(super) fn new(config: &Config) -> RetryBudget {
        RetryBudget {
            deposit: config.retry_ratio,
            capacity: config.retry_budget_capacity,
            balance: config.retry_budget_capacity,
        }
    }

    /// Adds what a new request earns.
    pub(super) fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.capacity);
    }

    /// Takes one retry, if a request of this priority may have it.
    pub(super) fn withdraw(&mut self, priority: Priority) -> bool {
        let is_allowed = self.balance - 1.0 >= self.reserve(priority);
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }

    /// What requests of this priority leave to those of higher ones, in retries.
    fn reserve(&self, priority: Priority) -> f64 {
        if self.capacity < MIN_DIVIDED_CAPACITY {
            return 0.0;
        }
        let fraction = match priority {
            Priority::Low => 0.75,
            Priority::Normal => 0.5,
            Priority::High => 0.0,
        };
        fraction * self.capacity
    }
}
