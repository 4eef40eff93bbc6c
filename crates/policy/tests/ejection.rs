//! Members that fail, stop responding and recover; routers that stall.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn an_unresponsive_member_is_ejected() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([10, 10]);
    let id = router.request(BOUNDED, 0);
    let unresponsive = router.last_target(id).unwrap_or(0);
    let from = router.now.plus(Time::ms(600));
    let mut sent = 0;
    for _ in 0..60 {
        router.advance(20);
        let read = router.request(BOUNDED, 0);
        if router.now > from {
            sent += 1;
        }
        if router.last_target(read).is_some_and(|m| m != unresponsive) {
            router.finish_attempt(read, Status::Ok, 20, 10, Role::Replica);
        }
    }
    assert!(
        attempts_since(&router, from, unresponsive) * 8 < sent,
        "the unresponsive member got more than an eighth of {sent} attempts"
    );
}

#[test]
fn connection_resets_at_a_responding_primary_do_not_stop_writes() {
    let mut router = TestRouter::new(test_settings());
    for n in 0..40 {
        router.advance(20);
        let id = router.request(NON_IDEMPOTENT, 0);
        assert_eq!(router.last_target(id), Some(1), "write {n}");
        match n % 4 {
            0 => router.finish_attempt(id, Status::Ok, 15, 0, Role::Primary),
            _ => router.finish_attempt(id, Status::Reset, 15, 0, Role::Primary),
        }
        // Failed health checks do not stop writes either while the primary responds to some writes.
        router.probe_fails(1, Status::Reset, 1);
        router.probe_fails(1, Status::Error, 1);
    }
    // Once the primary has stopped responding, one reset is enough to stop writes.
    router.advance(300);
    let id = router.request(NON_IDEMPOTENT, 0);
    router.finish_attempt(id, Status::Reset, 15, 0, Role::Primary);
    let id = router.request(NON_IDEMPOTENT, 0);
    assert_eq!(router.last_target(id), None);
}

#[test]
fn three_consecutive_failures_eject_and_one_health_check_readmits() {
    let mut settings = test_settings();
    settings.when_behind = WhenBehind::Reject;
    let mut router = TestRouter::new(settings);
    for _ in 0..3 {
        router.probe_fails(2, Status::Timeout, 250);
    }
    let from = router.now;
    for _ in 0..5 {
        router.respond_with_lag(3, 10);
        let id = router.request(BOUNDED, 0);
        router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    }
    assert_eq!(attempts_since(&router, from, 2), 0);
    router.advance(1300);
    assert!(
        router.action_log.iter().any(|(at, a)| *at > from && *a == Action::Probe(MemberId(2))),
        "one health check decides on readmission"
    );
    router.probe_succeeds(2, router.now, Role::Replica);
    let from = router.now;
    for _ in 0..40 {
        router.advance(50);
        router.replicas_respond_with_lag([10, 10]);
        let ids = [router.request(BOUNDED, 0), router.request(BOUNDED, 0), router.request(BOUNDED, 0)];
        ids.into_iter().filter(|id| router.is_in_flight(*id)).collect::<Vec<_>>().into_iter().for_each(
            |id| {
                router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
            },
        );
    }
    let (readmitted, other) = (attempts_since(&router, from, 2), attempts_since(&router, from, 3));
    assert!(readmitted > 0, "no attempts at the member after a successful health check");
    assert!(
        other > readmitted,
        "the readmitted member has likely restarted and warms up: {readmitted} attempts, {other} at the other"
    );
}

#[test]
fn an_unresponsive_primary_gets_few_more_writes() {
    let mut router = TestRouter::new(test_settings());
    router.primary_serves_writes(60);
    router.advance(10);
    let from = router.now;
    for _ in 0..100 {
        router.request(NON_IDEMPOTENT, 0);
        router.advance(20);
    }
    let writes = attempts_since(&router, from, 1);
    assert!(writes <= 20, "{writes} of 100 writes were sent to an unresponsive primary, more than 20");
}

#[test]
fn fast_errors_raise_the_cost_of_a_replica_but_do_not_eject_the_primary() {
    // Guards against ejections by fast errors: in simulated runs of the deployment jb-ffb-trips, they ejected
    // members, including the primary.
    let mut router = TestRouter::new(test_settings());
    for _ in 0..12 {
        let id = router.request(NON_IDEMPOTENT, 0);
        router.finish_attempt(id, Status::Error, 3, 0, Role::Primary);
        assert_eq!(router.attempts[&id], vec![MemberId(1)], "only the primary can serve it");
    }
    let mut to_flaky = 0;
    for _ in 0..60 {
        router.replicas_respond_with_lag([10, 10]);
        let id = router.request(EVENTUAL, 0);
        let flaky = router.last_target(id) == Some(2);
        to_flaky += usize::from(flaky);
        let (status, elapsed_ms) = if flaky { (Status::Error, 3) } else { (Status::Ok, 80) };
        router.finish_attempt(id, status, elapsed_ms, 10, Role::Replica);
        if flaky && router.attempts[&id].len() > 1 {
            router.finish_attempt(id, Status::Ok, 80, 10, Role::Replica);
        }
    }
    assert!(to_flaky < 15, "{to_flaky} of 60 reads were sent first to a member that fails fast");
}

#[test]
fn rejected_connections_do_not_mark_a_member_as_restarted() {
    let mut router = TestRouter::new(test_settings());
    for _ in 0..8 {
        let id = router.request(EVENTUAL, 0);
        if router.is_in_flight(id) && router.last_target(id) != Some(1) {
            router.finish_attempt(id, Status::ConnectFailed, 2, 0, Role::Replica);
        }
        router.advance(150);
    }
    router.advance(1500);
    router.replicas_respond_with_lag([10, 10]);
    for m in [2, 3] {
        router.probe_succeeds(m, router.now, Role::Replica);
    }
    let from = router.now;
    for _ in 0..6 {
        router.request(EVENTUAL, 0);
    }
    let sent = attempts_since(&router, from, 2) + attempts_since(&router, from, 3);
    assert!(
        sent >= 5,
        "{sent} of 6 sent, as if the members were warming up, although no health check failed"
    );
}

#[test]
fn a_stall_of_the_router_ejects_no_member() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([10, 10]);
    let id = router.request(BOUNDED, 0);
    let member = router.last_target(id).unwrap();
    router.now = router.now.plus(Time::ms(1000));
    router.handle_event(Event::Timer(0));
    router.finish_attempt(id, Status::Ok, 1000, 10, Role::Replica);
    router.replicas_respond_with_lag([10, 10]);
    let from = router.now;
    for _ in 0..8 {
        router.request(BOUNDED, 0);
    }
    assert!(attempts_since(&router, from, member) > 0, "the member was ejected for the stall of the router");
}

#[test]
fn a_slightly_late_timer_does_not_count_as_a_stall() {
    // Real timers fire slightly late. A router with few events still has to detect an unresponsive member.
    let mut router = TestRouter::new(test_settings());
    router.primary_serves_writes(60);
    router.advance(10);
    router.request(NON_IDEMPOTENT, 0);
    for _ in 0..10 {
        router.now = router.now.plus(Time::ms(101));
        router.handle_event(Event::Timer(0));
    }
    let id = router.request(NON_IDEMPOTENT, 0);
    assert!(!router.is_in_flight(id), "a primary that has not responded for a second gets no more writes");
}

/// A health check is not sent if the router has no file descriptor left for a connection, or if the member's
/// drain grace period is over.
#[test]
fn an_unsent_health_check_is_no_evidence_about_its_member() {
    let mut router = TestRouter::new(test_settings());
    for _ in 0..3 {
        router.advance(300);
        router.probe_fails(1, Status::NotSent, 250);
    }
    let write = router.request(NON_IDEMPOTENT, 0);
    assert_eq!(router.last_target(write), Some(1), "unsent health checks made the primary suspect");
}
