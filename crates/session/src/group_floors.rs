//! The floors of one session, by group, for a bounded number of groups.

use basalthill_policy::api::{GroupId, Time};

/// Groups with a floor of their own in one session; further groups have one floor in common.
pub const MAX_GROUPS: usize = 8;

/// The positions that a session's reads must see, by group. The lowest floors beyond [`MAX_GROUPS`] are
/// merged into one floor for all groups that have none of their own; it is never lower than what was merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupFloors {
    /// Sorted by group; each floor is above `other_groups`.
    by_group: Vec<GroupFloor>,
    other_groups: Time,
}

/// The floor of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupFloor {
    /// The group.
    pub group: GroupId,
    /// The position that reads in it must see.
    pub floor: Time,
}

impl GroupFloors {
    /// The floor in a group; zero if there is none.
    pub fn get(&self, group: GroupId) -> Time {
        let entry = self.by_group.iter().find(|entry| entry.group == group);
        entry.map_or(self.other_groups, |entry| entry.floor)
    }

    /// Raises the floor in a group; it never sinks.
    pub fn raise(&mut self, group: GroupId, floor: Time) {
        if floor > self.other_groups {
            self.raise_entry(group, floor);
        }
        if self.by_group.len() > MAX_GROUPS {
            let lowest = self.by_group.iter().map(|entry| entry.floor).min();
            self.raise_other_groups(lowest.unwrap_or_default());
        }
    }

    /// Raises the entry of one group, or adds it.
    fn raise_entry(&mut self, group: GroupId, floor: Time) {
        match self.by_group.binary_search_by_key(&group, |entry| entry.group) {
            Ok(index) => {
                let entry = &mut self.by_group[index];
                entry.floor = entry.floor.max(floor);
            }
            Err(index) => self.by_group.insert(index, GroupFloor { group, floor }),
        }
    }

    /// Raises the floor of all groups. Entries that are no longer above it are removed.
    pub fn raise_other_groups(&mut self, floor: Time) {
        self.other_groups = self.other_groups.max(floor);
        let other_groups = self.other_groups;
        self.by_group.retain(|entry| entry.floor > other_groups);
    }

    /// Raises each floor to that of `other` where that is higher.
    pub fn merge(&mut self, other: &GroupFloors) {
        // Groups without an entry in `other` are under its common floor.
        for entry in &mut self.by_group {
            entry.floor = entry.floor.max(other.other_groups);
        }
        // Groups with an entry in `other` only must not sink below the common floor here.
        for entry in &other.by_group {
            self.raise(entry.group, entry.floor);
        }
        self.raise_other_groups(other.other_groups);
    }

    /// The groups with a floor of their own, sorted by group.
    pub fn by_group(&self) -> &[GroupFloor] {
        &self.by_group
    }

    /// The floor of all other groups.
    pub fn other_groups(&self) -> Time {
        self.other_groups
    }
}
