//! What tokens carry, and what is made of those that are rejected.

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
/// The group of all requests.
const GROUP: GroupId = GroupId(2);
const ANNE: SessionIdentity = SessionIdentity { name: b"anne", key: SessionKey(0x1234_5678_9abc_def0) };
const BERT: SessionIdentity = SessionIdentity { name: b"bert", key: SessionKey(7) };
/// Another name with Anne's number: the tag matches, the signature does not.
const IMPOSTOR: SessionIdentity = SessionIdentity { name: b"anna", key: ANNE.key };

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

/// So many milliseconds before [`NOW`].
fn before_now(ms: u64) -> Time {
    NOW.minus(Time::ms(ms))
}

#[test]
fn floors_are_decoded_as_encoded_and_rounded_up() {
    let floors = floors(&[(2, NOW.minus(Time(1))), (4_000_000_000, NOW.plus(Time::ms(3000)))]);
    let text = issue(&keys(1, &[]), NOW, ANNE, &floors);
    let read = verify(&keys(1, &[]), NOW, SKEW, ANNE, text.as_bytes()).unwrap();
    assert_eq!(read.get(GROUP), NOW, "a floor is never lowered");
    assert_eq!(read.get(GroupId(4_000_000_000)), NOW.plus(Time::ms(3000)));
    assert_eq!(read.get(GroupId(3)), Time(0));
    let one = issue(&keys(1, &[]), NOW, ANNE, &self::floors(&[(2, NOW)]));
    assert_eq!(one.len(), 42, "{one}");
    let fits_a_comment = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    assert!(one.bytes().all(fits_a_comment), "{one}");
}

#[test]
fn groups_beyond_the_maximum_get_one_common_floor_that_is_never_lower() {
    let floor = |n: u64| before_now(100 * n);
    let all: Vec<(u32, Time)> = (0..40).map(|n| (n as u32, floor((n * 7) % 40))).collect();
    let text = issue(&keys(1, &[]), NOW, ANNE, &floors(&all));
    assert!(text.len() <= MAX_TOKEN_LEN, "{} of {MAX_TOKEN_LEN}", text.len());
    let read = verify(&keys(1, &[]), NOW, SKEW, ANNE, text.as_bytes()).unwrap();
    assert!(read.by_group().len() <= MAX_GROUPS);
    for (group, written) in all {
        assert!(read.get(GroupId(group)) >= written, "group {group}");
    }
    assert_eq!(read.get(GroupId(0)), floor(0), "the newest have floors of their own");
    assert!(read.get(GroupId(99)) < floor(0), "and the others don't get the newest");
}

#[test]
fn a_token_cut_at_any_byte_or_with_any_bit_flipped_is_rejected() {
    let keys = keys(1, &[2]);
    let text = issue(&keys, NOW, ANNE, &floors(&[(2, NOW), (3, NOW)])).into_bytes();
    for len in 0..text.len() {
        assert!(verify(&keys, NOW, SKEW, ANNE, &text[..len]).is_err(), "cut at {len}");
    }
    for i in 0..text.len() * 8 {
        let mut flipped = text.clone();
        flipped[i / 8] ^= 1 << (i % 8);
        assert!(verify(&keys, NOW, SKEW, ANNE, &flipped).is_err(), "bit {i}");
    }
    let long = [&text[..], &[b'A'; 4000]].concat();
    assert_eq!(verify(&keys, NOW, SKEW, ANNE, &long), Err(TokenError::Malformed));
}

#[test]
fn a_token_is_valid_for_its_session_its_time_and_its_keys_only() {
    let old = keys(1, &[]);
    let both = keys(2, &[1]);
    let new = keys(2, &[]);
    let text = issue(&old, NOW, ANNE, &floors(&[(2, NOW)])).into_bytes();
    let read = |keys: &KeyRing, now, session| {
        let floors = verify(keys, now, SKEW, session, &text);
        floors.map(|floors| floors.get(GROUP))
    };
    assert_eq!(read(&old, NOW, ANNE), Ok(NOW));
    assert_eq!(read(&both, NOW, ANNE), Ok(NOW), "a key that no longer signs still verifies");
    assert_eq!(read(&new, NOW, ANNE), Err(TokenError::UnknownKey));
    assert_eq!(read(&old, NOW, BERT), Err(TokenError::OtherSession));
    assert_eq!(read(&old, NOW, IMPOSTOR), Err(TokenError::Forged));
    assert_eq!(read(&old, NOW.plus(Time::ms(60_001)), ANNE), Err(TokenError::Expired));
    assert_eq!(read(&old, before_now(5), ANNE), Ok(NOW), "within the skew");
    assert_eq!(read(&old, before_now(7), ANNE), Err(TokenError::IssuedInFuture));
    let other = KeyRing { signing: Key::new(KeyId(1), vec![9; 32]).unwrap(), ..old };
    assert_eq!(read(&other, NOW, ANNE), Err(TokenError::Forged), "the same number, another secret");
    assert!(Key::new(KeyId(1), vec![1; 15]).is_none(), "too short a secret");
    assert_eq!(format!("{:?}", key(1)), "Key(1, ...)", "no secret in a log");
}

/// A router that delivers tokens with all answers.
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

/// The floor of a read with these tokens, and what was counted.
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
    let valid = issue_for(&keys(1, &[]), NOW, ANNE);
    let strictest = NOW.plus(SKEW);
    assert_eq!(read_floor(ANNE, None, &[valid.as_bytes()]).0, before_now(900));
    let flipped = valid.replace(&valid[40..], "AA");
    type Counter = fn(&SessionCounts) -> u64;
    let cases: [(String, Counter); 6] = [
        ("%".into(), |counts| counts.malformed),
        (flipped, |counts| counts.forged),
        (issue_for(&keys(9, &[]), NOW, ANNE), |counts| counts.unknown_key),
        (issue_for(&keys(1, &[]), NOW, BERT), |counts| counts.other_session),
        (issue_for(&keys(1, &[]), before_now(70_000), ANNE), |counts| counts.expired),
        (issue_for(&keys(1, &[]), NOW.plus(Time::ms(70_000)), ANNE), |counts| counts.issued_in_future),
    ];
    for (text, counter) in cases {
        let (floor, counts) = read_floor(ANNE, None, &[text.as_bytes()]);
        assert_eq!((floor, counter(&counts)), (strictest, 1), "{text}: {counts}");
        let (floor, _) = read_floor(ANNE, None, &[valid.as_bytes(), text.as_bytes()]);
        assert_eq!(floor, strictest, "a valid token beside it does not weaken that: {text}");
    }
}

#[test]
fn the_latest_of_tokens_and_after_applies_and_no_floor_is_past_the_arrival() {
    let token = |ms: i64| {
        let floor = Time((NOW.0 as i64 + ms * 1_000_000) as u64);
        issue(&keys(1, &[]), NOW, ANNE, &floors(&[(2, floor)]))
    };
    let early = token(-900);
    let late = token(-300);
    let future = token(86_400_000);
    let floor = |after, tokens: &[&[u8]]| read_floor(ANNE, after, tokens).0;
    assert_eq!(floor(Some(before_now(500)), &[]), before_now(500), "after alone stays as it is");
    assert_eq!(floor(Some(before_now(500)), &[early.as_bytes()]), before_now(500));
    assert_eq!(floor(Some(before_now(500)), &[late.as_bytes()]), before_now(300));
    assert_eq!(floor(None, &[early.as_bytes(), late.as_bytes()]), before_now(300), "several tokens");
    let (position, counts) = read_floor(ANNE, None, &[future.as_bytes()]);
    assert_eq!((position, counts.clipped), (NOW.plus(SKEW), 1), "a floor in the future is the arrival's");
    assert_eq!(floor(Some(NOW.plus(Time::ms(1 << 40))), &[]), NOW.plus(SKEW));
    assert_eq!(floor(None, &[]), Time(0), "nothing sent, and no default floor");
}

#[test]
fn the_answers_token_covers_all_tokens_sent_and_the_early_one_covers_an_unknown_outcome() {
    let keys = keys(2, &[1]);
    let mut sessions = router(keys.clone());
    let one = issue(&keys, NOW, ANNE, &floors(&[(7, before_now(40))]));
    let two = issue(&keys, NOW, ANNE, &floors(&[(8, before_now(30))]));
    let tokens = [one.as_bytes(), two.as_bytes()];
    let request =
        SessionRequest { identity: ANNE, group: GROUP, after: None, tokens: &tokens, accepted_at: NOW };
    let mut tracked = sessions.begin_request(NOW, &request, true);
    let read = |text: String| verify(&keys, NOW, SKEW, ANNE, text.as_bytes()).unwrap();
    let deadline = NOW.plus(Time::ms(900));
    let early = read(sessions.early_token(NOW, ANNE, GROUP, &tracked, deadline).unwrap());
    assert_eq!(early.get(GROUP), deadline.plus(Time::ms(3005)), "whatever becomes of the write");
    let commit = NOW.plus(Time::ms(2));
    let answer = read(sessions.request_served(NOW, ANNE, GROUP, &mut tracked, Some(commit)).unwrap());
    assert_eq!(answer.get(GROUP), commit, "its commit, once that is known");
    assert_eq!(answer.get(GroupId(7)), before_now(40));
    assert_eq!(answer.get(GroupId(8)), before_now(30));
    sessions.end_request(NOW, GROUP, &tracked);
    let mut tracked = sessions.begin_request(NOW, &request, true);
    let unknown = read(sessions.write_outcome_unknown(NOW, ANNE, GROUP, &mut tracked).unwrap());
    assert_eq!(unknown.get(GROUP), NOW.plus(Time::ms(3005)));
}
