//! The thread that writes the log, and the bounded queue before it.
//!
//! Standard error may be a pipe that nobody reads: the thread waits for it, the router never does. A line
//! that finds the queue full is dropped and counted.

use super::rate_limit::RateLimiter;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// Lines that may wait to be written.
const MAX_QUEUED_LINES: usize = 256;

/// Stack of the writing thread in bytes: it does nothing but write.
const THREAD_STACK_BYTES: usize = 64 * 1024;

/// How long a flush waits for the thread, which may be waiting for a full pipe itself.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(Vec<u8>),
    /// All lines before it are written once this is answered.
    Flush(SyncSender<()>),
}

/// Starts the thread that writes to `output`. Lines that find the queue full are counted with `limiter`.
pub(super) fn spawn(
    output: impl Write + Send + 'static,
    limiter: Arc<RateLimiter>,
) -> io::Result<(LineQueue, WriterThread)> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let thread = std::thread::Builder::new().name("log".into()).stack_size(THREAD_STACK_BYTES);
    thread.spawn(move || write_lines(&receiver, output))?;
    let writer = WriterThread { sender: sender.clone() };
    Ok((LineQueue { sender, limiter }, writer))
}

/// Writes line by line until all senders are gone. There is nowhere to report an error to.
fn write_lines(receiver: &Receiver<Message>, mut output: impl Write) {
    for message in receiver {
        match message {
            Message::Line(line) => drop(output.write_all(&line)),
            Message::Flush(done) => drop(done.send(())),
        }
    }
}

/// The way to the writing thread; dropping it waits, for [`FLUSH_TIMEOUT`] at most, until the queue is
/// written.
#[derive(Debug)]
pub(super) struct WriterThread {
    sender: SyncSender<Message>,
}

impl Drop for WriterThread {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(Message::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// The queue of lines. Each call of `write` takes one complete line.
#[derive(Clone, Debug)]
pub(super) struct LineQueue {
    sender: SyncSender<Message>,
    limiter: Arc<RateLimiter>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(Message::Line(line.to_vec())) {
            self.limiter.count_dropped();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
