//! Queueing, rejection, fleet-wide limits, and requests that have waited before their arrival.

mod common;

use basalthill_policy::api::*;
use common::*;

fn request_under_limits(router: &mut TestRouter, class: ClassId, available_fraction: f64) -> RequestId {
    router.last_request_id += 1;
    let request = plain_request(RequestId(router.last_request_id), class, router.now.plus(Time::ms(1500)));
    let id = request.id;
    router.handle_event(Event::LimitedRequest { request, available_fraction, retry_after: Time::ms(120) });
    id
}

#[test]
fn a_request_for_a_group_without_members_is_rejected_at_once_with_a_retry_after() {
    let mut router = TestRouter::with_cached_list(test_settings(), vec![endpoint(1, 1, true)]);
    let id = router.request(BOUNDED, 0);
    assert!(router.actions.contains(&Action::Reject(id, Some(Time::ms(500)))), "a group without members");
    let mut settings = test_settings();
    settings.send_retry_after = false;
    let mut router = TestRouter::with_cached_list(settings, vec![endpoint(1, 1, true)]);
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    assert!(router.actions.contains(&Action::Reject(id, None)));
}

#[test]
fn a_queued_read_is_rejected_once_its_response_would_be_late() {
    let mut router = TestRouter::new(test_settings());
    router.set_state_of_all_members(EndpointState::Removed);
    router.advance(1100);
    let id = router.request(BOUNDED, 0);
    router.advance(400);
    assert!(router.is_rejected(id), "rejected long before the client's deadline");
}

#[test]
fn a_request_that_reached_no_member_is_rejected_after_half_of_its_client_timeout() {
    let mut router = TestRouter::new(test_settings());
    router.set_state_of_all_members(EndpointState::Removed);
    router.advance(1100);
    let id = router.request(NON_IDEMPOTENT, 0);
    router.advance(700);
    assert!(!router.is_rejected(id), "an attempt may still be sent");
    router.advance(60);
    assert!(router.is_rejected(id), "the client can still use another router");
    // A request that members have rejected stays queued while a late reply has value.
    let mut settings = test_settings();
    settings.max_attempts = 100;
    let mut router = TestRouter::new(settings);
    let id = router.request(NON_IDEMPOTENT, 0);
    for _ in 0..90 {
        if router.is_in_flight(id) {
            router.finish_attempt(id, Status::Misdirected, 1, 10, Role::Replica);
        }
        router.advance(10);
    }
    assert!(
        !router.is_rejected(id) && router.attempts[&id].len() > 3,
        "the search continues after half of the timeout"
    );
}

#[test]
fn queued_requests_are_placed_newest_first() {
    let mut router = TestRouter::new(test_settings());
    let first = router.request(IDEMPOTENT_BY_KEY, 0);
    router.finish_attempt(first, Status::ConnectFailed, 250, 0, Role::Primary);
    let old = router.request(IDEMPOTENT_BY_KEY, 0);
    router.now = router.now.plus(Time::ms(5));
    let new = router.request(IDEMPOTENT_BY_KEY, 0);
    assert!(router.last_target(old).is_none() && router.last_target(new).is_none());
    router.probe_succeeds(1, router.now, Role::Primary);
    router.advance(130); // the backoff after the failed connection attempt
    let at = |id: RequestId| {
        router.action_log.iter().position(|(_, a)| matches!(a, Action::Send(r, _, _) if *r == id))
    };
    assert!(at(new).is_some() && at(new) < at(old), "the newest request is placed first");
}

#[test]
fn requests_with_a_common_short_timeout_are_not_rejected_as_delayed() {
    // Guards against mistaking a short client timeout for time spent waiting: in the simulated scenario
    // join+mass, one in five clients had a seventh of the usual timeout, and all of their requests were
    // rejected at once.
    let mut router = TestRouter::new(test_settings());
    let served = |router: &mut TestRouter, ms| {
        router.advance(100);
        router.replicas_respond_with_lag([10, 10]);
        let id = router.request_with_timeout(EVENTUAL, ms);
        let sent = router.is_in_flight(id);
        if sent {
            router.finish_attempt(id, Status::Ok, 80, 10, Role::Replica);
        }
        sent
    };
    (0..20).for_each(|_| assert!(served(&mut router, 1500)));
    let delayed = (0..10).filter(|n| served(&mut router, 300 + 60 * n)).count();
    assert_eq!(delayed, 0, "each of these requests has waited for longer than its latency objective");
    (0..20).for_each(|_| assert!(served(&mut router, 1500)));
    let sent = (0..20).filter(|n| served(&mut router, if n % 4 == 0 { 1500 } else { 220 })).count();
    assert!(sent >= 18, "{sent} of 20 sent: only the first with a new timeout counts as delayed");
}

#[test]
fn after_a_stall_a_request_whose_objective_has_passed_is_rejected() {
    // Guards against late service after a stall: a router that stalls for a second then handles all requests
    // that arrived during the stall. The time left until a request's deadline shows how long it has waited.
    let mut router = TestRouter::new(test_settings());
    for _ in 0..6 {
        router.replicas_respond_with_lag([10, 10]);
        let id = router.request(BOUNDED, 0);
        router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    }
    let deadline = router.now.plus(Time::ms(1500));
    router.now = router.now.plus(Time::ms(900));
    router.last_request_id += 1;
    let old = RequestId(router.last_request_id);
    router.handle_event(Event::Request(plain_request(old, BOUNDED, deadline)));
    assert!(router.is_rejected(old), "its latency objective passed while the router stalled");
    let new = router.request(BOUNDED, 0);
    assert!(!router.is_rejected(new), "a request with the usual time left has not waited");
}

#[test]
fn a_tenant_over_its_quota_is_served_like_the_others() {
    // Documents behaviour that is not required: a router sees only its own part of a tenant's traffic.
    let mut settings = test_settings();
    settings.tenants = vec![Tenant { quota_per_s: 1.0 }];
    let mut router = TestRouter::new(settings);
    router.replicas_respond_with_lag([10, 10]);
    let ids: Vec<RequestId> = (0..6).map(|_| router.request(EVENTUAL, 0)).collect();
    assert!(ids.iter().all(|id| router.is_in_flight(*id)));
}

#[test]
fn the_last_tokens_of_a_limit_go_to_the_most_valuable_requests() {
    let mut settings = test_settings();
    settings.classes[usize::from(BOUNDED.0)].priority_weight = 8.0;
    let mut router = TestRouter::new(settings);
    // No tokens are available: all requests are rejected at once, with a Retry-After.
    for class in [EVENTUAL, BOUNDED, SESSION, STRONG, NON_IDEMPOTENT] {
        let id = request_under_limits(&mut router, class, 0.0);
        assert!(
            router.action_log.contains(&(router.now, Action::Reject(id, Some(Time::ms(120))))),
            "expected a rejection of {id:?} with a Retry-After of 120 ms, last action: {:?}",
            router.action_log.last()
        );
        assert!(!router.attempts.contains_key(&id));
    }
    // A fifth of the tokens is available: a request with an eighth of the highest value per second of work
    // is rejected.
    let (low, high) =
        (request_under_limits(&mut router, EVENTUAL, 0.2), request_under_limits(&mut router, BOUNDED, 0.2));
    assert!(
        router.is_rejected(low) && !router.attempts.contains_key(&low) && router.attempts.contains_key(&high),
        "expected a rejection of {low:?} and an attempt of {high:?} only, attempts: {:?}",
        router.attempts
    );
    // Half of the tokens is available: all requests are admitted.
    let low = request_under_limits(&mut router, EVENTUAL, 0.5);
    assert!(router.attempts.contains_key(&low));
    // The Retry-After is at most the longest one that the settings allow.
    let mut settings = test_settings();
    settings.max_retry_after = Time::ms(50);
    let mut router = TestRouter::new(settings);
    let id = request_under_limits(&mut router, EVENTUAL, 0.0);
    assert!(router.action_log.contains(&(router.now, Action::Reject(id, Some(Time::ms(50))))));
}

#[test]
fn attempts_at_a_member_stay_within_its_capacity() {
    let mut router = TestRouter::new(test_settings());
    for m in 1..=3 {
        router.handle_event(Event::MemberCapacity { member: MemberId(m), attempts: 2 });
    }
    let ids: Vec<RequestId> = (0..12).map(|_| router.request(EVENTUAL, 0)).collect();
    let at = |router: &TestRouter, m: u32| router.attempts.values().flatten().filter(|t| t.0 == m).count();
    assert!(
        (1..=3).all(|m| at(&router, m) <= 2),
        "more than two attempts at a member: {:?}",
        router.attempts
    );
    assert_eq!(at(&router, 2) + at(&router, 3), 4);
    // One attempt ends: another is allowed only after the next capacity event.
    let first = *ids.iter().find(|id| router.is_in_flight(**id)).expect("a request in flight");
    let member = router.attempts[&first][0];
    router.finish_attempt(first, Status::Ok, 5, 0, if member.0 == 1 { Role::Primary } else { Role::Replica });
    let before = at(&router, member.0);
    router.advance(50);
    assert_eq!(at(&router, member.0), before);
    router.handle_event(Event::MemberCapacity { member, attempts: 1 });
    router.advance(20);
    assert_eq!(at(&router, member.0), before + 1);
    // The limit also applies to writes and to the search for a primary.
    router.handle_event(Event::MemberCapacity { member: MemberId(1), attempts: 0 });
    let write = router.request(NON_IDEMPOTENT, 0);
    router.advance(100);
    assert!(router.attempts.get(&write).is_none_or(|t| t.iter().all(|m| m.0 != 1)));
}
