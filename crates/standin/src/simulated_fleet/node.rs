//! A simulated router: its core, its clocks, and the demand at it.

use crate::Rng;
use basalthill_fleet::Fleet;
use basalthill_policy::api::Time;

/// What clocks show at true time zero lies below this, in nanoseconds.
const MAX_CLOCK_OFFSET_NS: u64 = 1_000_000_000_000;
/// What system clocks show at true time zero, in milliseconds.
const SYSTEM_CLOCK_START_MS: i64 = 1_000_000_000;
const NS_PER_MS: i64 = 1_000_000;
/// Drifts are drawn in steps of so small a part of the greatest one.
const DRIFT_STEPS: u64 = 1000;

/// A router.
pub(super) struct Node {
    /// Its core while it runs.
    pub core: Option<Fleet>,
    /// How fast its clock is: 1 for true time.
    clock_rate: f64,
    /// What its clock shows at true time zero, in nanoseconds.
    clock_offset_ns: u64,
    /// By how much its system clock is off, in milliseconds.
    pub system_clock_offset_ms: i64,
    pub paused: bool,
    /// Datagrams that have arrived while it is paused.
    pub inbox: Vec<Vec<u8>>,
    /// How often it has been started.
    pub incarnations: u64,
    /// Requests a second that count under the rate.
    pub per_s: f64,
    /// Requests a second that need permits.
    pub permits_per_s: f64,
    /// Counts the changes of the demand.
    pub demand_version: u64,
}

impl Node {
    /// A router that does not run. Its clock's rate is off by at most `max_drift` of true time.
    pub fn new(max_drift: f64, rng: &mut Rng) -> Node {
        // Rates are spread over all that is allowed; half of them are at its ends.
        let drift = match rng.u64(..4) {
            0 => max_drift,
            1 => -max_drift,
            _ => (rng.u64(..=2 * DRIFT_STEPS) as f64 / DRIFT_STEPS as f64 - 1.0) * max_drift,
        };
        Node {
            core: None,
            clock_rate: 1.0 + drift,
            clock_offset_ns: rng.u64(..MAX_CLOCK_OFFSET_NS),
            system_clock_offset_ms: 0,
            paused: false,
            inbox: Vec::new(),
            incarnations: 0,
            per_s: 0.0,
            permits_per_s: 0.0,
            demand_version: 0,
        }
    }

    /// Begins a new incarnation.
    pub fn start(&mut self, core: Fleet) {
        self.core = Some(core);
        self.paused = false;
        self.inbox.clear();
        self.incarnations += 1;
    }

    /// What its clock shows at a true time.
    pub fn local_time(&self, true_time: Time) -> Time {
        Time(self.clock_offset_ns + (true_time.0 as f64 * self.clock_rate) as u64)
    }

    /// A true time at which its clock shows at least a local time.
    pub fn true_time(&self, local_time: Time) -> Time {
        let elapsed_ns = local_time.0.saturating_sub(self.clock_offset_ns) as f64 / self.clock_rate;
        Time(elapsed_ns.ceil() as u64 + 1)
    }

    /// What its system clock shows at a true time, in milliseconds.
    pub fn system_clock_ms(&self, true_time: Time) -> u64 {
        let true_ms = true_time.0 as i64 / NS_PER_MS;
        (true_ms + SYSTEM_CLOCK_START_MS + self.system_clock_offset_ms) as u64
    }
}
