//! Tokens: what they carry, and what is made of bad ones.

use basalthill_policy::api::{GroupId, SessionKey, Time};
use basalthill_session::floors::MAX_GROUPS;
use basalthill_session::token::{
    issue, verify, Key, KeyId, KeyRing, SessionIdentity, TokenError, MAX_TOKEN_LEN,
};
use basalthill_session::{DefaultFloor, SessionConfig, SessionRequest, TokenDelivery};
use basalthill_session::{GroupFloors, PlatformFloors, SessionCounts, Sessions};

const NOW: Time = Time::ms(1_767_225_600_123);
const SKEW: Time = Time::ms(5);
const ANNE: SessionIdentity = SessionIdentity { name: b"anne", key: SessionKey(0x1234_5678_9abc_def0) };
const BERT: SessionIdentity = SessionIdentity { name: b"bert", key: SessionKey(7) };
/// Another name under the same number: the tag fits, the signature does not.
const MIMIC: SessionIdentity = SessionIdentity { name: b"anna", key: ANNE.key };

fn key(id: u8) -> Key {
    Key::new(KeyId(id), vec![id; 32]).unwrap()
}

fn keys(signing: u8, verifying: &[u8]) -> KeyRing {
    let verifying = verifying.iter().map(|id| key(*id)).collect();
    KeyRing { signing: key(signing), verifying, max_age: Time::ms(60_000) }
}

fn floors(groups: &[(u32, Time)]) -> GroupFloors {
    let mut floors = GroupFloors::default();
    groups.iter().for_each(|(g, at)| floors.raise(GroupId(*g), *at));
    floors
}

#[test]
fn what_goes_in_comes_out_rounded_up() {
    let floors = floors(&[(2, NOW.minus(Time(1))), (4_000_000_000, NOW.plus(Time::ms(3000)))]);
    let text = issue(&keys(1, &[]), NOW, ANNE, &floors);
    let read = verify(&keys(1, &[]), NOW, SKEW, ANNE, text.as_bytes()).unwrap();
    assert_eq!(read.get(GroupId(2)), NOW, "a floor is never lower than it was");
    assert_eq!(read.get(GroupId(4_000_000_000)), NOW.plus(Time::ms(3000)));
    assert_eq!(read.get(GroupId(3)), Time(0));
    let one = issue(&keys(1, &[]), NOW, ANNE, &self::floors(&[(2, NOW)]));
    assert_eq!(one.len(), 42, "{one}");
    assert!(
        one.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'),
        "fits a comment: {one}"
    );
}

#[test]
fn more_groups_than_there_is_room_for_fold_into_a_floor_that_is_never_lower() {
    let at = |n: u64| NOW.minus(Time::ms(100 * n));
    let all: Vec<(u32, Time)> = (0..40).map(|n| (n as u32, at((n * 7) % 40))).collect();
    let text = issue(&keys(1, &[]), NOW, ANNE, &floors(&all));
    assert!(text.len() <= MAX_TOKEN_LEN, "{} of {MAX_TOKEN_LEN}", text.len());
    let read = verify(&keys(1, &[]), NOW, SKEW, ANNE, text.as_bytes()).unwrap();
    assert!(read.groups().len() <= MAX_GROUPS);
    for (group, floor) in all {
        assert!(read.get(GroupId(group)) >= floor, "group {group}");
    }
    assert_eq!(read.get(GroupId(0)), at(0), "the newest keep their own");
    assert!(read.get(GroupId(99)) < at(0), "and the others don't get the newest");
}

#[test]
fn a_token_cut_at_any_byte_or_with_any_bit_flipped_does_not_count() {
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
fn a_token_counts_for_its_session_its_time_and_its_keys_only() {
    let (old, both, new) = (keys(1, &[]), keys(2, &[1]), keys(2, &[]));
    let text = issue(&old, NOW, ANNE, &floors(&[(2, NOW)])).into_bytes();
    let read = |keys: &KeyRing, now, owner| verify(keys, now, SKEW, owner, &text).map(|f| f.get(GroupId(2)));
    assert_eq!(read(&old, NOW, ANNE), Ok(NOW));
    assert_eq!(read(&both, NOW, ANNE), Ok(NOW), "a key that no longer signs still verifies");
    assert_eq!(read(&new, NOW, ANNE), Err(TokenError::UnknownKey));
    assert_eq!(read(&old, NOW, BERT), Err(TokenError::OtherSession));
    assert_eq!(read(&old, NOW, MIMIC), Err(TokenError::Forged));
    assert_eq!(read(&old, NOW.plus(Time::ms(60_001)), ANNE), Err(TokenError::Expired));
    assert_eq!(read(&old, NOW.minus(Time::ms(5)), ANNE), Ok(NOW), "within the skew");
    assert_eq!(read(&old, NOW.minus(Time::ms(7)), ANNE), Err(TokenError::IssuedInFuture));
    let other = KeyRing { signing: Key::new(KeyId(1), vec![9; 32]).unwrap(), ..old };
    assert_eq!(read(&other, NOW, ANNE), Err(TokenError::Forged), "the same number, another secret");
    assert!(Key::new(KeyId(1), vec![1; 15]).is_none(), "too short a secret");
    assert_eq!(format!("{:?}", key(1)), "Key(1, ...)", "no secret in a log");
}

fn plan(keys: Option<KeyRing>) -> SessionConfig {
    let (default_floor, settle_time, lead) = (DefaultFloor::RememberedOnly, Time::ms(3000), Time::ms(50));
    SessionConfig {
        default_floor,
        skew: SKEW,
        settle_time,
        lead,
        token_delivery: TokenDelivery::WritesAndReads,
        early_tokens: true,
        keys,
    }
}

/// What a read's floor is that brings these tokens, and what was counted.
fn floor(owner: SessionIdentity, after: Option<Time>, tokens: &[&[u8]]) -> (Time, SessionCounts) {
    let mut sessions = Sessions::new(NOW, PlatformFloors::FromRequest, Some(plan(Some(keys(2, &[1])))), 0, 0);
    let asked = SessionRequest { identity: owner, group: GroupId(2), after, tokens, accepted_at: NOW };
    let tracked = sessions.begin_request(NOW, &asked, false);
    (sessions.read_floor(NOW, &asked, &tracked).position, sessions.take_counts())
}

#[test]
fn a_bad_token_gets_the_strictest_floor_and_is_counted_by_its_fault() {
    let made =
        |keys: &KeyRing, now, owner| issue(keys, now, owner, &floors(&[(2, NOW.minus(Time::ms(900)))]));
    let sound = made(&keys(1, &[]), NOW, ANNE);
    let strictest = NOW.plus(SKEW);
    assert_eq!(floor(ANNE, None, &[sound.as_bytes()]).0, NOW.minus(Time::ms(900)));
    let flipped = sound.replace(&sound[40..], "AA");
    type Count = fn(&SessionCounts) -> u64;
    let cases: [(String, Count); 6] = [
        ("%".into(), |c| c.malformed),
        (flipped, |c| c.forged),
        (made(&keys(9, &[]), NOW, ANNE), |c| c.unknown_key),
        (made(&keys(1, &[]), NOW, BERT), |c| c.other_session),
        (made(&keys(1, &[]), NOW.minus(Time::ms(70_000)), ANNE), |c| c.old),
        (made(&keys(1, &[]), NOW.plus(Time::ms(70_000)), ANNE), |c| c.future),
    ];
    for (text, count) in cases {
        let (at, counts) = floor(ANNE, None, &[text.as_bytes()]);
        assert_eq!((at, count(&counts)), (strictest, 1), "{text}: {counts}");
        let both = floor(ANNE, None, &[sound.as_bytes(), text.as_bytes()]);
        assert_eq!(both.0, strictest, "a sound one beside it does not weaken that: {text}");
    }
}

#[test]
fn tokens_and_after_together_count_as_the_later_and_none_lies_past_the_arrival() {
    let token = |ms: i64| {
        let at = Time((NOW.0 as i64 + ms * 1_000_000) as u64);
        issue(&keys(1, &[]), NOW, ANNE, &floors(&[(2, at)]))
    };
    let (early, late, future) = (token(-900), token(-300), token(86_400_000));
    let ms = |n| NOW.minus(Time::ms(n));
    assert_eq!(floor(ANNE, Some(ms(500)), &[]).0, ms(500), "after alone stays as it is");
    assert_eq!(floor(ANNE, Some(ms(500)), &[early.as_bytes()]).0, ms(500));
    assert_eq!(floor(ANNE, Some(ms(500)), &[late.as_bytes()]).0, ms(300));
    assert_eq!(floor(ANNE, None, &[early.as_bytes(), late.as_bytes()]).0, ms(300), "several count together");
    let (at, counts) = floor(ANNE, None, &[future.as_bytes()]);
    assert_eq!((at, counts.clipped), (NOW.plus(SKEW), 1), "a floor in the future is the arrival's");
    assert_eq!(floor(ANNE, Some(NOW.plus(Time::ms(1 << 40))), &[]).0, NOW.plus(SKEW));
    assert_eq!(floor(ANNE, None, &[]).0, Time(0), "nothing brought, and nothing stands in");
}

#[test]
fn the_answers_token_holds_all_that_was_brought_and_the_early_one_covers_the_unknown() {
    let keys = keys(2, &[1]);
    let mut sessions = Sessions::new(NOW, PlatformFloors::FromRequest, Some(plan(Some(keys.clone()))), 0, 0);
    let one = issue(&keys, NOW, ANNE, &floors(&[(7, NOW.minus(Time::ms(40)))]));
    let two = issue(&keys, NOW, ANNE, &floors(&[(8, NOW.minus(Time::ms(30)))]));
    let tokens = [one.as_bytes(), two.as_bytes()];
    let asked =
        SessionRequest { identity: ANNE, group: GroupId(2), after: None, tokens: &tokens, accepted_at: NOW };
    let mut tracked = sessions.begin_request(NOW, &asked, true);
    let read = |text: String| verify(&keys, NOW, SKEW, ANNE, text.as_bytes()).unwrap();
    let limit = NOW.plus(Time::ms(900));
    let early = read(sessions.early_token(NOW, ANNE, GroupId(2), &tracked, limit).unwrap());
    assert_eq!(early.get(GroupId(2)), limit.plus(Time::ms(3005)), "whatever becomes of the write");
    let told = sessions.request_served(NOW, ANNE, GroupId(2), &mut tracked, Some(NOW.plus(Time::ms(2))));
    let after = read(told.unwrap());
    assert_eq!(after.get(GroupId(2)), NOW.plus(Time::ms(2)), "its commit, once that is known");
    assert_eq!(after.get(GroupId(7)), NOW.minus(Time::ms(40)));
    assert_eq!(after.get(GroupId(8)), NOW.minus(Time::ms(30)));
    sessions.end_request(NOW, GroupId(2), &tracked);
    let mut tracked = sessions.begin_request(NOW, &asked, true);
    let doubt = read(sessions.write_outcome_unknown(NOW, ANNE, GroupId(2), &mut tracked).unwrap());
    assert_eq!(doubt.get(GroupId(2)), NOW.plus(Time::ms(3005)));
}
