//! The interface of the decision module: settings, events, actions and ids. No decision lives here.

/// A point in time, or a span, in nanoseconds. The clock starts anywhere and only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// A span of whole milliseconds.
    pub const fn ms(ms: u64) -> Time {
        Time(ms * 1_000_000)
    }
    /// The later time by a span.
    pub const fn plus(self, span: Time) -> Time {
        Time(self.0.saturating_add(span.0))
    }
    /// The earlier time by a span, zero at least.
    pub const fn minus(self, span: Time) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
    /// The span since `earlier`, zero if that is not earlier.
    pub const fn since(self, earlier: Time) -> Time {
        Time(self.0.saturating_sub(earlier.0))
    }
    /// The span scaled by a factor.
    pub fn times(self, factor: f64) -> Time {
        Time((self.0 as f64 * factor) as u64)
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 * 1e-9
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
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
    /// An attempt's number within its request, in order of sending.
    Attempt(u16);
    /// A router of the tier.
    RouterId(u16);
}

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating does no harm.
    Idempotent,
    /// Repeats are dropped by key, within a window and a scope.
    IdempotentByKey,
    /// Must never run twice.
    NonIdempotent,
}

/// Where repeats of a keyed request are dropped.
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
    /// Any member will do.
    Eventual,
    /// Data no older than this when it is sent.
    BoundedStaleness(Time),
    /// All that the session has written.
    Session,
    /// All that was written before the request came in.
    Strong,
    /// A write: only the primary takes it.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Freshness needed.
    pub consistency: Consistency,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Scope of the key, for keyed classes.
    pub scope: KeyScope,
    /// How long repeats are dropped, from the first attempt that may have run.
    pub window: Time,
    /// An answer inside this earns the full worth.
    pub latency_objective: Time,
    /// The client's whole wait, over all its tries.
    pub client_timeout: Time,
    /// The worth of one request.
    pub priority_weight: f64,
    /// The share of the worth earned between aim and deadline.
    pub late_weight: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all routers.
    pub quota_per_s: f64,
}

/// What a member does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenBehind {
    /// It answers from what it holds.
    #[default]
    ServeStale,
    /// It misses at once.
    Reject,
    /// It waits up to this long for the log, then misses.
    Wait(Time),
}

/// How the list of members tells the primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListRole {
    /// Kept up, some seconds late.
    Late,
    /// As it was at the start only.
    Start,
    /// Never.
    #[default]
    None,
}

/// What a router is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This router.
    pub router: RouterId,
    /// Routers in the tier.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// The shortest gap between two rounds of events.
    pub tick: Time,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The part of its worth that a request past its tenant's share keeps.
    pub over_quota_weight: f64,
    /// The list must be asked for.
    pub poll_endpoint_list: bool,
    /// How the list tells roles.
    pub list_role: ListRole,
    /// Whether weights say anything.
    pub weights: bool,
    /// Whether every answer carries a position.
    pub positions: bool,
    /// Whether probes return a position.
    pub probe_positions: bool,
    /// Whether probes return the role.
    pub probe_roles: bool,
    /// What lagging members do with reads.
    pub when_behind: WhenBehind,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Two attempts of a request may be out together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A connection that has idled for longer is closed by its host.
    pub conn_idle: Time,
    /// Probes are allowed.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such time a client follows.
    pub max_retry_after: Time,
    /// After a notice to drain or of removal, sends may go on this long.
    pub drain_grace: Time,
    /// Only a notice to drain binds, removal alone does not.
    pub only_draining_binds: bool,
    /// Capacity share of a member that has just started, at least.
    pub slow_start_capacity: f64,
    /// It is warm within this.
    pub slow_start_window: Time,
    /// Sent more than this multiple of its capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold member falls over.
    pub overload_window: Time,
    /// Where the list is asked for: an answer older than this counts as told.
    pub poll_interval: Time,
    /// Points for attempts crossing zones.
    pub price_cross_zone: f64,
    /// Points for work wasted.
    pub price_waste: f64,
}

/// A member's state as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Finishing its work.
    Draining,
    /// Removed.
    Removed,
}

/// A line of the list of members.
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
    /// Its weight.
    pub weight: f64,
    /// Whether the list takes it for the primary.
    pub primary: bool,
    /// When it last started, if lately.
    pub started: Option<Time>,
    /// Since when this line may count as told: earlier than it came, where it may have waited for a watch.
    pub notified_at: Time,
}

/// What kind of list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only what changed.
    Delta,
    /// All of it.
    Full,
    /// All of it, as held last, possibly old.
    Cached,
    /// A call for the list failed.
    Failed,
}

/// A member's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows.
    Replica,
}

/// What an answer or a report says of its member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationState {
    /// All commits up to this time are applied.
    pub position: Option<Time>,
    /// Its role.
    pub role: Option<Role>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// Turned away untouched: not primary, or too far behind.
    Misdirected,
    /// The member failed at it.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called off.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Status {
    /// Whether it proves that nothing ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Status::Misdirected | Status::Overloaded | Status::ConnectFailed | Status::NotSent)
    }
}

/// A request as it comes in.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The time at which its client gives up.
    pub deadline: Time,
    /// Its group.
    pub group: GroupId,
    /// The position that a session read must see at least; zero if any will do.
    pub floor: Time,
    /// How far ahead of a replica's position the floor may lie for that replica to be waited for.
    pub lead: Time,
    /// The client says that it is repeating.
    pub client_retry: bool,
}

/// How one attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: Attempt,
    /// Where it went.
    pub member: MemberId,
    /// How it ended.
    pub status: Status,
    /// How long it took.
    pub took: Time,
    /// The request has ended.
    pub ended: bool,
    /// What the answer says of the member.
    pub replication: ReplicationState,
    /// What a report inside the answer says, possibly out of date.
    pub report: ReplicationState,
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of members, or a change to it.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request.
    Request(Request),
    /// A request that limits count which hold over all routers: how much of them is open, as a share, and
    /// when it may come back if it is turned away for them.
    LimitedRequest {
        /// The request.
        request: Request,
        /// The open fraction of the limits' tokens, 0 to 1.
        open_fraction: f64,
        /// When the client may retry if the request is rejected for these limits.
        retry_after: Time,
    },
    /// So many further attempts of requests, and probes, are left by budgets over all routers; none where
    /// there is no such budget. They count until the next such event.
    Budgets {
        /// Retries left; none without such a budget.
        retries: Option<u32>,
        /// Health checks left; none without such a budget.
        probes: Option<u32>,
    },
    /// So many more attempts may be out at a member, as a limit over all routers has it.
    MemberCapacity {
        /// The member.
        member: MemberId,
        /// Further attempts that may be in flight there.
        attempts: u32,
    },
    /// An attempt's answer has begun to flow: it belongs to the client now.
    ResponseStarted(RequestId, Attempt),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client has left.
    ClientGone(RequestId),
    /// A timer came due.
    Timer(u64),
    /// A probe ended: member, status, how long it took, what the report says.
    ProbeFinished {
        /// The member.
        member: MemberId,
        /// How the health check ended.
        status: Status,
        /// How long it took.
        took: Time,
        /// What the member's load report says.
        report: ReplicationState,
    },
    /// The system's clock has been set: a position told so far may be anywhere.
    ClockSet,
    /// A message from another router.
    Message(RouterId, Vec<u8>),
}

/// What a router does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin an attempt; its time-out, or none but the client's own.
    Send(RequestId, MemberId, Option<Time>),
    /// Turn the request away: trying again does no harm, after the time given if any.
    Reject(RequestId, Option<Time>),
    /// End the request without a promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, Attempt),
    /// Ask for [`Event::Timer`] with this token after a span.
    Timer(Time, u64),
    /// Probe a member.
    Probe(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Ask discovery to follow the list.
    WatchEndpoints,
    /// Ask discovery for the whole list once.
    PollEndpoints,
    /// A line for the operators.
    Log(String),
}
