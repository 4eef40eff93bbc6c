//! Keyed requests whose window is shorter than their time, and lines of the list that count from before they
//! came.

mod common;

use basalthill_policy::api::*;
use common::*;

/// The settings, with a window for repeats of keyed requests in milliseconds, dropped at every member.
fn window(ms: u64) -> Settings {
    let mut set = settings();
    let keyed = &mut set.classes[usize::from(KEYED.0)];
    (keyed.window, keyed.scope) = (Time::ms(ms), KeyScope::All);
    set
}

/// The limits of a request's attempts, in order.
fn limits(b: &Bench, id: RequestId) -> Vec<Time> {
    let limit = |a: &Action| match a {
        Action::Send(r, _, limit) if *r == id => *limit,
        _ => None,
    };
    b.log.iter().filter_map(|(_, a)| limit(a)).collect()
}

#[test]
fn a_repeat_is_given_no_more_time_than_its_window_has_left() {
    let mut b = Bench::new(window(300));
    let id = b.ask(KEYED, 0);
    b.run(100);
    b.end(id, Status::Reset, 100, 0, Role::Primary);
    b.run(40); // an answer of the primary ends the doubt in it
    b.report(1, b.now, Role::Primary);
    b.run(10);
    let limits = limits(&b, id);
    assert_eq!(limits.len(), 2, "the window leaves time for a repeat");
    // A connection may come up late, and a member may take it up late: past the window it would run anew.
    assert!(limits[1] <= Time::ms(200), "{limits:?}");
}

#[test]
fn a_repeat_that_its_window_leaves_no_time_for_is_not_sent() {
    let mut b = Bench::new(window(300));
    let id = b.ask(KEYED, 0);
    b.run(250);
    b.end(id, Status::Error, 250, 0, Role::Primary);
    b.run(1200);
    assert_eq!(limits(&b, id).len(), 1);
    assert!(b.failed(id) && !b.refused(id), "nor is its client told that trying again does no harm");
}

#[test]
fn a_keyed_request_is_refused_only_if_its_client_can_be_back_within_the_window() {
    for (at, refused) in [(1200, true), (1700, false)] {
        let mut b = Bench::new(window(2000));
        let id = b.ask_within(KEYED, 2900);
        b.run(at);
        b.end(id, Status::Error, at, 0, Role::Primary);
        // The last attempts there are.
        while !(b.refused(id) || b.failed(id)) {
            match b.out(id) {
                true => b.end(id, Status::Error, 1, 0, Role::Primary),
                false => b.run(10),
            }
        }
        assert_eq!((b.refused(id), b.failed(id)), (refused, !refused), "given up after {at} ms");
    }
}
#[test]
fn a_drains_grace_counts_from_when_it_may_have_been_told() {
    for (ago, sends) in [(0, true), (900, true), (1000, false), (5000, false)] {
        let mut b = Bench::new(settings());
        let told = b.now.minus(Time::ms(ago));
        let mut line = entry(1, 0, true);
        (line.state, line.notified_at) = (EndpointState::Draining, told);
        b.event(Event::Endpoints(EndpointUpdate::Delta, vec![line]));
        let id = b.ask(UNSAFE, 0);
        assert_eq!(b.went(id) == Some(1), sends, "told {ago} ms ago, the grace is a second");
    }
}
