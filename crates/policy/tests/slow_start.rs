//! Warming members, alone and before a large fleet.

mod common;

use basalthill_policy::api::*;
use basalthill_policy::Policy;
use common::*;

/// How many attempts a warming member gets in its first eight seconds from hundreds of routers that know so
/// many groups. Each window of them is checked against the rule.
fn attempts_of_a_large_fleet(groups: u32) -> usize {
    const ROUTERS: u64 = 200;
    let (every, took) = (2000, Time::ms(80));
    let mut set = settings();
    set.routers = ROUTERS as u32;
    let first = || {
        let group = |g| {
            [endpoint(1 + 10 * g, g, true), endpoint(2 + 10 * g, g, false), endpoint(3 + 10 * g, g, false)]
        };
        (0..groups).flat_map(group).collect::<Vec<_>>()
    };
    let mut fleet: Vec<Policy> = (0..ROUTERS).map(|n| Policy::new(set.clone(), n * 7919 + 1)).collect();
    let (start, change, end) = (100_000u64, 120_000u64, 128_000u64);
    let mut due: Vec<(Time, usize, RequestId, MemberId)> = Vec::new();
    let (mut to_warming, mut before): (Vec<Time>, usize) = (Vec::new(), 0);
    for ms in (start..end).step_by(10) {
        let now = Time::ms(ms);
        let (ready, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= now);
        due = rest;
        for (n, router) in fleet.iter_mut().enumerate() {
            let mut events = Vec::new();
            if ms == start {
                events.push(Event::Endpoints(EndpointUpdate::Cached, first()));
            }
            if ms == change {
                let mut list = first();
                list[1..3].iter_mut().for_each(|e| e.state = EndpointState::Draining);
                list.push(Endpoint { started: Some(now), ..endpoint(4, 0, false) });
                events.push(Event::Endpoints(EndpointUpdate::Delta, list));
            }
            for d in ready.iter().filter(|d| d.1 == n) {
                let role = if d.3 .0 % 10 == 1 { Role::Primary } else { Role::Replica };
                events.push(Event::Outcome(Outcome {
                    request: d.2,
                    attempt: Attempt(0),
                    member: d.3,
                    status: Status::Ok,
                    elapsed: took,
                    request_completed: true,
                    replication: ReplicationState { position: Some(now), role: Some(role) },
                    report: ReplicationState::default(),
                }));
            }
            if (ms + n as u64 * 10) % every == 0 {
                events.push(Event::Request(Request {
                    group: GroupId(((ms / every + n as u64) % u64::from(groups)) as u32),
                    ..plain_request(RequestId(ms), BOUNDED, now.plus(Time::ms(1500)))
                }));
            }
            events.push(Event::Timer(0));
            for event in events {
                let mut out = Vec::new();
                router.handle(now, event, &mut out);
                for a in out {
                    if let Action::Send(id, m, _) = a {
                        due.push((now.plus(took), n, id, m));
                        before += usize::from(ms < change && m.0 < 10);
                        to_warming.extend((m == MemberId(4)).then_some(now));
                    }
                }
            }
        }
    }
    // Two replicas shared the load before: what one took each second is what a warm member is known to take.
    let shown = before as f64 / 2.0 / ((change - start) as f64 / 1000.0);
    for at in &to_warming {
        let within =
            to_warming.iter().filter(|s| **s <= *at && at.since(**s) < set.overload_window).count() as f64;
        let warmth = set.slow_start_capacity
            + (1.0 - set.slow_start_capacity) * at.since(Time::ms(change)).secs() / 15.0;
        let most = set.overload_multiple * warmth * shown * set.overload_window.secs();
        assert!(within <= most, "{within} sends in a window that allows {most:.1}");
    }
    to_warming.len()
}

#[test]
fn a_warming_member_gets_few_attempts() {
    let mut set = settings();
    set.when_behind = WhenBehind::Reject;
    let mut b = Bench::new(set);
    let mut starting = primary_and_replicas();
    starting.iter_mut().for_each(|e| e.started = Some(b.now));
    b.list_changes(starting);
    let from = b.now;
    for _ in 0..40 {
        b.request(EVENTUAL, 0);
        b.request(IDEMPOTENT_BY_KEY, 0);
    }
    for m in 1..=3 {
        assert!(attempts_since(&b, from, m) <= 2, "nobody warm has shown what a member takes");
    }
}

/// Work for a warming member is a budget of all routers together: their sum is checked, each with its own
/// seed.
#[test]
fn a_large_fleet_does_not_overload_a_warming_member() {
    let sent = attempts_of_a_large_fleet(1);
    assert!(sent > 200, "the warming member gets its part: {sent}");
}

/// Each sends to the group once in ten seconds: few can save up credit for a request while the member warms
/// up. Together they still send well within what the rule allows.
#[test]
fn a_large_fleet_with_sparse_traffic_still_uses_a_warming_member() {
    let sent = attempts_of_a_large_fleet(5);
    assert!(sent >= 40, "of some 160: {sent}");
}
