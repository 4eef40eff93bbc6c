//! Health checks: how many the router may send, when members are due for one, what the results say; and
//! members that have gone silent.

use super::breaker::{Breaker, EjectReason};
use super::Policy;
use crate::api::*;

/// A member that nothing has been heard of for this long is probed.
pub(super) const PROBE_INTERVAL: Time = Time::ms(2000);

/// A suspect or half-open member is probed at this interval.
const SUSPECT_PROBE_INTERVAL: Time = Time::ms(200);

/// The position in a load report is taken to be this old.
const REPORTED_POSITION_AGE: Time = Time::ms(150);

/// The role in a load report is taken to be this old.
const REPORTED_ROLE_AGE: Time = Time::ms(300);

/// Health checks that each request earns its router.
const PROBES_PER_REQUEST: f64 = 0.1;

/// No attempt is overdue, and no member silent, before this time has passed.
pub(super) const MIN_SILENCE: Time = Time::ms(250);

/// An attempt that has been out for more than this many service times is overdue.
const OVERDUE_SERVICE_TIMES: f64 = 6.0;

impl Policy {
    /// Adds to the health checks that the router may send; it saves up one for each member at most.
    ///
    /// All routers together earn one of each member an interval, and a few for their requests.
    pub(super) fn earn_probes(&mut self, probes: f64) {
        self.probe_tokens = (self.probe_tokens + probes).min(self.members.len() as f64);
    }

    /// Adds what a request earns.
    pub(super) fn earn_probes_for_request(&mut self) {
        self.earn_probes(PROBES_PER_REQUEST);
    }

    /// Probes a member, unless a probe is under way, its drain grace is over or nothing is left to probe
    /// with.
    pub(super) fn send_probe(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let drain_grace = self.settings.drain_grace;
        let Some(member) = self.members.get_mut(id) else { return };
        let drained = member.draining_since.is_some_and(|since| now.since(since) >= drain_grace);
        let has_budget = self.probe_tokens >= 1.0 && self.budgets.probes != Some(0);
        if !self.settings.probes || member.probe_in_flight || drained || !has_budget {
            return;
        }
        self.probe_tokens -= 1.0;
        self.budgets.probes = self.budgets.probes.map(|left| left - 1);
        member.probe_in_flight = true;
        member.probed_at = now;
        out.push(Action::Probe(id));
    }

    /// Takes the result of a health check and places what is queued for the member's group.
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
        } else if !inconclusive && now.since(member.responded_at) >= MIN_SILENCE {
            member.probe_failed_at = now;
            member.record_failure(now, true);
        }
        self.place_queued(group, out);
    }

    /// Notes the replication state in a load report, which is a little out of date.
    fn observe_report(&mut self, id: MemberId, report: ReplicationState) {
        let role_only = ReplicationState { position: None, ..report };
        self.observe_replication(id, role_only, self.now.minus(REPORTED_ROLE_AGE));
        let position_only = ReplicationState { role: None, ..report };
        self.observe_replication(id, position_only, self.now.minus(REPORTED_POSITION_AGE));
    }

    /// Ends cooldowns and probes the members that are due: suspect and half-open ones, then the one that
    /// nothing has been heard of for longest.
    pub(super) fn send_due_probes(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        // A large fleet leaves lagging members to the reads that they still serve: a probe of each router
        // would find them behind again and again.
        let lag_probe_interval = SUSPECT_PROBE_INTERVAL.times(1.0 / self.small_fleet_fraction());
        let probe_positions = self.settings.probe_positions;
        let is_due = |reason, unheard_for| match reason {
            EjectReason::Transport => unheard_for >= SUSPECT_PROBE_INTERVAL,
            EjectReason::Lag => probe_positions && unheard_for >= lag_probe_interval,
            // Only a response to an attempt ends silence.
            EjectReason::Silence => false,
        };
        let mut due = Vec::new();
        let mut longest_unheard = None;
        for (id, member) in self.members.iter_mut() {
            let unheard_for = now.since(member.last_contact.max(member.probed_at));
            match member.breaker {
                Breaker::Open { reason, until } if now >= until => {
                    member.breaker = Breaker::HalfOpen(reason);
                }
                Breaker::HalfOpen(reason) if is_due(reason, unheard_for) => due.push(id),
                Breaker::Closed if member.suspect && unheard_for >= SUSPECT_PROBE_INTERVAL => due.push(id),
                Breaker::Closed if member.draining_since.is_none() => {
                    longest_unheard = longest_unheard.max(Some((unheard_for, id)));
                }
                _ => {}
            }
        }
        let interval = PROBE_INTERVAL.times(1.0 / self.small_fleet_fraction());
        due.extend(longest_unheard.filter(|(unheard_for, _)| *unheard_for >= interval).map(|(_, id)| id));
        for id in due {
            self.send_probe(id, out);
        }
    }

    /// Looks for overdue attempts. A member that has responded to nothing since is ejected as silent; one
    /// that has gone on responding has lost the attempt, which no longer counts as in flight.
    pub(super) fn detect_silence(&mut self) {
        let now = self.now;
        for request in self.requests.values_mut() {
            let service_time = self.service_times.get(request.class);
            let Some(attempt) = request.attempts.iter_mut().rev().find(|attempt| attempt.is_out()) else {
                continue;
            };
            let Some(member) = self.members.get_mut(attempt.member) else { continue };
            let out_for = now.since(attempt.sent_at);
            if out_for <= MIN_SILENCE || out_for.secs() <= OVERDUE_SERVICE_TIMES * service_time {
                continue;
            }
            if member.responded_at >= attempt.sent_at {
                member.in_flight = member.in_flight.saturating_sub(attempt.in_flight_count());
                attempt.presumed_lost = true;
            } else if !member.breaker.is_open() {
                member.breaker.open(EjectReason::Silence, now);
            }
        }
    }
}
