//! Socket calls that outlive transient failures of this machine: reads into a shared buffer, gathered writes,
//! probes of a connection's state, and the ways to close one.

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

/// How long a client may take to close its side after the router has ended the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes read by one call.
const READ_BUFFER_LEN: usize = 16 * 1024;
/// Parts gathered into one write to a host.
const MAX_WRITE_PARTS: usize = 8;
/// Errors for want of something of this machine's own.
const TRANSIENT_ERRORS: [Errno; 6] =
    [Errno::INTR, Errno::NOBUFS, Errno::NOMEM, Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL];

/// Whether a call failed for want of something of this machine's own, which passes: the peer has no part in
/// it, and a connection on which it was made is as sound as before.
pub fn is_transient(error: &io::Error) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT_ERRORS.contains(&errno))
}

/// Repeats a call for as long as a signal interrupts it.
pub fn uninterrupted<R>(mut call: impl FnMut() -> io::Result<R>) -> io::Result<R> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Repeats an operation after a pause for as long as it fails transiently.
async fn retry_transient<R>(mut operation: impl AsyncFnMut() -> io::Result<R>) -> io::Result<R> {
    loop {
        match operation().await {
            Err(e) if is_transient(&e) => drop(Timer::after(RETRY_INTERVAL).await),
            done => return done,
        }
    }
}

/// Calls `call` once the socket is readable.
pub async fn read_with<R>(
    stream: &Async<TcpStream>,
    mut call: impl FnMut(&TcpStream) -> io::Result<R>,
) -> io::Result<R> {
    retry_transient(async || stream.read_with(|s| uninterrupted(|| call(s))).await).await
}

/// Calls `call` once the socket is writable.
pub async fn write_with<R>(
    stream: &Async<TcpStream>,
    mut call: impl FnMut(&TcpStream) -> io::Result<R>,
) -> io::Result<R> {
    retry_transient(async || stream.write_with(|s| uninterrupted(|| call(s))).await).await
}

/// What one read brought.
pub struct Received<'a> {
    /// The bytes; none at the end of the stream.
    pub bytes: &'a [u8],
    /// The buffer had space for more: the socket has been emptied.
    pub drained: bool,
}

/// The one buffer into which all sockets of the router are read.
pub struct ReadBuffer(RefCell<Vec<u8>>);

impl Default for ReadBuffer {
    fn default() -> ReadBuffer {
        ReadBuffer(RefCell::new(vec![0; READ_BUFFER_LEN]))
    }
}

impl ReadBuffer {
    /// Reads by one call and hands what it brought to `feed`; how many bytes that were.
    pub fn read_once(&self, mut stream: &TcpStream, feed: impl FnOnce(Received<'_>)) -> io::Result<usize> {
        let mut buffer = self.0.borrow_mut();
        let len = stream.read(&mut buffer)?;
        let drained = len < buffer.len();
        feed(Received { bytes: &buffer[..len], drained });
        Ok(len)
    }

    /// Waits until there is something to read and hands it to `feed`; 0 at the end of the stream.
    pub async fn read(&self, stream: &Async<TcpStream>, mut feed: impl FnMut(&[u8])) -> io::Result<usize> {
        read_with(stream, |s| self.read_once(s, |received| feed(received.bytes))).await
    }

    /// Reads what has arrived, without waiting, and drops it.
    pub fn discard_now(&self, stream: &Async<TcpStream>) {
        let _ = uninterrupted(|| self.read_once(stream.get_ref(), |_| {}));
    }
}

/// Whether the peer has ended the connection and all that it sent before has been read.
pub fn at_end(stream: &Async<TcpStream>) -> bool {
    match uninterrupted(|| stream.get_ref().peek(&mut [0])) {
        Ok(len) => len == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock && !is_transient(&e),
    }
}

/// Whether the peer has ended the connection, however much of what it sent before is still unread.
pub fn hung_up(stream: &Async<TcpStream>) -> bool {
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream.get_ref(), gone)];
    let ready = uninterrupted(|| Ok(poll(&mut polled, Some(&Timespec::default()))?));
    ready.is_ok_and(|count| count > 0) && polled[0].revents().intersects(gone)
}

/// Whether an idle connection is still open and has sent nothing.
pub fn is_silent(stream: &Async<TcpStream>) -> bool {
    let mut one = [0];
    let read = uninterrupted(|| stream.get_ref().read(&mut one));
    matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock || is_transient(&e))
}

/// How many bytes have arrived and are not read; where the system can't say, as many as one call reads.
pub fn unread_len(stream: &Async<TcpStream>) -> usize {
    rustix::io::ioctl_fionread(stream.get_ref()).map_or(READ_BUFFER_LEN, |len| len as usize)
}

/// Writes all parts in order, without copying them together.
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

/// Fills `slices` with what is left of `parts` behind the first `skip` bytes; how many were filled.
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

/// Ends a connection so that what was written last arrives: closed over unread bytes, it would be reset. The
/// wait for the peer's close ends early with `enough`.
pub async fn lingering_close(
    buffer: &ReadBuffer,
    stream: &Async<TcpStream>,
    enough: impl Future<Output = ()>,
) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let peer_closed = async {
        while matches!(buffer.read(stream, |_| {}).await, Ok(1..)) {
            future::yield_now().await;
        }
    };
    let timed_out = async {
        Timer::after(LINGER_TIMEOUT).await;
    };
    future::or(peer_closed, future::or(timed_out, enough)).await;
}

/// Has the connection reset as it closes: the system would otherwise go on to send to a peer that reads
/// nothing.
pub fn reset_on_close(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}
