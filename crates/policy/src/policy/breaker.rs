//! The circuit breaker of one member: closed, open for a cooldown, then half-open until a response or a
//! health check closes or reopens it.

use crate::api::Time;

/// The cooldown after an ejection for replication lag. It is short because a replica often catches up
/// quickly.
const LAG_COOLDOWN: Time = Time::ms(500);

/// The cooldown after an ejection for transport failures, failed health checks or unresponsiveness.
const FAILURE_COOLDOWN: Time = Time::ms(1000);

/// Why a member was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectReason {
    /// It lags too far behind; it still serves reads that need no freshness.
    Lag,
    /// Several consecutive transport failures or failed health checks.
    Transport,
    /// It has not responded to any attempt since an attempt that is overdue was sent.
    Unresponsive,
}

/// A member's circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Breaker {
    /// The member is in use.
    #[default]
    Closed,
    /// The member is ejected until its cooldown ends.
    Open {
        /// Why it was ejected.
        reason: EjectReason,
        /// The end of the cooldown.
        until: Time,
    },
    /// The cooldown is over; the next response or health check closes or reopens the breaker.
    HalfOpen(EjectReason),
}

impl Breaker {
    /// Ejects the member for the cooldown that belongs to the reason.
    pub(super) fn open(&mut self, reason: EjectReason, now: Time) {
        let cooldown = match reason {
            EjectReason::Lag => LAG_COOLDOWN,
            EjectReason::Transport | EjectReason::Unresponsive => FAILURE_COOLDOWN,
        };
        *self = Breaker::Open { reason, until: now.plus(cooldown) };
    }

    /// Ends the ejection of the member.
    pub(super) fn close(&mut self) {
        *self = Breaker::Closed;
    }

    /// Returns whether the member is in a cooldown for any reason.
    pub(super) fn is_open(&self) -> bool {
        matches!(self, Breaker::Open { .. })
    }

    /// Returns whether the member is in a cooldown for this reason.
    pub(super) fn is_open_for(&self, reason: EjectReason) -> bool {
        matches!(self, Breaker::Open { reason: open_for, .. } if *open_for == reason)
    }
}
