//! A simulated router: its core, its clocks and its demand.

use crate::Rng;
use basalthill_fleet::Fleet;
use basalthill_policy::api::Time;

/// Clocks start, at true time zero, at a random value below this, in nanoseconds.
const MAX_CLOCK_OFFSET_NS: u64 = 1_000_000_000_000;
/// Value of system clocks without an offset at true time zero, in milliseconds.
const SYSTEM_CLOCK_START_MS: i64 = 1_000_000_000;
const NS_PER_MS: i64 = 1_000_000;
/// Number of steps between 0 and the largest drift, from which random drifts are chosen.
const DRIFT_STEPS: u64 = 1000;

/// A simulated router.
pub(super) struct Node {
    /// Core of the router; `None` while the router is not running.
    pub core: Option<Fleet>,
    /// Rate of the router's clock relative to true time.
    clock_rate: f64,
    /// Value of the router's clock at true time zero, in nanoseconds.
    clock_offset_ns: u64,
    /// How far the router's system clock is ahead of the system clocks without an offset, in milliseconds;
    /// negative if it is behind.
    pub system_clock_offset_ms: i64,
    pub paused: bool,
    /// Datagrams received while the router is paused.
    pub inbox: Vec<Vec<u8>>,
    /// Number of times that the router has been started.
    pub incarnations: u64,
    /// Requests per second under the rate limit.
    pub per_s: f64,
    /// Requests per second that need permits.
    pub permits_per_s: f64,
    /// Number of changes of the demand.
    pub demand_version: u64,
}

impl Node {
    /// Creates a router that is not running. The rate of its clock differs from 1 by at most `max_drift`.
    pub fn new(max_drift: f64, rng: &mut Rng) -> Node {
        // Half of the drifts are at the ends of the allowed range; the others are uniformly distributed
        // over the range.
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

    /// Starts a new incarnation with this core.
    pub fn start(&mut self, core: Fleet) {
        self.core = Some(core);
        self.paused = false;
        self.inbox.clear();
        self.incarnations += 1;
    }

    /// Returns the value of the router's clock at a true time.
    pub fn local_time(&self, true_time: Time) -> Time {
        Time(self.clock_offset_ns + (true_time.0 as f64 * self.clock_rate) as u64)
    }

    /// Returns a true time at which the value of the router's clock is at least `local_time`.
    pub fn true_time(&self, local_time: Time) -> Time {
        let elapsed_ns = local_time.0.saturating_sub(self.clock_offset_ns) as f64 / self.clock_rate;
        Time(elapsed_ns.ceil() as u64 + 1)
    }

    /// Returns the value of the router's system clock at a true time, in milliseconds.
    pub fn system_clock_ms(&self, true_time: Time) -> u64 {
        let true_ms = true_time.0 as i64 / NS_PER_MS;
        (true_ms + SYSTEM_CLOCK_START_MS + self.system_clock_offset_ms) as u64
    }
}
