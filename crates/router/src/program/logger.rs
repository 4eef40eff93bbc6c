//! A small logger: lines on standard error, never waited for, limited in rate.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lines that may wait to be written.
const WAITING: usize = 256;
/// Lines taken a second; more are counted and left out.
const A_SECOND: u32 = 50;

enum Line {
    Text(String),
    Flush(SyncSender<()>),
}

struct Logger {
    lines: SyncSender<Line>,
    rate: Mutex<Rate>,
}

struct Rate {
    since: Instant,
    taken: u32,
    left_out: u32,
}

/// Starts the logger; only the first call counts.
pub fn start(level: LevelFilter) {
    let (lines, waiting) = sync_channel::<Line>(WAITING);
    // Standard error may be a pipe that nobody reads: a thread of its own waits for it, the router never
    // does.
    let writer = std::thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(move || {
        for line in waiting {
            match line {
                Line::Text(text) => drop(std::io::stderr().write_all(text.as_bytes())),
                Line::Flush(done) => drop(done.send(())),
            }
        }
    });
    let rate = Mutex::new(Rate { since: Instant::now(), taken: 0, left_out: 0 });
    if writer.is_ok() && log::set_boxed_logger(Box::new(Logger { lines, rate })).is_ok() {
        log::set_max_level(level);
    }
}

impl Logger {
    /// Whether another line may go out, and how many were left out before it.
    fn admit(&self) -> Option<u32> {
        let mut rate = self.rate.lock().ok()?;
        if rate.since.elapsed() >= Duration::from_secs(1) {
            (rate.since, rate.taken) = (Instant::now(), 0);
        }
        rate.taken += 1;
        if rate.taken > A_SECOND {
            rate.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.left_out))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) || !record.target().starts_with("basalthill") {
            return;
        }
        let Some(left_out) = self.admit() else { return };
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut text = format!("{}.{:03} ", at.as_secs(), at.subsec_millis());
        if left_out > 0 {
            text.push_str(&format!("({left_out} lines left out) "));
        }
        text.push_str(&format!("{} {}\n", record.level(), record.args()));
        if let Err(TrySendError::Full(_)) = self.lines.try_send(Line::Text(text)) {
            if let Ok(mut rate) = self.rate.lock() {
                rate.left_out += 1;
            }
        }
    }

    fn flush(&self) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(Duration::from_millis(100));
        }
    }
}
