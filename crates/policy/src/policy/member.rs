//! What the router knows of one member, and how successes and failures change it.

use super::breaker::{Breaker, EjectReason};
use super::decaying::Decaying;
use super::load::ConcurrencyLimit;
use super::slow_start::SlowStartCredit;
use crate::api::*;

/// Transport failures in a row that eject a member.
const EJECT_AFTER_FAILURES: u32 = 3;

/// A replication position and the time that it is of.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownPosition {
    /// All commits up to this time were applied.
    pub(super) position: Time,
    /// When that was so.
    pub(super) as_of: Time,
}

/// A role and the age of the evidence for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownRole {
    pub(super) role: Role,
    /// When the evidence was true.
    pub(super) as_of: Time,
}

/// What this router knows of a member.
#[derive(Default)]
pub(super) struct Member {
    pub(super) group: GroupId,
    pub(super) zone: ZoneId,
    /// Its weight in the endpoint list, 1 where weights say nothing.
    pub(super) weight: f64,
    /// Since when it has been draining or removed.
    pub(super) draining_since: Option<Time>,
    /// When it last started, as far as is known.
    pub(super) started_at: Option<Time>,
    pub(super) position: Option<KnownPosition>,
    pub(super) role: Option<KnownRole>,
    pub(super) breaker: Breaker,
    /// Transport failures and failed health checks in a row.
    pub(super) consecutive_failures: u32,
    /// A failure has raised suspicion that no response or health check has cleared yet.
    pub(super) suspect: bool,
    /// When a health check last failed.
    pub(super) probe_failed_at: Time,
    /// Attempts without an outcome, without those presumed lost.
    pub(super) in_flight: u32,
    /// Further attempts that a limit over all routers allows; `None` without such a limit.
    pub(super) attempts_allowed: Option<u32>,
    pub(super) concurrency: ConcurrencyLimit,
    /// Seconds by which its responses exceed their class's service time.
    pub(super) excess_latency: Decaying,
    /// Fraction of attempts that failed.
    pub(super) failure_rate: Decaying,
    /// When it last responded to an attempt.
    pub(super) responded_at: Time,
    /// No attempt goes there before this time.
    pub(super) backoff_until: Time,
    /// When it last rejected a connection; zero if it has responded since.
    pub(super) connection_rejected_at: Time,
    /// This router's random preference among members that it has no connection to, 0 to 1: less is better.
    pub(super) affinity_bias: f64,
    /// A health check is under way.
    pub(super) probe_in_flight: bool,
    /// When a health check was last sent.
    pub(super) probed_at: Time,
    /// When a response or health check last showed that it is up.
    pub(super) last_contact: Time,
    pub(super) slow_start: SlowStartCredit,
    /// When the search for a primary last chose it.
    pub(super) searched_at: Time,
}

impl Member {
    /// Whether the newest evidence says that it is the primary.
    pub(super) fn is_primary(&self) -> bool {
        self.role.is_some_and(|known| known.role == Role::Primary)
    }

    /// 1 for a primary, 0 otherwise.
    pub(super) fn role_index(&self) -> usize {
        usize::from(self.is_primary())
    }

    /// Whether it may act as the primary as far as is known: it is up, and stays.
    pub(super) fn can_lead(&self) -> bool {
        let up = match self.breaker {
            Breaker::Closed => true,
            Breaker::Open { reason, .. } | Breaker::HalfOpen(reason) => reason == EjectReason::Lag,
        };
        !self.suspect && up && self.draining_since.is_none()
    }

    /// Notes a start of the member: it is warming up from then on.
    pub(super) fn restart(&mut self, started_at: Option<Time>, now: Time) {
        self.started_at = started_at;
        self.slow_start.reset(now);
    }

    /// Counts a transport failure or failed health check, and ejects the member if it is one too many.
    pub(super) fn record_failure(&mut self, now: Time, raises_suspicion: bool) {
        self.consecutive_failures += 1;
        self.suspect |= raises_suspicion;
        let too_many = self.consecutive_failures >= EJECT_AFTER_FAILURES;
        let newly = too_many && !self.breaker.is_open_for(EjectReason::Transport);
        if newly || self.breaker == Breaker::HalfOpen(EjectReason::Transport) {
            self.breaker.open(EjectReason::Transport, now);
        }
    }

    /// Notes that the member is up. `recovers` is the reason of ejection that this evidence ends: silence by
    /// a response, transport failures by a health check.
    pub(super) fn record_contact(&mut self, now: Time, recovers: EjectReason) {
        if self.has_likely_restarted() {
            self.restart(Some(self.probe_failed_at), now);
        }
        self.consecutive_failures = 0;
        self.suspect = false;
        self.last_contact = now;
        let silence_ends = recovers == EjectReason::Silence && self.breaker.is_open_for(EjectReason::Silence);
        if silence_ends || self.breaker == Breaker::HalfOpen(recovers) {
            self.breaker.close();
        }
    }

    /// Whether it comes back after failures in a row, a health check's among them: it has likely restarted.
    fn has_likely_restarted(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
            && self.probe_failed_at > self.last_contact
            && self.started_at < Some(self.probe_failed_at)
    }
}
