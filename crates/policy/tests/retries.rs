//! Attempts after the first, and what a request may have executed by then.

mod common;

use basalthill_policy::api::*;
use common::*;

/// The settings with a deduplication window in milliseconds that holds at all members.
fn with_window(ms: u64) -> Settings {
    let mut set = settings();
    let keyed = &mut set.classes[usize::from(IDEMPOTENT_BY_KEY.0)];
    keyed.window = Time::ms(ms);
    keyed.scope = KeyScope::All;
    set
}

/// The timeouts of a request's attempts, in order.
fn attempt_timeouts(b: &Bench, id: RequestId) -> Vec<Time> {
    let limit = |a: &Action| match a {
        Action::Send(r, _, limit) if *r == id => *limit,
        _ => None,
    };
    b.log.iter().filter_map(|(_, a)| limit(a)).collect()
}

#[test]
fn a_non_idempotent_write_that_may_have_been_executed_fails_and_is_not_retried() {
    for status in [Status::Error, Status::Reset, Status::Timeout] {
        let mut b = Bench::new(settings());
        let id = b.request(NON_IDEMPOTENT, 0);
        b.finish(id, status, 100, 0, Role::Primary);
        assert!(b.is_failed(id) && !b.is_rejected(id) && b.attempts[&id].len() == 1, "{status:?}");
    }
}

#[test]
fn a_read_rejected_by_an_overloaded_member_is_retried_elsewhere() {
    let mut b = Bench::new(settings());
    b.replicas_respond_with_lag([10, 10]);
    let id = b.request(BOUNDED, 0);
    let full = b.last_target(id);
    b.finish(id, Status::Overloaded, 1, 10, Role::Replica);
    assert!(b.attempts[&id].len() == 2 && b.last_target(id) != full);
}

#[test]
fn a_write_with_a_zone_scoped_key_is_retried_in_its_zone_only() {
    let mut set = settings();
    set.classes[usize::from(IDEMPOTENT_BY_KEY.0)].scope = KeyScope::Zone;
    let mut list = primary_and_replicas();
    list[1].zone = ZoneId(1);
    list[2].zone = ZoneId(1);
    let mut b = Bench::with_list(set, list);
    b.all_probes_succeed();
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    b.finish(id, Status::Error, 20, 10, Role::Replica);
    b.advance(1400);
    assert!(b.attempts[&id].len() > 1, "its own member drops a repeat");
    assert!(b.attempts[&id].iter().all(|m| m.0 == 1), "the others, in another zone, do not");
    assert!(!b.is_rejected(id));
}

#[test]
fn a_retry_times_out_with_its_deduplication_window() {
    let mut b = Bench::new(with_window(300));
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    b.advance(100);
    b.finish(id, Status::Reset, 100, 0, Role::Primary);
    b.advance(40); // a response of the primary ends the suspicion
    b.probe_succeeds(1, b.now, Role::Primary);
    b.advance(10);
    let timeouts = attempt_timeouts(&b, id);
    assert_eq!(timeouts.len(), 2, "the window leaves time for a retry");
    // A connection may come up late, and a member may take it up late: past the window it would run anew.
    assert!(timeouts[1] <= Time::ms(200), "{timeouts:?}");
}

#[test]
fn no_retry_is_sent_that_the_deduplication_window_leaves_no_time_for() {
    let mut b = Bench::new(with_window(300));
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    b.advance(250);
    b.finish(id, Status::Error, 250, 0, Role::Primary);
    b.advance(1200);
    assert_eq!(attempt_timeouts(&b, id).len(), 1);
    assert!(
        b.is_failed(id) && !b.is_rejected(id),
        "nor is its client led to believe that a retry does no harm"
    );
}

#[test]
fn a_request_with_a_key_is_rejected_only_if_its_client_can_retry_within_the_window() {
    for (at, rejected) in [(1200, true), (1700, false)] {
        let mut b = Bench::new(with_window(2000));
        let id = b.request_with_timeout(IDEMPOTENT_BY_KEY, 2900);
        b.advance(at);
        b.finish(id, Status::Error, at, 0, Role::Primary);
        // The last attempts there are.
        while !(b.is_rejected(id) || b.is_failed(id)) {
            match b.is_in_flight(id) {
                true => b.finish(id, Status::Error, 1, 0, Role::Primary),
                false => b.advance(10),
            }
        }
        assert_eq!((b.is_rejected(id), b.is_failed(id)), (rejected, !rejected), "given up after {at} ms");
    }
}
