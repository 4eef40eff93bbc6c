//! Replication state: log positions and roles of members, ejection for lag, and the current primary.

use super::breaker::{Breaker, EjectReason};
use super::member::{KnownPosition, KnownRole, Member};
use super::Policy;
use crate::api::*;

/// The lag behind the most advanced member beyond which a replica is ejected, unless the staleness bound of a
/// class is larger.
pub(super) const DEFAULT_LAG_MARGIN: Time = Time::ms(1000);

impl Policy {
    /// Records a member's replication state as of `as_of`. A lower position than the recorded one is ignored;
    /// for the role, the newest evidence counts.
    pub(super) fn observe_replication(&mut self, id: MemberId, state: ReplicationState, as_of: Time) {
        let Some(member) = self.members.get_mut(id) else { return };
        if let Some(role) = state.role {
            let newer = member.role.filter(|known| known.as_of > as_of);
            member.role = newer.or(Some(KnownRole { role, as_of }));
        }
        let Some(position) = state.position else { return };
        if member.position.is_some_and(|known| position < known.position) {
            return;
        }
        member.position = Some(KnownPosition { position, as_of });
        self.eject_or_readmit_for_lag(id, position);
    }

    /// Ejects a replica that lags too far behind the most advanced member of its group, or ends its ejection
    /// if it has caught up by the time that its breaker is half-open.
    fn eject_or_readmit_for_lag(&mut self, id: MemberId, position: Time) {
        let Some(member) = self.members.get(id) else { return };
        let is_primary = member.is_primary();
        let positions = self.members.in_group(member.group).filter_map(|(_, m)| m.position);
        let most_advanced = positions.map(|known| known.position).max().unwrap_or(position);
        let lags_too_far = !is_primary && most_advanced.since(position) > self.lag_margin;
        let now = self.now;
        let Some(member) = self.members.get_mut(id) else { return };
        if lags_too_far && !member.breaker.is_open() {
            member.breaker.open(EjectReason::Lag, now);
        } else if !lags_too_far && member.breaker == Breaker::HalfOpen(EjectReason::Lag) {
            member.breaker.close();
        }
    }

    /// Discards all log positions after the system clock was set. Positions are Unix times, so those reported
    /// earlier may be wrong by any amount. From now on, a pending read that requires a position requires all
    /// writes up to this time.
    pub(super) fn discard_positions(&mut self) {
        for (_, member) in self.members.iter_mut() {
            member.position = None;
        }
        for pending in self.requests.values_mut() {
            if pending.min_position > Time(0) {
                pending.min_position = pending.min_position.max(self.now);
            }
        }
    }

    /// Returns the member's estimated log position, assuming that its lag has not changed since the position
    /// was reported. A read that the member rejects shows that the lag has grown.
    pub(super) fn estimated_position(&self, member: &Member) -> Option<Time> {
        member.position.map(|known| known.position.plus(self.now.since(known.as_of)))
    }

    /// Returns the member's estimated lag in seconds; zero if its position is unknown.
    pub(super) fn estimated_lag_s(&self, member: &Member) -> f64 {
        self.estimated_position(member).map_or(0.0, |position| self.now.since(position).secs())
    }

    /// Returns the last known primary: the group's member with the newest evidence of being the primary.
    pub(super) fn known_primary(&self, group: GroupId) -> Option<MemberId> {
        let claims = self.members.in_group(group).filter_map(|(id, member)| {
            let known = member.role.filter(|known| known.role == Role::Primary)?;
            Some((known.as_of, id))
        });
        claims.max().map(|(_, id)| id)
    }

    /// Returns the last known primary if it is usable. Without one, the router searches for the primary.
    pub(super) fn usable_primary(&self, group: GroupId) -> Option<MemberId> {
        self.known_primary(group).filter(|id| self.members.get(*id).is_some_and(Member::can_be_primary))
    }
}
