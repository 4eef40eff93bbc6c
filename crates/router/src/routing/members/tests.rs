use super::*;

const LIST: &str = r#"{"version":1,"full":true,"servers":[
  {"id":"a","addr":"127.0.0.1:1","cell":0,"state":"active","started_ms":1000000},
  {"id":"b","addr":"127.0.0.1:2","cell":0,"state":"active","started_ms":0}]}"#;

fn starts(members: &mut Members, wall: Wall) -> Vec<Option<Time>> {
    let list = HostList::parse(LIST.as_bytes()).expect("a sound list");
    let (_, entries) = members.take(Time::ms(1), wall, list, &mut Vec::new());
    entries.into_iter().map(|e| e.started).collect()
}

fn ahead_ms(ms: i64) -> Wall {
    let mut wall = Wall::default();
    wall.follow(ms * 1_000_000);
    wall
}

#[test]
fn a_start_told_again_after_the_clock_was_set_is_the_same_start() {
    let mut members = Members::new(&[], false);
    let first = vec![Some(Time::ms(1_000_000)), None];
    assert_eq!(starts(&mut members, Wall::default()), first);
    assert_eq!(starts(&mut members, ahead_ms(-10_000)), first, "no restart, though it would lie later");
    assert_eq!(starts(&mut members, ahead_ms(10_000)), first);
}

#[test]
fn of_two_clocks_the_one_that_makes_a_start_later_counts() {
    let mut members = Members::new(&[], false);
    starts(&mut members, Wall::default());
    assert!(members.starts_later(ahead_ms(10_000)).is_empty(), "it would have started before");
    let later: Vec<_> = members.starts_later(ahead_ms(-10_000)).into_iter().map(|e| e.started).collect();
    assert_eq!(later, [Some(Time::ms(1_010_000))], "the other has always been there");
    assert!(members.starts_later(ahead_ms(-10_000)).is_empty(), "it is told once");
}
