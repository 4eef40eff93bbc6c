//! Owners of writes when the list of instances changes.

mod common;

use basalthill_extproc::{InstanceList, InstanceOwners, WriteId};
use basalthill_policy::api::Time;
use common::{write_id, START};
use std::collections::BTreeMap;

fn id(created_ms: u64, n: u64) -> WriteId {
    let spread = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 2;
    write_id(START.plus(Time::ms(created_ms)), spread)
}

fn list(since_ms: u64, names: &[&str]) -> InstanceList {
    let names = names.iter().map(|name| name.to_string()).collect();
    InstanceList { since: START.plus(Time::ms(since_ms)), names }
}

#[test]
fn an_id_keeps_its_owner_when_the_instance_list_changes() {
    let before = InstanceOwners::new(vec![list(0, &["a", "b", "c"])]);
    let after = InstanceOwners::new(vec![list(5000, &["a", "b", "c", "d"]), list(0, &["a", "b", "c"])]);
    let mut owned: BTreeMap<String, u32> = BTreeMap::new();
    let mut moved = 0;
    for n in 0..4000 {
        assert_eq!(
            before.owner(id(4999, n)),
            after.owner(id(4999, n)),
            "the id was created before the change"
        );
        let old = before.owner(id(5000, n)).unwrap();
        let new = after.owner(id(5000, n)).unwrap();
        assert!(old == new || new == "d", "id {n} moved from {old} to {new}, not to the added instance d");
        moved += u32::from(old != new);
        *owned.entry(new.to_string()).or_default() += 1;
    }
    assert!(
        owned.len() == 4 && owned.values().all(|n| (850..1150).contains(n)),
        "ids by instance, expected 4 instances with 850 to 1149 each: {owned:?}"
    );
    assert_eq!(moved, owned["d"]);
    assert_eq!(InstanceOwners::default().owner(id(1, 1)), None);
    let owners = InstanceOwners::new(vec![list(1000, &["a"])]);
    assert_eq!(owners.owner(id(999, 1)), None, "the id was created before the first list became valid");
}
