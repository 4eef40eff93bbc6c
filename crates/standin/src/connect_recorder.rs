//! Records the moment of each connect that the client library counts in its metrics.
//!
//! The recorder of metrics is one for each process, and so is this record: tests that use it need a process
//! of their own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The library's counter of connects.
const CONNECTS_METRIC: &str = "basalthill_client_connects_total";

/// Connects since [`start`], in order.
static CONNECTS: Mutex<Vec<Instant>> = Mutex::new(Vec::new());

fn connects() -> MutexGuard<'static, Vec<Instant>> {
    CONNECTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Begins to record, from nothing. It has no effect where another recorder of metrics is installed.
pub fn start() {
    // It fails where the recorder of an earlier start is still installed, which is the same.
    let _ = metrics::set_global_recorder(ConnectRecorder);
    connects().clear();
}

/// Takes the connects since [`start`] out of the record.
pub fn take() -> Vec<Instant> {
    std::mem::take(&mut connects())
}

/// The connects since a moment. They stay in the record.
pub fn since(from: Instant) -> Vec<Instant> {
    connects().iter().copied().filter(|at| *at >= from).collect()
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
