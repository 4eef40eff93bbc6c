use super::*;

const LIST: &str = r#"{"version":1,"full":true,"servers":[
  {"id":"a","addr":"127.0.0.1:1","cell":0,"state":"active","started_ms":1000000},
  {"id":"b","addr":"127.0.0.1:2","cell":0,"state":"active","started_ms":0}]}"#;

fn starts(members: &mut EndpointTable, system_clock: SystemClockOffset) -> Vec<Option<Time>> {
    let list = HostList::parse(LIST.as_bytes()).expect("a sound list");
    let (_, entries) = members.apply(Time::ms(1), system_clock, list, &mut Vec::new());
    entries.into_iter().map(|e| e.started).collect()
}

fn offset(ms: i64) -> SystemClockOffset {
    let mut system_clock = SystemClockOffset::default();
    system_clock.update(ms * 1_000_000);
    system_clock
}

#[test]
fn repeated_start_time_after_a_clock_step_is_not_a_restart() {
    let mut members = EndpointTable::new(&[], false);
    let first = vec![Some(Time::ms(1_000_000)), None];
    assert_eq!(starts(&mut members, SystemClockOffset::default()), first);
    assert_eq!(starts(&mut members, offset(-10_000)), first, "no restart, though it would lie later");
    assert_eq!(starts(&mut members, offset(10_000)), first);
}

#[test]
fn clock_step_only_moves_start_times_later() {
    let mut members = EndpointTable::new(&[], false);
    starts(&mut members, SystemClockOffset::default());
    assert!(members.move_starts_later(offset(10_000)).is_empty(), "it would have started before");
    let later: Vec<_> = members.move_starts_later(offset(-10_000)).into_iter().map(|e| e.started).collect();
    assert_eq!(later, [Some(Time::ms(1_010_000))], "the other has always been there");
    assert!(members.move_starts_later(offset(-10_000)).is_empty(), "it is told once");
}
