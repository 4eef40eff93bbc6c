//! Replication state: what is known of positions and roles, lag ejection, and which member is the primary.

use super::breaker::{Breaker, EjectReason};
use super::member::{KnownPosition, KnownRole, Member};
use super::Policy;
use crate::api::*;

/// Lag behind the most advanced member that ejects a replica, unless a class's staleness bound is wider.
pub(super) const DEFAULT_LAG_MARGIN: Time = Time::ms(1000);

impl Policy {
    /// Notes a member's replication state as it was at `as_of`. Positions never go back; of a role, the
    /// newest evidence counts.
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

    /// Ejects a replica that is too far behind the most advanced member of its group, or takes it back.
    fn eject_or_readmit_for_lag(&mut self, id: MemberId, position: Time) {
        let Some(member) = self.members.get(id) else { return };
        let is_primary = member.is_primary();
        let positions = self.members.in_group(member.group).filter_map(|(_, m)| m.position);
        let most_advanced = positions.map(|known| known.position).max().unwrap_or(position);
        let behind = !is_primary && most_advanced.since(position) > self.lag_margin;
        let now = self.now;
        let Some(member) = self.members.get_mut(id) else { return };
        if behind && !member.breaker.is_open() {
            member.breaker.open(EjectReason::Lag, now);
        } else if !behind && member.breaker == Breaker::HalfOpen(EjectReason::Lag) {
            member.breaker.close();
        }
    }

    /// Forgets all positions after the system clock has been set. Positions are Unix times: those reported
    /// before may be wrong by any amount. A read under way has to see all that was written until now.
    pub(super) fn distrust_positions(&mut self) {
        for (_, member) in self.members.iter_mut() {
            member.position = None;
        }
        for pending in self.requests.values_mut() {
            if pending.min_position > Time(0) {
                pending.min_position = pending.min_position.max(self.now);
            }
        }
    }

    /// The member's position now if it has kept up since it was last known. A rejected read tells where it
    /// has not.
    pub(super) fn estimated_position(&self, member: &Member) -> Option<Time> {
        member.position.map(|known| known.position.plus(self.now.since(known.as_of)))
    }

    /// The member's estimated lag behind the present, in seconds: zero if its position is unknown.
    pub(super) fn estimated_lag_s(&self, member: &Member) -> f64 {
        self.estimated_position(member).map_or(0.0, |position| self.now.since(position).secs())
    }

    /// The last known primary: the member with the newest claim in the group.
    pub(super) fn known_primary(&self, group: GroupId) -> Option<MemberId> {
        let claims = self.members.in_group(group).filter_map(|(id, member)| {
            let known = member.role.filter(|known| known.role == Role::Primary)?;
            Some((known.as_of, id))
        });
        claims.max().map(|(_, id)| id)
    }

    /// The last known primary if requests may be sent there. Without one, the primary is searched for.
    pub(super) fn usable_primary(&self, group: GroupId) -> Option<MemberId> {
        self.known_primary(group).filter(|id| self.members.get(*id).is_some_and(Member::can_lead))
    }
}
