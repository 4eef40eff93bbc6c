//! Requests in flight, lost responses and overloaded members.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn lost_responses_do_not_count_as_load() {
    let mut router = TestRouter::new(test_settings());
    let (mut lost, mut others): (Vec<(Time, RequestId)>, Vec<RequestId>) = Default::default();
    for n in 0..600 {
        router.advance(10);
        router.replicas_respond_with_lag([10, 10]);
        let id = router.request(BOUNDED, 0);
        match n % 8 {
            0 if router.is_in_flight(id) => lost.push((router.now, id)),
            _ if router.is_in_flight(id) => {
                others.push(id);
                router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
            }
            _ => others.push(id),
        }
        if lost.first().is_some_and(|(at, _)| router.now.since(*at) >= Time::ms(1490)) {
            let (_, id) = lost.remove(0);
            router.finish_attempt(id, Status::Timeout, 1490, 0, Role::Replica);
        }
    }
    // All other responses take 20 ms: lost responses must not use up capacity, so that no request is rejected
    // because of them.
    let rejected = others.iter().filter(|id| router.is_rejected(**id)).count();
    let at_primary = others.iter().filter(|id| router.last_target(**id) == Some(1)).count();
    assert!(rejected + at_primary < 5, "{rejected} rejected, {at_primary} at the primary");
}

#[test]
fn a_lost_response_no_longer_counts_as_in_flight() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([10, 10]);
    for _ in 0..12 {
        let id = router.request(BOUNDED, 0);
        if router.last_target(id) == Some(3) {
            router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
        }
    }
    // Member 2 responds to later attempts, but never to the first ones.
    router.advance(300);
    router.replicas_respond_with_lag([10, 10]);
    router.advance(400);
    let from = router.now;
    for _ in 0..40 {
        router.advance(10);
        router.replicas_respond_with_lag([10, 10]);
        let id = router.request(BOUNDED, 0);
        router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    }
    assert!(
        attempts_since(&router, from, 2) > 10,
        "only {} attempts at member 2",
        attempts_since(&router, from, 2)
    );
}

#[test]
fn a_replica_with_a_larger_lag_gets_fewer_concurrent_reads() {
    let reads_at_lag = |lag_ms: u64| {
        let mut router = TestRouter::new(test_settings());
        for _ in 0..20 {
            router.replicas_respond_with_lag([lag_ms, lag_ms]);
            router.request(BOUNDED, 0);
        }
        attempts_since(&router, Time(0), 2) + attempts_since(&router, Time(0), 3)
    };
    assert!(
        reads_at_lag(1900) < reads_at_lag(10),
        "{} reads at a lag of 1900 ms, {} at 10 ms",
        reads_at_lag(1900),
        reads_at_lag(10)
    );
}

#[test]
fn client_retries_are_not_sent_to_overloaded_members() {
    // Guards against an overload that outlasts its cause, as in simulated runs of the deployment
    // jb-ffb-trips: the capacity went to retries instead of first requests.
    let sent = |client_retry: bool| {
        let mut router = TestRouter::new(test_settings());
        for _ in 0..40 {
            router.replicas_respond_with_lag([10, 10]);
            let id = router.request(EVENTUAL, 0);
            router.finish_attempt(id, Status::Ok, 140, 10, Role::Replica);
        }
        for _ in 0..4 {
            router.request(EVENTUAL, 0);
        }
        let previous_actions = router.action_log.len();
        router.request_marked_as_retry(EVENTUAL, client_retry);
        router.action_log[previous_actions..]
            .iter()
            .any(|(_, a)| matches!(a, Action::Send(_, m, _) if m.0 != 1))
    };
    assert!(sent(false), "a first request was not sent to a replica");
    assert!(!sent(true), "a client's retry was sent to a replica that is overloaded for it");
}
