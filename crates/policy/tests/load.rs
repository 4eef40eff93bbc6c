//! Requests in flight, lost responses and crowded members.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn lost_responses_do_not_count_as_load() {
    let mut b = Bench::new(settings());
    let (mut lost, mut others): (Vec<(Time, RequestId)>, Vec<RequestId>) = Default::default();
    for n in 0..600 {
        b.advance(10);
        b.replicas_respond_with_lag([10, 10]);
        let id = b.request(BOUNDED, 0);
        match n % 8 {
            0 if b.is_in_flight(id) => lost.push((b.now, id)),
            _ if b.is_in_flight(id) => {
                others.push(id);
                b.finish(id, Status::Ok, 20, 10, Role::Replica);
            }
            _ => others.push(id),
        }
        if lost.first().is_some_and(|(at, _)| b.now.since(*at) >= Time::ms(1490)) {
            let (_, id) = lost.remove(0);
            b.finish(id, Status::Timeout, 1490, 0, Role::Replica);
        }
    }
    // All others take 20 ms: a lost response takes up no capacity, and nothing is rejected for it.
    let rejected = others.iter().filter(|id| b.is_rejected(**id)).count();
    let elsewhere = others.iter().filter(|id| b.last_target(**id) == Some(1)).count();
    assert!(rejected + elsewhere < 5, "{rejected} rejected, {elsewhere} at the primary");
}

#[test]
fn a_lost_response_no_longer_counts_as_in_flight() {
    let mut b = Bench::new(settings());
    b.replicas_respond_with_lag([10, 10]);
    for _ in 0..12 {
        let id = b.request(BOUNDED, 0);
        if b.last_target(id) == Some(3) {
            b.finish(id, Status::Ok, 20, 10, Role::Replica);
        }
    }
    // Member 2 answers others, and never what it was sent first.
    b.advance(300);
    b.replicas_respond_with_lag([10, 10]);
    b.advance(400);
    let from = b.now;
    for _ in 0..40 {
        b.advance(10);
        b.replicas_respond_with_lag([10, 10]);
        let id = b.request(BOUNDED, 0);
        b.finish(id, Status::Ok, 20, 10, Role::Replica);
    }
    assert!(attempts_since(&b, from, 2) > 10, "{}", attempts_since(&b, from, 2));
}

#[test]
fn a_replica_further_behind_gets_fewer_concurrent_reads() {
    let most = |behind: u64| {
        let mut b = Bench::new(settings());
        for _ in 0..20 {
            b.replicas_respond_with_lag([behind, behind]);
            b.request(BOUNDED, 0);
        }
        attempts_since(&b, Time(0), 2) + attempts_since(&b, Time(0), 3)
    };
    assert!(most(1900) < most(10), "{} against {}", most(1900), most(10));
}

#[test]
fn client_retries_go_to_uncrowded_members_only() {
    // Found in a jam on jb-ffb-trips that outlasted its cause: retries took the place of first attempts.
    let sent = |client_retry: bool| {
        let mut b = Bench::new(settings());
        for _ in 0..40 {
            b.replicas_respond_with_lag([10, 10]);
            let id = b.request(EVENTUAL, 0);
            b.finish(id, Status::Ok, 140, 10, Role::Replica);
        }
        for _ in 0..4 {
            b.request(EVENTUAL, 0);
        }
        let before = b.log.len();
        b.request_marked_as_retry(EVENTUAL, client_retry);
        b.log[before..].iter().any(|(_, a)| matches!(a, Action::Send(_, m, _) if m.0 != 1))
    };
    assert!(sent(false) && !sent(true));
}
