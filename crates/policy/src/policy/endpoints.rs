//! Endpoint lists: members that are added, drain, restart and are removed.

use super::member::{KnownRole, Member};
use super::slow_start::SlowStartCredit;
use super::Policy;
use crate::api::*;
use std::collections::BTreeSet;

/// How many times the endpoint list is polled per poll interval. The router counts as notified of a change
/// one interval after it; polling twice per interval detects the change before that.
const POLLS_PER_INTERVAL: u64 = 2;

/// The assumed age of the roles in an endpoint list.
const LISTED_ROLE_AGE: Time = Time::ms(5000);

impl Policy {
    /// Applies an endpoint list or a change to it. After a cached list, with which the router starts, all
    /// members are probed.
    pub(super) fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        if update != EndpointUpdate::Delta && !self.settings.ignore_removal {
            self.drain_unlisted(&endpoints);
        }
        for endpoint in &endpoints {
            self.update_member(endpoint);
        }
        self.members.regroup(self.now);
        self.demand.retain_groups(&self.members);
        if update == EndpointUpdate::Cached {
            self.probe_all(out);
        }
    }

    /// Marks the members that are missing from a complete list as draining.
    fn drain_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<MemberId> = endpoints.iter().map(|endpoint| endpoint.member).collect();
        for (id, member) in self.members.iter_mut() {
            if !listed.contains(&id) {
                member.draining_since.get_or_insert(self.now);
            }
        }
    }

    fn update_member(&mut self, endpoint: &Endpoint) {
        let now = self.now;
        let draw = self.rng.f64();
        let initial_debt = draw * self.service_times.shortest();
        // A router of a small fleet probes a new member at once. In a large fleet, too many routers would do
        // so at the same time, so the member counts as probed now.
        let probed_at = if self.shared_work_fraction() < 1.0 { now } else { Time(0) };
        let member = self.members.get_or_insert_with(endpoint.member, || Member {
            affinity_bias: draw,
            slow_start: SlowStartCredit::new(initial_debt),
            probed_at,
            ..Member::default()
        });
        member.group = endpoint.group;
        member.zone = endpoint.zone;
        member.weight =
            if self.settings.use_weights && endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
        if endpoint.started > member.started_at {
            member.consecutive_failures = 0;
            member.draining_since = None;
            member.record_restart(endpoint.started, now);
        }
        match endpoint.state {
            EndpointState::Ready => member.draining_since = None,
            EndpointState::Removed if self.settings.ignore_removal => {}
            EndpointState::Draining | EndpointState::Removed => {
                member.draining_since.get_or_insert(endpoint.notified_at.min(now));
            }
        }
        if endpoint.primary {
            self.apply_listed_primary(endpoint.member);
        }
    }

    /// Records the primary that the list names, unless there is newer evidence of the member's role, since
    /// the list is late. If members serve stale reads, the list never overrides a response in which the
    /// member reported itself as a replica.
    fn apply_listed_primary(&mut self, id: MemberId) {
        if self.settings.list_role == ListRole::None {
            return;
        }
        let as_of = self.now.minus(LISTED_ROLE_AGE);
        let replica_role_wins = self.settings.when_behind == WhenBehind::ServeStale;
        let Some(member) = self.members.get_mut(id) else { return };
        let keeps_known_role = member
            .role
            .is_some_and(|known| known.as_of >= as_of || (replica_role_wins && known.role == Role::Replica));
        if !keeps_known_role {
            member.role = Some(KnownRole { role: Role::Primary, as_of });
        }
    }

    /// Probes all members, starting with a random one, as far as the tokens for health checks suffice.
    fn probe_all(&mut self, out: &mut Vec<Action>) {
        self.add_probe_tokens(self.members.len() as f64 * self.shared_work_fraction());
        let mut ids: Vec<MemberId> = self.members.iter().map(|(id, _)| id).collect();
        let first = (self.rng.f64() * ids.len() as f64) as usize;
        ids.rotate_left(first);
        for id in ids {
            self.send_probe(id, out);
        }
    }

    /// Polls the endpoint list [`POLLS_PER_INTERVAL`] times per poll interval, if it is not pushed.
    pub(super) fn poll_endpoints(&mut self, out: &mut Vec<Action>) {
        if !self.settings.poll_endpoint_list {
            return;
        }
        if self.now.since(self.last_list_poll).0 > self.settings.poll_interval.0 / POLLS_PER_INTERVAL {
            self.last_list_poll = self.now;
            out.push(Action::PollEndpoints);
        }
    }
}
