//! The circuit breaker of one member: closed, open for a cooldown, half-open until evidence closes or reopens
//! it.

use crate::api::Time;

/// Cooldown after an ejection for replication lag, short because a replica often catches up at once.
const LAG_COOLDOWN: Time = Time::ms(500);

/// Cooldown after an ejection for transport failures or silence.
const FAILURE_COOLDOWN: Time = Time::ms(1000);

/// Why a member was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectReason {
    /// It is too far behind; it still serves reads that need no freshness.
    Lag,
    /// Several transport failures in a row.
    Transport,
    /// It has answered nothing since an attempt that is long overdue.
    Silence,
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
    /// The cooldown is over; the next evidence decides.
    HalfOpen(EjectReason),
}

impl Breaker {
    /// Ejects the member for the cooldown of this reason.
    pub(super) fn open(&mut self, reason: EjectReason, now: Time) {
        let cooldown = match reason {
            EjectReason::Lag => LAG_COOLDOWN,
            EjectReason::Transport | EjectReason::Silence => FAILURE_COOLDOWN,
        };
        *self = Breaker::Open { reason, until: now.plus(cooldown) };
    }

    /// Takes the member back into use.
    pub(super) fn close(&mut self) {
        *self = Breaker::Closed;
    }

    /// Whether the member is in its cooldown, for whatever reason.
    pub(super) fn is_open(&self) -> bool {
        matches!(self, Breaker::Open { .. })
    }

    /// Whether the member is in the cooldown of this reason.
    pub(super) fn is_open_for(&self, reason: EjectReason) -> bool {
        matches!(self, Breaker::Open { reason: open_for, .. } if *open_for == reason)
    }
}
