//! One connection's socket: the queue of bytes to write, and the task that connects, reads and writes.

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

/// A connection's socket, and what is to be written to it.
#[derive(Default)]
pub(super) struct Connection {
    /// The socket while it is up; its task ends once it finds none.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    unwritten: RefCell<VecDeque<UnwrittenMessage>>,
    /// Wakes the connection's task when there is something to write, or the connection was closed.
    task_waker: RefCell<Option<Waker>>,
}

/// Bytes to be written.
struct UnwrittenMessage {
    bytes: Vec<u8>,
    /// Number of bytes that were written.
    written: usize,
    /// No byte may be written after this.
    deadline: Option<Instant>,
}

impl Connection {
    /// Whether the socket is up.
    pub(super) fn is_open(&self) -> bool {
        self.stream.borrow().is_some()
    }

    /// Whether the socket has nothing to read: no bytes, no end, no error. True before it is up.
    pub(super) fn is_quiet(&self) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return true };
        matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Writes bytes as far as the operating system takes them at once, and leaves the rest to the task.
    /// Returns how many bytes were written.
    pub(super) fn write(&self, bytes: Vec<u8>, deadline: Option<Instant>) -> usize {
        self.unwritten.borrow_mut().push_back(UnwrittenMessage { bytes, written: 0, deadline });
        let written = self.flush();
        if !self.unwritten.borrow().is_empty() {
            wake(&self.task_waker);
        }
        written
    }

    /// Shuts the socket down.
    pub(super) fn close(&self) {
        if let Some(stream) = self.stream.borrow_mut().take() {
            // It may have ended by itself.
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        wake(&self.task_waker);
    }

    /// Writes what there is to write, up to each message's deadline; a message past it is dropped, with all
    /// that follow. Returns how many bytes were written. An error is left to the reading side, which finds
    /// how the connection ended.
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

    /// Waits until there is something to write and the socket takes it, or the connection was closed.
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
            // An error is found by the next read.
            let _ = stream.writable().await;
        }
    }
}

/// What a connection's task has waited for.
enum SocketEvent {
    /// So many bytes were read, none at the end of the stream.
    Read(io::Result<usize>),
    /// There is something to write, or the connection was closed.
    Writable,
}

/// A connection from its connect to its end.
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
    // Without it, statements are only slower.
    let _ = stream.get_ref().set_nodelay(true);
    let was_closed_meanwhile = !driver.connections.borrow().contains_key(&id);
    if was_closed_meanwhile {
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
    /// Reports the end of a connection that was not closed by the core. Called by the connection's own task.
    fn report_disconnected(self: &Rc<ClientDriver>, id: ConnectionId, reason: DisconnectReason) {
        if let Some(connection) = self.connections.borrow_mut().remove(&id) {
            connection.stream.borrow_mut().take();
        }
        self.core.borrow_mut().handle_disconnected(Instant::now(), id, reason);
        self.perform_actions();
    }
}
