use super::*;
use crate::packet::StatusMessage;
use basalthill_policy::api::Time;
use basalthill_session::token::{Key, KeyId};

fn key(id: u8) -> Key {
    Key::new(KeyId(id), vec![id; 16]).expect("a secret of 16 bytes is long enough")
}

fn codec(signing: u8, verifying: &[u8]) -> DatagramCodec {
    let verifying = verifying.iter().map(|id| key(*id)).collect();
    DatagramCodec::new(KeyRing { signing: key(signing), verifying, max_age: Time(0) })
}

#[test]
fn keys_rotate_one_by_one_without_dropped_datagrams() {
    let payload = Payload::Status(StatusMessage::Request { id: 1, page: 0, padding: vec![0; 9] });
    // The steps of a rotation: the old key alone, the new key added for verification, the new key signing,
    // the old key removed.
    let steps = [codec(1, &[]), codec(1, &[2]), codec(2, &[1]), codec(2, &[])];
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            assert_eq!(to.decode(&from.encode(&payload)), Ok(payload.clone()));
        }
    }
    assert_eq!(steps[3].decode(&steps[0].encode(&payload)), Err(DropReason::UnknownKey));
    // A signature by a key with the same number but another secret.
    let mut forged = steps[0].encode(&payload);
    forged[1] = 2;
    assert_eq!(steps[3].decode(&forged), Err(DropReason::Forged));
}

#[test]
fn a_datagram_with_a_changed_byte_or_length_is_dropped() {
    let payload = Payload::Status(StatusMessage::Request { id: 7, page: 3, padding: vec![5; 30] });
    let codec = codec(1, &[]);
    let datagram = codec.encode(&payload);
    for offset in 0..datagram.len() {
        let mut changed = datagram.clone();
        changed[offset] ^= 0x40;
        assert!(codec.decode(&changed).is_err(), "byte {offset} changed");
        assert!(codec.decode(&datagram[..offset]).is_err(), "truncated to {offset} bytes");
    }
    assert!(codec.decode(&[&datagram[..], &[0]].concat()).is_err(), "a byte appended");
    assert_eq!(codec.decode(&vec![1; MAX_DATAGRAM + 1]), Err(DropReason::Malformed));
}
