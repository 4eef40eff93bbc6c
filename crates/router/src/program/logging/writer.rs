//! The thread that writes log lines, and its bounded queue.
//!
//! Standard error may be a pipe that is not read. Writing to it may then block this thread, but never the
//! router. Lines that don't fit into the queue are dropped and counted.

use super::rate_limit::RateLimiter;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;

/// The capacity of the queue in lines.
const MAX_QUEUED_LINES: usize = 256;

/// The stack size of the writer thread in bytes. A small stack is enough, as the thread only writes.
const THREAD_STACK_BYTES: usize = 64 * 1024;

/// The limit on waiting for the writer thread to flush, as it may be blocked by a full pipe.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(Vec<u8>),
    /// Requests a notification on this channel once all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Starts the thread that writes lines to `output`. Lines dropped because the queue is full are counted in
/// `limiter`.
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

/// Writes lines until all senders are dropped. Write errors are ignored, as there is nowhere to report them.
fn write_lines(receiver: &Receiver<Message>, mut output: impl Write) {
    for message in receiver {
        match message {
            Message::Line(line) => drop(output.write_all(&line)),
            Message::Flush(done) => drop(done.send(())),
        }
    }
}

/// The handle of the writer thread. Dropping it waits until all queued lines are written, for up to
/// [`FLUSH_TIMEOUT`]. It does not wait if the queue is full.
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

/// The sending side of the queue. Each call of `write` queues one complete line.
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
