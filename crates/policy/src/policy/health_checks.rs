//! Health checks: how many the router may send, when a member is due for one, and how results change its
//! state. Also detects members that have stopped responding.

use super::breaker::{Breaker, EjectReason};
use super::Policy;
use crate::api::*;

/// A member is probed after this long without a response or a health check; in a fleet of more than
/// [`SMALL_FLEET_ROUTERS`](super::SMALL_FLEET_ROUTERS) routers, after a proportionally longer time.
pub(super) const PROBE_INTERVAL: Time = Time::ms(2000);

/// The interval at which a suspect or half-open member is probed.
const SUSPECT_PROBE_INTERVAL: Time = Time::ms(200);

/// The assumed age of the log position in a load report.
const REPORTED_POSITION_AGE: Time = Time::ms(150);

/// The assumed age of the role in a load report.
const REPORTED_ROLE_AGE: Time = Time::ms(300);

/// The tokens for health checks that each request adds.
const PROBE_TOKENS_PER_REQUEST: f64 = 0.1;

/// An attempt is overdue, and evidence that its member is unresponsive, only if it has been in flight for
/// longer than this. For the same time after a response of a member, connection resets and failed health
/// checks don't count as failures of the member.
pub(super) const MIN_OVERDUE_TIME: Time = Time::ms(250);

/// An attempt that has been in flight for more than this many service times of its class is overdue.
const OVERDUE_SERVICE_TIMES: f64 = 6.0;

impl Policy {
    /// Adds tokens for health checks, up to one per member.
    ///
    /// For each member and probe interval, a router gets one token in a fleet of up to
    /// [`SMALL_FLEET_ROUTERS`](super::SMALL_FLEET_ROUTERS) routers. In a larger fleet, all routers together
    /// get [`SMALL_FLEET_ROUTERS`](super::SMALL_FLEET_ROUTERS) tokens. Each request adds
    /// [`PROBE_TOKENS_PER_REQUEST`] more.
    pub(super) fn add_probe_tokens(&mut self, tokens: f64) {
        self.probe_tokens = (self.probe_tokens + tokens).min(self.members.len() as f64);
    }

    /// Adds the tokens for one request.
    pub(super) fn add_probe_tokens_for_request(&mut self) {
        self.add_probe_tokens(PROBE_TOKENS_PER_REQUEST);
    }

    /// Probes a member, unless health checks are disabled, one is in flight there, its drain grace period is
    /// over, or no token or budget is left.
    pub(super) fn send_probe(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let drain_grace = self.settings.drain_grace;
        let Some(member) = self.members.get_mut(id) else { return };
        let drained = member.draining_since.is_some_and(|since| now.since(since) >= drain_grace);
        let has_budget = self.probe_tokens >= 1.0 && self.budgets.probes != Some(0);
        if !self.settings.probes_allowed || member.probe_in_flight || drained || !has_budget {
            return;
        }
        self.probe_tokens -= 1.0;
        self.budgets.probes = self.budgets.probes.map(|left| left - 1);
        member.probe_in_flight = true;
        member.probed_at = now;
        out.push(Action::Probe(id));
    }

    /// Handles the result of a health check and places the requests that are queued for the member's group.
    pub(super) fn finish_probe(
        &mut self,
        id: MemberId,
        status: Status,
        report: ReplicationState,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(member) = self.members.get_mut(id) else { return };
        let group = member.group;
        member.probe_in_flight = false;
        let inconclusive = matches!(status, Status::Error | Status::NotSent);
        if status == Status::Ok {
            member.record_contact(now, EjectReason::Transport);
            self.observe_report(id, report);
            self.detect_connection_shortage(id, out);
        } else if !inconclusive && now.since(member.responded_at) >= MIN_OVERDUE_TIME {
            member.probe_failed_at = now;
            member.record_failure(now, true);
        }
        self.place_queued(group, out);
    }

    /// Records the replication state in a load report, which is slightly out of date.
    fn observe_report(&mut self, id: MemberId, report: ReplicationState) {
        let role_only = ReplicationState { position: None, ..report };
        self.observe_replication(id, role_only, self.now.minus(REPORTED_ROLE_AGE));
        let position_only = ReplicationState { role: None, ..report };
        self.observe_replication(id, position_only, self.now.minus(REPORTED_POSITION_AGE));
    }

    /// Half-opens the breakers whose cooldown is over, and probes the members that are due: suspect and
    /// half-open ones, then the one that has been without contact for longest.
    pub(super) fn send_due_probes(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        // In a large fleet, lagging members are probed less often: they still serve reads that need no
        // freshness, and frequent probes by every router would only find them lagging again.
        let lag_probe_interval = SUSPECT_PROBE_INTERVAL.times(1.0 / self.shared_work_fraction());
        let probes_report_position = self.settings.probes_report_position;
        let is_due = |reason, since_contact| match reason {
            EjectReason::Transport => since_contact >= SUSPECT_PROBE_INTERVAL,
            EjectReason::Lag => probes_report_position && since_contact >= lag_probe_interval,
            // Only a response to an attempt shows that the member responds again.
            EjectReason::Unresponsive => false,
        };
        let mut due = Vec::new();
        let mut longest_without_contact = None;
        for (id, member) in self.members.iter_mut() {
            let since_contact = now.since(member.last_contact.max(member.probed_at));
            match member.breaker {
                Breaker::Open { reason, until } if now >= until => {
                    member.breaker = Breaker::HalfOpen(reason);
                }
                Breaker::HalfOpen(reason) if is_due(reason, since_contact) => due.push(id),
                Breaker::Closed if member.suspect && since_contact >= SUSPECT_PROBE_INTERVAL => due.push(id),
                Breaker::Closed if member.draining_since.is_none() => {
                    longest_without_contact = longest_without_contact.max(Some((since_contact, id)));
                }
                _ => {}
            }
        }
        let interval = PROBE_INTERVAL.times(1.0 / self.shared_work_fraction());
        due.extend(
            longest_without_contact.filter(|(since_contact, _)| *since_contact >= interval).map(|(_, id)| id),
        );
        for id in due {
            self.send_probe(id, out);
        }
    }

    /// Checks for overdue attempts. A member that has not responded to any attempt since the overdue one was
    /// sent is ejected as unresponsive. If it has responded, the overdue attempt is presumed lost and no
    /// longer counts as in flight.
    pub(super) fn detect_unresponsive_members(&mut self) {
        let now = self.now;
        for request in self.requests.values_mut() {
            let service_time = self.service_times.get(request.class);
            let Some(attempt) = request.attempts.iter_mut().rev().find(|attempt| attempt.is_in_flight())
            else {
                continue;
            };
            let Some(member) = self.members.get_mut(attempt.member) else { continue };
            let in_flight_for = now.since(attempt.sent_at);
            if in_flight_for <= MIN_OVERDUE_TIME
                || in_flight_for.secs() <= OVERDUE_SERVICE_TIMES * service_time
            {
                continue;
            }
            if member.responded_at >= attempt.sent_at {
                member.in_flight = member.in_flight.saturating_sub(attempt.in_flight_count());
                attempt.presumed_lost = true;
            } else if !member.breaker.is_open() {
                member.breaker.open(EjectReason::Unresponsive, now);
            }
        }
    }
}
