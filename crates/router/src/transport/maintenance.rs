//! Periodic work: closing of expired connections, and the log of what the router has counted.

use super::client::EndedConnections;
use super::driver::Driver;
use crate::routing::RequestCounters;
use async_io::Timer;
use basalthill_session::SessionCounts;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often expired connections are closed, and connections that the router has ended are logged.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// How often the counters of requests are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);

/// Runs the periodic work for ever.
pub async fn run(driver: Rc<Driver>) {
    let mut counters_logged_at = Instant::now();
    loop {
        Timer::after(MAINTENANCE_INTERVAL).await;
        driver.pool.close_expired();
        log_ended_connections(driver.clients.take_ended());
        if counters_logged_at.elapsed() >= COUNTERS_INTERVAL {
            counters_logged_at = Instant::now();
            log_counters(&driver);
        }
    }
}

fn log_ended_connections(ended: EndedConnections) {
    let EndedConnections { rejected, dismissed } = ended;
    if ended != EndedConnections::default() {
        tracing::warn!(
            rejected,
            dismissed,
            "clients: connections rejected for want of descriptors or dismissed"
        );
    }
}

fn log_counters(driver: &Driver) {
    let counters = driver.router.borrow_mut().take_request_counters();
    log_session_counts(driver);
    if counters != RequestCounters::default() {
        tracing::info!(
            clients = driver.clients.len(),
            exchanges = driver.exchanges.len(),
            idle_host_connections = driver.pool.len(),
            available_descriptors = driver.descriptors.available(),
            "{counters}"
        );
    }
}

/// Logs what has been counted of sessions. Where the router does not make the sessions' floors, the counters
/// of requests say it all.
pub fn log_session_counts(driver: &Driver) {
    let mut router = driver.router.borrow_mut();
    let counts = router.take_session_counts();
    if router.sessions().manages_floors() && counts != SessionCounts::default() {
        tracing::info!("{counts}");
    }
}
