//! Logging: `tracing` events as lines on standard error.
//!
//! A line is never waited for: it goes through a bounded queue to a thread of its own ([`writer`]). At most
//! [`MAX_LINES_PER_SECOND`] lines go out; the number of those dropped stands in the next line. Only events of
//! this project's crates are shown.

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

/// Lines that go out in one second at most; further ones are counted and dropped.
pub(super) const MAX_LINES_PER_SECOND: u32 = 50;

/// Events are shown if their target, a module's path, begins with this.
const TARGET_PREFIX: &str = "basalthill";

/// The least severe level that is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum LogLevel {
    /// Nothing.
    Off,
    /// Errors.
    Error,
    /// Warnings too.
    Warn,
    /// What happens in ordinary service too.
    Info,
    /// What single connections do too.
    Debug,
    /// Everything.
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

/// The form of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum LogFormat {
    /// `SECONDS.MILLISECONDS LEVEL message field=value`, the time as Unix time.
    Text,
    /// One JSON object per line.
    Json,
}

/// Keeps the log running; dropping it writes out the lines that are queued.
#[must_use = "the log is flushed when this is dropped"]
pub(super) struct LogGuard {
    _writer: Option<WriterThread>,
}

/// Starts the log. Without a thread to write the lines there is none; a second call changes nothing.
pub(super) fn init(level: LogLevel, format: LogFormat) -> LogGuard {
    let limiter = Arc::new(RateLimiter::default());
    let Ok((queue, writer)) = writer::spawn(stderr(), Arc::clone(&limiter)) else {
        return LogGuard { _writer: None };
    };
    // It fails only if there is a global subscriber already.
    let _ = subscriber(level, format, limiter, move || queue.clone()).try_init();
    LogGuard { _writer: Some(writer) }
}

/// The complete stack: target and level, then the rate limit, then the lines for `lines`.
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
        // They would be written to standard error at once, and waited for.
        .log_internal_errors(false)
        .event_format(line_format)
        .with_writer(lines);
    tracing_subscriber::registry().with(targets).with(RateLimitLayer::new(limiter)).with(output)
}

#[cfg(test)]
mod tests;
