use super::*;
use crate::packet::StatusMessage;
use basalthill_policy::api::Time;
use basalthill_session::token::{Key, KeyId};

fn key(id: u8) -> Key {
    Key::new(KeyId(id), vec![id; 16]).expect("a key")
}

fn seal(signing: u8, verifying: &[u8]) -> DatagramCodec {
    let verifying = verifying.iter().map(|id| key(*id)).collect();
    DatagramCodec::new(KeyRing { signing: key(signing), verifying, max_age: Time(0) })
}

#[test]
fn keys_rotate_one_by_one_without_a_moment_of_silence() {
    let content = Payload::Status(StatusMessage::Request { id: 1, page: 0, padding: vec![0; 9] });
    // The old key, the new one known, the new one signing, the old one gone.
    let steps = [seal(1, &[]), seal(1, &[2]), seal(2, &[1]), seal(2, &[])];
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            assert_eq!(to.decode(&from.encode(&content)), Ok(content.clone()));
        }
    }
    assert_eq!(steps[3].decode(&steps[0].encode(&content)), Err(DropReason::UnknownKey));
    // A key of the same number with another secret.
    let mut other = steps[0].encode(&content);
    other[1] = 2;
    assert_eq!(steps[3].decode(&other), Err(DropReason::Forged));
}

#[test]
fn no_byte_and_no_length_may_change() {
    let content = Payload::Status(StatusMessage::Request { id: 7, page: 3, padding: vec![5; 30] });
    let seal = seal(1, &[]);
    let whole = seal.encode(&content);
    for n in 0..whole.len() {
        let mut changed = whole.clone();
        changed[n] ^= 0x40;
        assert!(seal.decode(&changed).is_err(), "byte {n}");
        assert!(seal.decode(&whole[..n]).is_err(), "cut at {n}");
    }
    assert!(seal.decode(&[&whole[..], &[0]].concat()).is_err());
    assert_eq!(seal.decode(&vec![1; MAX_DATAGRAM + 1]), Err(DropReason::Malformed));
}

#[test]
fn a_number_counts_once_and_old_ones_not_at_all() {
    let mut window = Window::default();
    assert!([1, 2, 5, 3, 70, 69, 7].into_iter().all(|n| window.take(n)));
    assert!([1, 2, 5, 3, 70, 69, 7, 6, 0].into_iter().all(|n| !window.take(n)));
    assert!(window.take(8) && window.take(1000) && !window.take(71));
}
