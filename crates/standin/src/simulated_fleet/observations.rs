//! Observations of a simulated fleet, and by how much they exceed limits.

use basalthill_policy::api::Time;

/// A request that a router admitted under the rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// True time of the admission.
    pub at: Time,
    /// Number of the router.
    pub router: usize,
}

/// A permit of the concurrency limit that a router granted to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// True time at which it was granted.
    pub from: Time,
    /// True time at which it is released.
    pub until: Time,
    /// Number of the router.
    pub router: usize,
}

/// A line that a router logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// True time of the line.
    pub at: Time,
    /// Number of the router.
    pub router: usize,
    /// Text of the line.
    pub text: String,
}

/// What an observer outside the routers has recorded of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests that were admitted under the rate limit, in order.
    pub admitted: Vec<Admission>,
    /// Number of requests made under the rate limit.
    pub requests: u64,
    /// Permits that were granted, in order.
    pub permits: Vec<Permit>,
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Total size of the datagrams sent, in bytes.
    pub bytes: u64,
    /// The largest sum, at any time, of the units of a limit that all routers were allowed to use.
    pub peak_allocated_units: u64,
    /// Lines that routers logged, in order.
    pub log_lines: Vec<LogLine>,
}

/// Returns by how many requests the admissions exceed a rate with a burst, in the worst time window. The
/// result is negative if they never exceed it.
pub fn rate_excess(mut admitted: Vec<Time>, per_s: f64, burst: f64) -> f64 {
    admitted.sort_unstable();
    // Tokens of a token bucket with this rate and burst. Unlike in a rate limiter, their number falls below
    // zero by the number of excess requests.
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

/// Returns the largest number of permits that were held at the same time.
pub fn max_concurrent(permits: &[Permit]) -> i64 {
    let mut changes: Vec<(Time, i64)> = permits.iter().flat_map(|p| [(p.from, 1), (p.until, -1)]).collect();
    // Among changes at the same time, releases (-1) sort before grants (1).
    changes.sort_unstable();
    let mut held = 0;
    let mut max_held = 0;
    for (_, change) in changes {
        held += change;
        max_held = max_held.max(held);
    }
    max_held
}
