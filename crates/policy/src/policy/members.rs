//! The table of the members that endpoint lists have named, by id and by group.

use super::member::Member;
use crate::api::{GroupId, MemberId, Time};
use std::collections::BTreeMap;

/// How long after a member starts to drain it is removed from its group, unless it has attempts in flight. A
/// router runs for weeks while members are added and removed: if a group kept the removed ones, the cost of
/// each request would grow without bound.
const GROUP_REMOVAL_DELAY: Time = Time::ms(30_000);

/// All known members and the groups that they form.
pub(super) struct Members {
    by_id: BTreeMap<MemberId, Member>,
    /// The members of each group, ordered by id, without those that began to drain more than
    /// [`GROUP_REMOVAL_DELAY`] ago and have no attempts in flight.
    groups: BTreeMap<GroupId, Vec<MemberId>>,
    /// The total weight of all members that are not draining, at least 1.
    total_weight: f64,
}

impl Default for Members {
    fn default() -> Members {
        Members { by_id: BTreeMap::new(), groups: BTreeMap::new(), total_weight: 1.0 }
    }
}

impl Members {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(super) fn get(&self, id: MemberId) -> Option<&Member> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.by_id.get_mut(&id)
    }

    /// Returns the member with this id, inserting the result of `new` if there is none.
    pub(super) fn get_or_insert_with(&mut self, id: MemberId, new: impl FnOnce() -> Member) -> &mut Member {
        self.by_id.entry(id).or_insert_with(new)
    }

    /// Iterates over all members ordered by id, including those removed from their groups.
    pub(super) fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.by_id.iter().map(|(id, member)| (*id, member))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut Member)> {
        self.by_id.iter_mut().map(|(id, member)| (*id, member))
    }

    /// Iterates over the members of a group, ordered by id.
    pub(super) fn in_group(&self, group: GroupId) -> impl Iterator<Item = (MemberId, &Member)> {
        let ids = self.groups.get(&group).into_iter().flatten();
        ids.filter_map(|id| self.by_id.get(id).map(|member| (*id, member)))
    }

    pub(super) fn has_group(&self, group: GroupId) -> bool {
        self.groups.contains_key(&group)
    }

    pub(super) fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// Returns the total weight of all members that are not draining, at least 1.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Recomputes the groups and the total weight after members have changed.
    pub(super) fn regroup(&mut self, now: Time) {
        self.groups.clear();
        for (id, member) in &self.by_id {
            let drained = member.draining_since.is_some_and(|since| now.since(since) > GROUP_REMOVAL_DELAY);
            if member.in_flight > 0 || !drained {
                self.groups.entry(member.group).or_default().push(*id);
            }
        }
        let not_draining = self.by_id.values().filter(|member| member.draining_since.is_none());
        self.total_weight = not_draining.map(|member| member.weight).sum::<f64>().max(1.0);
    }
}
