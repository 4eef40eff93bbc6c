//! Admission of clients: descriptors for a new connection, or its rejection.

use super::eviction::Eviction;
use super::registry::ClientRegistry;
use super::ClientConnection;
use crate::protocol::client;
use crate::routing::ClientId;
use crate::transport::driver::Driver;
use crate::transport::io;
use crate::transport::semaphore::{Permit, RETRY_INTERVAL};
use async_executor::Task;
use async_io::{Async, Timer};
use basalthill_wire::sqlstate::TOO_MANY_CONNECTIONS;
use futures_lite::future;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a descriptor is looked for before a client is rejected: all attempts together take no longer
/// than a client that has just connected may take to send its first request.
pub const MAX_ADMISSION_ATTEMPTS: u32 = 8;

/// What an admitted client occupies; released on drop.
pub struct AdmissionPermits {
    _descriptor: Permit,
    _client: Permit,
}

/// Admits a new connection and gives it its task. Where there is no descriptor at once, it is looked for
/// `attempts` times more; a few connections wait for that beside accepting, so that those behind them don't.
pub async fn admit(driver: &Rc<Driver>, id: ClientId, stream: Async<TcpStream>, attempts: u32) {
    let connected_at = Instant::now();
    let mut permits = driver.clients.acquire_permits(driver, 1).await;
    let mut rejection = None;
    if permits.is_none() {
        rejection = driver.clients.rejections.acquire_now();
        if rejection.is_none() {
            permits = driver.clients.acquire_permits(driver, attempts).await;
        }
    }
    let connection_driver = Rc::clone(driver);
    let task = driver.tasks.spawn(async move {
        let driver = connection_driver;
        if permits.is_none() && rejection.is_some() {
            permits = driver.clients.acquire_permits(&driver, attempts).await;
        }
        match permits {
            Some(permits) => {
                drop(rejection);
                ClientConnection::new(driver, id, stream, permits, connected_at).run().await;
            }
            // Only a few at a time wait for their clients, or they would occupy more descriptors than there
            // are.
            None => reject(driver, stream, rejection).await,
        }
    });
    task.into_iter().for_each(Task::detach);
    // Many may connect at once: other tasks get their turn in between.
    future::yield_now().await;
}

impl ClientRegistry {
    /// Descriptors for a client, out of the clients' part. Where there are many clients, an unused connection
    /// makes place, or the one that has been idle for longest; one that has just connected is given a moment,
    /// and one in the middle of a message is ended only where there is no place at all. Looks `attempts`
    /// times.
    async fn acquire_permits(&self, driver: &Driver, attempts: u32) -> Option<AdmissionPermits> {
        if self.len() >= self.eviction_threshold {
            self.evict(Eviction::MidMessage(Duration::MAX)).await;
        }
        for remaining in (0..attempts).rev() {
            if let Some(client) = self.admissions.acquire_now() {
                return with_descriptor(driver, client).await;
            }
            match self.evict(Eviction::Soon).await {
                Eviction::Never => break,
                Eviction::Soon if remaining == 0 => break,
                Eviction::Soon => drop(Timer::after(RETRY_INTERVAL).await),
                Eviction::MidMessage(_) | Eviction::Idle(_) | Eviction::Unused(_) => {
                    if let Some(client) = self.admissions.acquire_now() {
                        return with_descriptor(driver, client).await;
                    }
                }
            }
        }
        None
    }
}

/// Completes an admission with a descriptor out of the router's budget.
async fn with_descriptor(driver: &Driver, client: Permit) -> Option<AdmissionPermits> {
    let descriptor = driver.acquire_descriptor().await?;
    Some(AdmissionPermits { _descriptor: descriptor, _client: client })
}

/// Rejects a client for want of descriptors. Without a permit to wait for it, as much of the error is written
/// as fits, and that is all.
async fn reject(driver: Rc<Driver>, stream: Async<TcpStream>, rejection: Option<Permit>) {
    driver.clients.count_rejected();
    let _ = stream.get_ref().set_nodelay(true);
    let error = client::fatal(TOO_MANY_CONNECTIONS, "too many connections");
    if rejection.is_some() && io::write_all(&stream, &[&error]).await.is_ok() {
        return io::lingering_close(&driver.read_buffer, &stream, future::pending()).await;
    }
    // Closed over unread bytes, the connection would be reset before the client has read the error.
    driver.read_buffer.discard_now(&stream);
    let _ = stream.get_ref().write(&error);
}
