//! The interface of the decisions: settings, events, actions and ids. It speaks of members, groups, classes,
//! positions and attempts, never of a wire protocol, and holds no decision.

/// A point in time, or a span, in nanoseconds. The clock starts anywhere and only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// A span of `ms` milliseconds.
    pub const fn ms(ms: u64) -> Time {
        Time(ms * 1_000_000)
    }

    /// The time that is later by a span, at most the end of all time.
    pub const fn plus(self, span: Time) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// The time that is earlier by a span, at least zero.
    pub const fn minus(self, span: Time) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// The span since `earlier`; zero if that is not earlier.
    pub const fn since(self, earlier: Time) -> Time {
        Time(self.0.saturating_sub(earlier.0))
    }

    /// The span scaled by a factor.
    pub fn times(self, factor: f64) -> Time {
        Time((self.0 as f64 * factor) as u64)
    }

    /// A span of `secs` seconds, not negative, rounded down to nanoseconds.
    pub fn from_secs(secs: f64) -> Time {
        Time((secs * 1e9) as u64)
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 * 1e-9
    }
}

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A member: one database host.
    MemberId(u32);
    /// A request, unique at its router.
    RequestId(u64);
    /// A group: one primary and its replicas.
    GroupId(u32);
    /// A class of requests, an index into [`Settings::classes`].
    ClassId(u16);
    /// A tenant, an index into [`Settings::tenants`].
    TenantId(u16);
    /// A session.
    SessionKey(u64);
    /// A zone.
    ZoneId(u16);
    /// The number of an attempt within its request, from 0 in the order of sending.
    Attempt(u16);
    /// A router of the fleet.
    RouterId(u16);
}

/// What may be done with a request that may have been executed already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated anywhere at any time.
    Idempotent,
    /// Repeats are dropped by an idempotency key, within a deduplication window and a scope.
    IdempotentByKey,
    /// It must never be executed twice.
    NonIdempotent,
}

/// Where repeats of a request with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// At every member.
    All,
    /// At the members of one zone.
    Zone,
    /// At the members of one group.
    Group,
}

/// How fresh the data must be that answers a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Data of any age, from any member.
    Eventual,
    /// Data no older than this when it is sent.
    BoundedStaleness(Time),
    /// All that the session has written before.
    Session,
    /// All that was written before the request arrived.
    Strong,
    /// A write: only the primary takes it.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The freshness that it needs.
    pub consistency: Consistency,
    /// What a repeat does.
    pub effect: Effect,
    /// Where repeats are dropped; for [`Effect::IdempotentByKey`] only.
    pub scope: KeyScope,
    /// How long repeats are dropped, from the first attempt that may have been executed.
    pub window: Time,
    /// An answer within this time has the full value.
    pub latency_objective: Time,
    /// How long a client waits in all, over all its retries.
    pub client_timeout: Time,
    /// The value of one request, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the value that is left between the latency objective and the client's timeout.
    pub late_weight: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within its quota, over all routers.
    pub quota_per_s: f64,
}

/// What a member does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenBehind {
    /// It answers from what it has.
    #[default]
    ServeStale,
    /// It rejects the read at once.
    Reject,
    /// It waits up to this long to catch up, then rejects the read.
    Wait(Time),
}

/// How the endpoint list names the primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListRole {
    /// Kept up to date, some seconds late.
    Late,
    /// As it was at the start only.
    Start,
    /// Never.
    #[default]
    None,
}

/// The deployment as a router knows it when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This router.
    pub router: RouterId,
    /// Routers in the fleet.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// The shortest time between two rounds of events.
    pub tick: Time,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request past its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// The endpoint list has to be polled; it is not pushed.
    pub poll_endpoint_list: bool,
    /// How the endpoint list names roles.
    pub list_role: ListRole,
    /// Whether the weights in the endpoint list mean anything.
    pub weights: bool,
    /// Whether every answer carries a position.
    pub positions: bool,
    /// Whether health checks report a position.
    pub probe_positions: bool,
    /// Whether health checks report the role.
    pub probe_roles: bool,
    /// What members do with reads that they are too far behind for.
    pub when_behind: WhenBehind,
    /// Attempts that a request may have.
    pub max_attempts: u32,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A host closes a connection that has been idle for longer.
    pub conn_idle: Time,
    /// Health checks are allowed.
    pub probes: bool,
    /// A rejected client may be given a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients follow.
    pub max_retry_after: Time,
    /// Attempts may go to a member for this long after it was notified to drain, or removed.
    pub drain_grace: Time,
    /// A member's removal from the endpoint list is ignored: it gets attempts until it is notified to drain.
    pub ignore_removal: bool,
    /// The fraction of its capacity, at least, that a member has when it has just started.
    pub slow_start_capacity: f64,
    /// A member has warmed up this long after its start.
    pub slow_start_window: Time,
    /// A warming member that is sent more than this multiple of its capacity...
    pub overload_multiple: f64,
    /// ...for this long is overloaded and fails.
    pub overload_window: Time,
    /// Where the endpoint list is polled: a change counts as notified once it could have been polled for this
    /// long.
    pub poll_interval: Time,
    /// The price of an attempt across zones, in points.
    pub price_cross_zone: f64,
    /// The price of wasted work, in points.
    pub price_waste: f64,
}

/// A member's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Finishing its work before it leaves.
    Draining,
    /// No longer in service.
    Removed,
}

/// One member in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The member.
    pub member: MemberId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Its state.
    pub state: EndpointState,
    /// Its weight among the members of its group.
    pub weight: f64,
    /// Whether the list takes it for the primary.
    pub primary: bool,
    /// When it last started, if that is known.
    pub started: Option<Time>,
    /// Since when the router counts as notified of this. It lies before the arrival where the notice may have
    /// waited for a watch to be opened; a time in the future means the arrival.
    pub notified_at: Time,
}

/// What kind of endpoint list this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the members that have changed.
    Delta,
    /// All members.
    Full,
    /// All members as last known, possibly out of date: the list with which a router starts.
    Cached,
    /// Polling the list has failed; it is empty.
    Failed,
}

/// A member's role in replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// What an answer or a load report says of its member's replication.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationState {
    /// All commits up to this time have been applied.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It was served.
    Ok,
    /// The member rejected it without executing it: it is not the primary, or too far behind.
    Misdirected,
    /// The member failed at it.
    Error,
    /// The member rejected it unread for want of capacity.
    Overloaded,
    /// No answer came in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The router cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Status {
    /// Whether this proves that the request was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Status::Misdirected | Status::Overloaded | Status::ConnectFailed | Status::NotSent)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When its client stops waiting.
    pub deadline: Time,
    /// The group that it is for.
    pub group: GroupId,
    /// The position that a session read must see at least; zero if any will do.
    pub floor: Time,
    /// A replica may be waited for whose estimated position lies behind the floor by no more than this.
    pub lead: Time,
    /// The client marks it as a retry.
    pub client_retry: bool,
}

/// How one attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The member that it went to.
    pub member: MemberId,
    /// How it ended.
    pub status: Status,
    /// The time from its start to this outcome.
    pub elapsed: Time,
    /// Whether the request has completed with this outcome, so that it gets no further attempt.
    pub request_completed: bool,
    /// What the answer says of the member's replication.
    pub replication: ReplicationState,
    /// What a load report inside the answer says, possibly out of date.
    pub report: ReplicationState,
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or a change to it.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request.
    Request(Request),
    /// A request that limits over all routers count.
    LimitedRequest {
        /// The request.
        request: Request,
        /// The open fraction of the limits' tokens, 0 to 1.
        open_fraction: f64,
        /// When the client may retry if the request is rejected for these limits.
        retry_after: Time,
    },
    /// What budgets over all routers leave to this one, until the next such event.
    Budgets {
        /// Attempts after a request's first; none without such a budget.
        retries: Option<u32>,
        /// Health checks; none without such a budget.
        probes: Option<u32>,
    },
    /// How many more attempts a limit over all routers leaves at a member.
    MemberCapacity {
        /// The member.
        member: MemberId,
        /// Further attempts that may be out there.
        attempts: u32,
    },
    /// An attempt's response has begun to reach the client: no other attempt can answer it any more.
    ResponseStarted(RequestId, Attempt),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client of a request has gone.
    ClientGone(RequestId),
    /// The timer with this token is due.
    Timer(u64),
    /// A health check ended.
    ProbeFinished {
        /// The member.
        member: MemberId,
        /// How the health check ended.
        status: Status,
        /// The time from its start to its end.
        elapsed: Time,
        /// What the member's load report says.
        report: ReplicationState,
    },
    /// The system clock has been set: a position reported before may be wrong by any amount.
    ClockSet,
    /// A message from another router.
    Message(RouterId, Vec<u8>),
}

/// What a router does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin an attempt of a request at a member, with a timeout if it is to end before the client's
    /// deadline.
    Send(RequestId, MemberId, Option<Time>),
    /// Reject a request: a retry does no harm, after the Retry-After if there is one.
    Reject(RequestId, Option<Time>),
    /// End a request without saying whether it was executed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, Attempt),
    /// Bring [`Event::Timer`] with this token after a span.
    Timer(Time, u64),
    /// Send a health check to a member.
    Probe(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Poll the endpoint list once.
    PollEndpoints,
    /// A line for the operators' log.
    Log(String),
}
