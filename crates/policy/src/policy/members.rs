//! The members that the endpoint list has named, by id and by group.

use super::member::Member;
use crate::api::{GroupId, MemberId, Time};
use std::collections::BTreeMap;

/// A draining member without attempts in flight is left out of its group after this long. Members come and go
/// for weeks: a group that listed them all would cost each request more and more.
const LEAVES_GROUP_AFTER: Time = Time::ms(30_000);

/// All known members and the groups that they form.
pub(super) struct Members {
    by_id: BTreeMap<MemberId, Member>,
    /// The members of each group that may still be of use, in the order of their ids.
    groups: BTreeMap<GroupId, Vec<MemberId>>,
    /// The weight of all members that stay, at least 1.
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

    /// The member of this id, made by `new` if it is not known yet.
    pub(super) fn get_or_insert_with(&mut self, id: MemberId, new: impl FnOnce() -> Member) -> &mut Member {
        self.by_id.entry(id).or_insert_with(new)
    }

    /// All members in the order of their ids, with those that have left their groups.
    pub(super) fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.by_id.iter().map(|(id, member)| (*id, member))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut Member)> {
        self.by_id.iter_mut().map(|(id, member)| (*id, member))
    }

    /// The members of a group in the order of their ids.
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

    /// The weight of all members that stay, at least 1.
    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Forms the groups and adds up the weights anew after members have changed.
    pub(super) fn regroup(&mut self, now: Time) {
        self.groups.clear();
        for (id, member) in &self.by_id {
            let left = member.draining_since.is_some_and(|since| now.since(since) > LEAVES_GROUP_AFTER);
            if member.in_flight > 0 || !left {
                self.groups.entry(member.group).or_default().push(*id);
            }
        }
        let staying = self.by_id.values().filter(|member| member.draining_since.is_none());
        self.total_weight = staying.map(|member| member.weight).sum::<f64>().max(1.0);
    }
}
