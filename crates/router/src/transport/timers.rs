//! The task that fires routing's timers.

use super::driver::Driver;
use super::notify::Notify;
use crate::routing::Input;
use async_io::Timer;
use basalthill_policy::api::Time;
use futures_lite::future;
use std::cell::Cell;
use std::rc::Rc;

/// The due time when no timer is set.
const NEVER: Time = Time(u64::MAX);

/// The time until which the timer task sleeps, and the notification that a timer is due before it.
pub struct TimerDeadline {
    sleeps_until: Cell<Time>,
    earlier_timer_due: Notify,
}

impl Default for TimerDeadline {
    fn default() -> TimerDeadline {
        TimerDeadline { sleeps_until: Cell::new(NEVER), earlier_timer_due: Notify::default() }
    }
}

impl TimerDeadline {
    /// Wakes the timer task if `due` is earlier than the time until which it sleeps.
    pub fn wake_before(&self, due: Option<Time>) {
        if due.is_some_and(|due| due < self.sleeps_until.get()) {
            self.earlier_timer_due.notify();
        }
    }
}

/// Passes a tick to routing whenever a timer is due, never before.
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
                future::or(sleep, driver.timers.earlier_timer_due.notified()).await;
            }
            None => driver.timers.earlier_timer_due.notified().await,
        }
    }
}
