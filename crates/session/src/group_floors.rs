//! The floors of one session by group, in bounded memory.

use basalthill_policy::api::{GroupId, Time};

/// Maximum number of groups with a separate floor in one session. All other groups share one floor.
pub const MAX_GROUPS: usize = 8;

/// The read floors of one session, by group. When there are more than [`MAX_GROUPS`], the lowest ones are
/// merged into one floor that is shared by all groups without a separate floor. The shared floor is never
/// lower than any floor that was merged into it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupFloors {
    /// Sorted by group; each floor is above `other_groups`.
    by_group: Vec<GroupFloor>,
    /// The shared floor of all groups that are not in `by_group`.
    other_groups: Time,
}

/// The floor of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupFloor {
    /// The group.
    pub group: GroupId,
    /// The log position that a member must have applied to serve a read in this group.
    pub floor: Time,
}

impl GroupFloors {
    /// Returns the floor in a group; zero if there is none.
    pub fn get(&self, group: GroupId) -> Time {
        let entry = self.by_group.iter().find(|entry| entry.group == group);
        entry.map_or(self.other_groups, |entry| entry.floor)
    }

    /// Raises the floor in a group. A value below the current floor has no effect.
    pub fn raise(&mut self, group: GroupId, floor: Time) {
        if floor > self.other_groups {
            self.raise_entry(group, floor);
        }
        if self.by_group.len() > MAX_GROUPS {
            let lowest = self.by_group.iter().map(|entry| entry.floor).min();
            self.raise_other_groups(lowest.unwrap_or_default());
        }
    }

    /// Raises the entry of a group, or adds an entry.
    fn raise_entry(&mut self, group: GroupId, floor: Time) {
        match self.by_group.binary_search_by_key(&group, |entry| entry.group) {
            Ok(index) => {
                let entry = &mut self.by_group[index];
                entry.floor = entry.floor.max(floor);
            }
            Err(index) => self.by_group.insert(index, GroupFloor { group, floor }),
        }
    }

    /// Raises the shared floor, and with it the floor of every group that is below it. Entries that are no
    /// longer above the shared floor are removed.
    pub fn raise_other_groups(&mut self, floor: Time) {
        self.other_groups = self.other_groups.max(floor);
        let other_groups = self.other_groups;
        self.by_group.retain(|entry| entry.floor > other_groups);
    }

    /// Raises each floor to the floor of the same group in `other`, if that is higher.
    pub fn merge(&mut self, other: &GroupFloors) {
        // The floor in `other` of a group without an entry there is the shared floor of `other`.
        for entry in &mut self.by_group {
            entry.floor = entry.floor.max(other.other_groups);
        }
        // `raise` ignores entries of `other` that are not above the shared floor here: they would lower the
        // floors of their groups.
        for entry in &other.by_group {
            self.raise(entry.group, entry.floor);
        }
        self.raise_other_groups(other.other_groups);
    }

    /// Returns the groups with a separate floor, sorted by group.
    pub fn by_group(&self) -> &[GroupFloor] {
        &self.by_group
    }

    /// Returns the shared floor of all other groups.
    pub fn other_groups(&self) -> Time {
        self.other_groups
    }
}
