//! What the tests share: settings, a small world and a rule checker that knows nothing of the module's guard.
#![allow(dead_code)]

use basalthill_policy::api::*;
use basalthill_policy::Policy;
use std::collections::BTreeMap;

pub const ANY: ClassId = ClassId(0);
pub const BOUNDED: ClassId = ClassId(1);
pub const SESSION: ClassId = ClassId(2);
pub const FRESH: ClassId = ClassId(3);
pub const UNSAFE: ClassId = ClassId(4);
pub const KEYED: ClassId = ClassId(5);
pub const REPORT: ClassId = ClassId(6);

fn class(consistency: Consistency, effect: Effect, aim: u64, deadline: u64) -> Class {
    let late_weight = if consistency == Consistency::Write { 0.3 } else { 0.0 };
    Class {
        consistency,
        effect,
        scope: KeyScope::Group,
        window: Time::ms(2000),
        latency_objective: Time::ms(aim),
        client_timeout: Time::ms(deadline),
        priority_weight: 1.0,
        late_weight,
    }
}

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
        only_draining_binds: false,
        slow_start_capacity: 0.2,
        slow_start_window: Time::ms(15_000),
        overload_multiple: 3.0,
        overload_window: Time::ms(1500),
        poll_interval: Time::ms(10_000),
        price_cross_zone: 0.0,
        price_waste: 0.03,
    }
}

pub fn entry(member: u32, group: u32, primary: bool) -> Endpoint {
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

/// One router, its clock, and the actions of the last event.
pub struct Bench {
    pub policy: Policy,
    pub now: Time,
    /// How long a session read's floor may lie ahead.
    pub lead: Time,
    pub next: u64,
    pub actions: Vec<Action>,
    /// Attempts made, by request.
    pub tries: BTreeMap<RequestId, Vec<MemberId>>,
    /// Attempts that have ended, by request.
    pub ended: BTreeMap<RequestId, usize>,
    /// All that was ever done, with its time.
    pub log: Vec<(Time, Action)>,
}

impl Bench {
    /// A router that knows primary 1 and replicas 2 and 3 of group 0, whose probes have been answered.
    pub fn new(set: Settings) -> Bench {
        Bench::seeded(set, 7)
    }

    /// The same with a seed of its own.
    pub fn seeded(set: Settings, seed: u64) -> Bench {
        let mut b = Bench::begun(set, seed, vec![entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)]);
        for m in 1..=3 {
            let behind = if m == 1 { Time(0) } else { Time::ms(9000) };
            b.report(m, Time(b.now.0 - behind.0), if m == 1 { Role::Primary } else { Role::Replica });
        }
        b.run(700);
        b
    }

    pub fn raw(set: Settings, list: Vec<Endpoint>) -> Bench {
        Bench::begun(set, 7, list)
    }

    fn begun(set: Settings, seed: u64, list: Vec<Endpoint>) -> Bench {
        let policy = Policy::new(set, seed);
        let (tries, log) = (BTreeMap::new(), Vec::new());
        let mut b = Bench {
            policy,
            now: Time::ms(100_000),
            lead: Time(0),
            next: 0,
            actions: Vec::new(),
            tries,
            ended: BTreeMap::new(),
            log,
        };
        b.event(Event::Endpoints(EndpointUpdate::Cached, list));
        b
    }

    pub fn event(&mut self, event: Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
        for a in &self.actions {
            if let Action::Send(id, m, _) = a {
                self.tries.entry(*id).or_default().push(*m);
            }
            self.log.push((self.now, a.clone()));
        }
    }

    /// Lets time pass, with the timers the router asked for.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(Time::ms(10));
            self.event(Event::Timer(0));
        }
    }

    /// A probe's answer: the member stands at `position` in a role.
    pub fn report(&mut self, m: u32, position: Time, role: Role) {
        let s = ReplicationState { position: Some(position), role: Some(role) };
        self.event(Event::ProbeFinished {
            member: MemberId(m),
            status: Status::Ok,
            took: Time::ms(1),
            report: s,
        });
    }

    pub fn ask(&mut self, class: ClassId, token_ms: u64) -> RequestId {
        let floor = if token_ms > 0 { self.now.minus(Time::ms(token_ms)) } else { Time(0) };
        self.request(class, floor, false)
    }

    /// A request whose floor is given.
    pub fn ask_at(&mut self, class: ClassId, floor: Time) -> RequestId {
        self.request(class, floor, false)
    }

    pub fn ask_again(&mut self, class: ClassId, client_retry: bool) -> RequestId {
        self.request(class, Time(0), client_retry)
    }

    /// A request whose client gives up after so long.
    pub fn ask_within(&mut self, class: ClassId, ms: u64) -> RequestId {
        self.request_within(class, Time(0), false, ms)
    }

    fn request(&mut self, class: ClassId, floor: Time, client_retry: bool) -> RequestId {
        self.request_within(class, floor, client_retry, if class == REPORT { 8000 } else { 1500 })
    }

    fn request_within(&mut self, class: ClassId, floor: Time, client_retry: bool, ms: u64) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        self.event(Event::Request(Request {
            id,
            class,
            tenant: TenantId(0),
            deadline: self.now.plus(Time::ms(ms)),
            group: GroupId(0),
            floor,
            lead: self.lead,
            client_retry,
        }));
        id
    }

    /// Where the request's latest attempt went, if it is out at all.
    pub fn went(&self, id: RequestId) -> Option<u32> {
        self.tries.get(&id).and_then(|t| t.last()).map(|m| m.0)
    }

    /// Whether an attempt is out.
    pub fn out(&self, id: RequestId) -> bool {
        self.tries.get(&id).map_or(0, Vec::len) > self.ended.get(&id).copied().unwrap_or(0)
    }

    pub fn refused(&self, id: RequestId) -> bool {
        self.log.iter().any(|(_, a)| matches!(a, Action::Reject(r, _) if *r == id))
    }

    pub fn failed(&self, id: RequestId) -> bool {
        self.log.iter().any(|(_, a)| matches!(a, Action::Fail(r) if *r == id))
    }

    /// Ends the latest attempt of a request; the member says how far behind it is and its role.
    pub fn end(&mut self, id: RequestId, status: Status, took: u64, behind: u64, role: Role) {
        let n = self.tries[&id].len() - 1;
        *self.ended.entry(id).or_default() += 1;
        let member = self.tries[&id][n];
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
            took: Time::ms(took),
            ended: status == Status::Ok,
            replication,
            report: ReplicationState::default(),
        }));
    }

    /// An answer of each of the replicas, which stand this many milliseconds behind.
    pub fn teach(&mut self, behind: [u64; 2]) {
        self.teach_one(2, behind[0]);
        self.teach_one(3, behind[1]);
    }

    /// An answer of a replica to a request that has ended.
    pub fn teach_one(&mut self, m: u32, behind: u64) {
        let p = Time(self.now.0 - Time::ms(behind).0);
        self.event(Event::Outcome(Outcome {
            request: RequestId(u64::MAX),
            attempt: Attempt(0),
            member: MemberId(m),
            status: Status::Misdirected,
            took: Time::ms(1),
            ended: true,
            replication: ReplicationState { position: Some(p), role: Some(Role::Replica) },
            report: ReplicationState::default(),
        }));
    }
}
