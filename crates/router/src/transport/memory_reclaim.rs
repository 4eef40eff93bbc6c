//! Reclaims memory while connections wait for it.

use super::driver::Driver;
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which memory is reclaimed while a connection waits for it.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(10);

/// Runs until the task is dropped. While a request waits for memory, discards messages whose clients have
/// stopped in the middle. While a response waits, resets the connections of clients that have stopped
/// reading.
pub async fn run(driver: Rc<Driver>) {
    loop {
        future::or(driver.request_memory.shortage(), driver.response_memory.shortage()).await;
        while driver.request_memory.has_waiters() || driver.response_memory.has_waiters() {
            driver.clients.discard_stalled_messages(driver.request_memory.waiting_bytes());
            driver.clients.reset_stalled_readers(driver.response_memory.waiting_bytes());
            Timer::after(RECLAIM_INTERVAL).await;
        }
    }
}
