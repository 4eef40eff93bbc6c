//! Periodic work: closing expired host connections, and logging counters.

use super::client::{ConnectionCounts, MemoryCounts};
use super::driver::Driver;
use crate::routing::RequestCounters;
use async_io::Timer;
use basalthill_session::SessionCounts;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The interval at which expired host connections are closed, and counts of closed client connections are
/// logged.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the request and session counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(10);

/// Runs the periodic work until the task is dropped.
pub async fn run(driver: Rc<Driver>) {
    let mut counters_logged_at = Instant::now();
    loop {
        Timer::after(MAINTENANCE_INTERVAL).await;
        driver.pool.close_expired();
        log_connection_counts(driver.clients.take_connection_counts());
        log_memory_counts(&driver);
        if counters_logged_at.elapsed() >= COUNTERS_INTERVAL {
            counters_logged_at = Instant::now();
            log_counters(&driver);
        }
    }
}

fn log_connection_counts(counts: ConnectionCounts) {
    let ConnectionCounts { rejected, dismissed } = counts;
    if counts != ConnectionCounts::default() {
        tracing::warn!(
            rejected,
            dismissed,
            "clients: connections rejected for lack of descriptors, or closed for errors and timeouts"
        );
    }
}

fn log_memory_counts(driver: &Driver) {
    let counts = driver.clients.memory_counts.take();
    let MemoryCounts { discarded_rows, discarded_messages, reset_readers } = counts;
    if counts != MemoryCounts::default() {
        tracing::warn!(
            discarded_rows,
            discarded_messages,
            reset_readers,
            request_memory = driver.request_memory.charged(),
            response_memory = driver.response_memory.charged(),
            "memory is short: rows of hosts and messages of clients discarded, connections reset"
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

/// Logs the session counters and resets them. If the router does not manage session floors itself, it still
/// counts session reads and evictions from its floor table; these counts are reset without being logged.
pub fn log_session_counts(driver: &Driver) {
    let mut router = driver.router.borrow_mut();
    let counts = router.take_session_counts();
    if router.sessions().manages_floors() && counts != SessionCounts::default() {
        tracing::info!("{counts}");
    }
}
