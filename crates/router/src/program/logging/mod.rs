//! Logging: `tracing` events as lines on standard error.
//!
//! Logging never blocks the caller: lines are passed through a bounded queue to a writer thread ([`writer`]).
//! At most [`MAX_LINES_PER_SECOND`] lines are written per second; the number of dropped lines is part of the
//! next line. Only events of this project's crates are logged.

mod format;
mod rate_limit;
mod writer;

use format::LineFormat;
use rate_limit::{RateLimitLayer, RateLimiter};
use std::io::stderr;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;
use tracing::Subscriber;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use writer::WriterThread;

/// The maximum number of lines written per second; further ones are dropped and counted.
pub(super) const MAX_LINES_PER_SECOND: u32 = 50;

/// The prefix of the targets (module paths) whose events are logged.
const TARGET_PREFIX: &str = "basalthill";

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum LogLevel {
    /// No events.
    Off,
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also events of normal operation.
    Info,
    /// Also events of single connections.
    Debug,
    /// All events.
    Trace,
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> LevelFilter {
        match level {
            LogLevel::Off => LevelFilter::OFF,
            LogLevel::Error => LevelFilter::ERROR,
            LogLevel::Warn => LevelFilter::WARN,
            LogLevel::Info => LevelFilter::INFO,
            LogLevel::Debug => LevelFilter::DEBUG,
            LogLevel::Trace => LevelFilter::TRACE,
        }
    }
}

/// The format of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum LogFormat {
    /// `SECONDS.MILLISECONDS LEVEL message field=value`, where the time is the Unix time.
    Text,
    /// One JSON object per line.
    Json,
}

/// The handle of the writer thread. Dropping it waits until the queued lines are written, for up to
/// `writer::FLUSH_TIMEOUT`. It does not wait if the queue is full.
#[must_use = "the log is flushed when this is dropped"]
pub(super) struct LogGuard {
    _writer: Option<WriterThread>,
}

/// Starts logging. Nothing is logged if the writer thread can't be started. If logging was started before, it
/// continues unchanged.
pub(super) fn init(level: LogLevel, format: LogFormat) -> LogGuard {
    let limiter = Arc::new(RateLimiter::default());
    let Ok((queue, writer)) = writer::spawn(stderr(), Arc::clone(&limiter)) else {
        return LogGuard { _writer: None };
    };
    // This fails only if a global subscriber has been set before.
    let _ = subscriber(level, format, limiter, move || queue.clone()).try_init();
    LogGuard { _writer: Some(writer) }
}

/// Returns the subscriber, which filters events by target and level, applies the rate limit, and writes lines
/// to `lines`.
fn subscriber<W>(
    level: LogLevel,
    format: LogFormat,
    limiter: Arc<RateLimiter>,
    lines: W,
) -> impl Subscriber + Send + Sync
where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let targets = Targets::new().with_target(TARGET_PREFIX, LevelFilter::from(level));
    let line_format = LineFormat::new(format, Arc::clone(&limiter));
    let output = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        // Internal errors would be written to standard error directly, which may block.
        .log_internal_errors(false)
        .event_format(line_format)
        .with_writer(lines);
    tracing_subscriber::registry().with(targets).with(RateLimitLayer::new(limiter)).with(output)
}

#[cfg(test)]
mod tests;
