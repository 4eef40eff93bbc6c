//! When new connections may be opened. Clients that lose the same router at the same moment must not all
//! come to the others at once: each waits for a random part of the time that it can spare.

use std::time::{Duration, Instant};

/// Fraction of a waiting request's remaining time over which reconnects are spread.
const SLACK_FRACTION: f64 = 0.5;
/// The spread doubles up to this many times while routers are full.
const MAX_DOUBLINGS: u32 = 3;

/// Delays new connections after one was lost.
#[derive(Debug)]
pub(super) struct ReconnectGate {
    /// Upper limit of the spread, before any doubling.
    spread: Duration,
    /// Whether a connection was lost since the last delay was drawn. The delay is drawn when a connection is
    /// wanted, since only then the waiting request's slack is known.
    was_connection_lost: bool,
    /// No connection is opened before this time.
    opens_at: Option<Instant>,
    /// How many times the spread is doubled.
    doublings: u32,
}

impl ReconnectGate {
    /// An open gate.
    pub(super) fn new(spread: Duration) -> ReconnectGate {
        ReconnectGate { spread, was_connection_lost: false, opens_at: None, doublings: 0 }
    }

    /// A connection was lost, or did not come up.
    pub(super) fn on_connection_lost(&mut self) {
        self.was_connection_lost = true;
    }

    /// A connection has completed its startup: routers accept connections, so others need not wait.
    pub(super) fn on_connection_ready(&mut self) {
        self.was_connection_lost = false;
        self.opens_at = None;
        self.doublings = 0;
    }

    /// A router has rejected a connection because it is full. Returns how long that router gets no new
    /// connection.
    pub(super) fn on_router_full(&mut self, rng: &mut fastrand::Rng) -> Duration {
        self.was_connection_lost = true;
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.current_spread().mul_f64(rng.f64())
    }

    /// Whether a connection may be opened now for a request that has this much time left. Draws the delay if
    /// a connection was lost and no delay is running.
    pub(super) fn admits(&mut self, now: Instant, remaining: Duration, rng: &mut fastrand::Rng) -> bool {
        let was_connection_lost = std::mem::take(&mut self.was_connection_lost);
        if was_connection_lost && !self.is_closed(now) {
            let spread = self.current_spread().min(remaining.mul_f64(SLACK_FRACTION));
            self.opens_at = Some(now + spread.mul_f64(rng.f64()));
        }
        !self.is_closed(now)
    }

    /// When the gate opens, if a delay was drawn; may have passed.
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
