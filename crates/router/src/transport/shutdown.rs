//! Graceful shutdown: the router goes on for a while, accepts nothing new, and ends once all is answered or
//! its time is over.

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

/// How long the answers to requests that are failed at the end may take to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// How far a router is in stopping.
#[derive(Default)]
pub struct Shutdown {
    /// Tells the listener to accept nothing more than what waits.
    stop_accepting: Notify,
    /// Connections are closed between two requests.
    draining: Cell<bool>,
    /// A client has gone, or no request is unanswered.
    progress: Notify,
}

impl Shutdown {
    /// Has the listener accept nothing more than what waits.
    pub fn stop_accepting(&self) {
        self.stop_accepting.notify();
    }

    /// Waits until the listener is to stop.
    pub async fn accepting_stopped(&self) {
        self.stop_accepting.notified().await;
    }

    /// Whether connections are closed between two requests.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// A client has gone, or no request is unanswered: the shutdown may go on.
    pub fn notify_progress(&self) {
        self.progress.notify();
    }
}

/// Stops the router in good order, within `limit` from now. `listener` is the task that accepts clients.
pub async fn run(driver: &Rc<Driver>, listener: Option<Task<()>>, limit: Time) {
    let stopped_at = driver.clock.now();
    tracing::info!(unanswered = driver.router.borrow().unanswered(), "stopping");
    Timer::after(Duration::from_nanos(STOP_GRACE.0)).await;
    // What the system has accepted by now is served, and nothing that connects later.
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
