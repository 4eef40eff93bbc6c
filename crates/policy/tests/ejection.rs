//! Members that fail, fall silent and come back; routers that stall.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn a_silent_member_is_ejected() {
    let mut b = Bench::new(settings());
    b.replicas_respond_with_lag([10, 10]);
    let id = b.request(BOUNDED, 0);
    let mute = b.last_target(id).unwrap_or(0);
    let from = b.now.plus(Time::ms(600));
    let mut sent = 0;
    for _ in 0..60 {
        b.advance(20);
        let read = b.request(BOUNDED, 0);
        if b.now > from {
            sent += 1;
        }
        if b.last_target(read).is_some_and(|m| m != mute) {
            b.finish(read, Status::Ok, 20, 10, Role::Replica);
        }
    }
    assert!(attempts_since(&b, from, mute) * 8 < sent, "probes may be answered, requests are not");
}

#[test]
fn resets_at_a_responding_primary_stop_no_writes() {
    let mut b = Bench::new(settings());
    for n in 0..40 {
        b.advance(20);
        let id = b.request(NON_IDEMPOTENT, 0);
        assert_eq!(b.last_target(id), Some(1), "write {n}");
        match n % 4 {
            0 => b.finish(id, Status::Ok, 15, 0, Role::Primary),
            _ => b.finish(id, Status::Reset, 15, 0, Role::Primary),
        }
        // Nor do probes that come to nothing on the way.
        b.probe_fails(1, Status::Reset, 1);
        b.probe_fails(1, Status::Error, 1);
    }
    // One that answers nothing any more is left alone after the first.
    b.advance(300);
    let id = b.request(NON_IDEMPOTENT, 0);
    b.finish(id, Status::Reset, 15, 0, Role::Primary);
    let id = b.request(NON_IDEMPOTENT, 0);
    assert_eq!(b.last_target(id), None);
}

#[test]
fn three_consecutive_failures_eject_and_one_health_check_readmits() {
    let mut set = settings();
    set.when_behind = WhenBehind::Reject;
    let mut b = Bench::new(set);
    for _ in 0..3 {
        b.probe_fails(2, Status::Timeout, 250);
    }
    let from = b.now;
    for _ in 0..5 {
        b.respond_with_lag(3, 10);
        let id = b.request(BOUNDED, 0);
        b.finish(id, Status::Ok, 20, 10, Role::Replica);
    }
    assert_eq!(attempts_since(&b, from, 2), 0);
    b.advance(1300);
    assert!(b.log.iter().any(|(at, a)| *at > from && *a == Action::Probe(MemberId(2))), "one probe decides");
    b.probe_succeeds(2, b.now, Role::Replica);
    let from = b.now;
    for _ in 0..40 {
        b.advance(50);
        b.replicas_respond_with_lag([10, 10]);
        let ids = [b.request(BOUNDED, 0), b.request(BOUNDED, 0), b.request(BOUNDED, 0)];
        ids.into_iter().filter(|id| b.is_in_flight(*id)).collect::<Vec<_>>().into_iter().for_each(|id| {
            b.finish(id, Status::Ok, 20, 10, Role::Replica);
        });
    }
    let (back, other) = (attempts_since(&b, from, 2), attempts_since(&b, from, 3));
    assert!(back > 0, "readmitted");
    assert!(other > back, "but as one that has most likely restarted and warms up: {back} to {other}");
}

#[test]
fn a_silent_primary_gets_few_more_writes() {
    let mut b = Bench::new(settings());
    b.primary_serves_writes(60);
    b.advance(10);
    let from = b.now;
    for _ in 0..100 {
        b.request(NON_IDEMPOTENT, 0);
        b.advance(20);
    }
    let fed = attempts_since(&b, from, 1);
    assert!(fed <= 20, "{fed} non-idempotent writes went to a silent primary");
}

#[test]
fn fast_errors_weigh_against_a_replica_but_do_not_eject_the_primary() {
    // Found in an incident on jb-ffb-trips: quick errors ejected members, the primary among them.
    let mut b = Bench::new(settings());
    for _ in 0..12 {
        let id = b.request(NON_IDEMPOTENT, 0);
        b.finish(id, Status::Error, 3, 0, Role::Primary);
        assert_eq!(b.attempts[&id], vec![MemberId(1)], "nobody else can take it");
    }
    let mut to_flaky = 0;
    for _ in 0..60 {
        b.replicas_respond_with_lag([10, 10]);
        let id = b.request(EVENTUAL, 0);
        let flaky = b.last_target(id) == Some(2);
        to_flaky += usize::from(flaky);
        let (status, took) = if flaky { (Status::Error, 3) } else { (Status::Ok, 80) };
        b.finish(id, status, took, 10, Role::Replica);
        if flaky && b.attempts[&id].len() > 1 {
            b.finish(id, Status::Ok, 80, 10, Role::Replica);
        }
    }
    assert!(to_flaky < 15, "{to_flaky} of 60 reads went first to a member that fails fast");
}

#[test]
fn rejected_connections_do_not_mark_a_member_as_restarted() {
    let mut b = Bench::new(settings());
    for _ in 0..8 {
        let id = b.request(EVENTUAL, 0);
        if b.is_in_flight(id) && b.last_target(id) != Some(1) {
            b.finish(id, Status::ConnectFailed, 2, 0, Role::Replica);
        }
        b.advance(150);
    }
    b.advance(1500);
    b.replicas_respond_with_lag([10, 10]);
    for m in [2, 3] {
        b.probe_succeeds(m, b.now, Role::Replica);
    }
    let from = b.now;
    for _ in 0..6 {
        b.request(EVENTUAL, 0);
    }
    let sent = attempts_since(&b, from, 2) + attempts_since(&b, from, 3);
    assert!(sent >= 5, "no probe of theirs failed: they are not warming up, {sent} of 6 sent");
}

#[test]
fn a_stalled_router_blames_no_member() {
    let mut b = Bench::new(settings());
    b.replicas_respond_with_lag([10, 10]);
    let id = b.request(BOUNDED, 0);
    let member = b.last_target(id).unwrap();
    b.now = b.now.plus(Time::ms(1000));
    b.event(Event::Timer(0));
    b.finish(id, Status::Ok, 1000, 10, Role::Replica);
    b.replicas_respond_with_lag([10, 10]);
    let from = b.now;
    for _ in 0..8 {
        b.request(BOUNDED, 0);
    }
    assert!(attempts_since(&b, from, member) > 0, "the gap was its own");
}

#[test]
fn a_slightly_late_timer_is_no_stall() {
    // Real timers fire a moment after their time. A router with little to do must still see silence.
    let mut b = Bench::new(settings());
    b.primary_serves_writes(60);
    b.advance(10);
    b.request(NON_IDEMPOTENT, 0);
    for _ in 0..10 {
        b.now = b.now.plus(Time::ms(101));
        b.event(Event::Timer(0));
    }
    let id = b.request(NON_IDEMPOTENT, 0);
    assert!(!b.is_in_flight(id), "a primary that has said nothing for a second gets no more");
}

/// The router had no descriptor left for a connection, or a drain grace was over.
#[test]
fn an_unsent_health_check_is_no_evidence_about_its_member() {
    let mut b = Bench::new(settings());
    for _ in 0..3 {
        b.advance(300);
        b.probe_fails(1, Status::NotSent, 250);
    }
    let write = b.request(NON_IDEMPOTENT, 0);
    assert_eq!(b.last_target(write), Some(1), "the primary is as good as before");
}
