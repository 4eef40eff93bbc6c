//! Positions by group, a bounded number of them.

use basalthill_policy::api::{GroupId, Time};

/// Groups that are told apart; more of them fold into one floor.
pub const MAX_GROUPS: usize = 8;

/// The positions that a session's reads must see. What no longer has a place of its own is folded into one
/// floor for all groups without one: it is never lower than what was folded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupFloors {
    groups: Vec<(GroupId, Time)>,
    rest: Time,
}

impl GroupFloors {
    /// The floor in a group; zero if there is none.
    pub fn get(&self, group: GroupId) -> Time {
        self.groups.iter().find(|(g, _)| *g == group).map_or(self.rest, |(_, floor)| *floor)
    }

    /// Raises the floor in a group.
    pub fn raise(&mut self, group: GroupId, floor: Time) {
        // Below the floor of the rest, a place of its own would lower it.
        let floor = floor.max(self.rest);
        match self.groups.binary_search_by_key(&group, |(g, _)| *g) {
            Ok(i) => self.groups[i].1 = floor.max(self.groups[i].1),
            Err(_) if floor <= self.rest => {}
            Err(i) => self.groups.insert(i, (group, floor)),
        }
        if self.groups.len() > MAX_GROUPS {
            let lowest = self.groups.iter().map(|(_, floor)| *floor).min().unwrap_or_default();
            self.fold(lowest);
        }
    }

    /// Raises the floor of all groups without one of their own. Those that it reaches give their place back.
    pub fn fold(&mut self, floor: Time) {
        self.rest = self.rest.max(floor);
        let rest = self.rest;
        self.groups.retain(|(_, floor)| *floor > rest);
    }

    /// Raises all floors to another's where that is higher.
    pub fn join(&mut self, other: &GroupFloors) {
        let rest = other.rest;
        // Groups named here but not there are under the other's rest.
        self.groups.iter_mut().for_each(|(_, floor)| *floor = rest.max(*floor));
        // Groups named there but not here must not fall under what the rest here was.
        other.groups.iter().for_each(|(group, floor)| self.raise(*group, *floor));
        self.fold(rest);
    }

    /// Groups with a floor of their own, in order.
    pub fn groups(&self) -> &[(GroupId, Time)] {
        &self.groups
    }

    /// The floor of all other groups.
    pub fn rest(&self) -> Time {
        self.rest
    }
}
