//! The book of floors, and its snapshot.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::snapshot::{restore, write, Refused};
use basalthill_session::token::SessionIdentity;
use basalthill_session::{DefaultFloor, SessionConfig, SessionRequest, TokenDelivery};
use basalthill_session::{FloorTable, BUCKET_BYTES};
use basalthill_session::{PlatformFloors, Sessions};
use std::collections::BTreeMap;

const START: Time = Time::ms(1_767_225_600_000);
const G: GroupId = GroupId(1);
const DAY: Time = Time::ms(86_400_000);

/// A sequence of numbers that looks random and is the same each time.
fn numbers(mut seed: u64) -> impl Iterator<Item = u64> {
    std::iter::repeat_with(move || {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        seed >> 33
    })
}

#[test]
fn forgetting_raises_floors_and_never_loses_one() {
    // Ten times more sessions than there is room for.
    let mut book = FloorTable::new(START, 16 * BUCKET_BYTES, 3);
    let (mut exact, mut folded) = (BTreeMap::new(), 0);
    for (n, random) in numbers(1).take(20_000).enumerate() {
        let (group, session) = (GroupId((random % 3) as u32), SessionKey(random % 1100));
        // Mostly later and later, and some as old as any.
        let at = START.plus(Time::ms(if n % 11 == 0 { random % 1000 } else { n as u64 }));
        book.raise(group, session, at);
        let floor = exact.entry((group, session)).or_insert(at);
        *floor = at.max(*floor);
        folded += book.take_folded();
        if n % 97 == 0 {
            for ((group, session), floor) in &exact {
                let entry = book.get(*group, *session);
                assert!(entry.exact.max(Some(entry.evicted)) >= Some(*floor), "{n}: {session:?}");
            }
        }
    }
    assert!(folded > 1000, "it did overflow: {folded}");
    assert_eq!(book.bytes(), 16 * BUCKET_BYTES);
    // The newest stand for themselves, and what is forgotten lies behind all that is kept.
    let newest = exact.values().max().unwrap();
    let ((group, session), _) = exact.iter().find(|(_, f)| *f == newest).unwrap();
    assert_eq!(book.get(*group, *session).exact, Some(*newest));
    assert!(book.get(*group, *session).evicted < newest.minus(Time::ms(50)), "forgetting takes the oldest");
}

#[test]
fn floors_survive_the_turns_of_a_router_that_runs_for_months() {
    let mut book = FloorTable::new(START, 1 << 16, 3);
    book.raise(G, SessionKey(1), START.minus(DAY));
    book.raise(G, SessionKey(2), START.minus(Time::ms(86_400_000 * 30)));
    let old = book.get(G, SessionKey(2)).exact.unwrap();
    assert!(old >= START.minus(Time::ms(86_400_000 * 30)), "too old to be told apart: raised");
    assert!(old < book.get(G, SessionKey(1)).exact.unwrap());
    for day in 1..120u64 {
        let now = START.plus(Time::ms(86_400_000 * day));
        book.raise(G, SessionKey(1000 + day), now);
        assert_eq!(book.get(G, SessionKey(1000 + day)).exact, Some(now), "day {day}");
        let first = book.get(G, SessionKey(1)).exact.unwrap();
        assert!(first >= START.minus(DAY) && first <= now, "day {day}: {first:?}");
        assert_eq!(book.get(G, SessionKey(999)).exact, None);
    }
}

fn plan(default_floor: DefaultFloor) -> SessionConfig {
    let (skew, settle_time, lead) = (Time::ms(5), Time(0), Time(0));
    SessionConfig {
        default_floor,
        skew,
        settle_time,
        lead,
        token_delivery: TokenDelivery::Never,
        early_tokens: false,
        keys: None,
    }
}

fn asked(key: u64, accepted: Time) -> SessionRequest<'static> {
    let owner = SessionIdentity { name: b"", key: SessionKey(key) };
    SessionRequest { identity: owner, group: G, after: None, tokens: &[], accepted_at: accepted }
}

/// A router by `default_floor` that has answered a write of each session at a time of its own.
fn router(default_floor: DefaultFloor, writes: &[(u64, Time)]) -> Sessions {
    let mut sessions =
        Sessions::new(START, PlatformFloors::FromRequest, Some(plan(default_floor)), 1 << 12, 5);
    for (key, at) in writes {
        let asked = asked(*key, *at);
        let mut tracked = sessions.begin_request(*at, &asked, true);
        sessions.request_served(*at, asked.identity, G, &mut tracked, Some(*at));
        sessions.end_request(*at, G, &tracked);
    }
    sessions
}

fn floor(sessions: &mut Sessions, now: Time, key: u64) -> Time {
    let asked = asked(key, now);
    let tracked = sessions.begin_request(now, &asked, false);
    sessions.read_floor(now, &asked, &tracked).position
}

fn at(ms: u64) -> Time {
    START.plus(Time::ms(ms))
}

#[test]
fn a_snapshot_of_a_stop_in_good_order_bridges_the_restart() {
    let mut before = router(DefaultFloor::RouterStart, &[(1, at(5000)), (2, at(9000))]);
    let bytes = write(&mut before, at(10_000), "n1");
    let now = at(12_000);
    let fresh = |bytes: &[u8], name, age| {
        let mut after = Sessions::new(
            now,
            PlatformFloors::FromRequest,
            Some(plan(DefaultFloor::RouterStart)),
            1 << 12,
            77,
        );
        let done = restore(&mut after, now, name, Time::ms(age), bytes);
        (done, floor(&mut after, at(20_000), 2), floor(&mut after, at(20_000), 3))
    };
    let skew = Time::ms(5);
    assert_eq!(
        fresh(&bytes, "n1", 60_000),
        (Ok(()), at(9000), START.plus(skew)),
        "as it was before the stop"
    );
    // All that is refused costs freshness only: the start is the floor.
    let start = now.plus(skew);
    assert_eq!(fresh(&bytes, "n2", 60_000), (Err(Refused::Router("n1".into())), start, start));
    assert_eq!(fresh(&bytes, "n1", 1_000), (Err(Refused::Old(Time::ms(2000))), start, start));
    let mut newer = bytes.clone();
    newer[9] = 2;
    assert_eq!(fresh(&newer, "n1", 60_000), (Err(Refused::Format(2)), start, start));
    for len in 0..bytes.len() {
        let (done, one, other) = fresh(&bytes[..len], "n1", 60_000);
        let fault = if len < 8 { Refused::Foreign } else { Refused::Torn };
        assert_eq!((done, one, other), (Err(fault), start, start), "torn at {len}");
    }
    for i in 10..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[i] ^= 0x10;
        assert_eq!(fresh(&flipped, "n1", 60_000).0, Err(Refused::Torn), "byte {i}");
    }
    let mut small =
        Sessions::new(now, PlatformFloors::FromRequest, Some(plan(DefaultFloor::RouterStart)), 1 << 11, 77);
    assert_eq!(restore(&mut small, now, "n1", DAY, &bytes), Err(Refused::Large(1 << 12)));
    assert_eq!(floor(&mut small, at(20_000), 2), start);
}

#[test]
fn a_session_whose_write_is_out_reads_by_its_arrival_and_one_in_doubt_until_it_has_settled() {
    let plan = SessionConfig { settle_time: Time::ms(1000), ..plan(DefaultFloor::RememberedOnly) };
    let mut sessions = Sessions::new(START, PlatformFloors::FromRequest, Some(plan), 1 << 12, 5);
    let (one, two) = (asked(1, at(0)), asked(1, at(0)));
    let first = sessions.begin_request(at(100), &one, true);
    let mut second = sessions.begin_request(at(110), &two, true);
    assert_eq!(floor(&mut sessions, at(120), 1), at(125), "it may have committed by now");
    assert_eq!(floor(&mut sessions, at(120), 2), Time(0), "another session's is none of its business");
    sessions.end_request(at(130), G, &first);
    assert_eq!(floor(&mut sessions, at(140), 1), at(145), "one of two is out still");
    second.outcome_unknown = true;
    sessions.end_request(at(150), G, &second);
    assert_eq!(sessions.unsettled_writes(), 0);
    assert_eq!(floor(&mut sessions, at(900), 1), at(905), "in doubt");
    assert_eq!(floor(&mut sessions, at(9000), 1), at(1155), "settled");
    assert_eq!(sessions.take_counts().unknown_writes, 1);
}

#[test]
fn a_write_that_is_out_as_the_process_ends_is_in_doubt_after_it() {
    let plan = SessionConfig { settle_time: Time::ms(2000), ..plan(DefaultFloor::RouterStart) };
    let mut before = Sessions::new(START, PlatformFloors::FromRequest, Some(plan.clone()), 1 << 12, 5);
    before.begin_request(at(9_900), &asked(1, at(0)), true);
    let bytes = write(&mut before, at(10_000), "n1");
    let mut after = Sessions::new(at(10_500), PlatformFloors::FromRequest, Some(plan), 1 << 12, 77);
    assert_eq!(restore(&mut after, at(10_500), "n1", DAY, &bytes), Ok(()));
    assert_eq!(floor(&mut after, at(11_000), 1), at(11_005), "it may have committed by now");
    assert_eq!(floor(&mut after, at(20_000), 1), at(12_005), "it has, or never will");
    assert_eq!(floor(&mut after, at(20_000), 2), at(2_005), "others' floor is the start's");
}

#[test]
fn a_full_book_raises_the_floors_of_those_forgotten_and_leaves_the_rest() {
    let writes: Vec<(u64, Time)> = (0..5000).map(|n| (n, at(n))).collect();
    let mut sessions = router(DefaultFloor::RouterStart, &writes);
    let now = at(60_000);
    for (key, wrote) in &writes {
        assert!(floor(&mut sessions, now, *key) >= *wrote, "session {key}");
    }
    assert_eq!(floor(&mut sessions, now, 4999), at(4999), "the newest is exact");
    assert!(floor(&mut sessions, now, 0) < at(4999), "the oldest has not got the newest's floor");
    assert!(sessions.take_counts().folded > 0);
}
