//! Records the time of each connect that the client library counts in its metrics.
//!
//! Both the metrics recorder and the recorded connects are global to the process, so a test that uses them
//! must run in a separate process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The counter of connects of the client library.
const CONNECTS_METRIC: &str = "basalthill_client_connects_total";

/// Times of the connects since [`start`], in order.
static CONNECTS: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

fn connects() -> MutexGuard<'static, Vec<Instant>> {
    CONNECTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Installs the recorder and clears the recorded connects. If the process already has another metrics
/// recorder, no connects are recorded.
pub fn start() {
    // This fails if a recorder is already installed. A recorder installed by an earlier call stays in use.
    let _ = metrics::set_global_recorder(ConnectRecorder);
    connects().clear();
}

/// Returns the times of all recorded connects, and clears them.
pub fn take() -> Vec<Instant> {
    std::mem::take(&mut connects())
}

/// Returns the times of the recorded connects at or after `from`, without clearing any.
pub fn since(from: Instant) -> Vec<Instant> {
    connects().iter().copied().filter(|at| *at >= from).collect()
}

/// A metrics recorder that ignores all metrics other than the counter of connects.
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
