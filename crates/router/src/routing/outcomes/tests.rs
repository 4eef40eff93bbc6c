use super::*;

#[test]
fn reported_position_is_rounded_down() {
    let columns = ["x0".to_string(), "x1".to_string()];
    for ms in (0..2000).map(|n| 1_767_225_600_000 + n * 7919) {
        let told = format!("x0={}.{:03},x1=0,other=3", ms / 1000, ms % 1000);
        let standing = replication_state(&columns, &told);
        let position = standing.position.expect("a position");
        assert!(
            position <= time_from_unix_ms(ms) && time_from_unix_ms(ms).since(position) < Time::ms(1),
            "{told}: {position:?}"
        );
        assert_eq!(standing.role, Some(Role::Replica));
    }
    assert_eq!(replication_state(&columns, "x1=1").role, Some(Role::Primary));
    assert_eq!(replication_state(&columns[..1], "x1=1,x0=0,x0=NaN,x0"), ReplicationState::default());
}

#[test]
fn session_hash_differs_by_key() {
    assert_ne!(session_hash(b"7f3a9c21e0b4d655"), session_hash(b"7f3a9c21e0b4d656"));
}
