//! Endpoint lists: draining, removal, polling.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn no_attempt_is_sent_to_a_member_after_its_drain_grace_period() {
    let mut router = TestRouter::new(test_settings());
    router.set_state_of_all_members(EndpointState::Draining);
    router.advance(1100);
    let ids: Vec<_> = [EVENTUAL, BOUNDED, SESSION, STRONG, NON_IDEMPOTENT, IDEMPOTENT_BY_KEY]
        .into_iter()
        .map(|c| router.request(c, 0))
        .collect();
    router.advance(2000);
    assert!(ids.iter().all(|id| router.last_target(*id).is_none()));
    assert!(ids.iter().all(|id| router.is_rejected(*id)), "each request is rejected in time");
}

#[test]
fn the_endpoint_list_is_polled_if_it_is_not_pushed() {
    let mut settings = test_settings();
    settings.poll_endpoint_list = true;
    let mut router = TestRouter::new(settings);
    assert!(router.action_log.iter().any(|(_, a)| *a == Action::WatchEndpoints));
    router.advance(6000);
    assert!(router.action_log.iter().any(|(_, a)| *a == Action::PollEndpoints));
    router.handle_event(Event::Endpoints(EndpointUpdate::Failed, Vec::new()));
    let id = router.request(NON_IDEMPOTENT, 0);
    assert_eq!(router.last_target(id), Some(1), "the previous list stays in use");
}

#[test]
fn members_removed_long_ago_do_not_slow_down_requests() {
    // Guards against a cost per request that grows with the number of removed members: in a run of 45
    // minutes, with about 450 removed members, a few dozen queued requests used all of the router's CPU time,
    // and requests that arrived during that time were lost.
    let cost = |replaced: u32| {
        let mut router = TestRouter::new(test_settings());
        for n in 0..replaced {
            let removed = Endpoint { state: EndpointState::Removed, ..endpoint(100 + n, 0, false) };
            router.update_endpoints(vec![endpoint(100 + n, 0, false)]);
            router.update_endpoints(vec![removed]);
        }
        router.advance(40_000);
        router.update_endpoints(vec![endpoint(3, 0, false)]);
        let round = |router: &mut TestRouter| {
            let started_at = std::time::Instant::now();
            for _ in 0..200 {
                router.replicas_respond_with_lag([10, 10]);
                let id = router.request(BOUNDED, 0);
                router.finish_attempt(id, Status::Ok, 80, 10, Role::Replica);
            }
            started_at.elapsed()
        };
        (0..5).map(|_| round(&mut router)).min().unwrap()
    };
    let (none, many) = (cost(0), cost(500));
    assert!(
        many < none * 8,
        "{none:?} with no removed members, {many:?} with 500: not below 8 times as much"
    );
}

#[test]
fn empty_and_fully_removed_endpoint_lists_end_attempts_unless_removal_is_ignored() {
    // An empty list, one with all members removed, then the complete one again.
    for ignore_removal in [true, false] {
        let mut settings = test_settings();
        settings.ignore_removal = ignore_removal;
        let mut router = TestRouter::new(settings);
        router.handle_event(Event::Endpoints(EndpointUpdate::Full, Vec::new()));
        router.advance(1100);
        let id = router.request(EVENTUAL, 0);
        assert_eq!(router.is_in_flight(id), ignore_removal, "an empty list");
        router.set_state_of_all_members(EndpointState::Removed);
        router.advance(1100);
        let id = router.request(EVENTUAL, 0);
        assert_eq!(router.is_in_flight(id), ignore_removal, "a list with all members removed");
        router.handle_event(Event::Endpoints(EndpointUpdate::Full, primary_and_replicas()));
        let id = router.request(EVENTUAL, 0);
        assert!(router.is_in_flight(id), "the complete list again");
        let id = router.request(EVENTUAL, 0);
        router.handle_event(Event::Request(Request {
            group: GroupId(77),
            ..plain_request(RequestId(9999), EVENTUAL, router.now.plus(Time::ms(1500)))
        }));
        assert!(
            router.is_rejected(RequestId(9999)) && !router.is_rejected(id),
            "a group that no list contained"
        );
    }
}

#[test]
fn the_drain_grace_period_starts_with_the_notification() {
    for (ago, sends) in [(0, true), (900, true), (1000, false), (5000, false)] {
        let mut router = TestRouter::new(test_settings());
        let notified_at = router.now.minus(Time::ms(ago));
        let mut draining = endpoint(1, 0, true);
        draining.state = EndpointState::Draining;
        draining.notified_at = notified_at;
        router.update_endpoints(vec![draining]);
        let id = router.request(NON_IDEMPOTENT, 0);
        assert_eq!(
            router.last_target(id) == Some(1),
            sends,
            "notified {ago} ms ago, with a grace period of 1000 ms"
        );
    }
}
