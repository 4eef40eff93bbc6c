//! The socket of one connection, its queue of unwritten bytes, and the task that connects, reads and writes.

use super::{wake, ClientDriver};
use crate::core::{ConnectionId, DisconnectReason};
use async_io::Async;
use futures_lite::future;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

/// Size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection's socket and its queue of unwritten bytes.
#[derive(Default)]
pub(super) struct Connection {
    /// The socket while it is open. The connection's task ends when it finds no socket here.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// Messages with bytes that have not been handed to the operating system, in order.
    unwritten: RefCell<VecDeque<UnwrittenMessage>>,
    /// Wakes the connection's task when there are unwritten messages or the connection has been closed.
    task_waker: RefCell<Option<Waker>>,
}

/// A message with bytes that have not been handed to the operating system.
struct UnwrittenMessage {
    bytes: Vec<u8>,
    /// Number of bytes that have been handed to the operating system.
    written: usize,
    /// No byte may be written at or after this time.
    deadline: Option<Instant>,
}

impl Connection {
    /// Returns whether the socket is open.
    pub(super) fn is_open(&self) -> bool {
        self.stream.borrow().is_some()
    }

    /// Returns whether a read of the socket would block: there are no bytes, no end of the stream and no
    /// error. Also returns true if the socket is not open.
    pub(super) fn is_input_empty(&self) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return true };
        matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Writes as many bytes as the operating system accepts without blocking, and leaves the rest to the
    /// connection's task. Returns how many bytes were written, including those queued earlier.
    pub(super) fn write(&self, bytes: Vec<u8>, deadline: Option<Instant>) -> usize {
        self.unwritten.borrow_mut().push_back(UnwrittenMessage { bytes, written: 0, deadline });
        let written = self.flush();
        if !self.unwritten.borrow().is_empty() {
            wake(&self.task_waker);
        }
        written
    }

    /// Closes the socket in both directions and wakes the connection's task, which then ends.
    pub(super) fn close(&self) {
        if let Some(stream) = self.stream.borrow_mut().take() {
            // This fails if the router has already closed the connection.
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        wake(&self.task_waker);
    }

    /// Writes unwritten messages until the operating system accepts no more. A message whose deadline has
    /// passed is dropped together with all that follow it. Returns how many bytes were written. Errors are
    /// not handled here: the next read returns them.
    fn flush(&self) -> usize {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return 0 };
        let mut unwritten = self.unwritten.borrow_mut();
        let mut total = 0;
        while let Some(message) = unwritten.front_mut() {
            if message.deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                unwritten.clear();
                break;
            }
            match stream.get_ref().write(&message.bytes[message.written..]) {
                Ok(0) => break,
                Ok(written) => {
                    total += written;
                    message.written += written;
                    if message.written == message.bytes.len() {
                        unwritten.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        total
    }

    /// Waits until there are unwritten messages and the socket is writable, or the connection has been
    /// closed.
    async fn writable(&self, stream: &Async<TcpStream>) {
        future::poll_fn(|context| {
            if self.unwritten.borrow().is_empty() && self.is_open() {
                *self.task_waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            } else {
                Poll::Ready(())
            }
        })
        .await;
        if self.is_open() {
            // An error is also returned by the next read, which handles it.
            let _ = stream.writable().await;
        }
    }
}

/// An event that a connection's task waits for.
enum SocketEvent {
    /// A read has returned this number of bytes, which is 0 at the end of the stream, or an error.
    Read(io::Result<usize>),
    /// There are unwritten messages and the socket is writable, or the connection has been closed.
    Writable,
}

/// Runs the task of a connection: connects, then reads and writes until the connection is closed.
pub(super) async fn run(
    driver: Rc<ClientDriver>,
    connection: Rc<Connection>,
    id: ConnectionId,
    address: SocketAddr,
) {
    let stream = match Async::<TcpStream>::connect(address).await {
        Ok(stream) => Rc::new(stream),
        Err(e) => {
            let reason = match e.kind() {
                ErrorKind::ConnectionRefused => DisconnectReason::NotListening,
                _ => DisconnectReason::Other,
            };
            return driver.report_disconnected(id, reason);
        }
    };
    // A failure is ignored: without TCP_NODELAY, statements may be delayed but are still sent.
    let _ = stream.get_ref().set_nodelay(true);
    let was_closed_while_connecting = !driver.connections.borrow().contains_key(&id);
    if was_closed_while_connecting {
        return;
    }
    *connection.stream.borrow_mut() = Some(Rc::clone(&stream));
    driver.core.borrow_mut().handle_connected(Instant::now(), id);
    driver.perform_actions();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = async {
            SocketEvent::Read(stream.read_with(|mut socket: &TcpStream| socket.read(&mut buffer)).await)
        };
        let write = async {
            connection.writable(&stream).await;
            SocketEvent::Writable
        };
        let event = future::or(read, write).await;
        if !connection.is_open() {
            return;
        }
        match event {
            SocketEvent::Read(Ok(length)) if length > 0 => {
                driver.core.borrow_mut().handle_received(Instant::now(), id, &buffer[..length]);
                driver.perform_actions();
            }
            SocketEvent::Read(_) => return driver.report_disconnected(id, DisconnectReason::Other),
            SocketEvent::Writable => {
                let written = connection.flush();
                driver.core.borrow_mut().handle_written(id, written);
            }
        }
    }
}

impl ClientDriver {
    /// Reports to the core that a connection was lost or could not be opened. Called by the connection's
    /// task, unless the core has closed the connection.
    fn report_disconnected(self: &Rc<ClientDriver>, id: ConnectionId, reason: DisconnectReason) {
        if let Some(connection) = self.connections.borrow_mut().remove(&id) {
            connection.stream.borrow_mut().take();
        }
        self.core.borrow_mut().handle_disconnected(Instant::now(), id, reason);
        self.perform_actions();
    }
}
