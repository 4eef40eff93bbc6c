//! Assignment of writes to instances by rendezvous hashing over a list of instances. Each list is valid from
//! a given time on, and the creation time of a write's id selects the list. A new list therefore does not
//! change the owner of any id that was created before the list became valid.

use crate::write_id::WriteId;
use basalthill_policy::api::Time;
use sha2::{Digest, Sha256};

/// The instances that are valid from a given time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceList {
    /// The time from which on the list is valid (Unix time).
    pub since: Time,
    /// The names of the instances.
    pub names: Vec<String>,
}

/// The lists of instances. Each is used for the ids that were created while it was valid.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceOwners {
    /// Sorted by `since`.
    lists: Vec<InstanceList>,
}

impl InstanceOwners {
    /// Creates the owners from lists in any order.
    pub fn new(mut lists: Vec<InstanceList>) -> InstanceOwners {
        lists.sort_by_key(|list| list.since);
        InstanceOwners { lists }
    }

    /// Returns the name of the instance that decides a write, or `None` if its id was created before the
    /// first list became valid.
    pub fn owner(&self, id: WriteId) -> Option<&str> {
        let created_at = id.created_at();
        let list = self.lists.iter().rev().find(|list| list.since <= created_at)?;
        list.names.iter().map(String::as_str).max_by_key(|name| (rendezvous_weight(id, name), *name))
    }
}

/// Returns the weight of an instance for an id. The instance with the highest weight is the owner.
fn rendezvous_weight(id: WriteId, name: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(id.bits().to_be_bytes());
    hash.update(name.as_bytes());
    hash.finalize().into()
}
