//! Settings, endpoints and a test bench for one router.
#![allow(dead_code)]

use basalthill_policy::api::*;
use basalthill_policy::Policy;
use std::collections::BTreeMap;

/// Eventual reads.
pub const EVENTUAL: ClassId = ClassId(0);
/// Reads with a staleness bound of two seconds.
pub const BOUNDED: ClassId = ClassId(1);
/// Session reads.
pub const SESSION: ClassId = ClassId(2);
/// Strong reads.
pub const STRONG: ClassId = ClassId(3);
/// Writes that must not be executed twice.
pub const NON_IDEMPOTENT: ClassId = ClassId(4);
/// Writes with an idempotency key.
pub const IDEMPOTENT_BY_KEY: ClassId = ClassId(5);
/// Long eventual reads.
pub const REPORT: ClassId = ClassId(6);

fn class(consistency: Consistency, effect: Effect, objective_ms: u64, timeout_ms: u64) -> Class {
    let late_weight = if consistency == Consistency::Write { 0.3 } else { 0.0 };
    Class {
        consistency,
        effect,
        scope: KeyScope::Group,
        window: Time::ms(2000),
        latency_objective: Time::ms(objective_ms),
        client_timeout: Time::ms(timeout_ms),
        priority_weight: 1.0,
        late_weight,
    }
}

/// A small deployment with one class for each kind of consistency and effect.
pub fn settings() -> Settings {
    Settings {
        router: RouterId(0),
        routers: 2,
        zone: ZoneId(0),
        tick: Time::ms(5),
        classes: vec![
            class(Consistency::Eventual, Effect::Idempotent, 400, 1500),
            class(Consistency::BoundedStaleness(Time::ms(2000)), Effect::Idempotent, 400, 1500),
            class(Consistency::Session, Effect::Idempotent, 400, 1500),
            class(Consistency::Strong, Effect::Idempotent, 400, 1500),
            class(Consistency::Write, Effect::NonIdempotent, 400, 3000),
            class(Consistency::Write, Effect::IdempotentByKey, 400, 3000),
            class(Consistency::Eventual, Effect::Idempotent, 4000, 8000),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.2,
        poll_endpoint_list: false,
        list_role: ListRole::Late,
        weights: true,
        positions: true,
        probe_positions: true,
        probe_roles: true,
        when_behind: WhenBehind::Reject,
        max_attempts: 6,
        hedging: true,
        cancel: true,
        conn_idle: Time::ms(15_000),
        probes: true,
        retry_after: true,
        max_retry_after: Time::ms(500),
        drain_grace: Time::ms(1000),
        ignore_removal: false,
        slow_start_capacity: 0.2,
        slow_start_window: Time::ms(15_000),
        overload_multiple: 3.0,
        overload_window: Time::ms(1500),
        poll_interval: Time::ms(10_000),
        price_cross_zone: 0.0,
        price_waste: 0.03,
    }
}

/// A member in service of unknown start.
pub fn endpoint(member: u32, group: u32, primary: bool) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        zone: ZoneId(0),
        group: GroupId(group),
        state: EndpointState::Ready,
        weight: 1.0,
        primary,
        started: None,
        notified_at: Time(u64::MAX),
    }
}

/// Primary 1 and replicas 2 and 3 of group 0.
pub fn primary_and_replicas() -> Vec<Endpoint> {
    vec![endpoint(1, 0, true), endpoint(2, 0, false), endpoint(3, 0, false)]
}

/// A request for group 0 without a floor, which its client does not mark as a retry.
pub fn plain_request(id: RequestId, class: ClassId, deadline: Time) -> Request {
    Request {
        id,
        class,
        tenant: TenantId(0),
        deadline,
        group: GroupId(0),
        floor: Time(0),
        lead: Time(0),
        client_retry: false,
    }
}

/// One router with its clock and a record of its actions.
pub struct Bench {
    pub policy: Policy,
    pub now: Time,
    /// The lead of each request.
    pub lead: Time,
    /// The id of the latest request.
    pub next: u64,
    /// The actions of the last event.
    pub actions: Vec<Action>,
    /// The members of all attempts, by request.
    pub attempts: BTreeMap<RequestId, Vec<MemberId>>,
    /// Attempts that have ended, by request.
    pub ended: BTreeMap<RequestId, usize>,
    /// All actions so far, with their times.
    pub log: Vec<(Time, Action)>,
}

impl Bench {
    /// A router that knows primary 1 and replicas 2 and 3 of group 0, whose first health checks have
    /// succeeded.
    pub fn new(set: Settings) -> Bench {
        Bench::with_seed(set, 7)
    }

    /// Like [`Bench::new`], with a seed for the router's random choices.
    pub fn with_seed(set: Settings, seed: u64) -> Bench {
        let mut b = Bench::start(set, seed, primary_and_replicas());
        for m in 1..=3 {
            let behind = if m == 1 { Time(0) } else { Time::ms(9000) };
            b.probe_succeeds(m, Time(b.now.0 - behind.0), if m == 1 { Role::Primary } else { Role::Replica });
        }
        b.advance(700);
        b
    }

    /// A router that has just started with a cached endpoint list.
    pub fn with_list(set: Settings, list: Vec<Endpoint>) -> Bench {
        Bench::start(set, 7, list)
    }

    fn start(set: Settings, seed: u64, list: Vec<Endpoint>) -> Bench {
        let policy = Policy::new(set, seed);
        let mut b = Bench {
            policy,
            now: Time::ms(100_000),
            lead: Time(0),
            next: 0,
            actions: Vec::new(),
            attempts: BTreeMap::new(),
            ended: BTreeMap::new(),
            log: Vec::new(),
        };
        b.event(Event::Endpoints(EndpointUpdate::Cached, list));
        b
    }

    /// Hands one event to the router and records its actions.
    pub fn event(&mut self, event: Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
        for a in &self.actions {
            if let Action::Send(id, m, _) = a {
                self.attempts.entry(*id).or_default().push(*m);
            }
            self.log.push((self.now, a.clone()));
        }
    }

    /// Lets time pass in steps of ten milliseconds, with a timer event at each.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(Time::ms(10));
            self.event(Event::Timer(0));
        }
    }

    /// A successful health check that reports a position and a role.
    pub fn probe_succeeds(&mut self, m: u32, position: Time, role: Role) {
        let s = ReplicationState { position: Some(position), role: Some(role) };
        self.event(Event::ProbeFinished {
            member: MemberId(m),
            status: Status::Ok,
            elapsed: Time::ms(1),
            report: s,
        });
    }

    /// A request whose session floor lies this many milliseconds back; without a floor if zero.
    pub fn request(&mut self, class: ClassId, floor_age_ms: u64) -> RequestId {
        let floor = if floor_age_ms > 0 { self.now.minus(Time::ms(floor_age_ms)) } else { Time(0) };
        self.submit_default(class, floor, false)
    }

    /// A request whose session floor is given.
    pub fn request_with_floor(&mut self, class: ClassId, floor: Time) -> RequestId {
        self.submit_default(class, floor, false)
    }

    /// A request that its client may mark as a retry.
    pub fn request_marked_as_retry(&mut self, class: ClassId, client_retry: bool) -> RequestId {
        self.submit_default(class, Time(0), client_retry)
    }

    /// A request whose client waits this many milliseconds.
    pub fn request_with_timeout(&mut self, class: ClassId, ms: u64) -> RequestId {
        self.submit(class, Time(0), false, ms)
    }

    fn submit_default(&mut self, class: ClassId, floor: Time, client_retry: bool) -> RequestId {
        self.submit(class, floor, client_retry, if class == REPORT { 8000 } else { 1500 })
    }

    fn submit(&mut self, class: ClassId, floor: Time, client_retry: bool, ms: u64) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        let plain = plain_request(id, class, self.now.plus(Time::ms(ms)));
        self.event(Event::Request(Request { floor, lead: self.lead, client_retry, ..plain }));
        id
    }

    /// The member that the request's latest attempt went to.
    pub fn last_target(&self, id: RequestId) -> Option<u32> {
        self.attempts.get(&id).and_then(|t| t.last()).map(|m| m.0)
    }

    /// Whether an attempt of the request is out.
    pub fn is_in_flight(&self, id: RequestId) -> bool {
        self.attempts.get(&id).map_or(0, Vec::len) > self.ended.get(&id).copied().unwrap_or(0)
    }

    /// Whether the request has been rejected.
    pub fn is_rejected(&self, id: RequestId) -> bool {
        self.log.iter().any(|(_, a)| matches!(a, Action::Reject(r, _) if *r == id))
    }

    /// Whether the request has been failed.
    pub fn is_failed(&self, id: RequestId) -> bool {
        self.log.iter().any(|(_, a)| matches!(a, Action::Fail(r) if *r == id))
    }

    /// Ends the latest attempt of a request. A response reports how many milliseconds the member is behind,
    /// and its role.
    pub fn finish(&mut self, id: RequestId, status: Status, elapsed_ms: u64, behind: u64, role: Role) {
        let n = self.attempts[&id].len() - 1;
        *self.ended.entry(id).or_default() += 1;
        let member = self.attempts[&id][n];
        let answer = matches!(status, Status::Ok | Status::Misdirected | Status::Error | Status::Overloaded);
        let position = Some(Time(self.now.0 - Time::ms(behind).0));
        let replication = if answer {
            ReplicationState { position, role: Some(role) }
        } else {
            ReplicationState::default()
        };
        self.event(Event::Outcome(Outcome {
            request: id,
            attempt: Attempt(n as u16),
            member,
            status,
            elapsed: Time::ms(elapsed_ms),
            request_completed: status == Status::Ok,
            replication,
            report: ReplicationState::default(),
        }));
    }

    /// A response of each replica, which are this many milliseconds behind.
    pub fn replicas_respond_with_lag(&mut self, behind: [u64; 2]) {
        self.respond_with_lag(2, behind[0]);
        self.respond_with_lag(3, behind[1]);
    }

    /// A response of a replica, this many milliseconds behind, to a request that has ended before.
    pub fn respond_with_lag(&mut self, m: u32, behind: u64) {
        let position = Time(self.now.0 - Time::ms(behind).0);
        self.respond(m, Status::Misdirected, position, Role::Replica);
    }

    /// A response of a member that reports a position and a role, to a request that has ended before.
    pub fn respond(&mut self, member: u32, status: Status, position: Time, role: Role) {
        self.event(Event::Outcome(Outcome {
            request: RequestId(u64::MAX),
            attempt: Attempt(0),
            member: MemberId(member),
            status,
            elapsed: Time::ms(1),
            request_completed: true,
            replication: ReplicationState { position: Some(position), role: Some(role) },
            report: ReplicationState::default(),
        }));
    }

    /// A successful health check of primary 1 and of replicas 2 and 3, all of them up to date.
    pub fn all_probes_succeed(&mut self) {
        for member in 1..=3 {
            let role = if member == 1 { Role::Primary } else { Role::Replica };
            self.probe_succeeds(member, self.now, role);
        }
    }

    /// A health check that fails, or could not be sent, after this many milliseconds.
    pub fn probe_fails(&mut self, member: u32, status: Status, elapsed_ms: u64) {
        self.event(Event::ProbeFinished {
            member: MemberId(member),
            status,
            elapsed: Time::ms(elapsed_ms),
            report: ReplicationState::default(),
        });
    }

    /// A change to the endpoint list arrives.
    pub fn list_changes(&mut self, list: Vec<Endpoint>) {
        self.event(Event::Endpoints(EndpointUpdate::Delta, list));
    }

    /// The endpoint list reports this state for primary 1 and replicas 2 and 3.
    pub fn all_members_become(&mut self, state: EndpointState) {
        let mut list = primary_and_replicas();
        list.iter_mut().for_each(|endpoint| endpoint.state = state);
        self.list_changes(list);
    }

    /// This many writes in a row that the primary serves in 20 milliseconds each.
    pub fn primary_serves_writes(&mut self, count: usize) {
        for _ in 0..count {
            let id = self.request(NON_IDEMPOTENT, 0);
            self.finish(id, Status::Ok, 20, 0, Role::Primary);
        }
    }
}

/// Attempts at a member since a time.
pub fn attempts_since(b: &Bench, from: Time, member: u32) -> usize {
    let there = |a: &Action| matches!(a, Action::Send(_, m, _) if m.0 == member);
    b.log.iter().filter(|(at, a)| *at >= from && there(a)).count()
}

/// The member that an action probes.
pub fn probed_member(a: &Action) -> Option<u32> {
    if let Action::Probe(m) = a {
        Some(m.0)
    } else {
        None
    }
}
