//! Guards against overloading a warming member by the sum of what all routers send to it. Simulates thirty
//! routers that do not communicate, and checks the attempts at the member against the budget that the
//! settings allow, plus a tolerance for random variation.

mod common;

use basalthill_policy::api::*;
use basalthill_policy::Policy;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

const ROUTERS: usize = 30;
const GROUPS: u32 = 4;
const WARMING_MEMBER: MemberId = MemberId(7);
const SERVICE_TIME: Time = Time::ms(80);
const STEP_MS: u64 = 10;
/// The time at which [`WARMING_MEMBER`] starts. It is observed until [`END_MS`].
const MEMBER_START_MS: u64 = 120_000;
const END_MS: u64 = 130_000;
/// How long requests arrive before the member starts.
const TRAFFIC_BEFORE_START_MS: u64 = 60_000;
/// The total request rate of all routers, per second.
const REQUESTS_PER_S: f64 = 240.0;

/// A seeded random number generator (xorshift).
struct TestRng(u64);

impl TestRng {
    fn f64(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct SimulatedRouter {
    policy: Policy,
    /// The time at which the router starts, in milliseconds.
    started_at_ms: u64,
    /// The fraction of all requests that it gets.
    traffic_fraction: f64,
    /// The number of requests so far. Request ids start from zero in each process.
    requests: u64,
    /// The number of attempts so far, by request.
    attempts: BTreeMap<RequestId, u16>,
    writes: BTreeSet<RequestId>,
    pending: Vec<PendingResponse>,
}

/// A member's response to an attempt. The response is sent at `at`.
struct PendingResponse {
    at: Time,
    request: RequestId,
    attempt: Attempt,
    member: MemberId,
    status: Status,
}

impl SimulatedRouter {
    fn new(settings: Settings, seed: u64, started_at_ms: u64, traffic_fraction: f64) -> SimulatedRouter {
        let policy = Policy::new(settings, seed);
        SimulatedRouter {
            policy,
            started_at_ms,
            traffic_fraction,
            requests: 0,
            attempts: BTreeMap::new(),
            writes: BTreeSet::new(),
            pending: Vec::new(),
        }
    }

    /// Records an attempt and schedules its response: a member serves it, or rejects a write at once if it is
    /// not the primary.
    fn record_attempt(&mut self, now: Time, request: RequestId, member: MemberId, write: bool) {
        let attempts = self.attempts.entry(request).or_default();
        let attempt = Attempt(*attempts);
        *attempts += 1;
        let (status, elapsed) = if write && !is_primary(member) {
            (Status::Misdirected, Time::ms(1))
        } else {
            (Status::Ok, SERVICE_TIME)
        };
        self.pending.push(PendingResponse { at: now.plus(elapsed), request, attempt, member, status });
    }
}

/// Returns whether the member is the primary of its group: the first member is.
fn is_primary(member: MemberId) -> bool {
    member.0 % 10 == 1
}

fn role(member: MemberId) -> Option<Role> {
    Some(if is_primary(member) { Role::Primary } else { Role::Replica })
}

fn initial_list() -> Vec<Endpoint> {
    (0..GROUPS).flat_map(|g| (0..3).map(move |n| endpoint(1 + 10 * g + n, g, n == 0))).collect()
}

/// The state of the fleet when the warming member starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FleetState {
    /// All routers have been running for a while.
    Settled,
    /// Two in three routers start at the same time as the member, so they have measured nothing yet.
    Restarted,
    /// All routers have been running for a while. Half of their requests are writes, and the member's group
    /// has lost its primary as well as its replicas, so that writes search for a new primary.
    WithoutPrimary,
    /// All routers have been running for a while and got no requests for the last 30 s; then the requests
    /// resume at the full rate.
    AfterPause,
    /// All routers have been running for a while; the request rate triples when the member starts.
    Surge,
    /// All routers have been running for a while. Members start with less capacity, and are overloaded by
    /// less work in a shorter time, than with the default test settings.
    SlowerStart,
}

impl FleetState {
    fn settings(self) -> Settings {
        let mut settings = test_settings();
        settings.routers = ROUTERS as u32;
        if self == FleetState::SlowerStart {
            (settings.slow_start_capacity, settings.overload_multiple, settings.overload_window) =
                (0.05, 2.0, Time::ms(1000));
        }
        settings
    }

    /// Returns the factor by which the usual request rate is multiplied at a time in milliseconds.
    fn rate_factor(self, ms: u64) -> f64 {
        match self {
            FleetState::AfterPause if (MEMBER_START_MS - 30_000..MEMBER_START_MS).contains(&ms) => 0.0,
            FleetState::Surge if ms >= MEMBER_START_MS => 3.0,
            _ => 1.0,
        }
    }

    /// Returns the usual number of attempts per second at a warm member, for the states in which the number
    /// can't be measured after the warming member's start because the request rate changes then.
    fn usual_warm_rate(self) -> Option<f64> {
        matches!(self, FleetState::AfterPause | FleetState::Surge)
            .then_some(REQUESTS_PER_S / f64::from(GROUPS * 2))
    }
}

/// Simulates a fleet. Returns the times of the attempts at the warming member, and the number of attempts per
/// second at one warm member: measured from the warming member's start on, or
/// [`FleetState::usual_warm_rate`] for the states in which that measurement is impossible.
fn simulate(seed: u64, fleet: FleetState) -> (Vec<Time>, f64) {
    let mut random = TestRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let settings = fleet.settings();
    // The traffic weights are exponentially distributed: some routers get several times the mean, most get
    // less.
    let traffic_weights: Vec<f64> = (0..ROUTERS).map(|_| -random.f64().max(1e-9).ln()).collect();
    let total_weight: f64 = traffic_weights.iter().sum();
    let start = MEMBER_START_MS - if fleet == FleetState::Restarted { 0 } else { TRAFFIC_BEFORE_START_MS };
    let without_primary = fleet == FleetState::WithoutPrimary;
    let mut routers: Vec<SimulatedRouter> = (0..ROUTERS)
        .map(|n| {
            let started_at_ms = if fleet == FleetState::Restarted && n % 3 == 0 {
                MEMBER_START_MS - TRAFFIC_BEFORE_START_MS
            } else {
                start
            };
            SimulatedRouter::new(
                settings.clone(),
                (random.f64() * 1e15) as u64,
                started_at_ms,
                traffic_weights[n] / total_weight,
            )
        })
        .collect();
    let (mut sent_to_warming, mut sent_to_warm) = (Vec::new(), 0u32);
    for ms in (MEMBER_START_MS - TRAFFIC_BEFORE_START_MS..END_MS).step_by(STEP_MS as usize) {
        let now = Time::ms(ms);
        for router in routers.iter_mut().filter(|r| r.started_at_ms <= ms) {
            let mut events = Vec::new();
            let mut list = initial_list();
            if ms >= MEMBER_START_MS {
                // The member replaces its group's replicas, so all reads of the group are eligible for it.
                let first = usize::from(!without_primary);
                list[first..3].iter_mut().for_each(|e| e.state = EndpointState::Draining);
                list.push(Endpoint {
                    started: Some(Time::ms(MEMBER_START_MS)),
                    ..endpoint(WARMING_MEMBER.0, 0, false)
                });
            }
            if ms == router.started_at_ms {
                events.push(Event::Endpoints(EndpointUpdate::Cached, list));
            } else if ms == MEMBER_START_MS {
                events.push(Event::Endpoints(EndpointUpdate::Delta, list));
            }
            let pending = std::mem::take(&mut router.pending);
            for response in pending {
                if response.at > now {
                    router.pending.push(response);
                    continue;
                }
                let PendingResponse { request, attempt, member, status, .. } = response;
                events.push(Event::Outcome(Outcome {
                    request,
                    attempt,
                    member,
                    status,
                    elapsed: if status == Status::Ok { SERVICE_TIME } else { Time::ms(1) },
                    request_completed: status == Status::Ok,
                    replication: ReplicationState { position: Some(now), role: role(member) },
                    report: ReplicationState::default(),
                }));
            }
            if random.f64()
                < fleet.rate_factor(ms) * REQUESTS_PER_S * router.traffic_fraction * STEP_MS as f64 / 1000.0
            {
                router.requests += 1;
                let write = without_primary && random.f64() < 0.5;
                events.push(Event::Request(Request {
                    group: GroupId((random.f64() * f64::from(GROUPS)) as u32),
                    ..plain_request(
                        RequestId(router.requests - 1),
                        if write { NON_IDEMPOTENT } else { BOUNDED },
                        now.plus(Time::ms(1500)),
                    )
                }));
            }
            events.push(Event::Timer(0));
            for event in events {
                let mut out = Vec::new();
                if let Event::Request(request) = &event {
                    router.writes.extend((request.class == NON_IDEMPOTENT).then_some(request.id));
                }
                router.policy.handle(now, event, &mut out);
                for action in out {
                    match action {
                        Action::Send(id, member, _) => {
                            let write = router.writes.contains(&id);
                            router.record_attempt(now, id, member, write);
                            let counted = without_primary || !is_primary(member);
                            sent_to_warm += u32::from(ms >= MEMBER_START_MS && member.0 > 10 && counted);
                            sent_to_warming.extend((member == WARMING_MEMBER).then_some(now));
                        }
                        Action::Probe(member) => {
                            // Simplified: health checks succeed at once instead of in the next round.
                            let report = ReplicationState { position: Some(now), role: role(member) };
                            let finished = Event::ProbeFinished {
                                member,
                                status: Status::Ok,
                                elapsed: Time::ms(1),
                                report,
                            };
                            router.policy.handle(now, finished, &mut Vec::new());
                        }
                        _ => {}
                    }
                }
            }
        }
    }
    let warm_members = (GROUPS - 1) * if without_primary { 3 } else { 2 };
    let measured_rate =
        f64::from(sent_to_warm) / f64::from(warm_members) / ((END_MS - MEMBER_START_MS) as f64 / 1000.0);
    (sent_to_warming, fleet.usual_warm_rate().unwrap_or(measured_rate))
}

/// Returns the largest number of attempts by which an overload window exceeds its budget, as a multiple of
/// the tolerance for random variation. The result is not positive if all windows are within their budgets.
fn largest_excess(sent_to_warming: &[Time], warm_rate: f64, settings: &Settings) -> f64 {
    let excesses = sent_to_warming.iter().map(|at| {
        let attempts =
            sent_to_warming.iter().filter(|s| **s <= *at && at.since(**s) < settings.overload_window).count()
                as f64;
        let progress = at.since(Time::ms(MEMBER_START_MS)).secs() / settings.slow_start_window.secs();
        let capacity =
            (settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * progress).min(1.0);
        let budget = settings.overload_multiple * capacity * warm_rate * settings.overload_window.secs();
        (attempts - budget) / (2.0 * budget.sqrt() + 2.0)
    });
    excesses.fold(f64::MIN, f64::max)
}

fn check_fleet(fleet: FleetState) {
    let settings = fleet.settings();
    let mut sent = 0;
    let mut excesses = Vec::new();
    for seed in 1..=100 {
        let (sent_to_warming, warm_rate) = simulate(seed, fleet);
        excesses.push((largest_excess(&sent_to_warming, warm_rate, &settings), seed));
        sent += sent_to_warming.len();
    }
    excesses.sort_by(|a, b| b.0.total_cmp(&a.0));
    assert!(
        excesses[0].0 <= 1.0,
        "{fleet:?}: largest excesses, in units of the tolerance, with their seeds: {:.2?}",
        &excesses[..5]
    );
    assert!(sent > 100 * 30, "{fleet:?}: the warming member got only {sent} attempts in 100 runs");
}

#[test]
fn routers_with_uneven_traffic_do_not_overload_a_warming_member() {
    check_fleet(FleetState::Settled);
}

/// The request ids of freshly started routers start from zero, and the routers have not measured yet how much
/// work a member can take.
#[test]
fn freshly_started_routers_do_not_overload_a_warming_member() {
    check_fleet(FleetState::Restarted);
}

/// A write in search of a primary is one request with many attempts. The limit of the warming member is a
/// fraction of the requests, not of the attempts.
#[test]
fn writes_in_search_of_a_primary_do_not_overload_a_warming_member() {
    check_fleet(FleetState::WithoutPrimary);
}

#[test]
fn traffic_after_a_pause_does_not_overload_a_warming_member() {
    check_fleet(FleetState::AfterPause);
}

#[test]
fn a_traffic_surge_does_not_overload_a_warming_member() {
    check_fleet(FleetState::Surge);
}

#[test]
fn a_member_with_a_slower_start_is_not_overloaded() {
    check_fleet(FleetState::SlowerStart);
}
