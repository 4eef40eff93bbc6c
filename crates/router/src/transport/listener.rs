//! The listener: accepts clients until the shutdown, and then those that are still in the backlog.

use super::client::{self, MAX_ADMISSION_ATTEMPTS};
use super::driver::Driver;
use crate::routing::ClientId;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The limit on accepting from the backlog at the shutdown, as clients may keep connecting.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(50);

/// The task that accepts clients and assigns their ids.
pub struct Listener {
    driver: Rc<Driver>,
    socket: Async<TcpListener>,
    accepted: u64,
}

impl Listener {
    /// Creates a listener that has accepted no connection yet.
    pub fn new(driver: Rc<Driver>, socket: Async<TcpListener>) -> Listener {
        Listener { driver, socket, accepted: 0 }
    }

    /// Accepts clients until [`super::shutdown::Shutdown::stop_accepting`] is called, and then those that are
    /// in the backlog at that time.
    pub async fn run(mut self) {
        while let Some(connection) = self.next_connection().await {
            match connection {
                Ok(stream) => self.admit(stream, MAX_ADMISSION_ATTEMPTS).await,
                // The client disconnected before it was accepted, or a signal interrupted the call.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed; retrying in {ACCEPT_RETRY_DELAY:?}");
                    self.driver.pool.close_oldest();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.accept_backlog().await;
    }

    /// Returns the next connection, or `None` once the listener has to stop.
    async fn next_connection(&self) -> Option<io::Result<Async<TcpStream>>> {
        let accept = async { Some(self.socket.accept().await.map(|(stream, _)| stream)) };
        let stop = async {
            self.driver.shutdown.accepting_stopped().await;
            None
        };
        future::or(stop, accept).await
    }

    /// Accepts the connections in the backlog, which would be reset when the listener closes.
    async fn accept_backlog(&mut self) {
        let deadline = Instant::now() + BACKLOG_TIMEOUT;
        while let Some(stream) = next_from_backlog(|| self.accept_now(), deadline) {
            if let Ok(stream) = Async::new(stream) {
                self.admit(stream, 1).await;
            }
        }
    }

    /// Accepts a connection without waiting. If that fails, closes an idle host connection to free a
    /// descriptor for the next call.
    fn accept_now(&self) -> io::Result<TcpStream> {
        let accepted = self.socket.get_ref().accept();
        if accepted.as_ref().is_err_and(|e| e.kind() != ErrorKind::WouldBlock) {
            self.driver.pool.close_oldest();
        }
        accepted.map(|(stream, _)| stream)
    }

    async fn admit(&mut self, stream: Async<TcpStream>, attempts: u32) {
        self.accepted += 1;
        client::admit(&self.driver, ClientId(self.accepted), stream, attempts).await;
    }
}

/// Returns the next connection in the backlog, or `None` if it is empty or `deadline` has passed. Failed
/// calls are repeated: the connections are still in the backlog.
fn next_from_backlog<T>(mut accept: impl FnMut() -> io::Result<T>, deadline: Instant) -> Option<T> {
    while Instant::now() < deadline {
        match accept() {
            Ok(connection) => return Some(connection),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
    None
}

#[cfg(test)]
mod tests;
