//! Unix times, as hosts, discovery and clients tell them, on the router's own clock. That one never steps;
//! the system's may be set at any time.

use basalthill_policy::api::Time;

/// A smaller change is the slow correction of a clock that is kept right, and is followed as it comes.
const STEP_NS: u64 = 20_000_000;

/// How far the system's clock is from the router's own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wall {
    ahead_ns: i64,
}

impl Wall {
    /// Takes note of how far the system's clock is ahead now; whether it has been set since.
    pub fn follow(&mut self, ahead_ns: i64) -> bool {
        let stepped = ahead_ns.abs_diff(self.ahead_ns) >= STEP_NS;
        self.ahead_ns = ahead_ns;
        stepped
    }

    /// How far the system's clock is ahead, in milliseconds.
    pub fn ahead_ms(&self) -> i64 {
        self.ahead_ns / 1_000_000
    }

    /// A Unix time on the router's own clock. Zero, for long ago, and the end of time stay as they are.
    pub fn own(&self, unix: Time) -> Time {
        self.moved(unix, -i128::from(self.ahead_ns))
    }

    /// A time of the router's own clock as a Unix time.
    pub fn unix(&self, own: Time) -> Time {
        self.moved(own, i128::from(self.ahead_ns))
    }

    fn moved(&self, time: Time, by: i128) -> Time {
        match time {
            Time(0 | u64::MAX) => time,
            Time(ns) => Time((i128::from(ns) + by).clamp(1, i128::from(u64::MAX - 1)) as u64),
        }
    }
}
