//! Tests of the table of session floors.

mod common;

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::{FloorTable, BUCKET_BYTES};
use common::{DAY, GROUP, START};
use proptest::prelude::Rng;
use proptest::test_runner::{RngAlgorithm, TestRng};
use std::collections::BTreeMap;

#[test]
fn eviction_raises_floors_and_never_lowers_one() {
    // 1100 sessions in three groups, for 112 slots.
    let mut table = FloorTable::new(START, 16 * BUCKET_BYTES, 3);
    let mut written = BTreeMap::new();
    let mut evictions = 0;
    let mut numbers = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    for n in 0..20_000 {
        let random = numbers.next_u64();
        let group = GroupId((random % 3) as u32);
        let session = SessionKey(random % 1100);
        // Most commits are later than all earlier ones. Every eleventh is at a random time in the first
        // second.
        let commit = START.plus(Time::ms(if n % 11 == 0 { random % 1000 } else { n }));
        table.raise(group, session, commit);
        let last = written.entry((group, session)).or_insert(commit);
        *last = commit.max(*last);
        evictions += table.take_evictions();
        if n % 97 == 0 {
            for ((group, session), commit) in &written {
                let entry = table.get(*group, *session);
                assert!(
                    entry.exact.max(Some(entry.evicted)) >= Some(*commit),
                    "step {n}, {group:?}, {session:?}: {entry:?} is below the commit at {commit:?}"
                );
            }
        }
    }
    assert!(evictions > 1000, "only {evictions} evictions raised a shared floor");
    assert_eq!(table.bytes(), 16 * BUCKET_BYTES);
    // The newest session has a slot, and the shared floor of evicted sessions is older.
    let newest = written.values().max().unwrap();
    let ((group, session), _) = written.iter().find(|(_, commit)| *commit == newest).unwrap();
    let entry = table.get(*group, *session);
    assert_eq!(entry.exact, Some(*newest));
    assert!(entry.evicted < newest.minus(Time::ms(50)), "the lowest floors are evicted first: {entry:?}");
}

#[test]
fn floors_survive_rebasing_in_a_router_that_runs_for_months() {
    let mut table = FloorTable::new(START, 1 << 16, 3);
    let month_before = START.minus(Time(DAY.0 * 30));
    table.raise(GROUP, SessionKey(1), START.minus(DAY));
    table.raise(GROUP, SessionKey(2), month_before);
    let old = table.get(GROUP, SessionKey(2)).exact.unwrap();
    assert!(old >= month_before, "a floor older than 12 days is raised to the first tick, got {old:?}");
    assert!(old < table.get(GROUP, SessionKey(1)).exact.unwrap(), "{old:?} is not below a later floor");
    for day in 1..120u64 {
        let now = START.plus(Time(DAY.0 * day));
        table.raise(GROUP, SessionKey(1000 + day), now);
        assert_eq!(table.get(GROUP, SessionKey(1000 + day)).exact, Some(now), "day {day}");
        let first = table.get(GROUP, SessionKey(1)).exact.unwrap();
        assert!(
            first >= START.minus(DAY) && first <= now,
            "day {day}: the floor {first:?} is below the stored one or in the future"
        );
        assert_eq!(table.get(GROUP, SessionKey(999)).exact, None);
    }
}
