//! Firing of routing's timers.

use super::driver::Driver;
use super::notify::Notify;
use crate::routing::Input;
use async_io::Timer;
use basalthill_policy::api::Time;
use futures_lite::future;
use std::cell::Cell;
use std::rc::Rc;

/// A time that never comes.
const NEVER: Time = Time(u64::MAX);

/// For when the timers' task sleeps, and how it learns that a timer is due before that.
pub struct TimerDeadline {
    sleeps_until: Cell<Time>,
    moved_forward: Notify,
}

impl Default for TimerDeadline {
    fn default() -> TimerDeadline {
        TimerDeadline { sleeps_until: Cell::new(NEVER), moved_forward: Notify::default() }
    }
}

impl TimerDeadline {
    /// Wakes the timers' task if `due` is before the time up to which it sleeps.
    pub fn wake_before(&self, due: Option<Time>) {
        if due.is_some_and(|due| due < self.sleeps_until.get()) {
            self.moved_forward.notify();
        }
    }
}

/// Lets routing's timers fire, never early.
pub async fn run(driver: Rc<Driver>) {
    loop {
        let due = driver.router.borrow().next_due();
        driver.timers.sleeps_until.set(due.unwrap_or(NEVER));
        match due {
            Some(due) if due <= driver.clock.now() => {
                driver.handle(Input::Tick);
                future::yield_now().await;
            }
            Some(due) => {
                let instant = driver.clock.instant(due);
                let sleep = async {
                    Timer::at(instant).await;
                };
                future::or(sleep, driver.timers.moved_forward.notified()).await;
            }
            None => driver.timers.moved_forward.notified().await,
        }
    }
}
