//! A snapshot that an earlier release wrote can be restored, and the same sessions are still written as the
//! same bytes.
//!
//! `fixtures/snapshot-0ea1ef4.bin` was written by the code of commit 0ea1ef4: a temporary test called
//! `filled`, passed the result to `snapshot::write` with the time `STOPPED` and the name `ROUTER`, and stored
//! the bytes. The file is never generated again: a change of the format needs a format number and a fixture
//! of its own.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::sessions::{Asked, Handing, Plan, StandIn};
use basalthill_session::snapshot::{restore, write};
use basalthill_session::token::Owner;
use basalthill_session::{Sessions, Tokens};

const FIXTURE: &[u8] = include_bytes!("fixtures/snapshot-0ea1ef4.bin");
const ROUTER: &str = "router-7";
const SKEW: Time = Time::ms(5);
const SETTLE: Time = Time::ms(2000);
/// The process whose sessions the snapshot holds started then (Unix time).
const STARTED: Time = Time::ms(1_767_225_600_000);
/// It stopped then, and wrote the snapshot.
const STOPPED: Time = Time::ms(1_767_225_900_000);
/// Bytes of the table: 64 buckets of seven sessions each.
const TABLE_BYTES: usize = 1 << 12;
/// Seed of the table of the process that wrote the snapshot.
const SEED: u64 = 5;
const GROUPS: [u32; 3] = [1, 7, 4_000_000_000];
/// Sessions with one settled write in each group.
const SETTLED: u64 = 40;
/// Sessions whose writes are all older than those of the settled ones: more than the table has places for.
const EVICTED: std::ops::Range<u64> = 1000..1600;
/// A session with a write that ended without a known outcome, in the first group.
const UNCERTAIN: u64 = 500;
/// Sessions with a write in flight at the stop, in the last group.
const IN_FLIGHT: [u64; 3] = [601, 602, 603];

fn plan() -> Plan {
    let (stand_in, lead, handing) = (StandIn::Router, Time::ms(50), Handing::Never);
    Plan { stand_in, skew: SKEW, settle: SETTLE, lead, handing, early: false, keys: None }
}

fn request(group: u32, session: u64, accepted: Time) -> Asked<'static> {
    let owner = Owner { name: b"", key: SessionKey(session) };
    Asked { owner, group: GroupId(group), after: None, tokens: &[], accepted }
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

fn write_settles(sessions: &mut Sessions, group: u32, session: u64, commit: Time) {
    let asked = request(group, session, STARTED);
    let mut bond = sessions.begin(commit, &asked, true);
    sessions.served(commit, asked.owner, asked.group, &mut bond, Some(commit));
    sessions.end(commit, asked.group, &bond);
}

/// The sessions of the process that wrote the snapshot, as they were when it stopped.
fn filled() -> Sessions {
    let mut sessions = Sessions::new(STARTED, Tokens::Carried, Some(plan()), TABLE_BYTES, SEED);
    for session in EVICTED {
        write_settles(&mut sessions, GROUPS[1], session, committed_early(session));
    }
    for session in 0..SETTLED {
        for (n, group) in GROUPS.into_iter().enumerate() {
            write_settles(&mut sessions, group, session, committed(n, session));
        }
    }
    let uncertain_at = STARTED.plus(Time::ms(250_000));
    let asked = request(GROUPS[0], UNCERTAIN, STARTED);
    let mut bond = sessions.begin(uncertain_at, &asked, true);
    bond.doubt = true;
    sessions.end(uncertain_at, asked.group, &bond);
    for session in IN_FLIGHT {
        sessions.begin(STARTED.plus(Time::ms(299_900)), &request(GROUPS[2], session, STARTED), true);
    }
    sessions
}

/// The floor of a session's read at a router that was restored from the file, ten seconds after the stop.
fn restored_floor(sessions: &mut Sessions, group: u32, session: u64) -> Time {
    let now = STOPPED.plus(Time::ms(10_000));
    let asked = request(group, session, now);
    let bond = sessions.begin(now, &asked, false);
    sessions.floor(now, &asked, &bond).at
}

fn restored() -> Sessions {
    let now = STOPPED.plus(Time::ms(3000));
    // A start with another seed: the table's comes with the snapshot.
    let mut sessions = Sessions::new(now, Tokens::Carried, Some(plan()), TABLE_BYTES, SEED + 72);
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
            assert_eq!(floor, rounded_up_to_ms(committed(n, session)), "session {session}, group {group}");
        }
    }
    let settled = |ended_ms| STARTED.plus(Time::ms(ended_ms)).plus(SETTLE).plus(SKEW);
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
