//! Floors of sessions with writes in flight or of unknown outcome, and of sessions that the floor table
//! evicted.

mod common;

use basalthill_policy::api::Time;
use basalthill_session::{DefaultFloor, SessionConfig};
use common::{at, config, read_floor, request, router, settled_write, GROUP, START};

#[test]
fn the_read_floor_is_the_arrival_until_writes_in_flight_or_of_unknown_outcome_have_settled() {
    let config = SessionConfig { settle_time: Time::ms(1000), ..config(DefaultFloor::RememberedOnly) };
    let mut sessions = router(START, config);
    let request = request(GROUP, 1, at(0));
    let first = sessions.begin_request(at(100), &request, true);
    let mut second = sessions.begin_request(at(110), &request, true);
    assert_eq!(read_floor(&mut sessions, at(120), GROUP, 1), at(125), "the writes may have committed by now");
    assert_eq!(read_floor(&mut sessions, at(120), GROUP, 2), Time(0), "no other session is affected");
    sessions.end_request(at(130), GROUP, &first);
    assert_eq!(read_floor(&mut sessions, at(140), GROUP, 1), at(145), "one of two writes is still in flight");
    second.outcome_unknown = true;
    sessions.end_request(at(150), GROUP, &second);
    assert_eq!(sessions.unsettled_writes(), 0);
    assert_eq!(
        read_floor(&mut sessions, at(900), GROUP, 1),
        at(905),
        "the outcome of the second write is unknown"
    );
    assert_eq!(
        read_floor(&mut sessions, at(9000), GROUP, 1),
        at(1155),
        "the write has settled 1000 ms after its end"
    );
    assert_eq!(sessions.take_counts().unknown_writes, 1);
}

#[test]
fn a_full_table_raises_only_the_floors_of_evicted_sessions() {
    let mut sessions = router(START, config(DefaultFloor::RouterStart));
    let written: Vec<(u64, Time)> = (0..5000).map(|n| (n, at(n))).collect();
    for (session, commit) in &written {
        settled_write(&mut sessions, GROUP, *session, *commit);
    }
    let now = at(60_000);
    for (session, commit) in &written {
        let floor = read_floor(&mut sessions, now, GROUP, *session);
        assert!(floor >= *commit, "session {session}: floor {floor:?} is below its write at {commit:?}");
    }
    assert_eq!(
        read_floor(&mut sessions, now, GROUP, 4999),
        at(4999),
        "the newest session has a separate floor"
    );
    assert!(
        read_floor(&mut sessions, now, GROUP, 0) < at(4999),
        "the evicted sessions do not get the newest session's floor"
    );
    assert!(sessions.take_counts().evicted > 0, "no eviction raised a shared floor");
}
