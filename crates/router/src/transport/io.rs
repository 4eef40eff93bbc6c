//! Socket operations that are retried after transient local failures: reads into a shared buffer, vectored
//! writes, checks of a connection's state, and ways to close a connection.

use super::semaphore::RETRY_INTERVAL;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use std::cell::RefCell;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long the router waits for a client to close its side of a connection after the router has closed its
/// own.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes that one call reads.
pub const READ_BUFFER_LEN: usize = 16 * 1024;
/// The maximum number of parts in one vectored write to a host.
const MAX_WRITE_PARTS: usize = 8;
/// Errors that are due to a lack of local resources, or to an interrupting signal.
const TRANSIENT_ERRORS: [Errno; 6] =
    [Errno::INTR, Errno::NOBUFS, Errno::NOMEM, Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL];

/// Returns whether a call failed for a transient local reason, such as a lack of descriptors, memory or
/// ports. The remote side has not caused the error, and the connection on which the call was made is still
/// usable.
pub fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
}

/// Repeats a call until it completes without being interrupted by a signal.
pub fn uninterrupted<R>(mut call: impl FnMut() -> io::Result<R>) -> io::Result<R> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Repeats an operation until it succeeds or fails with an error that is not transient, with a pause of
/// [`RETRY_INTERVAL`] after each failure.
async fn retry_transient<R>(mut operation: impl AsyncFnMut() -> io::Result<R>) -> io::Result<R> {
    loop {
        match operation().await {
            Err(e) if is_transient(&e) => drop(Timer::after(RETRY_INTERVAL).await),
            result => return result,
        }
    }
}

/// Calls `call` once the socket is readable, and again after transient failures.
pub async fn read_with<R>(
    stream: &Async<TcpStream>,
    mut call: impl FnMut(&TcpStream) -> io::Result<R>,
) -> io::Result<R> {
    retry_transient(async || stream.read_with(|s| uninterrupted(|| call(s))).await).await
}

/// Calls `call` once the socket is writable, and again after transient failures.
pub async fn write_with<R>(
    stream: &Async<TcpStream>,
    mut call: impl FnMut(&TcpStream) -> io::Result<R>,
) -> io::Result<R> {
    retry_transient(async || stream.write_with(|s| uninterrupted(|| call(s))).await).await
}

/// The result of one read.
pub struct Received<'a> {
    /// The bytes that were read; empty at the end of the stream.
    pub bytes: &'a [u8],
    /// Whether the read returned fewer bytes than it could, so that the socket's receive buffer is empty now.
    pub drained: bool,
}

/// The buffer that all sockets of the router are read into, one at a time.
pub struct ReadBuffer(RefCell<Vec<u8>>);

impl Default for ReadBuffer {
    fn default() -> ReadBuffer {
        ReadBuffer(RefCell::new(vec![0; READ_BUFFER_LEN]))
    }
}

impl ReadBuffer {
    /// Reads once, `max_len` bytes at most, and passes the result to `feed`. Returns the number of bytes that
    /// were read.
    pub fn read_once(
        &self,
        mut stream: &TcpStream,
        max_len: usize,
        feed: impl FnOnce(Received<'_>),
    ) -> io::Result<usize> {
        let mut buffer = self.0.borrow_mut();
        let max_len = max_len.clamp(1, buffer.len());
        let buffer = &mut buffer[..max_len];
        let len = stream.read(buffer)?;
        let drained = len < buffer.len();
        feed(Received { bytes: &buffer[..len], drained });
        Ok(len)
    }

    /// Waits until the socket is readable, reads once, `max_len` bytes at most, and passes the bytes to
    /// `feed`. Returns the number of bytes that were read, 0 at the end of the stream.
    pub async fn read(
        &self,
        stream: &Async<TcpStream>,
        max_len: usize,
        mut feed: impl FnMut(&[u8]),
    ) -> io::Result<usize> {
        read_with(stream, |s| self.read_once(s, max_len, |received| feed(received.bytes))).await
    }

    /// Reads once without waiting and discards the bytes.
    pub fn discard_now(&self, stream: &Async<TcpStream>) {
        let _ = uninterrupted(|| self.read_once(stream.get_ref(), READ_BUFFER_LEN, |_| {}));
    }
}

/// Returns whether the remote side has closed the connection, even if bytes that it sent are still unread.
pub fn hung_up(stream: &Async<TcpStream>) -> bool {
    let closed_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream.get_ref(), closed_flags)];
    let ready = uninterrupted(|| Ok(poll(&mut polled, Some(&Timespec::default()))?));
    ready.is_ok_and(|count| count > 0) && polled[0].revents().intersects(closed_flags)
}

/// Returns whether an idle connection is still open and has received nothing.
pub fn is_silent(stream: &Async<TcpStream>) -> bool {
    let mut one = [0];
    let read = uninterrupted(|| stream.get_ref().read(&mut one));
    matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock || is_transient(&e))
}

/// Returns the number of received bytes that have not been read. If the system call fails, returns
/// [`READ_BUFFER_LEN`], the maximum that one call reads.
pub fn unread_len(stream: &Async<TcpStream>) -> usize {
    rustix::io::ioctl_fionread(stream.get_ref()).map_or(READ_BUFFER_LEN, |len| len as usize)
}

/// Writes all parts in order, without copying them into one buffer.
pub async fn write_all(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let total: usize = parts.iter().map(|part| part.len()).sum();
    let mut written = 0;
    while written < total {
        let call = |mut s: &TcpStream| {
            let mut slices = [IoSlice::new(&[]); MAX_WRITE_PARTS];
            let count = fill_slices(parts, written, &mut slices);
            s.write_vectored(&slices[..count])
        };
        let len = write_with(stream, call).await?;
        if len == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        written += len;
    }
    Ok(())
}

/// Fills `slices` with the remainder of `parts` after the first `skip` bytes. Returns the number of slices
/// filled.
fn fill_slices<'a>(parts: &[&'a [u8]], mut skip: usize, slices: &mut [IoSlice<'a>]) -> usize {
    let mut count = 0;
    for part in parts {
        let start = skip.min(part.len());
        skip -= start;
        if start < part.len() && count < slices.len() {
            slices[count] = IoSlice::new(&part[start..]);
            count += 1;
        }
    }
    count
}

/// Closes a connection without losing the bytes that were written last. Closing a socket with unread input
/// resets the connection, so this shuts down the write side first and discards input until the remote side
/// closes, [`LINGER_TIMEOUT`] has passed or `cancelled` completes.
pub async fn lingering_close(
    buffer: &ReadBuffer,
    stream: &Async<TcpStream>,
    cancelled: impl Future<Output = ()>,
) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let remote_closed = async {
        while matches!(buffer.read(stream, READ_BUFFER_LEN, |_| {}).await, Ok(1..)) {
            future::yield_now().await;
        }
    };
    let timed_out = async {
        Timer::after(LINGER_TIMEOUT).await;
    };
    future::or(remote_closed, future::or(timed_out, cancelled)).await;
}

/// Makes the close of the socket reset the connection. Otherwise the operating system would keep trying to
/// send the remaining output to a remote side that does not read.
pub fn reset_on_close(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}
