//! What is seen of a simulated fleet from outside, and how far it exceeds limits.

use basalthill_policy::api::Time;

/// A request that a router admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// True time.
    pub at: Time,
    /// The router's number.
    pub router: usize,
}

/// A permit of a limit on concurrent requests that a router took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// True time at which it was taken.
    pub from: Time,
    /// True time at which it is returned.
    pub until: Time,
    /// The router's number.
    pub router: usize,
}

/// A line that a router logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// True time.
    pub at: Time,
    /// The router's number.
    pub router: usize,
    /// Its text.
    pub text: String,
}

/// What was seen from outside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests that were admitted under the rate, in order.
    pub admitted: Vec<Admission>,
    /// Requests that arrived and count under the rate.
    pub requests: u64,
    /// Permits that were taken, in order.
    pub permits: Vec<Permit>,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The largest sum, at any time, of a limit's units that all routers might use.
    pub peak_allocated_units: u64,
    /// Lines that routers logged, in order.
    pub log_lines: Vec<LogLine>,
}

/// By how many requests admissions exceed a rate with a burst, at worst over all windows of time; below zero
/// if they never do.
pub fn rate_excess(mut admitted: Vec<Time>, per_s: f64, burst: f64) -> f64 {
    admitted.sort_unstable();
    // A token bucket that goes below zero by what is too much.
    let mut tokens = burst;
    let mut last = Time(0);
    let mut worst = -burst;
    for at in admitted {
        tokens = (tokens + at.since(last).secs() * per_s).min(burst) - 1.0;
        last = at;
        worst = worst.max(-tokens);
    }
    worst
}

/// The most permits that were taken at a time.
pub fn max_concurrent(permits: &[Permit]) -> i64 {
    let mut changes: Vec<(Time, i64)> = permits.iter().flat_map(|p| [(p.from, 1), (p.until, -1)]).collect();
    // At the same moment, permits are returned before others are taken.
    changes.sort_unstable();
    let mut taken = 0;
    let mut most = 0;
    for (_, change) in changes {
        taken += change;
        most = most.max(taken);
    }
    most
}
