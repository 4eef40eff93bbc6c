//! The search for a primary in a group where none is known: one queued write at a time tries the members in
//! turn. A member that is not the primary rejects the write without executing it, so that the next one may
//! have it.

use super::member::Member;
use super::pending_request::PendingRequest;
use super::Policy;
use crate::api::*;

/// Interval between two attempts of the search in one group.
const SEARCH_INTERVAL: Time = Time::ms(40);

impl Policy {
    /// Sends one queued write of the group to the member whose turn it is, if there is no usable primary.
    pub(super) fn search_primary(&mut self, group: GroupId, out: &mut Vec<Action>) {
        if self.usable_primary(group).is_some() || self.has_searched_lately(group) {
            return;
        }
        let Some((id, write)) = self.queued_write(group) else { return };
        let Some(target) = self.next_in_search(group, write) else { return };
        let now = self.now;
        if let Some(member) = self.members.get_mut(target) {
            member.searched_at = now;
        }
        self.send_attempt(id, target, out);
    }

    fn has_searched_lately(&self, group: GroupId) -> bool {
        let lately = |member: &Member| self.now.since(member.searched_at) < SEARCH_INTERVAL;
        self.members.in_group(group).any(|(_, member)| lately(member))
    }

    /// The queued write with the fewest attempts.
    fn queued_write(&self, group: GroupId) -> Option<(RequestId, &PendingRequest)> {
        let queued = self.queue.in_group(group).filter_map(|id| Some((id, self.requests.get(&id)?)));
        let writes = queued
            .filter(|(_, request)| self.settings.classes[request.class].consistency == Consistency::Write);
        writes.min_by_key(|(_, request)| request.attempts.len())
    }

    /// The member whose turn it is: one that this write has not been to, then the one searched longest ago,
    /// then the most advanced.
    fn next_in_search(&self, group: GroupId, write: &PendingRequest) -> Option<MemberId> {
        let eligible = self
            .members
            .in_group(group)
            .filter(|(id, member)| member.can_lead() && self.may_send(write, *id));
        let turn = eligible.min_by_key(|(id, member)| {
            let attempted = write.attempts.iter().any(|attempt| attempt.member == *id);
            let remaining = member.position.map(|known| u64::MAX - known.position.0);
            (attempted, member.searched_at, remaining)
        });
        turn.map(|(id, _)| id)
    }
}
