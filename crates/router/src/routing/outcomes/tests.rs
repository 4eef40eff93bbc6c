use super::*;

#[test]
fn reported_position_is_rounded_down() {
    let columns = [POSITION_COLUMN.to_string(), ROLE_COLUMN.to_string()];
    for ms in (0..2000).map(|n| 1_767_225_600_000 + n * 7919) {
        let report = format!("x0={}.{:03},x1=0,other=3", ms / 1000, ms % 1000);
        let replication = replication_from_load_report(&columns, &report);
        let position = replication.position.expect("the report has a position");
        let exact = time_from_unix_ms(ms);
        assert!(position <= exact && exact.since(position) < Time::ms(1), "{report}: {position:?}");
        assert_eq!(replication.role, Some(Role::Replica));
    }
    assert_eq!(replication_from_load_report(&columns, "x1=1").role, Some(Role::Primary));
    let without_role = replication_from_load_report(&columns[..1], "x1=1,x0=0,x0=NaN,x0");
    assert_eq!(without_role, ReplicationState::default());
}
