//! The limit on log lines per second, and the count of dropped lines.

use super::MAX_LINES_PER_SECOND;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// The length of the window that [`MAX_LINES_PER_SECOND`] applies to. A window begins with the first line
/// after the end of the previous window.
const WINDOW: Duration = Duration::from_secs(1);

/// Admits up to [`MAX_LINES_PER_SECOND`] lines per window. Counts the lines that were dropped since the last
/// written line, either by this limit or because the writer thread's queue was full.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    window: Mutex<Option<Window>>,
    dropped: AtomicU32,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
}

impl RateLimiter {
    /// Returns whether a line may be written at `now`. If not, counts it as dropped.
    pub(super) fn admit(&self, now: Instant) -> bool {
        let Ok(mut current) = self.window.lock() else { return false };
        let window = match current.take() {
            Some(window) if now.saturating_duration_since(window.started_at) < WINDOW => window,
            _ => Window { started_at: now, lines: 0 },
        };
        let admitted = window.lines < MAX_LINES_PER_SECOND;
        *current = Some(Window { lines: window.lines.saturating_add(1), ..window });
        if !admitted {
            self.count_dropped();
        }
        admitted
    }

    /// Counts a dropped line.
    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of lines dropped since the last call.
    pub(super) fn take_dropped(&self) -> u32 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// A layer that disables events beyond the rate limit.
pub(super) struct RateLimitLayer {
    limiter: Arc<RateLimiter>,
}

impl RateLimitLayer {
    /// Creates a layer with this limiter.
    pub(super) fn new(limiter: Arc<RateLimiter>) -> RateLimitLayer {
        RateLimitLayer { limiter }
    }
}

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, _event: &Event<'_>, _ctx: Context<'_, S>) -> bool {
        self.limiter.admit(Instant::now())
    }
}
