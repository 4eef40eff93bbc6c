//! Reading into a state machine and writing gathered parts, with the count of what went out.

use super::semaphore::LOOK_AGAIN;
use super::Hub;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A client that has been told that its connection ends has this long to close its side.
const LINGER_WITHIN: Duration = Duration::from_millis(500);

/// Whether a call failed for want of something of this machine's own, which passes: the peer has no part in
/// it, and a connection that it was made on is as sound as before.
pub fn passes(error: &io::Error) -> bool {
    const WANTS: [Errno; 6] =
        [Errno::INTR, Errno::NOBUFS, Errno::NOMEM, Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|errno| WANTS.contains(&errno))
}

/// Makes a call again for as long as it is interrupted.
pub fn uninterrupted<R>(mut call: impl FnMut() -> io::Result<R>) -> io::Result<R> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Rests after a call that failed for a want of this machine's own; other failures are handed back.
async fn wait_out(error: io::Error) -> io::Result<()> {
    match passes(&error) {
        true => drop(Timer::after(LOOK_AGAIN).await),
        false => return Err(error),
    }
    Ok(())
}

/// Reads by a call, once there is something to be read.
pub async fn read_with<R>(
    stream: &Async<TcpStream>,
    mut call: impl FnMut(&TcpStream) -> io::Result<R>,
) -> io::Result<R> {
    loop {
        match stream.read_with(|s| uninterrupted(|| call(s))).await {
            Err(e) => wait_out(e).await?,
            done => return done,
        }
    }
}

/// Writes by a call, once there is room.
pub async fn write_with<R>(
    stream: &Async<TcpStream>,
    mut call: impl FnMut(&TcpStream) -> io::Result<R>,
) -> io::Result<R> {
    loop {
        match stream.write_with(|s| uninterrupted(|| call(s))).await {
            Err(e) => wait_out(e).await?,
            done => return done,
        }
    }
}

/// Reads what there is and feeds it; 0 at the end of the stream.
pub async fn read(hub: &Hub, stream: &Async<TcpStream>, mut feed: impl FnMut(&[u8])) -> io::Result<usize> {
    let call = |mut s: &TcpStream| {
        let mut scratch = hub.scratch.borrow_mut();
        let n = s.read(&mut scratch)?;
        feed(&scratch[..n]);
        Ok(n)
    };
    read_with(stream, call).await
}

/// Reads off what has come and feeds it, without waiting.
pub fn read_now(hub: &Hub, stream: &Async<TcpStream>, feed: impl FnOnce(&[u8])) -> io::Result<usize> {
    let mut scratch = hub.scratch.borrow_mut();
    let n = uninterrupted(|| stream.get_ref().read(&mut scratch))?;
    feed(&scratch[..n]);
    Ok(n)
}

/// Whether the other side has ended the connection and all that it sent before has been read.
pub fn ended(stream: &Async<TcpStream>) -> bool {
    match uninterrupted(|| stream.get_ref().peek(&mut [0])) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock && !passes(&e),
    }
}

/// Whether the other side has ended the connection, however much of what it sent before is still unread.
pub fn hung_up(stream: &Async<TcpStream>) -> bool {
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream.get_ref(), gone)];
    let polls = uninterrupted(|| Ok(poll(&mut polled, Some(&Timespec::default()))?));
    polls.is_ok_and(|n| n > 0) && polled[0].revents().intersects(gone)
}

/// Writes all parts in order, from where they lie.
pub async fn write(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let total: usize = parts.iter().map(|p| p.len()).sum();
    let mut written = 0;
    while written < total {
        let call = |mut s: &TcpStream| {
            let mut skip = written;
            let mut slices = [IoSlice::new(&[]); 8];
            let mut count = 0;
            for part in parts {
                let from = skip.min(part.len());
                skip -= from;
                if from < part.len() && count < slices.len() {
                    slices[count] = IoSlice::new(&part[from..]);
                    count += 1;
                }
            }
            s.write_vectored(&slices[..count])
        };
        let n = write_with(stream, call).await?;
        if n == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        written += n;
    }
    Ok(())
}

/// Ends a connection so that what was written last arrives: with bytes unread, closing would reset it.
/// `enough` ends the wait for the other side's closing early.
pub async fn lingering_close(hub: &Hub, stream: &Async<TcpStream>, enough: impl Future<Output = ()>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let rest = async {
        while matches!(read(hub, stream, |_| {}).await, Ok(1..)) {
            future::yield_now().await;
        }
    };
    let late = async {
        Timer::after(LINGER_WITHIN).await;
    };
    future::or(rest, future::or(late, enough)).await;
}

/// How many bytes have come and are not read; where the system can't tell, as much as is read at a time.
pub fn unread(stream: &Async<TcpStream>) -> usize {
    rustix::io::ioctl_fionread(stream.get_ref()).map_or(super::READ_AT_ONCE, |n| n as usize)
}

/// Has the connection reset as it closes: what is still to be sent would be kept for one that takes nothing.
pub fn abort(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}

/// Whether an idle connection is still open and silent.
pub fn silent(stream: &Async<TcpStream>) -> bool {
    let mut one = [0];
    let read = uninterrupted(|| stream.get_ref().read(&mut one));
    matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock || passes(&e))
}
