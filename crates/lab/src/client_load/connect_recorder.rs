//! Records the moment of each connect that the client library counts in its metrics.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The library's counter of connects.
const CONNECTS_METRIC: &str = "basalthill_client_connects_total";

/// Connects since [`start`]. The recorder of metrics is one for the process, so this is too.
static CONNECTS: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

fn connects() -> MutexGuard<'static, Vec<Instant>> {
    CONNECTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Begins to record, from nothing.
pub fn start() {
    // It fails where the recorder of an earlier load is still installed, which is the same.
    let _ = metrics::set_global_recorder(ConnectRecorder);
    connects().clear();
}

/// The connects since [`start`].
pub fn take() -> Vec<Instant> {
    std::mem::take(&mut connects())
}

/// A recorder of metrics that drops all but the connects.
struct ConnectRecorder;

/// The counter of connects.
struct ConnectCounter;

impl metrics::CounterFn for ConnectCounter {
    fn increment(&self, _: u64) {
        connects().push(Instant::now());
    }

    fn absolute(&self, _: u64) {}
}

impl metrics::Recorder for ConnectRecorder {
    fn describe_counter(&self, _: metrics::KeyName, _: Option<metrics::Unit>, _: metrics::SharedString) {}

    fn describe_gauge(&self, _: metrics::KeyName, _: Option<metrics::Unit>, _: metrics::SharedString) {}

    fn describe_histogram(&self, _: metrics::KeyName, _: Option<metrics::Unit>, _: metrics::SharedString) {}

    fn register_counter(&self, key: &metrics::Key, _: &metrics::Metadata<'_>) -> metrics::Counter {
        match key.name() == CONNECTS_METRIC {
            true => metrics::Counter::from_arc(Arc::new(ConnectCounter)),
            false => metrics::Counter::noop(),
        }
    }

    fn register_gauge(&self, _: &metrics::Key, _: &metrics::Metadata<'_>) -> metrics::Gauge {
        metrics::Gauge::noop()
    }

    fn register_histogram(&self, _: &metrics::Key, _: &metrics::Metadata<'_>) -> metrics::Histogram {
        metrics::Histogram::noop()
    }
}
