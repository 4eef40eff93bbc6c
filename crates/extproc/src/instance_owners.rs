//! Which of several instances decides a write: rendezvous hashing over a list of instances. Each list applies
//! from a time on, and the id's own time chooses the list: a change of the list moves no id that was created
//! before it.

use crate::write_id::WriteId;
use basalthill_policy::api::Time;
use sha2::{Digest, Sha256};

/// The instances from a time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceList {
    /// From when on the list applies (Unix time).
    pub since: Time,
    /// The instances' names.
    pub names: Vec<String>,
}

/// The lists of instances, each for the ids created while it applies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceOwners {
    /// Sorted by `since`.
    lists: Vec<InstanceList>,
}

impl InstanceOwners {
    /// Owners by these lists, in any order.
    pub fn new(mut lists: Vec<InstanceList>) -> InstanceOwners {
        lists.sort_by_key(|list| list.since);
        InstanceOwners { lists }
    }

    /// The name of the instance that decides a write; none if no list applies to its id.
    pub fn owner(&self, id: WriteId) -> Option<&str> {
        let created_at = id.created_at();
        let list = self.lists.iter().rev().find(|list| list.since <= created_at)?;
        list.names.iter().map(String::as_str).max_by_key(|name| (rendezvous_weight(id, name), *name))
    }
}

/// The weight of an instance for an id: the instance with the highest one is the owner.
fn rendezvous_weight(id: WriteId, name: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(id.bits().to_be_bytes());
    hash.update(name.as_bytes());
    hash.finalize().into()
}
