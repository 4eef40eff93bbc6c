//! Outcomes of attempts: what they show about the member, and how the request continues.

use super::breaker::EjectReason;
use super::health_checks::MIN_OVERDUE_TIME;
use super::member::KnownRole;
use super::selection::FAILURE_RATE_DECAY_S;
use super::Policy;
use crate::api::*;

/// How long no attempt is sent to a member that rejected an attempt for lack of capacity, or to which no
/// connection could be established. A connection attempt that fails within this time was rejected by the
/// member, not lost in the network.
pub(super) const OVERLOAD_BACKOFF: Time = Time::ms(100);

/// The gain of the moving average of a member's failure rate, per attempt.
const FAILURE_RATE_GAIN: f64 = 0.2;

impl Policy {
    /// Handles the outcome of an attempt: updates the member's state, completes or retries the request, and
    /// places the requests that are queued for the group.
    pub(super) fn finish_attempt(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        if has_response(outcome.status) {
            self.observe_replication(outcome.member, outcome.replication, self.now);
        }
        let class = self.record_attempt_status(&outcome);
        self.record_outcome(&outcome, class, out);
        self.track_connections(&outcome, out);
        if outcome.request_completed {
            self.remove_request(outcome.request, out);
        } else if outcome.status == Status::Discarded {
            // A further attempt would need the memory that is short.
            self.reject_or_fail(outcome.request, out);
        } else if self.requests.contains_key(&outcome.request) {
            self.place(outcome.request, out);
        }
        if let Some(group) = self.members.get(outcome.member).map(|member| member.group) {
            self.place_queued(group, out);
        }
    }

    /// Records the status of an attempt that was in flight and returns the class of its request. Returns
    /// `None` if the request has already completed or the attempt already has an outcome.
    fn record_attempt_status(&mut self, outcome: &Outcome) -> Option<usize> {
        let request = self.requests.get_mut(&outcome.request)?;
        let attempt = request.attempts.get_mut(usize::from(outcome.attempt.0))?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.status = Some(outcome.status);
        if let Some(member) = self.members.get_mut(outcome.member) {
            member.in_flight = member.in_flight.saturating_sub(attempt.in_flight_count());
        }
        Some(request.class)
    }

    /// Updates the member's state by the outcome of an attempt, and probes the member if it is suspect.
    fn record_outcome(&mut self, outcome: &Outcome, class: Option<usize>, out: &mut Vec<Action>) {
        self.record_reachability(outcome);
        self.record_failure_rate(outcome);
        self.apply_status(outcome, class);
        let Some(member) = self.members.get(outcome.member) else { return };
        if member.suspect && !member.breaker.is_open_for(EjectReason::Transport) {
            self.send_probe(outcome.member, out);
        }
    }

    /// Records whether the outcome shows that the member is up or counts as a failure to reach it.
    fn record_reachability(&mut self, outcome: &Outcome) {
        let now = self.now;
        let sent_at = now.minus(outcome.elapsed);
        let Some(member) = self.members.get_mut(outcome.member) else { return };
        match outcome.status {
            Status::Ok | Status::Discarded | Status::Misdirected | Status::Overloaded => {
                member.record_contact(now, EjectReason::Unresponsive);
                member.responded_at = now;
            }
            // The member responded a short time ago: only this connection was lost.
            Status::Reset if now.since(member.responded_at) < MIN_OVERDUE_TIME => {}
            Status::ConnectFailed | Status::Reset => member.record_failure(now, true),
            Status::Timeout if member.responded_at < sent_at => member.record_failure(now, false),
            Status::Timeout | Status::Error | Status::Cancelled | Status::NotSent => {}
        }
    }

    fn record_failure_rate(&mut self, outcome: &Outcome) {
        let failed = match outcome.status {
            Status::Ok | Status::Discarded => 0.0,
            Status::Error | Status::ConnectFailed | Status::Reset => 1.0,
            _ => return,
        };
        if let Some(member) = self.members.get_mut(outcome.member) {
            member.failure_rate.update(failed, FAILURE_RATE_GAIN, self.now, FAILURE_RATE_DECAY_S);
        }
    }

    /// Starts a backoff, corrects the member's role or records its latency, by the attempt's status. `class`
    /// is the request's class, or `None` if the request has already completed or the attempt already has an
    /// outcome.
    fn apply_status(&mut self, outcome: &Outcome, class: Option<usize>) {
        let now = self.now;
        let is_write =
            class.is_some_and(|class| self.settings.classes[class].consistency == Consistency::Write);
        let Some(member) = self.members.get_mut(outcome.member) else { return };
        match (outcome.status, class) {
            (Status::ConnectFailed, _) => member.backoff_until = now.plus(OVERLOAD_BACKOFF),
            (Status::Overloaded, _) => {
                member.backoff_until = now.plus(OVERLOAD_BACKOFF);
                member.concurrency.cut_below(member.in_flight);
            }
            (Status::Misdirected, _) if is_write && member.role.is_none_or(|known| known.as_of < now) => {
                member.role = Some(KnownRole { role: Role::Replica, as_of: now });
            }
            // The member has responded since the attempt was sent, so this response was lost: the timeout
            // shows nothing about the member's load.
            (Status::Timeout, _) if member.responded_at >= now.minus(outcome.elapsed) => {}
            // After a stall, the elapsed time may be that of the stalled router, not of the member.
            (Status::Ok | Status::Timeout, Some(class)) if self.stalled_for == Time(0) => {
                self.record_latency(outcome, class);
            }
            _ => {}
        }
    }
}

/// Returns whether the member responded, so that the outcome's replication state was reported by it.
fn has_response(status: Status) -> bool {
    use Status::{Discarded, Error, Misdirected, Ok, Overloaded};
    matches!(status, Ok | Discarded | Misdirected | Error | Overloaded)
}
