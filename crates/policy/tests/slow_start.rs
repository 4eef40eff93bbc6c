//! Slow start of warming members, with a single router and with a large fleet.

mod common;

use basalthill_policy::api::*;
use basalthill_policy::Policy;
use common::*;

/// Runs 200 routers whose endpoint list has `groups` groups, and returns the number of attempts that a
/// warming member gets in its first eight seconds. Checks that no overload window has more attempts than the
/// settings allow.
fn attempts_of_a_large_fleet(groups: u32) -> usize {
    const ROUTERS: u64 = 200;
    let (request_interval_ms, service_time) = (2000, Time::ms(80));
    let mut settings = test_settings();
    settings.routers = ROUTERS as u32;
    let initial_list = || {
        let group = |g| {
            [endpoint(1 + 10 * g, g, true), endpoint(2 + 10 * g, g, false), endpoint(3 + 10 * g, g, false)]
        };
        (0..groups).flat_map(group).collect::<Vec<_>>()
    };
    let mut fleet: Vec<Policy> = (0..ROUTERS).map(|n| Policy::new(settings.clone(), n * 7919 + 1)).collect();
    let (start, change, end) = (100_000u64, 120_000u64, 128_000u64);
    // The responses that have not arrived: the time of arrival, the number of the router, the request and the
    // member.
    let mut pending: Vec<(Time, usize, RequestId, MemberId)> = Vec::new();
    let (mut sent_to_warming, mut sent_before): (Vec<Time>, usize) = (Vec::new(), 0);
    for ms in (start..end).step_by(10) {
        let now = Time::ms(ms);
        let (arrived, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, ..)| *at <= now);
        pending = rest;
        for (n, router) in fleet.iter_mut().enumerate() {
            let mut events = Vec::new();
            if ms == start {
                events.push(Event::Endpoints(EndpointUpdate::Cached, initial_list()));
            }
            if ms == change {
                let mut list = initial_list();
                list[1..3].iter_mut().for_each(|e| e.state = EndpointState::Draining);
                list.push(Endpoint { started: Some(now), ..endpoint(4, 0, false) });
                events.push(Event::Endpoints(EndpointUpdate::Delta, list));
            }
            for (_, _, request, member) in arrived.iter().copied().filter(|(_, number, ..)| *number == n) {
                let role = if member.0 % 10 == 1 { Role::Primary } else { Role::Replica };
                events.push(Event::Outcome(Outcome {
                    request,
                    attempt: Attempt(0),
                    member,
                    status: Status::Ok,
                    elapsed: service_time,
                    request_completed: true,
                    replication: ReplicationState { position: Some(now), role: Some(role) },
                    report: ReplicationState::default(),
                }));
            }
            if (ms + n as u64 * 10) % request_interval_ms == 0 {
                events.push(Event::Request(Request {
                    group: GroupId(((ms / request_interval_ms + n as u64) % u64::from(groups)) as u32),
                    ..plain_request(RequestId(ms), BOUNDED, now.plus(Time::ms(1500)))
                }));
            }
            events.push(Event::Timer(0));
            for event in events {
                let mut out = Vec::new();
                router.handle(now, event, &mut out);
                for action in out {
                    if let Action::Send(id, member, _) = action {
                        pending.push((now.plus(service_time), n, id, member));
                        sent_before += usize::from(ms < change && member.0 < 10);
                        sent_to_warming.extend((member == MemberId(4)).then_some(now));
                    }
                }
            }
        }
    }
    // Before the change, two warm replicas shared the load of group 0: each of them can take half of the
    // attempts per second that both got.
    let warm_rate = sent_before as f64 / 2.0 / ((change - start) as f64 / 1000.0);
    for at in &sent_to_warming {
        let attempts =
            sent_to_warming.iter().filter(|s| **s <= *at && at.since(**s) < settings.overload_window).count()
                as f64;
        let capacity = settings.slow_start_capacity
            + (1.0 - settings.slow_start_capacity) * at.since(Time::ms(change)).secs() / 15.0;
        let limit = settings.overload_multiple * capacity * warm_rate * settings.overload_window.secs();
        assert!(attempts <= limit, "{attempts} attempts in an overload window that allows {limit:.1}");
    }
    sent_to_warming.len()
}

#[test]
fn a_warming_member_gets_few_attempts() {
    let mut settings = test_settings();
    settings.when_behind = WhenBehind::Reject;
    let mut router = TestRouter::new(settings);
    let mut starting = primary_and_replicas();
    starting.iter_mut().for_each(|e| e.started = Some(router.now));
    router.update_endpoints(starting);
    let from = router.now;
    for _ in 0..40 {
        router.request(EVENTUAL, 0);
        router.request(IDEMPOTENT_BY_KEY, 0);
    }
    for member in 1..=3 {
        // The router has not measured yet how much work a warm member can take.
        let sent = attempts_since(&router, from, member);
        assert!(sent <= 2, "warming member {member} got {sent} attempts, more than 2");
    }
}

/// The work that a warming member can take is shared by all routers: the test checks the sum over 200
/// routers, each with its own seed.
#[test]
fn a_large_fleet_does_not_overload_a_warming_member() {
    let sent = attempts_of_a_large_fleet(1);
    assert!(sent > 200, "the warming member got only {sent} attempts");
}

/// Each router has a request for the group only every ten seconds, so few routers accumulate enough credit
/// for a request while the member warms up. Together the routers still have to use the member, within the
/// limit that the settings allow.
#[test]
fn a_large_fleet_with_sparse_traffic_still_uses_a_warming_member() {
    let sent = attempts_of_a_large_fleet(5);
    assert!(sent >= 40, "the warming member got only {sent} of about 160 requests");
}
