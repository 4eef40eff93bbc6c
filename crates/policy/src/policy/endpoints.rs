//! Endpoint lists: members that appear, drain, restart and leave.

use super::member::{KnownRole, Member};
use super::slow_start::SlowStartCredit;
use super::Policy;
use crate::api::*;
use std::collections::BTreeSet;

/// The endpoint list is polled this often in each poll interval. A change counts as notified one interval
/// after it; polling twice as often sees it in time.
const POLLS_PER_INTERVAL: u64 = 2;

/// The roles in an endpoint list are taken to be this old.
const LISTED_ROLE_AGE: Time = Time::ms(5000);

impl Policy {
    /// Takes an endpoint list or a change to it. A cached list comes at the start: all its members are
    /// probed.
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

    /// Members that a complete list no longer names are removed.
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
        // The routers of a small fleet probe a new member at once; those of a large one would do so all
        // together.
        let probed_at = if self.small_fleet_fraction() < 1.0 { now } else { Time(0) };
        let member = self.members.get_or_insert_with(endpoint.member, || Member {
            affinity_bias: draw,
            slow_start: SlowStartCredit::new(initial_debt),
            probed_at,
            ..Member::default()
        });
        member.group = endpoint.group;
        member.zone = endpoint.zone;
        member.weight = if self.settings.weights && endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
        if endpoint.started > member.started_at {
            member.consecutive_failures = 0;
            member.draining_since = None;
            member.restart(endpoint.started, now);
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

    /// Takes a member that the list names primary for one, unless newer evidence of its role is known: the
    /// list is late. Where members serve stale reads, the list never overrules a response that named a
    /// replica.
    fn apply_listed_primary(&mut self, id: MemberId) {
        if self.settings.list_role == ListRole::None {
            return;
        }
        let as_of = self.now.minus(LISTED_ROLE_AGE);
        let strict = self.settings.when_behind == WhenBehind::ServeStale;
        let Some(member) = self.members.get_mut(id) else { return };
        let known_better =
            member.role.is_some_and(|known| known.as_of >= as_of || (strict && known.role == Role::Replica));
        if !known_better {
            member.role = Some(KnownRole { role: Role::Primary, as_of });
        }
    }

    /// Probes all members, beginning at a random one, as far as the router has health checks to send.
    fn probe_all(&mut self, out: &mut Vec<Action>) {
        self.earn_probes(self.members.len() as f64 * self.small_fleet_fraction());
        let mut ids: Vec<MemberId> = self.members.iter().map(|(id, _)| id).collect();
        let first = (self.rng.f64() * ids.len() as f64) as usize;
        ids.rotate_left(first);
        for id in ids {
            self.send_probe(id, out);
        }
    }

    /// Polls the endpoint list where it is not pushed.
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
