//! Settings, endpoints and a test harness for one router.
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
/// Writes that must not be executed more than once.
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
        key_scope: KeyScope::Group,
        deduplication_window: Time::ms(2000),
        latency_objective: Time::ms(objective_ms),
        client_timeout: Time::ms(timeout_ms),
        priority_weight: 1.0,
        late_weight,
    }
}

/// Returns the settings of a small deployment with one class for each kind of consistency and effect.
pub fn test_settings() -> Settings {
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
        use_weights: true,
        responses_report_position: true,
        probes_report_position: true,
        probes_report_role: true,
        when_behind: WhenBehind::Reject,
        max_attempts: 6,
        hedging_allowed: true,
        cancel_allowed: true,
        connection_idle_timeout: Time::ms(15_000),
        probes_allowed: true,
        send_retry_after: true,
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

/// Returns a member in service whose start is unknown.
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

/// Returns primary 1 and replicas 2 and 3 of group 0.
pub fn primary_and_replicas() -> Vec<Endpoint> {
    vec![endpoint(1, 0, true), endpoint(2, 0, false), endpoint(3, 0, false)]
}

/// Returns a request for group 0 without a floor that its client does not mark as a retry.
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

/// One router, its clock and a record of its actions.
pub struct TestRouter {
    pub policy: Policy,
    pub now: Time,
    /// The [`lead`](Request::lead) of the requests that are submitted.
    pub lead: Time,
    /// The id of the last request; 0 if there was none.
    pub last_request_id: u64,
    /// The actions of the last event.
    pub actions: Vec<Action>,
    /// The members of all attempts, by request.
    pub attempts: BTreeMap<RequestId, Vec<MemberId>>,
    /// The number of attempts that have ended, by request.
    pub completed_attempts: BTreeMap<RequestId, usize>,
    /// All actions so far, with their times.
    pub action_log: Vec<(Time, Action)>,
}

impl TestRouter {
    /// Creates a router with primary 1 and replicas 2 and 3 of group 0, whose first health checks have
    /// succeeded. The replicas reported a lag of nine seconds.
    pub fn new(settings: Settings) -> TestRouter {
        TestRouter::with_seed(settings, 7)
    }

    /// Like [`TestRouter::new`], with a seed for the router's random choices.
    pub fn with_seed(settings: Settings, seed: u64) -> TestRouter {
        let mut router = TestRouter::start(settings, seed, primary_and_replicas());
        for member in 1..=3 {
            let lag = if member == 1 { Time(0) } else { Time::ms(9000) };
            router.probe_succeeds(
                member,
                Time(router.now.0 - lag.0),
                if member == 1 { Role::Primary } else { Role::Replica },
            );
        }
        router.advance(700);
        router
    }

    /// Creates a router that has just started with a cached endpoint list.
    pub fn with_cached_list(settings: Settings, list: Vec<Endpoint>) -> TestRouter {
        TestRouter::start(settings, 7, list)
    }

    fn start(settings: Settings, seed: u64, list: Vec<Endpoint>) -> TestRouter {
        let policy = Policy::new(settings, seed);
        let mut router = TestRouter {
            policy,
            now: Time::ms(100_000),
            lead: Time(0),
            last_request_id: 0,
            actions: Vec::new(),
            attempts: BTreeMap::new(),
            completed_attempts: BTreeMap::new(),
            action_log: Vec::new(),
        };
        router.handle_event(Event::Endpoints(EndpointUpdate::Cached, list));
        router
    }

    /// Passes one event to the router and records its actions.
    pub fn handle_event(&mut self, event: Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            if let Action::Send(id, member, _) = action {
                self.attempts.entry(*id).or_default().push(*member);
            }
            self.action_log.push((self.now, action.clone()));
        }
    }

    /// Advances the clock in steps of ten milliseconds, with a timer event at each.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(Time::ms(10));
            self.handle_event(Event::Timer(0));
        }
    }

    /// Reports a successful health check with a log position and a role.
    pub fn probe_succeeds(&mut self, member: u32, position: Time, role: Role) {
        let report = ReplicationState { position: Some(position), role: Some(role) };
        self.handle_event(Event::ProbeFinished {
            member: MemberId(member),
            status: Status::Ok,
            elapsed: Time::ms(1),
            report,
        });
    }

    /// Submits a request whose session floor is `floor_age_ms` before now; without a floor if zero.
    pub fn request(&mut self, class: ClassId, floor_age_ms: u64) -> RequestId {
        let floor = if floor_age_ms > 0 { self.now.minus(Time::ms(floor_age_ms)) } else { Time(0) };
        self.submit_default(class, floor, false)
    }

    /// Submits a request with the given session floor.
    pub fn request_with_floor(&mut self, class: ClassId, floor: Time) -> RequestId {
        self.submit_default(class, floor, false)
    }

    /// Submits a request; `client_retry` says whether the client marked it as a retry.
    pub fn request_marked_as_retry(&mut self, class: ClassId, client_retry: bool) -> RequestId {
        self.submit_default(class, Time(0), client_retry)
    }

    /// Submits a request whose deadline is `timeout_ms` after now.
    pub fn request_with_timeout(&mut self, class: ClassId, timeout_ms: u64) -> RequestId {
        self.submit(class, Time(0), false, timeout_ms)
    }

    fn submit_default(&mut self, class: ClassId, floor: Time, client_retry: bool) -> RequestId {
        self.submit(class, floor, client_retry, if class == REPORT { 8000 } else { 1500 })
    }

    fn submit(&mut self, class: ClassId, floor: Time, client_retry: bool, timeout_ms: u64) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let plain = plain_request(id, class, self.now.plus(Time::ms(timeout_ms)));
        self.handle_event(Event::Request(Request { floor, lead: self.lead, client_retry, ..plain }));
        id
    }

    /// Returns the member that the request's last attempt was sent to.
    pub fn last_target(&self, id: RequestId) -> Option<u32> {
        self.attempts.get(&id).and_then(|members| members.last()).map(|member| member.0)
    }

    /// Returns whether an attempt of the request is in flight.
    pub fn is_in_flight(&self, id: RequestId) -> bool {
        self.attempts.get(&id).map_or(0, Vec::len) > self.completed_attempts.get(&id).copied().unwrap_or(0)
    }

    /// Returns whether the request has been rejected.
    pub fn is_rejected(&self, id: RequestId) -> bool {
        self.action_log.iter().any(|(_, a)| matches!(a, Action::Reject(r, _) if *r == id))
    }

    /// Returns whether the request has been failed.
    pub fn is_failed(&self, id: RequestId) -> bool {
        self.action_log.iter().any(|(_, a)| matches!(a, Action::Fail(r) if *r == id))
    }

    /// Ends the last attempt of a request. If the status implies a response, the response reports the
    /// member's lag and role.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        status: Status,
        elapsed_ms: u64,
        lag_ms: u64,
        role: Role,
    ) {
        let number = self.attempts[&id].len() - 1;
        *self.completed_attempts.entry(id).or_default() += 1;
        let member = self.attempts[&id][number];
        let has_response =
            matches!(status, Status::Ok | Status::Misdirected | Status::Error | Status::Overloaded);
        let position = Some(Time(self.now.0 - Time::ms(lag_ms).0));
        let replication = if has_response {
            ReplicationState { position, role: Some(role) }
        } else {
            ReplicationState::default()
        };
        self.handle_event(Event::Outcome(Outcome {
            request: id,
            attempt: Attempt(number as u16),
            member,
            status,
            elapsed: Time::ms(elapsed_ms),
            request_completed: status == Status::Ok,
            replication,
            report: ReplicationState::default(),
        }));
    }

    /// Reports a response of replica 2 and one of replica 3, with their lags in milliseconds.
    pub fn replicas_respond_with_lag(&mut self, lag_ms: [u64; 2]) {
        self.respond_with_lag(2, lag_ms[0]);
        self.respond_with_lag(3, lag_ms[1]);
    }

    /// Reports a response of a replica, with its lag, to a request that the router no longer has.
    pub fn respond_with_lag(&mut self, member: u32, lag_ms: u64) {
        let position = Time(self.now.0 - Time::ms(lag_ms).0);
        self.respond(member, Status::Misdirected, position, Role::Replica);
    }

    /// Reports a response of a member, with its log position and role, to a request that the router no longer
    /// has.
    pub fn respond(&mut self, member: u32, status: Status, position: Time, role: Role) {
        self.handle_event(Event::Outcome(Outcome {
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

    /// Reports successful health checks of primary 1 and replicas 2 and 3 with the current time as log
    /// position.
    pub fn all_probes_succeed(&mut self) {
        for member in 1..=3 {
            let role = if member == 1 { Role::Primary } else { Role::Replica };
            self.probe_succeeds(member, self.now, role);
        }
    }

    /// Reports a health check that failed, or could not be sent.
    pub fn probe_fails(&mut self, member: u32, status: Status, elapsed_ms: u64) {
        self.handle_event(Event::ProbeFinished {
            member: MemberId(member),
            status,
            elapsed: Time::ms(elapsed_ms),
            report: ReplicationState::default(),
        });
    }

    /// Passes a change to the endpoint list to the router.
    pub fn update_endpoints(&mut self, list: Vec<Endpoint>) {
        self.handle_event(Event::Endpoints(EndpointUpdate::Delta, list));
    }

    /// Sets the state of primary 1 and replicas 2 and 3 in the endpoint list.
    pub fn set_state_of_all_members(&mut self, state: EndpointState) {
        let mut list = primary_and_replicas();
        list.iter_mut().for_each(|endpoint| endpoint.state = state);
        self.update_endpoints(list);
    }

    /// Submits `count` consecutive writes, each of which the primary serves in 20 milliseconds.
    pub fn primary_serves_writes(&mut self, count: usize) {
        for _ in 0..count {
            let id = self.request(NON_IDEMPOTENT, 0);
            self.finish_attempt(id, Status::Ok, 20, 0, Role::Primary);
        }
    }
}

/// Returns the number of attempts sent to a member at or after the time `from`.
pub fn attempts_since(router: &TestRouter, from: Time, member: u32) -> usize {
    let is_attempt = |a: &Action| matches!(a, Action::Send(_, m, _) if m.0 == member);
    router.action_log.iter().filter(|(at, a)| *at >= from && is_attempt(a)).count()
}

/// Returns the member that an action probes.
pub fn probed_member(action: &Action) -> Option<u32> {
    if let Action::Probe(member) = action {
        Some(member.0)
    } else {
        None
    }
}
