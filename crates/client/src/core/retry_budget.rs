//! The retry budget: a token bucket that limits retries to a fraction of the requests, so that retries can't
//! amplify an overload.

use crate::config::Config;
use crate::request::Priority;

/// Budgets with a capacity below this number of retries have no reserve for higher priorities: the quarter
/// that is left to the lowest priority would be less than one retry.
const MIN_DIVIDED_CAPACITY: f64 = 4.0;

/// A token bucket: each request adds a fraction of a retry, each retry removes one.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Number of retries that each request adds; a fraction of one.
    retries_per_request: f64,
    /// Maximum of `balance`, in retries.
    capacity: f64,
    /// Number of retries in the bucket.
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new(config: &Config) -> RetryBudget {
        RetryBudget {
            retries_per_request: config.retry_ratio,
            capacity: config.retry_budget_capacity,
            balance: config.retry_budget_capacity,
        }
    }

    /// Adds the fraction of a retry that each new request earns.
    pub(super) fn deposit(&mut self) {
        self.balance = (self.balance + self.retries_per_request).min(self.capacity);
    }

    /// Removes one retry from the budget, unless less than the reserve for higher priorities would remain.
    /// Returns whether the retry is allowed.
    pub(super) fn withdraw(&mut self, priority: Priority) -> bool {
        let is_allowed = self.balance - 1.0 >= self.reserve(priority);
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }

    /// Returns the number of retries that requests of this priority must leave for higher priorities.
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
