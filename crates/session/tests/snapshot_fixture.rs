//! A snapshot that an earlier release wrote can be restored, and the same sessions are still encoded to the
//! same bytes.
//!
//! `fixtures/snapshot-0ea1ef4.bin` was written by the code of commit 0ea1ef4: a temporary test passed the
//! result of `sessions_at_shutdown` to `snapshot::write`, with the time `STOPPED_AT` and the name `ROUTER`,
//! and stored the bytes. The file must never be generated again: a change of the format needs a new format
//! number and a new fixture.

mod common;

use basalthill_policy::api::{GroupId, Time};
use basalthill_session::snapshot::{restore, write};
use basalthill_session::{DefaultFloor, PlatformFloors, SessionConfig, Sessions, TokenDelivery};
use common::{read_floor, request, settled_write, TABLE_BYTES};

const FIXTURE: &[u8] = include_bytes!("fixtures/snapshot-0ea1ef4.bin");
const ROUTER: &str = "router-7";
const SKEW: Time = Time::ms(5);
const SETTLE_TIME: Time = Time::ms(2000);
/// The time at which the process that wrote the snapshot started (Unix time).
const STARTED_AT: Time = Time::ms(1_767_225_600_000);
/// The time at which that process was shut down and wrote the snapshot.
const STOPPED_AT: Time = Time::ms(1_767_225_900_000);
/// The seed of that process's floor table.
const SEED: u64 = 5;
const GROUPS: [GroupId; 3] = [GroupId(1), GroupId(7), GroupId(4_000_000_000)];
/// Number of sessions with one settled write in each group. Their keys count from zero.
const SETTLED_SESSIONS: u64 = 40;
/// Keys of sessions with writes older than those of the settled sessions. There are more of them than slots
/// in the table, so that some are evicted.
const EVICTED_SESSIONS: std::ops::Range<u64> = 1000..1600;
/// Key of a session with a write of unknown outcome, in the first group.
const UNKNOWN_OUTCOME_SESSION: u64 = 500;
/// Keys of sessions with a write in flight at the shutdown, in the last group.
const IN_FLIGHT_SESSIONS: [u64; 3] = [601, 602, 603];

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

/// Returns the commit time of a settled session's write. It has a fraction of a millisecond, which is rounded
/// up when the floor is stored.
fn settled_commit(group: usize, session: u64) -> Time {
    let ms = 200_000 + session * 100 + group as u64 * 7;
    STARTED_AT.plus(Time::ms(ms)).plus(Time(1 + session % 2 * 999_999))
}

/// Returns the commit time of an evicted session's write, between 10 s and 16 s after the start.
fn evicted_commit(session: u64) -> Time {
    STARTED_AT.plus(Time::ms(10_000 + (session - EVICTED_SESSIONS.start) * 10))
}

/// Returns the sessions of the process that wrote the snapshot, as they were at its shutdown.
fn sessions_at_shutdown() -> Sessions {
    let mut sessions = router(STARTED_AT, SEED);
    for session in EVICTED_SESSIONS {
        settled_write(&mut sessions, GROUPS[1], session, evicted_commit(session));
    }
    for session in 0..SETTLED_SESSIONS {
        for (n, group) in GROUPS.into_iter().enumerate() {
            settled_write(&mut sessions, group, session, settled_commit(n, session));
        }
    }
    let unknown_write_at = STARTED_AT.plus(Time::ms(250_000));
    let unknown_write = request(GROUPS[0], UNKNOWN_OUTCOME_SESSION, STARTED_AT);
    let mut tracked = sessions.begin_request(unknown_write_at, &unknown_write, true);
    tracked.outcome_unknown = true;
    sessions.end_request(unknown_write_at, unknown_write.group, &tracked);
    for session in IN_FLIGHT_SESSIONS {
        let arrived_at = STARTED_AT.plus(Time::ms(299_900));
        sessions.begin_request(arrived_at, &request(GROUPS[2], session, STARTED_AT), true);
    }
    sessions
}

/// Returns the floor of a session's read 10 s after the shutdown, at a router restored from the fixture.
fn restored_floor(sessions: &mut Sessions, group: GroupId, session: u64) -> Time {
    read_floor(sessions, STOPPED_AT.plus(Time::ms(10_000)), group, session)
}

fn restored_sessions() -> Sessions {
    let now = STOPPED_AT.plus(Time::ms(3000));
    // The restarted router has another seed. The snapshot contains the seed of its table.
    let mut sessions = router(now, SEED + 72);
    assert_eq!(restore(&mut sessions, now, ROUTER, Time::ms(60_000), FIXTURE), Ok(()));
    sessions
}

fn rounded_up_to_ms(at: Time) -> Time {
    Time(at.0.div_ceil(1_000_000) * 1_000_000)
}

#[test]
fn a_snapshot_of_an_earlier_release_restores_the_floor_of_each_session() {
    let mut sessions = restored_sessions();
    for session in 0..SETTLED_SESSIONS {
        for (n, group) in GROUPS.into_iter().enumerate() {
            let floor = restored_floor(&mut sessions, group, session);
            assert_eq!(floor, rounded_up_to_ms(settled_commit(n, session)), "session {session}, {group:?}");
        }
    }
    let settled = |ended_ms| STARTED_AT.plus(Time::ms(ended_ms)).plus(SETTLE_TIME).plus(SKEW);
    assert_eq!(restored_floor(&mut sessions, GROUPS[0], UNKNOWN_OUTCOME_SESSION), settled(250_000));
    for session in IN_FLIGHT_SESSIONS {
        assert_eq!(restored_floor(&mut sessions, GROUPS[2], session), settled(300_000), "session {session}");
    }
    // The floor of a session that the earlier process never saw is the start of that process, or the shared
    // floor of the sessions evicted from the same bucket.
    let newest_evicted = evicted_commit(EVICTED_SESSIONS.end - 1);
    let unknown = restored_floor(&mut sessions, GROUPS[0], 99_999);
    assert!(
        unknown >= settled(0) && unknown <= newest_evicted,
        "{unknown:?} is not between {:?} and {newest_evicted:?}",
        settled(0)
    );
}

#[test]
fn a_snapshot_of_an_earlier_release_restores_no_evicted_session_below_its_write() {
    let mut sessions = restored_sessions();
    let newest_evicted = evicted_commit(EVICTED_SESSIONS.end - 1);
    let mut raised = 0;
    for session in EVICTED_SESSIONS {
        let floor = restored_floor(&mut sessions, GROUPS[1], session);
        assert!(floor >= evicted_commit(session), "session {session}: {floor:?} is below its write");
        assert!(floor <= newest_evicted, "session {session}: {floor:?} is above all evicted floors");
        raised += u32::from(floor > evicted_commit(session));
    }
    assert!(raised > 100, "only {raised} floors of evicted sessions were raised");
}

#[test]
fn the_same_sessions_are_encoded_to_the_same_bytes_as_by_an_earlier_release() {
    assert_eq!(write(&mut sessions_at_shutdown(), STOPPED_AT, ROUTER), FIXTURE);
}
