//! The end of an attempt: what it says of its member, and what becomes of its request.

use super::breaker::EjectReason;
use super::health_checks::MIN_SILENCE;
use super::member::KnownRole;
use super::selection::FAILURE_RATE_FADE_S;
use super::Policy;
use crate::api::*;

/// A member that rejected an attempt or a connection is left alone for this long. A connect that fails sooner
/// was rejected by the member, not lost on the way.
pub(super) const OVERLOAD_BACKOFF: Time = Time::ms(100);

/// Fraction by which a member's failure rate follows an attempt.
const FAILURE_RATE_GAIN: f64 = 0.2;

impl Policy {
    /// Takes the end of an attempt: learns from it, goes on with its request and places what is queued for
    /// the group.
    pub(super) fn finish_attempt(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        if has_response(outcome.status) {
            self.observe_replication(outcome.member, outcome.replication, self.now);
        }
        let class = self.close_attempt(&outcome);
        self.learn_from(&outcome, class, out);
        self.track_connections(&outcome, out);
        if outcome.request_completed {
            self.forget(outcome.request, out);
        } else if self.requests.contains_key(&outcome.request) {
            self.place(outcome.request, out);
        }
        if let Some(group) = self.members.get(outcome.member).map(|member| member.group) {
            self.place_queued(group, out);
        }
    }

    /// Notes the status of an attempt that was out; returns the class of its request. `None` if the request
    /// has ended before or the attempt has.
    fn close_attempt(&mut self, outcome: &Outcome) -> Option<usize> {
        let request = self.requests.get_mut(&outcome.request)?;
        let attempt = request.attempts.get_mut(usize::from(outcome.attempt.0))?;
        if !attempt.is_out() {
            return None;
        }
        attempt.status = Some(outcome.status);
        if let Some(member) = self.members.get_mut(outcome.member) {
            member.in_flight = member.in_flight.saturating_sub(attempt.in_flight_count());
        }
        Some(request.class)
    }

    /// What an attempt's end says of its member.
    fn learn_from(&mut self, outcome: &Outcome, class: Option<usize>, out: &mut Vec<Action>) {
        self.record_reachability(outcome);
        self.record_failure_rate(outcome);
        self.apply_status(outcome, class);
        let Some(member) = self.members.get(outcome.member) else { return };
        if member.suspect && !member.breaker.is_open_for(EjectReason::Transport) {
            self.send_probe(outcome.member, out);
        }
    }

    /// Whether the member is up, by the attempt's status.
    fn record_reachability(&mut self, outcome: &Outcome) {
        let now = self.now;
        let sent_at = now.minus(outcome.elapsed);
        let Some(member) = self.members.get_mut(outcome.member) else { return };
        match outcome.status {
            Status::Ok | Status::Misdirected | Status::Overloaded => {
                member.record_contact(now, EjectReason::Silence);
                member.responded_at = now;
            }
            // The member is there, but for one connection.
            Status::Reset if now.since(member.responded_at) < MIN_SILENCE => {}
            Status::ConnectFailed | Status::Reset => member.record_failure(now, true),
            Status::Timeout if member.responded_at < sent_at => member.record_failure(now, false),
            Status::Timeout | Status::Error | Status::Cancelled | Status::NotSent => {}
        }
    }

    fn record_failure_rate(&mut self, outcome: &Outcome) {
        let failed = match outcome.status {
            Status::Ok => 0.0,
            Status::Error | Status::ConnectFailed | Status::Reset => 1.0,
            _ => return,
        };
        if let Some(member) = self.members.get_mut(outcome.member) {
            member.failure_rate.follow(failed, FAILURE_RATE_GAIN, self.now, FAILURE_RATE_FADE_S);
        }
    }

    /// Backs off from the member, corrects its role or learns its latency, by the attempt's status. `class`
    /// is the class of a request that has not ended before.
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
            // The response was lost: that says nothing of the member's load.
            (Status::Timeout, _) if member.responded_at >= now.minus(outcome.elapsed) => {}
            // After a standstill, the time may have been the router's own.
            (Status::Ok | Status::Timeout, Some(class)) if self.stalled_for == Time(0) => {
                self.record_latency(outcome, class);
            }
            _ => {}
        }
    }
}

/// Whether the member has responded, so that the outcome's replication state is its own.
fn has_response(status: Status) -> bool {
    matches!(status, Status::Ok | Status::Misdirected | Status::Error | Status::Overloaded)
}
