//! Connections to members: which are likely open, what a missing one costs, and what to do when they run
//! short.

use super::member::Member;
use super::outcomes::OVERLOAD_BACKOFF;
use super::Policy;
use crate::api::*;

/// A member that responds this soon after it rejected a connection is up, and lacks connections.
const SHORTAGE_DETECTION_WINDOW: Time = Time::ms(1000);

/// For this long after a shortage, the router closes connections as soon as they are idle.
const SHORTAGE_DURATION: Time = Time::ms(10_000);

/// A connection is likely still open for this fraction of the longest idle time after the last response.
const OPEN_CONNECTION_FRACTION: f64 = 0.7;

/// What a member without a connection costs in requests in flight, before this router's own bias.
const MISSING_CONNECTION_COST: f64 = 1.0;

impl Policy {
    /// What a missing connection to the member costs, in requests in flight: nothing in a small fleet.
    ///
    /// A router that seldom sends to a group would open a connection to each member and let it idle out. In a
    /// large fleet each router keeps to a part of the group, drawn by itself so that the parts cover it
    /// evenly, and goes beyond it when more is in flight or responses come late there.
    pub(super) fn connection_cost(&self, member: &Member) -> f64 {
        let open_for = self.settings.conn_idle.times(OPEN_CONNECTION_FRACTION);
        let likely_open = self.now.since(member.responded_at) < open_for;
        let weight = if likely_open { 0.0 } else { 1.0 - self.small_fleet_fraction() };
        weight * (MISSING_CONNECTION_COST + member.affinity_bias)
    }

    /// Notes a rejected connection, closes the connection that has fallen idle during a shortage, and looks
    /// for a shortage after a response.
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
        if matches!(outcome.status, Status::Ok | Status::Misdirected) {
            self.detect_connection_shortage(outcome.member, out);
        }
    }

    /// A member that responds right after it rejected a connection is neither dead nor cut off: it has no
    /// connections left, and idle ones are closed so that other routers find one.
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
