//! Unix times, as hosts, discovery and clients tell them, on the router's own clock. That one never steps;
//! the system's may be set at any time.

use basalthill_policy::api::Time;

/// A smaller change is the slow correction of a clock that is kept right, and is followed as it comes.
const STEP_NS: u64 = 20_000_000;

/// How far the system's clock is from the router's own.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClockOffset {
    offset_ns: i64,
}

impl SystemClockOffset {
    /// Takes note of how far the system's clock is ahead now; whether it has been set since.
    pub fn update(&mut self, offset_ns: i64) -> bool {
        let stepped = offset_ns.abs_diff(self.offset_ns) >= STEP_NS;
        self.offset_ns = offset_ns;
        stepped
    }

    /// How far the system's clock is ahead, in milliseconds.
    pub fn offset_ms(&self) -> i64 {
        self.offset_ns / 1_000_000
    }

    /// A Unix time on the router's own clock. Zero, for long ago, and the end of time stay as they are.
    pub fn to_router_time(self, unix: Time) -> Time {
        self.shifted(unix, -i128::from(self.offset_ns))
    }

    /// A time of the router's own clock as a Unix time.
    pub fn to_unix_time(self, own: Time) -> Time {
        self.shifted(own, i128::from(self.offset_ns))
    }

    fn shifted(self, time: Time, by: i128) -> Time {
        match time {
            Time(0 | u64::MAX) => time,
            Time(ns) => Time((i128::from(ns) + by).clamp(1, i128::from(u64::MAX - 1)) as u64),
        }
    }
}
