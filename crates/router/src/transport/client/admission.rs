//! Admission of clients: a new connection gets its permits, or is rejected.

use super::eviction::EvictionPriority;
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

/// The number of attempts to acquire a descriptor before a client is rejected. The attempts are
/// [`RETRY_INTERVAL`] apart, so together they take less time than a client has to send its first request.
pub const MAX_ADMISSION_ATTEMPTS: u32 = 8;

/// The permits that an admitted client holds; released on drop.
pub struct AdmissionPermits {
    _descriptor_permit: Permit,
    _client_permit: Permit,
}

/// Admits a new connection and spawns its task. If no descriptor is available at once, up to `attempts`
/// further attempts are made. If a rejection permit is available, they are made in the connection's own task,
/// so that later connections are accepted at the same time. Otherwise, accepting waits for the attempts.
pub async fn admit(driver: &Rc<Driver>, id: ClientId, stream: Async<TcpStream>, attempts: u32) {
    let connected_at = Instant::now();
    let mut permits = driver.clients.acquire_permits(driver, 1).await;
    let mut rejection_permit = None;
    if permits.is_none() {
        rejection_permit = driver.clients.rejection_permits.acquire_now();
        if rejection_permit.is_none() {
            permits = driver.clients.acquire_permits(driver, attempts).await;
        }
    }
    let connection_driver = Rc::clone(driver);
    let task = driver.tasks.spawn(async move {
        let driver = connection_driver;
        if permits.is_none() && rejection_permit.is_some() {
            permits = driver.clients.acquire_permits(&driver, attempts).await;
        }
        match permits {
            Some(permits) => {
                drop(rejection_permit);
                ClientConnection::new(driver, id, stream, permits, connected_at).run().await;
            }
            // Rejected connections that wait for their client to close use descriptors as well, so their
            // number is limited by permits.
            None => reject(driver, stream, rejection_permit).await,
        }
    });
    task.into_iter().for_each(Task::detach);
    // Many clients may connect at once: yield, so that other tasks run in between.
    future::yield_now().await;
}

impl ClientRegistry {
    /// Acquires the permits for a client, in up to `attempts` attempts, out of the descriptors that clients
    /// may use. If there are at least `eviction_threshold` clients, evicts one that has stopped in the middle
    /// of a message, or else an unused connection, or else the one that has been idle the longest. If no
    /// permit is available, may also evict a connection with an incomplete message, and waits between
    /// attempts for connections that are still protected from eviction.
    async fn acquire_permits(&self, driver: &Driver, attempts: u32) -> Option<AdmissionPermits> {
        if self.len() >= self.eviction_threshold {
            self.evict(EvictionPriority::MidMessage(Duration::MAX)).await;
        }
        for remaining in (0..attempts).rev() {
            if let Some(client_permit) = self.client_permits.acquire_now() {
                return with_descriptor(driver, client_permit).await;
            }
            match self.evict(EvictionPriority::NotYet).await {
                EvictionPriority::Never => break,
                EvictionPriority::NotYet if remaining == 0 => break,
                EvictionPriority::NotYet => drop(Timer::after(RETRY_INTERVAL).await),
                EvictionPriority::MidMessage(_)
                | EvictionPriority::Idle(_)
                | EvictionPriority::Unused(_)
                | EvictionPriority::Stopped(_) => {
                    if let Some(client_permit) = self.client_permits.acquire_now() {
                        return with_descriptor(driver, client_permit).await;
                    }
                }
            }
        }
        None
    }
}

/// Completes an admission by acquiring a descriptor.
async fn with_descriptor(driver: &Driver, client_permit: Permit) -> Option<AdmissionPermits> {
    let descriptor_permit = driver.acquire_descriptor().await?;
    Some(AdmissionPermits { _descriptor_permit: descriptor_permit, _client_permit: client_permit })
}

/// Rejects a client for lack of descriptors. With a rejection permit, writes the error completely and waits
/// for the client to close. Without one, writes as much of the error as the socket's send buffer takes and
/// closes.
async fn reject(driver: Rc<Driver>, stream: Async<TcpStream>, rejection_permit: Option<Permit>) {
    driver.clients.count_rejected();
    let _ = stream.get_ref().set_nodelay(true);
    let error = client::fatal(TOO_MANY_CONNECTIONS, "too many connections");
    if rejection_permit.is_some() && io::write_all(&stream, &[&error]).await.is_ok() {
        return io::lingering_close(&driver.read_buffer, &stream, future::pending()).await;
    }
    // Closing a socket with unread input resets the connection, possibly before the client has read the
    // error.
    driver.read_buffer.discard_now(&stream);
    let _ = stream.get_ref().write(&error);
}
