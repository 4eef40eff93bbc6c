//! The search for the primary of a group without a usable one: one queued write at a time is sent to the
//! members in turn. A member that is not the primary rejects the write without executing it, so that the
//! write may be sent to the next one.

use super::member::Member;
use super::pending_request::PendingRequest;
use super::Policy;
use crate::api::*;

/// The minimum interval between two attempts of the search in one group.
const SEARCH_INTERVAL: Time = Time::ms(40);

impl Policy {
    /// Sends one queued write of the group to the next member of the search, if the group has no usable
    /// primary and the search interval has passed.
    pub(super) fn search_primary(&mut self, group: GroupId, out: &mut Vec<Action>) {
        if self.usable_primary(group).is_some() || self.has_searched_recently(group) {
            return;
        }
        let Some((id, write)) = self.queued_write(group) else { return };
        let Some(target) = self.next_search_target(group, write) else { return };
        let now = self.now;
        if let Some(member) = self.members.get_mut(target) {
            member.searched_at = now;
        }
        self.send_attempt(id, target, out);
    }

    fn has_searched_recently(&self, group: GroupId) -> bool {
        let recently = |member: &Member| self.now.since(member.searched_at) < SEARCH_INTERVAL;
        self.members.in_group(group).any(|(_, member)| recently(member))
    }

    /// Returns the queued write with the fewest attempts.
    fn queued_write(&self, group: GroupId) -> Option<(RequestId, &PendingRequest)> {
        let queued = self.queue.in_group(group).filter_map(|id| Some((id, self.requests.get(&id)?)));
        let writes = queued
            .filter(|(_, request)| self.settings.classes[request.class].consistency == Consistency::Write);
        writes.min_by_key(|(_, request)| request.attempts.len())
    }

    /// Returns the member to try next: preferably one without an attempt of this write, then the one that the
    /// search tried longest ago, then one whose log position is unknown, then the most advanced one.
    fn next_search_target(&self, group: GroupId, write: &PendingRequest) -> Option<MemberId> {
        let eligible = self
            .members
            .in_group(group)
            .filter(|(id, member)| member.can_be_primary() && self.may_send(write, *id));
        let next = eligible.min_by_key(|(id, member)| {
            let attempted = write.attempts.iter().any(|attempt| attempt.member == *id);
            // The larger the position, the smaller the key. `None` is smaller than any `Some`.
            let position_key = member.position.map(|known| u64::MAX - known.position.0);
            (attempted, member.searched_at, position_key)
        });
        next.map(|(id, _)| id)
    }
}
