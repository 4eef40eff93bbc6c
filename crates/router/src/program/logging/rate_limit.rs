//! The limit on lines per second, and the count of the lines it dropped.

use super::MAX_LINES_PER_SECOND;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// The span of time that [`MAX_LINES_PER_SECOND`] counts for. It begins with the first line after the last
/// one.
const WINDOW: Duration = Duration::from_secs(1);

/// Admits [`MAX_LINES_PER_SECOND`] lines in each second, and counts the lines that were dropped since one was
/// written, here or because the queue was full.
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
    /// Whether a line may be written at `now`; one that may not is counted as dropped.
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

    /// Counts a line that was dropped.
    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of lines dropped since the last call.
    pub(super) fn take_dropped(&self) -> u32 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Keeps events beyond the limit from the layers that write them.
pub(super) struct RateLimitLayer {
    limiter: Arc<RateLimiter>,
}

impl RateLimitLayer {
    /// A layer with this limiter.
    pub(super) fn new(limiter: Arc<RateLimiter>) -> RateLimitLayer {
        RateLimitLayer { limiter }
    }
}

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, _event: &Event<'_>, _ctx: Context<'_, S>) -> bool {
        self.limiter.admit(Instant::now())
    }
}
