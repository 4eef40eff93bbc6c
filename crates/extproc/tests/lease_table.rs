//! The ways in which leases end, and the status of each.

mod common;

use basalthill_extproc::{EndedLease, IgnoredReports, Lease, LeaseId, LeaseOutcome, LeaseTable, StreamId};
use basalthill_policy::api::{Attempt, MemberId, ReplicationState, RequestId, Status, Time};
use common::{RandomNumbers, START};
use std::collections::{BTreeMap, BTreeSet};

fn lease(stream: u64, granted_at: Time, ms: u64) -> Lease {
    Lease {
        stream: StreamId(stream),
        request: RequestId(stream),
        attempt: Attempt(0),
        member: MemberId(1),
        granted_at,
        expires_at: granted_at.plus(Time::ms(ms)),
    }
}

/// Reports an outcome on a stream, without a replication state of the member.
fn report(
    leases: &mut LeaseTable,
    now: Time,
    stream: u64,
    id: LeaseId,
    outcome: LeaseOutcome,
) -> Option<EndedLease> {
    leases.report(now, StreamId(stream), id, outcome, ReplicationState::default())
}

#[test]
fn each_lease_end_yields_the_documented_status_and_proof_of_non_execution() {
    let outcomes = [
        (LeaseOutcome::Served, Status::Ok, false),
        (LeaseOutcome::Misdirected, Status::Misdirected, true),
        (LeaseOutcome::Rejected, Status::Overloaded, true),
        (LeaseOutcome::Error, Status::Error, false),
        (LeaseOutcome::ConnectFailed, Status::ConnectFailed, true),
        (LeaseOutcome::NotSent, Status::NotSent, true),
    ];
    let mut leases = LeaseTable::default();
    for (outcome, status, not_executed) in outcomes {
        let id = leases.grant(lease(1, START, 500));
        let ended = report(&mut leases, START, 1, id, outcome).unwrap();
        assert_eq!((ended.status, ended.status.proves_not_executed()), (status, not_executed), "{outcome:?}");
        assert_eq!(report(&mut leases, START, 1, id, outcome), None, "a lease ends only once");
    }
    let id = leases.grant(lease(1, START, 500));
    assert_eq!(
        report(&mut leases, START, 2, id, LeaseOutcome::NotSent),
        None,
        "the lease belongs to another stream"
    );
    assert_eq!(report(&mut leases, START, 1, LeaseId(999), LeaseOutcome::Served), None);
    assert_eq!(leases.take_ignored_reports(), IgnoredReports { unknown_lease: 7, other_stream: 1 });
    // A report at the time of expiry is too late: the lease has timed out, and the report proves nothing.
    let expires_at = START.plus(Time::ms(500));
    assert_eq!(report(&mut leases, expires_at, 1, id, LeaseOutcome::NotSent), None);
    let expired = leases.expire(expires_at);
    assert_eq!((expired.len(), expired[0].status), (1, Status::Timeout));
    leases.grant(lease(3, START, 500));
    leases.grant(lease(3, START, 900));
    leases.grant(lease(4, START, 700));
    let closed = leases.close_stream(StreamId(3));
    assert!(closed.len() == 2 && closed.iter().all(|ended| ended.status == Status::Reset), "{closed:?}");
    assert_eq!((leases.len(), leases.next_expiry()), (1, Some(START.plus(Time::ms(700)))));
}

#[test]
fn each_lease_ends_once_and_none_outlives_its_expiry() {
    let mut random = RandomNumbers::with_seed(5);
    let mut leases = LeaseTable::default();
    let mut now = START;
    let mut granted: BTreeMap<LeaseId, Lease> = BTreeMap::new();
    let mut ended: BTreeSet<RequestId> = BTreeSet::new();
    for n in 0..50_000u64 {
        now = now.plus(Time::ms(random.below(4)));
        let just_ended = match random.below(10) {
            0..=4 => {
                let lease = lease(random.below(40), now, 1 + random.below(300));
                let lease = Lease { request: RequestId(n), ..lease };
                granted.insert(leases.grant(lease), lease);
                Vec::new()
            }
            5..=7 => {
                let id = LeaseId(random.below(granted.len() as u64 + 3));
                let stream = granted.get(&id).map_or(0, |lease| lease.stream.0);
                let stream = if random.below(5) == 0 { random.below(40) } else { stream };
                report(&mut leases, now, stream, id, LeaseOutcome::Served).into_iter().collect()
            }
            8 => leases.close_stream(StreamId(random.below(40))),
            _ => leases.expire(now),
        };
        for end in just_ended {
            assert!(ended.insert(end.lease.request), "the lease ended twice: {end:?}");
            let may_end_at_expiry = end.status == Status::Timeout || end.status == Status::Reset;
            assert!(may_end_at_expiry || now < end.lease.expires_at, "an outcome after the expiry: {end:?}");
        }
        assert_eq!(leases.len() + ended.len(), granted.len());
    }
    leases.expire(now.plus(Time::ms(301)));
    assert!(leases.is_empty() && leases.next_expiry().is_none(), "{} leases have not ended", leases.len());
}
