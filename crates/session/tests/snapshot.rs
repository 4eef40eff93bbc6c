//! Snapshots written at a shutdown and restored after the restart.

mod common;

use basalthill_policy::api::Time;
use basalthill_session::snapshot::{restore, write, SnapshotError};
use basalthill_session::{DefaultFloor, PlatformFloors, SessionConfig, Sessions};
use common::{at, config, read_floor, request, router, settled_write, DAY, GROUP, SKEW, START, TABLE_BYTES};

const ROUTER: &str = "n1";
/// The time at which the router is restarted.
const RESTARTED: Time = START.plus(Time::ms(12_000));

/// Returns a snapshot that a router wrote 10 s after its start. It had served a write of session 1 and one of
/// session 2.
fn snapshot() -> Vec<u8> {
    let mut sessions = router(START, config(DefaultFloor::RouterStart));
    settled_write(&mut sessions, GROUP, 1, at(5000));
    settled_write(&mut sessions, GROUP, 2, at(9000));
    write(&mut sessions, at(10_000), ROUTER)
}

/// The result of a restart with a snapshot, and the floors of sessions 2 and 3 after it.
#[derive(Debug, PartialEq)]
struct Restart {
    result: Result<(), SnapshotError>,
    floor_of_2: Time,
    floor_of_3: Time,
}

fn restart(bytes: &[u8], name: &str, max_age_ms: u64) -> Restart {
    let config = config(DefaultFloor::RouterStart);
    let mut sessions = Sessions::new(RESTARTED, PlatformFloors::FromRequest, Some(config), TABLE_BYTES, 77);
    Restart {
        result: restore(&mut sessions, RESTARTED, name, Time::ms(max_age_ms), bytes),
        floor_of_2: read_floor(&mut sessions, at(20_000), GROUP, 2),
        floor_of_3: read_floor(&mut sessions, at(20_000), GROUP, 3),
    }
}

/// Returns the restart that is expected when the snapshot is rejected: the floor of all sessions is the start
/// of the router, so the floors are higher than needed but none is too low.
fn rejected_with(error: SnapshotError) -> Restart {
    let start = RESTARTED.plus(SKEW);
    Restart { result: Err(error), floor_of_2: start, floor_of_3: start }
}

#[test]
fn a_snapshot_of_a_graceful_shutdown_restores_the_floors_after_the_restart() {
    let bytes = snapshot();
    let as_before = Restart { result: Ok(()), floor_of_2: at(9000), floor_of_3: START.plus(SKEW) };
    assert_eq!(restart(&bytes, ROUTER, 60_000), as_before);
    assert_eq!(restart(&bytes, "n2", 60_000), rejected_with(SnapshotError::OtherRouter(ROUTER.into())));
    assert_eq!(restart(&bytes, ROUTER, 1_000), rejected_with(SnapshotError::Expired(Time::ms(2000))));
    let mut newer = bytes.clone();
    newer[9] = 2;
    assert_eq!(restart(&newer, ROUTER, 60_000), rejected_with(SnapshotError::UnknownFormat(2)));
    for len in 0..bytes.len() {
        let error = if len < 8 { SnapshotError::NotASnapshot } else { SnapshotError::Corrupt };
        assert_eq!(restart(&bytes[..len], ROUTER, 60_000), rejected_with(error), "cut at {len}");
    }
    for i in 10..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[i] ^= 0x10;
        assert_eq!(restart(&flipped, ROUTER, 60_000).result, Err(SnapshotError::Corrupt), "byte {i}");
    }
    let config = config(DefaultFloor::RouterStart);
    let mut small = Sessions::new(RESTARTED, PlatformFloors::FromRequest, Some(config), TABLE_BYTES / 2, 77);
    let too_large = Err(SnapshotError::TooLarge(TABLE_BYTES));
    assert_eq!(restore(&mut small, RESTARTED, ROUTER, DAY, &bytes), too_large);
    assert_eq!(read_floor(&mut small, at(20_000), GROUP, 2), RESTARTED.plus(SKEW));
}

#[test]
fn a_write_in_flight_at_the_shutdown_has_an_unknown_outcome_after_the_restart() {
    let config = SessionConfig { settle_time: Time::ms(2000), ..config(DefaultFloor::RouterStart) };
    let mut before = router(START, config.clone());
    before.begin_request(at(9_900), &request(GROUP, 1, at(0)), true);
    let bytes = write(&mut before, at(10_000), ROUTER);
    let mut after = Sessions::new(at(10_500), PlatformFloors::FromRequest, Some(config), TABLE_BYTES, 77);
    assert_eq!(restore(&mut after, at(10_500), ROUTER, DAY, &bytes), Ok(()));
    assert_eq!(
        read_floor(&mut after, at(11_000), GROUP, 1),
        at(11_005),
        "the write may have committed by now"
    );
    assert_eq!(
        read_floor(&mut after, at(20_000), GROUP, 1),
        at(12_005),
        "the write has committed, or will never commit"
    );
    assert_eq!(
        read_floor(&mut after, at(20_000), GROUP, 2),
        at(2_005),
        "the floor of other sessions is that of the first start"
    );
}
