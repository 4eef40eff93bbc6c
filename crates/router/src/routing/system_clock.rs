//! Conversion between Unix times, which hosts, service discovery and clients send, and the times of the
//! router's own clock. The router's clock never steps; the system clock may be set at any time.
//! [`Router`](super::Router) owns the offset between the two clocks. Transport measures the offset before
//! each input and passes it to [`Router::observe_system_clock`](super::Router::observe_system_clock).

use basalthill_policy::api::{ReplicationState, Time};

/// Nanoseconds per millisecond.
pub const NS_PER_MS: u64 = 1_000_000;

/// The smallest change of the offset, in nanoseconds, that counts as a step of the system clock. A smaller
/// change is the gradual correction of a synchronized clock. Unix times from before and after a step can't be
/// compared.
const MIN_STEP_NS: u64 = 20 * NS_PER_MS;

/// How far the system clock is ahead of the router's own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClockOffset {
    offset_ns: i64,
}

impl SystemClockOffset {
    /// Records the present offset in nanoseconds. Returns whether the system clock has been stepped since the
    /// last update.
    pub fn update(&mut self, offset_ns: i64) -> bool {
        let stepped = offset_ns.abs_diff(self.offset_ns) >= MIN_STEP_NS;
        self.offset_ns = offset_ns;
        stepped
    }

    /// Returns how far the system clock is ahead of the router's own clock, in milliseconds.
    pub fn offset_ms(&self) -> i64 {
        self.offset_ns / NS_PER_MS as i64
    }

    /// Converts a Unix time to the router's clock.
    pub fn to_router_time(self, unix: Time) -> Time {
        shift(unix, -i128::from(self.offset_ns))
    }

    /// Converts a time of the router's clock to a Unix time.
    pub fn to_unix_time(self, time: Time) -> Time {
        shift(time, i128::from(self.offset_ns))
    }

    /// Converts the position in a replication state from Unix time to the router's clock.
    pub fn replication_to_router_time(self, replication: ReplicationState) -> ReplicationState {
        let position = replication.position.map(|unix| self.to_router_time(unix));
        ReplicationState { position, ..replication }
    }
}

/// Adds `by_ns` nanoseconds, which may be negative, to a time. Zero, which means "long ago", and the latest
/// representable time stay unchanged.
fn shift(time: Time, by_ns: i128) -> Time {
    match time {
        Time(0 | u64::MAX) => time,
        Time(ns) => Time((i128::from(ns) + by_ns).clamp(1, i128::from(u64::MAX - 1)) as u64),
    }
}

/// Converts a Unix time in milliseconds to a [`Time`].
pub fn time_from_unix_ms(ms: u64) -> Time {
    Time(ms.saturating_mul(NS_PER_MS))
}

/// Converts a time to milliseconds, rounded up.
pub fn ms_rounded_up(time: Time) -> u64 {
    time.0.div_ceil(NS_PER_MS)
}
