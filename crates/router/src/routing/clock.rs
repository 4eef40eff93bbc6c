//! The one clock of a router.

use basalthill_policy::api::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nanoseconds of Unix time, anchored once: it never steps back, whatever the system's clock does later.
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

    /// The instant at which this clock shows a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_nanos(time.since(self.anchor).0)
    }
}
