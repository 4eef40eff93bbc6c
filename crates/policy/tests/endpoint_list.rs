//! Endpoint lists: draining, removal, polling.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn no_attempt_goes_to_a_member_past_its_drain_grace() {
    let mut b = Bench::new(settings());
    b.all_members_become(EndpointState::Draining);
    b.advance(1100);
    let ids: Vec<_> = [EVENTUAL, BOUNDED, SESSION, STRONG, NON_IDEMPOTENT, IDEMPOTENT_BY_KEY]
        .into_iter()
        .map(|c| b.request(c, 0))
        .collect();
    b.advance(2000);
    assert!(ids.iter().all(|id| b.last_target(*id).is_none()));
    assert!(ids.iter().all(|id| b.is_rejected(*id)), "and each is rejected in time");
}

#[test]
fn the_endpoint_list_is_polled_where_it_is_not_pushed() {
    let mut set = settings();
    set.poll_endpoint_list = true;
    let mut b = Bench::new(set);
    assert!(b.log.iter().any(|(_, a)| *a == Action::WatchEndpoints));
    b.advance(6000);
    assert!(b.log.iter().any(|(_, a)| *a == Action::PollEndpoints));
    b.event(Event::Endpoints(EndpointUpdate::Failed, Vec::new()));
    let id = b.request(NON_IDEMPOTENT, 0);
    assert_eq!(b.last_target(id), Some(1), "the earlier list remains");
}

#[test]
fn members_that_left_long_ago_cost_requests_nothing() {
    // Found on a day of 45 minutes: with some 450 members gone, a few dozen queued requests took all of the
    // router's processor time, and what arrived meanwhile was lost.
    let cost = |replaced: u32| {
        let mut b = Bench::new(settings());
        for n in 0..replaced {
            let gone = Endpoint { state: EndpointState::Removed, ..endpoint(100 + n, 0, false) };
            b.list_changes(vec![endpoint(100 + n, 0, false)]);
            b.list_changes(vec![gone]);
        }
        b.advance(40_000);
        b.list_changes(vec![endpoint(3, 0, false)]);
        let round = |b: &mut Bench| {
            let began = std::time::Instant::now();
            for _ in 0..200 {
                b.replicas_respond_with_lag([10, 10]);
                let id = b.request(BOUNDED, 0);
                b.finish(id, Status::Ok, 80, 10, Role::Replica);
            }
            began.elapsed()
        };
        (0..5).map(|_| round(&mut b)).min().unwrap()
    };
    let (few, many) = (cost(0), cost(500));
    assert!(many < few * 8, "{few:?} without, {many:?} with 500 members that left");
}

#[test]
fn attempts_survive_empty_and_fully_removed_endpoint_lists() {
    // Empty, all removed, the true one again: attempts go on where only draining binds and end where removal
    // does.
    for ignore_removal in [true, false] {
        let mut set = settings();
        set.ignore_removal = ignore_removal;
        let mut b = Bench::new(set);
        b.event(Event::Endpoints(EndpointUpdate::Full, Vec::new()));
        b.advance(1100);
        let id = b.request(EVENTUAL, 0);
        assert_eq!(b.is_in_flight(id), ignore_removal, "an empty list");
        b.all_members_become(EndpointState::Removed);
        b.advance(1100);
        let id = b.request(EVENTUAL, 0);
        assert_eq!(b.is_in_flight(id), ignore_removal, "a list with all members removed");
        b.event(Event::Endpoints(EndpointUpdate::Full, primary_and_replicas()));
        let id = b.request(EVENTUAL, 0);
        assert!(b.is_in_flight(id), "the true one again");
        let id = b.request(EVENTUAL, 0);
        b.event(Event::Request(Request {
            group: GroupId(77),
            ..plain_request(RequestId(9999), EVENTUAL, b.now.plus(Time::ms(1500)))
        }));
        assert!(b.is_rejected(RequestId(9999)) && !b.is_rejected(id), "a group that no list named");
    }
}

#[test]
fn the_drain_grace_counts_from_the_notification() {
    for (ago, sends) in [(0, true), (900, true), (1000, false), (5000, false)] {
        let mut b = Bench::new(settings());
        let notified_at = b.now.minus(Time::ms(ago));
        let mut line = endpoint(1, 0, true);
        line.state = EndpointState::Draining;
        line.notified_at = notified_at;
        b.list_changes(vec![line]);
        let id = b.request(NON_IDEMPOTENT, 0);
        assert_eq!(b.last_target(id) == Some(1), sends, "notified {ago} ms ago, the grace is a second");
    }
}
