use super::*;

const LIST: &str = r#"{"version":1,"full":true,"servers":[
  {"id":"a","addr":"127.0.0.1:1","cell":0,"state":"active","started_ms":1000000},
  {"id":"b","addr":"127.0.0.1:2","cell":0,"state":"active","started_ms":0}]}"#;

/// Applies the list and returns the start times of its members.
fn apply_list(endpoints: &mut EndpointTable, clock: SystemClockOffset) -> Vec<Option<Time>> {
    let list = HostList::parse(LIST.as_bytes()).expect("a valid list");
    let applied = endpoints.apply(list, Time::ms(1), clock);
    applied.entries.into_iter().map(|entry| entry.started).collect()
}

fn clock_ahead_by_ms(ms: i64) -> SystemClockOffset {
    let mut clock = SystemClockOffset::default();
    clock.update(ms * 1_000_000);
    clock
}

#[test]
fn repeated_start_time_after_a_clock_step_is_not_a_restart() {
    let mut endpoints = EndpointTable::new(&[], false);
    let first = vec![Some(Time::ms(1_000_000)), None];
    assert_eq!(apply_list(&mut endpoints, SystemClockOffset::default()), first);
    assert_eq!(
        apply_list(&mut endpoints, clock_ahead_by_ms(-10_000)),
        first,
        "the same start is not a restart, although it would now be later"
    );
    assert_eq!(apply_list(&mut endpoints, clock_ahead_by_ms(10_000)), first);
}

#[test]
fn clock_step_only_moves_start_times_later() {
    let mut endpoints = EndpointTable::new(&[], false);
    apply_list(&mut endpoints, SystemClockOffset::default());
    assert!(
        endpoints.move_starts_later(clock_ahead_by_ms(10_000)).is_empty(),
        "with this offset the start would be earlier"
    );
    let moved = endpoints.move_starts_later(clock_ahead_by_ms(-10_000));
    let starts: Vec<_> = moved.into_iter().map(|entry| entry.started).collect();
    assert_eq!(starts, [Some(Time::ms(1_010_000))], "a member without a start time is not moved");
    assert!(
        endpoints.move_starts_later(clock_ahead_by_ms(-10_000)).is_empty(),
        "the start has already been moved"
    );
}
