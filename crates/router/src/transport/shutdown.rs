//! Graceful shutdown: the router continues to serve for [`STOP_GRACE`], then stops accepting connections, and
//! stops once all clients are disconnected or the time limit has passed.

use super::driver::Driver;
use super::maintenance;
use super::notify::Notify;
use crate::routing::Input;
use async_executor::Task;
use async_io::Timer;
use basalthill_config::router::STOP_GRACE;
use basalthill_policy::api::Time;
use futures_lite::future;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The time for writing the error replies to requests that are still in flight at the time limit.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// The progress of a graceful shutdown.
#[derive(Default)]
pub struct Shutdown {
    /// Notifies the listener to accept only the connections that are already in the backlog.
    stop_accepting: Notify,
    /// Whether client connections are closed as soon as they have no request in flight.
    draining: Cell<bool>,
    /// Notified when a client has disconnected, or no request is in flight.
    progress: Notify,
}

impl Shutdown {
    /// Makes the listener accept only the connections that are already in the backlog, and then stop.
    pub fn stop_accepting(&self) {
        self.stop_accepting.notify();
    }

    /// Waits until [`Shutdown::stop_accepting`] is called.
    pub async fn accepting_stopped(&self) {
        self.stop_accepting.notified().await;
    }

    /// Returns whether client connections are closed as soon as they have no request in flight.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Wakes the task that shuts the router down, after a client has disconnected or no request is in flight.
    pub fn notify_progress(&self) {
        self.progress.notify();
    }
}

/// Shuts the router down gracefully, within `limit` from now. `listener` is the task that accepts clients.
pub async fn run(driver: &Rc<Driver>, listener: Option<Task<()>>, limit: Time) {
    let stopped_at = driver.clock.now();
    tracing::info!(unanswered = driver.router.borrow().unanswered(), "stopping");
    Timer::after(Duration::from_nanos(STOP_GRACE.0)).await;
    // Connections that are in the backlog now are served, but none that are opened later.
    driver.shutdown.stop_accepting();
    if let Some(listener) = listener {
        listener.await;
    }
    driver.shutdown.draining.set(true);
    driver.clients.set_ready();
    let drained = async {
        while driver.clients.len() > 0 {
            driver.shutdown.progress.notified().await;
        }
    };
    let deadline = driver.clock.instant(stopped_at.plus(limit));
    let timed_out = async {
        Timer::at(deadline).await;
        driver.handle(Input::Shutdown);
        Timer::after(FINAL_WRITE_TIMEOUT).await;
    };
    future::or(drained, timed_out).await;
    maintenance::log_session_counts(driver);
    driver.with_router(|router, now, effects| router.leave_fleet(now, effects));
    tracing::info!("stopped");
}
