//! The router's clock: the only source of the times that inputs carry. Transport owns it and reads it.

use basalthill_policy::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The two clocks count as read together if both readings of the router's clock around the system clock's lie
/// within this. The process may be suspended between two lines of code; such a reading is discarded.
const READ_WITHIN: Time = Time(100_000);

/// A clock in nanoseconds that starts at the Unix time and never steps, whatever happens to the system clock
/// later.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    anchor: Time,
}

impl Clock {
    /// A clock that shows the system clock's time now.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: Time(unix.as_nanos() as u64) }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.anchor.plus(Time(self.start.elapsed().as_nanos() as u64))
    }

    /// How far the system clock is ahead of this one, in nanoseconds; none if the two could not be read
    /// together.
    pub fn system_clock_offset_ns(&self) -> Option<i64> {
        let before = self.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let elapsed = self.now().since(before);
        (elapsed <= READ_WITHIN).then(|| unix.as_nanos() as i64 - before.0 as i64)
    }

    /// The instant at which this clock shows a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.since(self.anchor).0)
    }
}
