//! Encoding and verification of session tokens, and the floors of requests with valid or rejected tokens.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::token::{
    issue, verify, Key, KeyId, KeyRing, SessionIdentity, TokenError, MAX_TOKEN_LEN,
};
use basalthill_session::{
    DefaultFloor, GroupFloors, PlatformFloors, SessionConfig, SessionCounts, SessionRequest, Sessions,
    TokenDelivery, MAX_GROUPS,
};

const NOW: Time = Time::ms(1_767_225_600_123);
const SKEW: Time = Time::ms(5);
/// The group of all requests of these tests.
const GROUP: GroupId = GroupId(2);
const SESSION: SessionIdentity = SessionIdentity { name: b"anne", key: SessionKey(0x1234_5678_9abc_def0) };
const OTHER_SESSION: SessionIdentity = SessionIdentity { name: b"bert", key: SessionKey(7) };
/// An identity with another name and the key of [`SESSION`]: the tag in the token matches, the signature does
/// not.
const SAME_KEY_SESSION: SessionIdentity = SessionIdentity { name: b"anna", key: SESSION.key };

fn key(id: u8) -> Key {
    Key::new(KeyId(id), vec![id; 32]).unwrap()
}

fn keys(signing: u8, verifying: &[u8]) -> KeyRing {
    let verifying = verifying.iter().map(|id| key(*id)).collect();
    KeyRing { signing: key(signing), verifying, max_age: Time::ms(60_000) }
}

fn floors(groups: &[(u32, Time)]) -> GroupFloors {
    let mut floors = GroupFloors::default();
    for (group, floor) in groups {
        floors.raise(GroupId(*group), *floor);
    }
    floors
}

/// Returns the time `ms` milliseconds before [`NOW`].
fn before_now(ms: u64) -> Time {
    NOW.minus(Time::ms(ms))
}

#[test]
fn floors_are_decoded_as_encoded_rounded_up_to_a_millisecond() {
    let floors = floors(&[(2, NOW.minus(Time(1))), (4_000_000_000, NOW.plus(Time::ms(3000)))]);
    let text = issue(&keys(1, &[]), NOW, SESSION, &floors);
    let read = verify(&keys(1, &[]), NOW, SKEW, SESSION, text.as_bytes()).unwrap();
    assert_eq!(read.get(GROUP), NOW, "a floor is never lowered");
    assert_eq!(read.get(GroupId(4_000_000_000)), NOW.plus(Time::ms(3000)));
    assert_eq!(read.get(GroupId(3)), Time(0));
    let one = issue(&keys(1, &[]), NOW, SESSION, &self::floors(&[(2, NOW)]));
    assert_eq!(one.len(), 42, "{one}");
    let fits_a_comment = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    assert!(one.bytes().all(fits_a_comment), "{one}");
}

#[test]
fn groups_beyond_the_maximum_share_a_floor_that_is_not_below_their_own() {
    let floor = |n: u64| before_now(100 * n);
    let all: Vec<(u32, Time)> = (0..40).map(|n| (n as u32, floor((n * 7) % 40))).collect();
    let text = issue(&keys(1, &[]), NOW, SESSION, &floors(&all));
    assert!(text.len() <= MAX_TOKEN_LEN, "{} characters, more than {MAX_TOKEN_LEN}", text.len());
    let read = verify(&keys(1, &[]), NOW, SKEW, SESSION, text.as_bytes()).unwrap();
    assert!(
        read.by_group().len() <= MAX_GROUPS,
        "{} groups have separate floors, more than {MAX_GROUPS}",
        read.by_group().len()
    );
    for (group, written) in all {
        let floor = read.get(GroupId(group));
        assert!(floor >= written, "group {group}: floor {floor:?} is below the encoded {written:?}");
    }
    assert_eq!(read.get(GroupId(0)), floor(0), "the group with the highest floor has a separate floor");
    assert!(read.get(GroupId(99)) < floor(0), "the shared floor is not the highest one");
}

#[test]
fn a_token_cut_at_any_byte_or_with_any_bit_flipped_is_rejected() {
    let keys = keys(1, &[2]);
    let text = issue(&keys, NOW, SESSION, &floors(&[(2, NOW), (3, NOW)])).into_bytes();
    for len in 0..text.len() {
        assert!(verify(&keys, NOW, SKEW, SESSION, &text[..len]).is_err(), "cut at {len}");
    }
    for i in 0..text.len() * 8 {
        let mut flipped = text.clone();
        flipped[i / 8] ^= 1 << (i % 8);
        assert!(verify(&keys, NOW, SKEW, SESSION, &flipped).is_err(), "bit {i}");
    }
    let too_long = [&text[..], &[b'A'; 4000]].concat();
    assert_eq!(verify(&keys, NOW, SKEW, SESSION, &too_long), Err(TokenError::Malformed));
}

#[test]
fn a_token_is_valid_only_for_its_session_its_validity_period_and_its_key() {
    let old = keys(1, &[]);
    let both = keys(2, &[1]);
    let new = keys(2, &[]);
    let text = issue(&old, NOW, SESSION, &floors(&[(2, NOW)])).into_bytes();
    let read = |keys: &KeyRing, now, session| {
        let floors = verify(keys, now, SKEW, session, &text);
        floors.map(|floors| floors.get(GROUP))
    };
    assert_eq!(read(&old, NOW, SESSION), Ok(NOW));
    assert_eq!(read(&both, NOW, SESSION), Ok(NOW), "a key that no longer signs still verifies");
    assert_eq!(read(&new, NOW, SESSION), Err(TokenError::UnknownKey));
    assert_eq!(read(&old, NOW, OTHER_SESSION), Err(TokenError::OtherSession));
    assert_eq!(read(&old, NOW, SAME_KEY_SESSION), Err(TokenError::Forged));
    assert_eq!(read(&old, NOW.plus(Time::ms(60_001)), SESSION), Err(TokenError::Expired));
    assert_eq!(read(&old, before_now(5), SESSION), Ok(NOW), "within the skew");
    assert_eq!(read(&old, before_now(7), SESSION), Err(TokenError::IssuedInFuture));
    let other = KeyRing { signing: Key::new(KeyId(1), vec![9; 32]).unwrap(), ..old };
    assert_eq!(
        read(&other, NOW, SESSION),
        Err(TokenError::Forged),
        "the same key number with another secret"
    );
    assert!(Key::new(KeyId(1), vec![1; 15]).is_none(), "the secret is too short");
    assert_eq!(format!("{:?}", key(1)), "Key(1, ...)", "the debug form does not contain the secret");
}

/// Returns the sessions of a router that delivers tokens with all replies.
fn router(keys: KeyRing) -> Sessions {
    let config = SessionConfig {
        default_floor: DefaultFloor::RememberedOnly,
        skew: SKEW,
        settle_time: Time::ms(3000),
        lead: Time::ms(50),
        token_delivery: TokenDelivery::WritesAndReads,
        early_tokens: true,
        keys: Some(keys),
    };
    Sessions::new(NOW, PlatformFloors::FromRequest, Some(config), 0, 0)
}

/// Returns the floor of a read with these tokens, and the counters.
fn read_floor(session: SessionIdentity, after: Option<Time>, tokens: &[&[u8]]) -> (Time, SessionCounts) {
    let mut sessions = router(keys(2, &[1]));
    let request = SessionRequest { identity: session, group: GROUP, after, tokens, accepted_at: NOW };
    let tracked = sessions.begin_request(NOW, &request, false);
    let floor = sessions.read_floor(NOW, &request, &tracked);
    (floor.position, sessions.take_counts())
}

#[test]
fn a_rejected_token_gets_the_strictest_floor_and_is_counted_by_its_error() {
    let issue_for =
        |keys: &KeyRing, now, session| issue(keys, now, session, &floors(&[(2, before_now(900))]));
    let valid = issue_for(&keys(1, &[]), NOW, SESSION);
    let strictest = NOW.plus(SKEW);
    assert_eq!(read_floor(SESSION, None, &[valid.as_bytes()]).0, before_now(900));
    let flipped = valid.replace(&valid[40..], "AA");
    type Counter = fn(&SessionCounts) -> u64;
    let cases: [(String, Counter); 6] = [
        ("%".into(), |counts| counts.malformed),
        (flipped, |counts| counts.forged),
        (issue_for(&keys(9, &[]), NOW, SESSION), |counts| counts.unknown_key),
        (issue_for(&keys(1, &[]), NOW, OTHER_SESSION), |counts| counts.other_session),
        (issue_for(&keys(1, &[]), before_now(70_000), SESSION), |counts| counts.expired),
        (issue_for(&keys(1, &[]), NOW.plus(Time::ms(70_000)), SESSION), |counts| counts.issued_in_future),
    ];
    for (text, counter) in cases {
        let (floor, counts) = read_floor(SESSION, None, &[text.as_bytes()]);
        assert_eq!((floor, counter(&counts)), (strictest, 1), "{text}: {counts}");
        let (floor, _) = read_floor(SESSION, None, &[valid.as_bytes(), text.as_bytes()]);
        assert_eq!(floor, strictest, "a further token that is valid does not lower the floor: {text}");
    }
}

#[test]
fn the_highest_floor_of_tokens_and_after_applies_but_none_above_the_arrival() {
    let token = |ms: i64| {
        let floor = Time((NOW.0 as i64 + ms * 1_000_000) as u64);
        issue(&keys(1, &[]), NOW, SESSION, &floors(&[(2, floor)]))
    };
    let early = token(-900);
    let late = token(-300);
    let future = token(86_400_000);
    let floor = |after, tokens: &[&[u8]]| read_floor(SESSION, after, tokens).0;
    assert_eq!(floor(Some(before_now(500)), &[]), before_now(500), "a floor from `after` only");
    assert_eq!(floor(Some(before_now(500)), &[early.as_bytes()]), before_now(500));
    assert_eq!(floor(Some(before_now(500)), &[late.as_bytes()]), before_now(300));
    assert_eq!(
        floor(None, &[early.as_bytes(), late.as_bytes()]),
        before_now(300),
        "the highest floor of several tokens"
    );
    let (position, counts) = read_floor(SESSION, None, &[future.as_bytes()]);
    assert_eq!(
        (position, counts.clipped),
        (NOW.plus(SKEW), 1),
        "a floor in the future is lowered to the arrival"
    );
    assert_eq!(floor(Some(NOW.plus(Time::ms(1 << 40))), &[]), NOW.plus(SKEW));
    assert_eq!(floor(None, &[]), Time(0), "neither a token nor `after`, and no default floor");
}

#[test]
fn the_reply_token_covers_all_sent_tokens_and_the_early_token_an_unknown_outcome() {
    let keys = keys(2, &[1]);
    let mut sessions = router(keys.clone());
    let one = issue(&keys, NOW, SESSION, &floors(&[(7, before_now(40))]));
    let two = issue(&keys, NOW, SESSION, &floors(&[(8, before_now(30))]));
    let tokens = [one.as_bytes(), two.as_bytes()];
    let request =
        SessionRequest { identity: SESSION, group: GROUP, after: None, tokens: &tokens, accepted_at: NOW };
    let mut tracked = sessions.begin_request(NOW, &request, true);
    let read = |text: String| verify(&keys, NOW, SKEW, SESSION, text.as_bytes()).unwrap();
    let deadline = NOW.plus(Time::ms(900));
    let early_token = read(sessions.early_token(NOW, SESSION, GROUP, &tracked, deadline).unwrap());
    assert_eq!(
        early_token.get(GROUP),
        deadline.plus(Time::ms(3005)),
        "the early token covers any outcome of the write"
    );
    let commit = NOW.plus(Time::ms(2));
    let reply_token = read(sessions.request_served(NOW, SESSION, GROUP, &mut tracked, Some(commit)).unwrap());
    assert_eq!(reply_token.get(GROUP), commit, "the reply's token carries the commit position");
    assert_eq!(reply_token.get(GroupId(7)), before_now(40));
    assert_eq!(reply_token.get(GroupId(8)), before_now(30));
    sessions.end_request(NOW, GROUP, &tracked);
    let mut tracked = sessions.begin_request(NOW, &request, true);
    let unknown_outcome_token =
        read(sessions.write_outcome_unknown(NOW, SESSION, GROUP, &mut tracked).unwrap());
    assert_eq!(unknown_outcome_token.get(GROUP), NOW.plus(Time::ms(3005)));
}
