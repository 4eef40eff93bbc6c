//! The router's clock, from which the times of all inputs are taken. Transport owns it and reads it.

use basalthill_policy::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest accepted time between the two readings of the router's clock that enclose a reading of the
/// system clock: 100 µs. A longer time means that the process was suspended between the readings; the
/// measured offset is then discarded.
const MAX_READING_SPAN: Time = Time(100_000);

/// A monotonic clock in nanoseconds. It starts at the Unix time of its creation and is not affected by later
/// changes of the system clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    anchor: Time,
}

impl Clock {
    /// Creates a clock that shows the system clock's present time.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: Time(unix.as_nanos() as u64) }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.anchor.plus(Time(self.start.elapsed().as_nanos() as u64))
    }

    /// Returns how far the system clock is ahead of this clock, in nanoseconds; `None` if the process was
    /// suspended between the readings of the two clocks.
    pub fn system_clock_offset_ns(&self) -> Option<i64> {
        let before = self.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let elapsed = self.now().since(before);
        (elapsed <= MAX_READING_SPAN).then(|| unix.as_nanos() as i64 - before.0 as i64)
    }

    /// Returns the instant at which this clock shows `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.since(self.anchor).0)
    }
}
