//! Leases and owners.

use basalthill_extproc::lease::{Lease, Strays, StreamId};
use basalthill_extproc::{LeaseId, LeaseOutcome, Leases, Owners, Roster, WriteId};
use basalthill_policy::api::*;
use std::collections::{BTreeMap, BTreeSet};

const START: Time = Time::ms(1_767_225_600_000);

fn lease(stream: u64, given: Time, ms: u64) -> Lease {
    let (request, attempt, member) = (RequestId(stream), Attempt(0), MemberId(1));
    Lease { stream: StreamId(stream), request, attempt, member, given, ends: given.plus(Time::ms(ms)) }
}

#[test]
fn each_end_of_a_lease_is_one_status_and_proves_what_the_note_says() {
    let told = [
        (LeaseOutcome::Served, Status::Ok, false),
        (LeaseOutcome::Misdirected, Status::Misdirected, true),
        (LeaseOutcome::Rejected, Status::Overloaded, true),
        (LeaseOutcome::Error, Status::Error, false),
        (LeaseOutcome::ConnectFailed, Status::ConnectFailed, true),
        (LeaseOutcome::NotSent, Status::NotSent, true),
    ];
    let mut leases = Leases::default();
    for (told, status, unrun) in told {
        let id = leases.give(lease(1, START, 500));
        let ended = leases.told(START, StreamId(1), id, told, ReplicationState::default()).unwrap();
        assert_eq!((ended.status, ended.status.proves_not_executed()), (status, unrun), "{told:?}");
        assert_eq!(leases.told(START, StreamId(1), id, told, ReplicationState::default()), None, "once");
    }
    let id = leases.give(lease(1, START, 500));
    assert_eq!(
        leases.told(START, StreamId(2), id, LeaseOutcome::NotSent, ReplicationState::default()),
        None,
        "another's"
    );
    assert_eq!(
        leases.told(START, StreamId(1), LeaseId(999), LeaseOutcome::Served, ReplicationState::default()),
        None
    );
    assert_eq!(leases.take_strays(), Strays { unknown: 7, others: 1 });
    // Told in the very moment of its end: it has timed out, and what is told late proves nothing.
    let ends = START.plus(Time::ms(500));
    assert_eq!(leases.told(ends, StreamId(1), id, LeaseOutcome::NotSent, ReplicationState::default()), None);
    let over = leases.expire(ends);
    assert_eq!((over.len(), over[0].status), (1, Status::Timeout));
    leases.give(lease(3, START, 500));
    leases.give(lease(3, START, 900));
    leases.give(lease(4, START, 700));
    let over = leases.stream_ended(StreamId(3));
    assert!(over.len() == 2 && over.iter().all(|e| e.status == Status::Reset));
    assert_eq!((leases.len(), leases.next_due()), (1, Some(START.plus(Time::ms(700)))));
}

#[test]
fn whatever_proxies_do_each_lease_ends_once_and_none_outlives_its_end() {
    let mut random = 5u64;
    let mut below = |n: u64| {
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random >> 33) % n
    };
    let (mut leases, mut now) = (Leases::default(), START);
    let (mut given, mut ended): (BTreeMap<LeaseId, Lease>, BTreeSet<RequestId>) = Default::default();
    for n in 0..50_000u64 {
        now = now.plus(Time::ms(below(4)));
        let over = match below(10) {
            0..=4 => {
                let one = Lease { request: RequestId(n), ..lease(below(40), now, 1 + below(300)) };
                given.insert(leases.give(one), one);
                Vec::new()
            }
            5..=7 => {
                let id = LeaseId(below(given.len() as u64 + 3));
                let stream = given.get(&id).map_or(StreamId(0), |l| l.stream);
                let stream = if below(5) == 0 { StreamId(below(40)) } else { stream };
                leases
                    .told(now, stream, id, LeaseOutcome::Served, ReplicationState::default())
                    .into_iter()
                    .collect()
            }
            8 => leases.stream_ended(StreamId(below(40))),
            _ => leases.expire(now),
        };
        for end in over {
            assert!(ended.insert(end.lease.request), "ended twice: {end:?}");
            assert!(end.status == Status::Timeout || end.status == Status::Reset || now < end.lease.ends);
        }
        assert_eq!(leases.len() + ended.len(), given.len());
    }
    leases.expire(now.plus(Time::ms(301)));
    assert!(leases.is_empty() && leases.next_due().is_none());
}

#[test]
fn an_id_has_one_owner_for_good_whatever_becomes_of_the_list() {
    let id = |ms: u64, n: u64| {
        let made = u128::from(START.0 / 1_000_000 + ms);
        WriteId::new(made << 80 | 7 << 76 | 2 << 62 | u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 2))
            .unwrap()
    };
    let roster = |ms: u64, names: &[&str]| Roster {
        since: START.plus(Time::ms(ms)),
        names: names.iter().map(|n| n.to_string()).collect(),
    };
    let before = Owners::new(vec![roster(0, &["a", "b", "c"])]);
    let after = Owners::new(vec![roster(5000, &["a", "b", "c", "d"]), roster(0, &["a", "b", "c"])]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut moved = 0;
    for n in 0..4000 {
        assert_eq!(before.owner(id(4999, n)), after.owner(id(4999, n)), "made before the change");
        let (old, new) = (before.owner(id(5000, n)).unwrap(), after.owner(id(5000, n)).unwrap());
        assert!(old == new || new == "d", "only to the one that came");
        moved += u32::from(old != new);
        *counts.entry(new.to_string()).or_default() += 1;
    }
    assert!(counts.len() == 4 && counts.values().all(|n| (850..1150).contains(n)), "{counts:?}");
    assert_eq!(moved, counts["d"]);
    assert_eq!(Owners::default().owner(id(1, 1)), None);
    assert_eq!(Owners::new(vec![roster(1000, &["a"])]).owner(id(999, 1)), None, "before any list");
}
