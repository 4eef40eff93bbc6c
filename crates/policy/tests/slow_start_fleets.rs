//! A warming member is overloaded by the sum of what all routers send. Thirty routers that do not
//! communicate, in simulated time, checked against the budget that the settings allow and what may be put
//! down to chance.

mod common;

use basalthill_policy::api::*;
use basalthill_policy::Policy;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

const ROUTERS: usize = 30;
const GROUPS: u32 = 4;
const WARMING: MemberId = MemberId(7);
const TOOK: Time = Time::ms(80);
const STEP: u64 = 10;
/// The member starts at this time, and is watched up to the end.
const CHANGE: u64 = 120_000;
const END: u64 = 130_000;
/// Before that, requests arrive for this long.
const BEFORE: u64 = 60_000;
/// Requests a second of all routers together.
const RATE: f64 = 240.0;

/// A seeded generator of the test's own.
struct Generator(u64);

impl Generator {
    fn f64(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

struct Router {
    policy: Policy,
    /// It is there from this time on, in milliseconds.
    from: u64,
    /// Part of all requests that come to it.
    part: f64,
    /// Requests so far: their numbers start anew with each process.
    requests: u64,
    /// Attempts so far, by request.
    attempts: BTreeMap<RequestId, u16>,
    writes: BTreeSet<RequestId>,
    due: Vec<Answer>,
}

/// How a member will answer an attempt.
struct Answer {
    at: Time,
    request: RequestId,
    attempt: Attempt,
    member: MemberId,
    status: Status,
}

impl Router {
    fn new(set: Settings, seed: u64, from: u64, part: f64) -> Router {
        let policy = Policy::new(set, seed);
        Router {
            policy,
            from,
            part,
            requests: 0,
            attempts: BTreeMap::new(),
            writes: BTreeSet::new(),
            due: Vec::new(),
        }
    }

    /// A send: members serve what is theirs, and reject a write at once if they are not the primary.
    fn sent(&mut self, now: Time, request: RequestId, member: MemberId, write: bool) {
        let attempts = self.attempts.entry(request).or_default();
        let attempt = Attempt(*attempts);
        *attempts += 1;
        let (status, took) =
            if write && !leads(member) { (Status::Misdirected, Time::ms(1)) } else { (Status::Ok, TOOK) };
        self.due.push(Answer { at: now.plus(took), request, attempt, member, status });
    }
}

/// The first member of each group is its primary.
fn leads(member: MemberId) -> bool {
    member.0 % 10 == 1
}

fn role(member: MemberId) -> Option<Role> {
    Some(if leads(member) { Role::Primary } else { Role::Replica })
}

fn members() -> Vec<Endpoint> {
    (0..GROUPS).flat_map(|g| (0..3).map(move |n| endpoint(1 + 10 * g + n, g, n == 0))).collect()
}

/// How a fleet stands when the member starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fleet {
    /// All have been there for a while.
    Settled,
    /// Two in three have started with the member, and know nothing.
    Restarted,
    /// All have been there for a while; half of their requests are writes, and its group has lost its
    /// primary with the replicas: writes search for a new one.
    Headless,
    /// All have been there for a while and had no requests for half a minute; then all goes on at once.
    Quiet,
    /// All have been there for a while; three times as many requests arrive from then on.
    Rush,
    /// All have been there for a while; members start with less capacity, and are overloaded sooner, than by
    /// the usual settings.
    SlowerStart,
}

impl Fleet {
    fn settings(self) -> Settings {
        let mut set = settings();
        set.routers = ROUTERS as u32;
        if self == Fleet::SlowerStart {
            (set.slow_start_capacity, set.overload_multiple, set.overload_window) =
                (0.05, 2.0, Time::ms(1000));
        }
        set
    }

    /// By how much the usual rate is multiplied.
    fn pace(self, ms: u64) -> f64 {
        match self {
            Fleet::Quiet if (CHANGE - 30_000..CHANGE).contains(&ms) => 0.0,
            Fleet::Rush if ms >= CHANGE => 3.0,
            _ => 1.0,
        }
    }

    /// What a warm member takes each second while all is as usual, where it can't be seen meanwhile.
    fn usual(self) -> Option<f64> {
        matches!(self, Fleet::Quiet | Fleet::Rush).then_some(RATE / f64::from(GROUPS * 2))
    }
}

/// Plays a fleet; when the warming member was sent something, and what one warm member took each second
/// meanwhile.
fn play(seed: u64, fleet: Fleet) -> (Vec<Time>, f64) {
    let mut random = Generator(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let set = fleet.settings();
    // Some get several times the mean, most less than it.
    let parts: Vec<f64> = (0..ROUTERS).map(|_| -random.f64().max(1e-9).ln()).collect();
    let all: f64 = parts.iter().sum();
    let start = CHANGE - if fleet == Fleet::Restarted { 0 } else { BEFORE };
    let headless = fleet == Fleet::Headless;
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|n| {
            let from = if fleet == Fleet::Restarted && n % 3 == 0 { CHANGE - BEFORE } else { start };
            Router::new(set.clone(), (random.f64() * 1e15) as u64, from, parts[n] / all)
        })
        .collect();
    let (mut to_warming, mut warm) = (Vec::new(), 0u32);
    for ms in (CHANGE - BEFORE..END).step_by(STEP as usize) {
        let now = Time::ms(ms);
        for router in routers.iter_mut().filter(|r| r.from <= ms) {
            let mut events = Vec::new();
            let mut list = members();
            if ms >= CHANGE {
                // It takes the place of its group's replicas: all of their reads want to go there.
                let first = usize::from(!headless);
                list[first..3].iter_mut().for_each(|e| e.state = EndpointState::Draining);
                list.push(Endpoint { started: Some(Time::ms(CHANGE)), ..endpoint(WARMING.0, 0, false) });
            }
            if ms == router.from {
                events.push(Event::Endpoints(EndpointUpdate::Cached, list));
            } else if ms == CHANGE {
                events.push(Event::Endpoints(EndpointUpdate::Delta, list));
            }
            let due = std::mem::take(&mut router.due);
            for answer in due {
                if answer.at > now {
                    router.due.push(answer);
                    continue;
                }
                let Answer { request, attempt, member, status, .. } = answer;
                events.push(Event::Outcome(Outcome {
                    request,
                    attempt,
                    member,
                    status,
                    elapsed: if status == Status::Ok { TOOK } else { Time::ms(1) },
                    request_completed: status == Status::Ok,
                    replication: ReplicationState { position: Some(now), role: role(member) },
                    report: ReplicationState::default(),
                }));
            }
            if random.f64() < fleet.pace(ms) * RATE * router.part * STEP as f64 / 1000.0 {
                router.requests += 1;
                let write = headless && random.f64() < 0.5;
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
                            router.sent(now, id, member, write);
                            let counts = headless || !leads(member);
                            warm += u32::from(ms >= CHANGE && member.0 > 10 && counts);
                            to_warming.extend((member == WARMING).then_some(now));
                        }
                        Action::Probe(member) => {
                            // Answered in the next round at the latest; at once is soon enough here.
                            let report = ReplicationState { position: Some(now), role: role(member) };
                            let probed = Event::ProbeFinished {
                                member,
                                status: Status::Ok,
                                elapsed: Time::ms(1),
                                report,
                            };
                            router.policy.handle(now, probed, &mut Vec::new());
                        }
                        _ => {}
                    }
                }
            }
        }
    }
    let counted = (GROUPS - 1) * if headless { 3 } else { 2 };
    let seen = f64::from(warm) / f64::from(counted) / ((END - CHANGE) as f64 / 1000.0);
    (to_warming, fleet.usual().unwrap_or(seen))
}

/// The most by which a window was over its budget, in units of what is put down to chance.
fn worst(to_warming: &[Time], warm: f64, set: &Settings) -> f64 {
    let over = to_warming.iter().map(|at| {
        let sent =
            to_warming.iter().filter(|s| **s <= *at && at.since(**s) < set.overload_window).count() as f64;
        let part = at.since(Time::ms(CHANGE)).secs() / set.slow_start_window.secs();
        let warmth = (set.slow_start_capacity + (1.0 - set.slow_start_capacity) * part).min(1.0);
        let budget = set.overload_multiple * warmth * warm * set.overload_window.secs();
        (sent - budget) / (2.0 * budget.sqrt() + 2.0)
    });
    over.fold(f64::MIN, f64::max)
}

fn check(fleet: Fleet) {
    let set = fleet.settings();
    let mut sent = 0;
    let mut over = Vec::new();
    for seed in 1..=100 {
        let (to_warming, warm) = play(seed, fleet);
        over.push((worst(&to_warming, warm, &set), seed));
        sent += to_warming.len();
    }
    over.sort_by(|a, b| b.0.total_cmp(&a.0));
    assert!(
        over[0].0 <= 1.0,
        "{fleet:?}: over by so many times what chance may add, seed: {:.2?}",
        &over[..5]
    );
    assert!(sent > 100 * 30, "the warming member gets its part: {sent} in a hundred plays");
}

#[test]
fn routers_with_uneven_traffic_do_not_overload_a_warming_member() {
    check(Fleet::Settled);
}

/// Each counts its requests from zero and does not know yet what a member can take.
#[test]
fn freshly_started_routers_do_not_overload_a_warming_member() {
    check(Fleet::Restarted);
}

/// A write in search of a primary is one request and may have many attempts: the warming member gets a
/// fraction of the requests.
#[test]
fn writes_in_search_of_a_primary_do_not_overload_a_warming_member() {
    check(Fleet::Headless);
}

#[test]
fn traffic_after_a_quiet_time_does_not_overload_a_warming_member() {
    check(Fleet::Quiet);
}

#[test]
fn a_traffic_surge_does_not_overload_a_warming_member() {
    check(Fleet::Rush);
}

#[test]
fn a_member_with_a_slower_start_is_not_overloaded() {
    check(Fleet::SlowerStart);
}
