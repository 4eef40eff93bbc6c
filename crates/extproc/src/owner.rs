//! Which of several instances decides an id: rendezvous hashing over a list. Each list counts from a time on,
//! and the id's own time chooses the list, so that a change of it moves no id that was made before.

use crate::id::WriteId;
use basalthill_policy::api::Time;
use sha2::{Digest, Sha256};

/// The instances from a time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// From when it counts.
    pub since: Time,
    /// The instances' names.
    pub names: Vec<String>,
}

/// The lists in force, by the times of ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    rosters: Vec<Roster>,
}

impl Owners {
    /// The lists; their order does not matter.
    pub fn new(mut rosters: Vec<Roster>) -> Owners {
        rosters.sort_by_key(|r| r.since);
        Owners { rosters }
    }

    /// The instance that decides an id; none if no list counts for it.
    pub fn owner(&self, id: WriteId) -> Option<&str> {
        let made = id.made();
        let roster = self.rosters.iter().rev().find(|r| r.since <= made)?;
        let weight = |name: &str| {
            let mut hash = Sha256::new();
            hash.update(id.bits().to_be_bytes());
            hash.update(name.as_bytes());
            hash.finalize()
        };
        roster.names.iter().map(String::as_str).max_by_key(|name| (weight(name), *name))
    }
}
