//! Reclaims memory while connections wait for it.

use super::driver::Driver;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which memory is reclaimed while a connection waits for it.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(10);

/// Runs until the task is dropped. While a response waits for memory, resets the connections of clients that
/// have stopped reading their replies.
pub async fn run(driver: Rc<Driver>) {
    loop {
        driver.response_memory.shortage().await;
        while driver.response_memory.has_waiters() {
            driver.clients.reset_stalled_readers(driver.response_memory.waiting_bytes());
            Timer::after(RECLAIM_INTERVAL).await;
        }
    }
}
