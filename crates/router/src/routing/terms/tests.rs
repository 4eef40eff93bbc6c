use super::*;

#[test]
fn positions_are_never_taken_higher_than_told() {
    let columns = ["x0".to_string(), "x1".to_string()];
    for ms in (0..2000).map(|n| 1_767_225_600_000 + n * 7919) {
        let told = format!("x0={}.{:03},x1=0,other=3", ms / 1000, ms % 1000);
        let standing = reported(&columns, &told);
        let position = standing.position.expect("a position");
        assert!(position <= unix_ms(ms) && unix_ms(ms).since(position) < Time::ms(1), "{told}: {position:?}");
        assert_eq!(standing.role, Some(Role::Replica));
    }
    assert_eq!(reported(&columns, "x1=1").role, Some(Role::Primary));
    assert_eq!(reported(&columns[..1], "x1=1,x0=0,x0=NaN,x0"), ReplicationState::default());
}

#[test]
fn sessions_differ_by_their_keys() {
    assert_ne!(hash(b"7f3a9c21e0b4d655"), hash(b"7f3a9c21e0b4d656"));
}
