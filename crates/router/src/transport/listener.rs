//! The listener: accepts clients up to the shutdown, and those that the system has accepted by then.

use super::client::{self, MAX_ADMISSION_ATTEMPTS};
use super::driver::Driver;
use crate::routing::ClientId;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the listener pauses after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long connections are taken from the system's backlog at the end: more may connect without end.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(50);

/// Accepts clients and gives each its id.
pub struct Listener {
    driver: Rc<Driver>,
    socket: Async<TcpListener>,
    accepted: u64,
}

impl Listener {
    /// A listener that has accepted nothing yet.
    pub fn new(driver: Rc<Driver>, socket: Async<TcpListener>) -> Listener {
        Listener { driver, socket, accepted: 0 }
    }

    /// Accepts clients until [`super::shutdown::Shutdown::stop_accepting`], and then what the system has
    /// accepted by that moment.
    pub async fn run(mut self) {
        while let Some(connection) = self.next_connection().await {
            match connection {
                Ok(stream) => self.admit(stream, MAX_ADMISSION_ATTEMPTS).await,
                // One that has gone before it was accepted, or a call that was interrupted.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    tracing::warn!(error = %e, "accept failed");
                    self.driver.pool.close_oldest();
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.accept_backlog().await;
    }

    /// The next connection; none once the listener is to stop.
    async fn next_connection(&self) -> Option<io::Result<Async<TcpStream>>> {
        let accept = async { Some(self.socket.accept().await.map(|(stream, _)| stream)) };
        let stop = async {
            self.driver.shutdown.accepting_stopped().await;
            None
        };
        future::or(stop, accept).await
    }

    /// Accepts what waits in the system's backlog: it would be reset as the listener closes.
    async fn accept_backlog(&mut self) {
        let deadline = Instant::now() + BACKLOG_TIMEOUT;
        while let Some(stream) = next_waiting(|| self.accept_waiting(), deadline) {
            if let Ok(stream) = Async::new(stream) {
                self.admit(stream, 1).await;
            }
        }
    }

    /// Accepts a connection without waiting; a call that fails frees a descriptor for the next.
    fn accept_waiting(&self) -> io::Result<TcpStream> {
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

/// The next connection that waits to be accepted, if there is one. A call that fails for a moment leaves
/// those behind it where they are.
fn next_waiting<T>(mut accept: impl FnMut() -> io::Result<T>, deadline: Instant) -> Option<T> {
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
