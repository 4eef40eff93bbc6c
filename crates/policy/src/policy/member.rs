//! The state of one member as known to the router, and how successes and failures change it.

use super::breaker::{Breaker, EjectReason};
use super::decaying::DecayingValue;
use super::load::ConcurrencyLimit;
use super::slow_start::SlowStartCredit;
use crate::api::*;

/// The number of consecutive transport failures and failed health checks after which a member is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// A log position and the time as of which it was reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownPosition {
    /// The log position: all commits up to this time were applied.
    pub(super) position: Time,
    /// The time at which the member had this position.
    pub(super) as_of: Time,
}

/// A role and the time of the evidence for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownRole {
    pub(super) role: Role,
    /// The time at which the member had this role.
    pub(super) as_of: Time,
}

/// The state of a member as known to this router.
#[derive(Default)]
pub(super) struct Member {
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    /// Its weight in the endpoint list; 1 if weights are not used.
    pub(super) weight: f64,
    /// When the router was notified that the member is draining or removed; `None` while it is in service.
    pub(super) draining_since: Option<Time>,
    /// When it last started, if known.
    pub(super) started_at: Option<Time>,
    pub(super) position: Option<KnownPosition>,
    pub(super) role: Option<KnownRole>,
    pub(super) breaker: Breaker,
    /// The number of consecutive transport failures and failed health checks. Transport failures are failed
    /// and lost connections, and timeouts without a response of the member since the attempt was sent.
    pub(super) consecutive_failures: u32,
    /// Whether it is suspect: a failure suggests that it is down, and no response or successful health check
    /// has been received since.
    pub(super) suspect: bool,
    /// When a health check last failed.
    pub(super) probe_failed_at: Time,
    /// The number of attempts without an outcome, except for those presumed lost.
    pub(super) in_flight: u32,
    /// The number of further attempts that a fleet-wide limit allows; `None` without such a limit.
    pub(super) attempts_allowed: Option<u32>,
    pub(super) concurrency: ConcurrencyLimit,
    /// The moving average of its excess latency: by how many seconds its responses exceed their class's
    /// service time.
    pub(super) excess_latency: DecayingValue,
    /// The moving average of the fraction of attempts that failed.
    pub(super) failure_rate: DecayingValue,
    /// When it last responded to an attempt.
    pub(super) responded_at: Time,
    /// No attempt is sent to it before this time.
    pub(super) backoff_until: Time,
    /// When it last rejected a connection; zero once a response or a successful health check was received
    /// after that.
    pub(super) connection_rejected_at: Time,
    /// This router's random preference among members to which it has no connection, 0 to 1; a lower value is
    /// preferred.
    pub(super) affinity_bias: f64,
    /// Whether a health check is in flight.
    pub(super) probe_in_flight: bool,
    /// When a health check was last sent.
    pub(super) probed_at: Time,
    /// When a response or a health check last showed that it is up.
    pub(super) last_contact: Time,
    pub(super) slow_start: SlowStartCredit,
    /// When the search for a primary last sent it a write.
    pub(super) searched_at: Time,
}

impl Member {
    /// Returns whether it is the primary according to the newest evidence.
    pub(super) fn is_primary(&self) -> bool {
        self.role.is_some_and(|known| known.role == Role::Primary)
    }

    /// Returns 1 for a primary and 0 otherwise.
    pub(super) fn role_index(&self) -> usize {
        usize::from(self.is_primary())
    }

    /// Returns whether it can serve as the primary as far as is known: it is up and not draining.
    pub(super) fn can_be_primary(&self) -> bool {
        let up = match self.breaker {
            Breaker::Closed => true,
            Breaker::Open { reason, .. } | Breaker::HalfOpen(reason) => reason == EjectReason::Lag,
        };
        !self.suspect && up && self.draining_since.is_none()
    }

    /// Records that the member started at `started_at`, so that it is warming up.
    pub(super) fn record_restart(&mut self, started_at: Option<Time>, now: Time) {
        self.started_at = started_at;
        self.slow_start.reset(now);
    }

    /// Counts a transport failure or a failed health check, and ejects the member after
    /// [`EJECT_AFTER_FAILURES`] consecutive ones, or after one while its breaker is half-open for transport
    /// failures. With `raises_suspicion`, the member becomes suspect.
    pub(super) fn record_failure(&mut self, now: Time, raises_suspicion: bool) {
        self.consecutive_failures += 1;
        self.suspect |= raises_suspicion;
        let too_many = self.consecutive_failures >= EJECT_AFTER_FAILURES;
        let newly_ejected = too_many && !self.breaker.is_open_for(EjectReason::Transport);
        if newly_ejected || self.breaker == Breaker::HalfOpen(EjectReason::Transport) {
            self.breaker.open(EjectReason::Transport, now);
        }
    }

    /// Records that the member is up. This ends an ejection for the reason `recovers`: a response to an
    /// attempt ends one for unresponsiveness, a successful health check one for transport failures.
    pub(super) fn record_contact(&mut self, now: Time, recovers: EjectReason) {
        if self.has_likely_restarted() {
            self.record_restart(Some(self.probe_failed_at), now);
        }
        self.consecutive_failures = 0;
        self.suspect = false;
        self.last_contact = now;
        let responds_again =
            recovers == EjectReason::Unresponsive && self.breaker.is_open_for(EjectReason::Unresponsive);
        if responds_again || self.breaker == Breaker::HalfOpen(recovers) {
            self.breaker.close();
        }
    }

    /// Returns whether the member has likely restarted: it responds after several consecutive failures that
    /// include a failed health check.
    fn has_likely_restarted(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
            && self.probe_failed_at > self.last_contact
            && self.started_at < Some(self.probe_failed_at)
    }
}
