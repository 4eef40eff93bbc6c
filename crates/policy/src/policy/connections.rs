//! Connections to members: which are likely open, the cost of a missing one, and detection of connection
//! shortages.

use super::member::Member;
use super::outcomes::OVERLOAD_BACKOFF;
use super::Policy;
use crate::api::*;

/// A member that responds within this time after it rejected a connection is up, but at its connection limit.
const SHORTAGE_DETECTION_WINDOW: Time = Time::ms(1000);

/// The time after the detection of a shortage during which the router closes each connection as soon as it is
/// idle.
const SHORTAGE_DURATION: Time = Time::ms(10_000);

/// The fraction of the hosts' idle timeout for which a connection is assumed to stay open after the last
/// response.
const OPEN_CONNECTION_FRACTION: f64 = 0.7;

/// The cost of a member without an open connection, in requests in flight, before the member's
/// `affinity_bias` is added.
const MISSING_CONNECTION_COST: f64 = 1.0;

impl Policy {
    /// Returns the cost of a missing connection to the member, in requests in flight; zero in a small fleet.
    ///
    /// A router that rarely sends to a group would open a connection to each member of the group, hardly
    /// use it, and lose it to the idle timeout. In a large fleet, each router therefore prefers a random
    /// subset of the members; the subsets of all routers cover the group evenly. A router uses other members
    /// when the preferred ones have more requests in flight or a higher latency.
    pub(super) fn connection_cost(&self, member: &Member) -> f64 {
        let open_for = self.settings.connection_idle_timeout.times(OPEN_CONNECTION_FRACTION);
        let likely_open = self.now.since(member.responded_at) < open_for;
        let cost_factor = if likely_open { 0.0 } else { 1.0 - self.shared_work_fraction() };
        cost_factor * (MISSING_CONNECTION_COST + member.affinity_bias)
    }

    /// Records a rejected connection, closes a member's idle connections during a shortage, and checks for a
    /// shortage after a response.
    pub(super) fn track_connections(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        let now = self.now;
        let shortage_at = self.connection_shortage_at;
        let Some(member) = self.members.get_mut(outcome.member) else { return };
        if outcome.status == Status::ConnectFailed && outcome.elapsed < OVERLOAD_BACKOFF {
            member.connection_rejected_at = now;
        }
        let in_shortage = shortage_at > Time(0) && now.since(shortage_at) < SHORTAGE_DURATION;
        if member.in_flight == 0 && in_shortage {
            out.push(Action::CloseIdle(outcome.member));
        }
        if matches!(outcome.status, Status::Ok | Status::Discarded | Status::Misdirected) {
            self.detect_connection_shortage(outcome.member, out);
        }
    }

    /// Detects a connection shortage: a member that responds shortly after it rejected a connection is
    /// neither down nor unreachable, but at its connection limit. Closes idle connections to all members, so
    /// that other routers can connect.
    pub(super) fn detect_connection_shortage(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(id) else { return };
        let rejected_at = std::mem::take(&mut member.connection_rejected_at);
        if rejected_at == Time(0) || self.now.since(rejected_at) >= SHORTAGE_DETECTION_WINDOW {
            return;
        }
        self.connection_shortage_at = self.now;
        let idle = self.members.iter().filter(|(_, member)| member.in_flight == 0);
        out.extend(idle.map(|(id, _)| Action::CloseIdle(id)));
    }
}
