//! The one clock of a router.

use basalthill_policy::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Two clocks that are read within this are read together: a router may be held up between two lines.
const READ_WITHIN: Time = Time(100_000);

/// Nanoseconds, of Unix time at the start: anchored once, it never steps, whatever the system's clock does
/// later.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    anchor: Time,
}

impl Clock {
    /// Anchors the clock now.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: Time(unix.as_nanos() as u64) }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.anchor.plus(Time(self.start.elapsed().as_nanos() as u64))
    }

    /// How far the system's clock is ahead of this one, in nanoseconds; none if they could not be read
    /// together.
    pub fn system_clock_offset_ns(&self) -> Option<i64> {
        let before = self.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let apart = self.now().since(before);
        (apart <= READ_WITHIN).then(|| unix.as_nanos() as i64 - before.0 as i64)
    }

    /// The instant at which this clock shows a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.since(self.anchor).0)
    }
}
