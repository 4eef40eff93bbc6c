//! A snapshot that an earlier release wrote can be restored, and the same sessions are still written as the
//! same bytes.
//!
//! `fixtures/snapshot-0ea1ef4.bin` was written by the code of commit 0ea1ef4: a temporary test called
//! `filled`, passed the result to `snapshot::write` with the time `STOPPED` and the name `ROUTER`, and stored
//! the bytes. The file is never generated again: a change of the format needs a format number and a fixture
//! of its own.

mod common;

use basalthill_policy::api::{GroupId, Time};
use basalthill_session::snapshot::{restore, write};
use basalthill_session::{DefaultFloor, PlatformFloors, SessionConfig, Sessions, TokenDelivery};
use common::{read_floor, request, settled_write, TABLE_BYTES};

const FIXTURE: &[u8] = include_bytes!("fixtures/snapshot-0ea1ef4.bin");
const ROUTER: &str = "router-7";
const SKEW: Time = Time::ms(5);
const SETTLE_TIME: Time = Time::ms(2000);
/// The process whose sessions the snapshot holds started then (Unix time).
const STARTED: Time = Time::ms(1_767_225_600_000);
/// It stopped then, and wrote the snapshot.
const STOPPED: Time = Time::ms(1_767_225_900_000);
/// Seed of the table of the process that wrote the snapshot.
const SEED: u64 = 5;
const GROUPS: [GroupId; 3] = [GroupId(1), GroupId(7), GroupId(4_000_000_000)];
/// Sessions with one settled write in each group.
const SETTLED: u64 = 40;
/// Sessions whose writes are all older than those of the settled ones: more than the table has slots for.
const EVICTED: std::ops::Range<u64> = 1000..1600;
/// A session with a write that ended without a known outcome, in the first group.
const UNCERTAIN: u64 = 500;
/// Sessions with a write in flight at the stop, in the last group.
const IN_FLIGHT: [u64; 3] = [601, 602, 603];

fn config() -> SessionConfig {
    SessionConfig {
        default_floor: DefaultFloor::RouterStart,
        skew: SKEW,
        settle_time: SETTLE_TIME,
        lead: Time::ms(50),
        token_delivery: TokenDelivery::Never,
        early_tokens: false,
        keys: None,
    }
}

fn router(now: Time, seed: u64) -> Sessions {
    Sessions::new(now, PlatformFloors::FromRequest, Some(config()), TABLE_BYTES, seed)
}

/// The commit of a settled session's write; a part of a millisecond is rounded up when it is stored.
fn committed(group: usize, session: u64) -> Time {
    let ms = 200_000 + session * 100 + group as u64 * 7;
    STARTED.plus(Time::ms(ms)).plus(Time(1 + session % 2 * 999_999))
}

/// The commit of an evicted session's write: between 10 s and 16 s after the start.
fn committed_early(session: u64) -> Time {
    STARTED.plus(Time::ms(10_000 + (session - EVICTED.start) * 10))
}

/// The sessions of the process that wrote the snapshot, as they were when it stopped.
fn filled() -> Sessions {
    let mut sessions = router(STARTED, SEED);
    for session in EVICTED {
        settled_write(&mut sessions, GROUPS[1], session, committed_early(session));
    }
    for session in 0..SETTLED {
        for (n, group) in GROUPS.into_iter().enumerate() {
            settled_write(&mut sessions, group, session, committed(n, session));
        }
    }
    let uncertain_at = STARTED.plus(Time::ms(250_000));
    let uncertain = request(GROUPS[0], UNCERTAIN, STARTED);
    let mut tracked = sessions.begin_request(uncertain_at, &uncertain, true);
    tracked.outcome_unknown = true;
    sessions.end_request(uncertain_at, uncertain.group, &tracked);
    for session in IN_FLIGHT {
        let arrived_at = STARTED.plus(Time::ms(299_900));
        sessions.begin_request(arrived_at, &request(GROUPS[2], session, STARTED), true);
    }
    sessions
}

/// The floor of a session's read at a router that was restored from the file, ten seconds after the stop.
fn restored_floor(sessions: &mut Sessions, group: GroupId, session: u64) -> Time {
    read_floor(sessions, STOPPED.plus(Time::ms(10_000)), group, session)
}

fn restored() -> Sessions {
    let now = STOPPED.plus(Time::ms(3000));
    // A start with another seed: the table's comes with the snapshot.
    let mut sessions = router(now, SEED + 72);
    assert_eq!(restore(&mut sessions, now, ROUTER, Time::ms(60_000), FIXTURE), Ok(()));
    sessions
}

fn rounded_up_to_ms(at: Time) -> Time {
    Time(at.0.div_ceil(1_000_000) * 1_000_000)
}

#[test]
fn the_floor_of_each_session_of_an_earlier_releases_snapshot_is_restored() {
    let mut sessions = restored();
    for session in 0..SETTLED {
        for (n, group) in GROUPS.into_iter().enumerate() {
            let floor = restored_floor(&mut sessions, group, session);
            assert_eq!(floor, rounded_up_to_ms(committed(n, session)), "session {session}, {group:?}");
        }
    }
    let settled = |ended_ms| STARTED.plus(Time::ms(ended_ms)).plus(SETTLE_TIME).plus(SKEW);
    assert_eq!(restored_floor(&mut sessions, GROUPS[0], UNCERTAIN), settled(250_000));
    for session in IN_FLIGHT {
        assert_eq!(restored_floor(&mut sessions, GROUPS[2], session), settled(300_000), "session {session}");
    }
    // Never seen by the earlier process: its start is the floor, or what was evicted from the same bucket.
    let newest_evicted = committed_early(EVICTED.end - 1);
    let unknown = restored_floor(&mut sessions, GROUPS[0], 99_999);
    assert!(unknown >= settled(0) && unknown <= newest_evicted, "{unknown:?}");
}

#[test]
fn evicted_sessions_of_an_earlier_releases_snapshot_get_no_lower_floor_than_their_writes() {
    let mut sessions = restored();
    let newest_evicted = committed_early(EVICTED.end - 1);
    let mut raised = 0;
    for session in EVICTED {
        let floor = restored_floor(&mut sessions, GROUPS[1], session);
        assert!(floor >= committed_early(session), "session {session}: {floor:?}");
        assert!(floor <= newest_evicted, "session {session}: {floor:?}");
        raised += u32::from(floor > committed_early(session));
    }
    assert!(raised > 100, "the table did overflow: {raised} floors were raised");
}

#[test]
fn the_same_sessions_are_written_as_the_same_bytes_as_by_an_earlier_release() {
    assert_eq!(write(&mut filled(), STOPPED, ROUTER), FIXTURE);
}
