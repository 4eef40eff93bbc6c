//! Estimates of how long quick responses of each class take, so that no attempt is started that can't be
//! answered by the deadline.

use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt needs this much time at least.
const MIN_REMAINING: Duration = Duration::from_millis(2);
/// Weight of a response that is quicker than the estimate.
const QUICKER_WEIGHT: f64 = 0.2;
/// Weight of a response that is slower than the estimate: a tenth of the other, so that the estimate follows
/// quick responses.
const SLOWER_WEIGHT: f64 = 0.02;
/// Upper limit of classes with an estimate, which bounds the memory.
const MAX_CLASSES: usize = 64;

/// An estimate for each class: a moving average of its response times, in seconds, that weighs quick
/// responses more than slow ones.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    seconds_by_class: BTreeMap<String, f64>,
}

impl ResponseTimes {
    /// The time that an attempt of this class needs at least.
    pub(super) fn min_remaining(&self, class: &str) -> Duration {
        let seconds = self.seconds_by_class.get(class).copied().unwrap_or(0.0);
        MIN_REMAINING.max(Duration::from_secs_f64(seconds))
    }

    /// Takes in the time from an attempt's start to its complete response.
    pub(super) fn record(&mut self, class: &str, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if let Some(estimate) = self.seconds_by_class.get_mut(class) {
            let weight = if elapsed < *estimate { QUICKER_WEIGHT } else { SLOWER_WEIGHT };
            *estimate += (elapsed - *estimate) * weight;
        } else if self.seconds_by_class.len() < MAX_CLASSES {
            self.seconds_by_class.insert(class.to_string(), elapsed);
        }
    }
}
