//! Delays new connections after a connection was lost. When a router fails, all its clients lose their
//! connections at the same time; each waits for a random delay, so that they do not all connect to the
//! remaining routers at once. The delay is at most half of the time that the first waiting request has left.

use std::time::{Duration, Instant};

/// Maximum delay, as a fraction of the remaining time of the first waiting request.
const MAX_REMAINING_FRACTION: f64 = 0.5;
/// Maximum number of times that the spread is doubled while routers reject connections.
const MAX_DOUBLINGS: u32 = 3;

/// Decides whether a new connection may be opened.
#[derive(Debug)]
pub(super) struct ReconnectGate {
    /// The configured upper limit of the delay, before any doubling.
    spread: Duration,
    /// Whether a connection has been lost since the latest delay was chosen. The next delay is chosen when a
    /// request needs a connection, since the delay depends on that request's remaining time.
    was_connection_lost: bool,
    /// The end of the latest delay: no connection is opened before this time.
    opens_at: Option<Instant>,
    /// Number of times that the spread is currently doubled.
    doublings: u32,
}

impl ReconnectGate {
    /// Creates a gate that is open.
    pub(super) fn new(spread: Duration) -> ReconnectGate {
        ReconnectGate { spread, was_connection_lost: false, opens_at: None, doublings: 0 }
    }

    /// Records that a connection was lost or could not be opened.
    pub(super) fn on_connection_lost(&mut self) {
        self.was_connection_lost = true;
    }

    /// Ends the delay and any doubling of the spread, since a connection has completed its startup: routers
    /// accept connections.
    pub(super) fn on_connection_ready(&mut self) {
        self.was_connection_lost = false;
        self.opens_at = None;
        self.doublings = 0;
    }

    /// Handles a connection that a router has rejected because the router is full: doubles the spread, up to
    /// [`MAX_DOUBLINGS`] times, and requires a delay. Returns the time for which no new connection to that
    /// router may be opened.
    pub(super) fn on_router_full(&mut self, rng: &mut fastrand::Rng) -> Duration {
        self.was_connection_lost = true;
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.current_spread().mul_f64(rng.f64())
    }

    /// Returns whether a connection may be opened now for a request that has `remaining` time left. If a
    /// connection was lost and no delay is in progress, a new random delay is chosen first.
    pub(super) fn admits(&mut self, now: Instant, remaining: Duration, rng: &mut fastrand::Rng) -> bool {
        let was_connection_lost = std::mem::take(&mut self.was_connection_lost);
        if was_connection_lost && !self.is_closed(now) {
            let spread = self.current_spread().min(remaining.mul_f64(MAX_REMAINING_FRACTION));
            self.opens_at = Some(now + spread.mul_f64(rng.f64()));
        }
        !self.is_closed(now)
    }

    /// Returns the end of the latest delay, which may have passed; `None` if there was none since a
    /// connection last completed its startup.
    pub(super) fn opens_at(&self) -> Option<Instant> {
        self.opens_at
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.opens_at.is_some_and(|opens_at| opens_at > now)
    }

    fn current_spread(&self) -> Duration {
        self.spread * (1 << self.doublings)
    }
}
