use super::*;

#[test]
fn session_hash_differs_by_key() {
    assert_ne!(session_hash(b"7f3a9c21e0b4d655"), session_hash(b"7f3a9c21e0b4d656"));
}
