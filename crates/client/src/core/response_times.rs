//! Estimates of the time that a fast response takes for each request class. An attempt is not started if less
//! time than that is left until the deadline, since its response would most likely be too late.

use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time that an attempt is assumed to need.
const MIN_REMAINING: Duration = Duration::from_millis(2);
/// Weight of a response time below the estimate in the moving average.
const WEIGHT_BELOW_ESTIMATE: f64 = 0.2;
/// Weight of a response time above the estimate in the moving average: a tenth of the weight of one below it,
/// so that the estimate stays close to the times of fast responses.
const WEIGHT_ABOVE_ESTIMATE: f64 = 0.02;
/// Maximum number of classes with an estimate, which bounds memory. Further classes are assumed to need
/// [`MIN_REMAINING`].
const MAX_CLASSES: usize = 64;

/// The estimate of each class: an exponentially weighted moving average (EWMA) of its response times, in
/// seconds, in which times below the estimate have a larger weight than times above it.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    seconds_by_class: BTreeMap<String, f64>,
}

impl ResponseTimes {
    /// Returns the time that must be left until the deadline for an attempt of this class to be started.
    pub(super) fn min_remaining(&self, class: &str) -> Duration {
        let seconds = self.seconds_by_class.get(class).copied().unwrap_or(0.0);
        MIN_REMAINING.max(Duration::from_secs_f64(seconds))
    }

    /// Updates the estimate of a class with `elapsed`, the time from an attempt's start to its complete
    /// response.
    pub(super) fn record(&mut self, class: &str, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if let Some(estimate) = self.seconds_by_class.get_mut(class) {
            let weight = if elapsed < *estimate { WEIGHT_BELOW_ESTIMATE } else { WEIGHT_ABOVE_ESTIMATE };
            *estimate += (elapsed - *estimate) * weight;
        } else if self.seconds_by_class.len() < MAX_CLASSES {
            self.seconds_by_class.insert(class.to_string(), elapsed);
        }
    }
}
