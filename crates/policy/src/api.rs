//! The interface of the decision module: settings, events, actions and ids. It is independent of any wire
//! protocol and makes no decisions itself.

/// A point in time or a span, in nanoseconds. The clock is monotonic and its origin is arbitrary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Returns a span of `ms` milliseconds.
    pub const fn ms(ms: u64) -> Time {
        Time(ms * 1_000_000)
    }

    /// Returns the point in time `span` later, saturating at the maximum.
    pub const fn plus(self, span: Time) -> Time {
        Time(self.0.saturating_add(span.0))
    }

    /// Returns the point in time `span` earlier, saturating at zero.
    pub const fn minus(self, span: Time) -> Time {
        Time(self.0.saturating_sub(span.0))
    }

    /// Returns the span from `earlier` to this time; zero if `earlier` is not earlier.
    pub const fn since(self, earlier: Time) -> Time {
        Time(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span multiplied by `factor`.
    pub fn times(self, factor: f64) -> Time {
        Time((self.0 as f64 * factor) as u64)
    }

    /// Returns a span of `secs` seconds, rounded down to nanoseconds; zero for a negative number.
    pub fn from_secs(secs: f64) -> Time {
        Time((secs * 1e9) as u64)
    }

    /// Returns the span in seconds.
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
    /// A member of a group: one database host.
    MemberId(u32);
    /// A request; the id is unique within its router.
    RequestId(u64);
    /// A group: one primary and its replicas.
    GroupId(u32);
    /// A class of requests: an index into [`Settings::classes`].
    ClassId(u16);
    /// A tenant: an index into [`Settings::tenants`].
    TenantId(u16);
    /// A session: a number that stands for the session's name, such as a hash of the name.
    SessionKey(u64);
    /// A zone. Each member and each router is in one; attempts across zones may have a price.
    ZoneId(u16);
    /// The number of an attempt within its request, counted from 0 in the order in which they were sent.
    Attempt(u16);
    /// A router of the fleet.
    RouterId(u16);
}

/// Whether a request that may already have been executed may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated at any member at any time.
    Idempotent,
    /// Members discard repeats by an idempotency key, within a deduplication window and a [`KeyScope`].
    IdempotentByKey,
    /// It must not be executed more than once, so it is never repeated.
    NonIdempotent,
}

/// The members among which repeats of a request with an idempotency key are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All members.
    All,
    /// The members of one zone.
    Zone,
    /// The members of one group.
    Group,
}

/// How fresh the data that serves a request of a class must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Data of any age, from any member.
    Eventual,
    /// Data that lags by no more than this when the attempt is sent.
    BoundedStaleness(Time),
    /// All earlier writes of the session.
    Session,
    /// All writes that completed before the request arrived.
    Strong,
    /// A write, which only the primary executes.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The required freshness of the data.
    pub consistency: Consistency,
    /// Whether a request that may have been executed may be repeated.
    pub effect: Effect,
    /// The members among which repeats are discarded; used for [`Effect::IdempotentByKey`] only.
    pub key_scope: KeyScope,
    /// The deduplication window, from the first attempt that may have been executed; repeats within it are
    /// discarded.
    pub deduplication_window: Time,
    /// The span, counted from when the client first sent the request, within which a reply has its full
    /// value.
    pub latency_objective: Time,
    /// How long a client waits in total, including its retries.
    pub client_timeout: Time,
    /// The value of one request, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of its value that a reply has between the latency objective and the client's timeout.
    pub late_weight: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's quota over all routers, in requests per second. The decisions don't use it.
    pub quota_per_s: f64,
}

/// What a member does with a read for which its log position is too far behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenBehind {
    /// It responds with the data that it has.
    #[default]
    ServeStale,
    /// It rejects the read at once.
    Reject,
    /// It waits up to this long to catch up with the replication log, then rejects the read.
    Wait(Time),
}

/// How reliably the endpoint list names the primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListRole {
    /// The list names the primary, but is updated some seconds after the primary changes.
    Late,
    /// The list names the primary as of the start and is not updated.
    Start,
    /// The list does not name the primary.
    #[default]
    None,
}

/// The configuration of the deployment that a router has when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This router.
    pub router: RouterId,
    /// The number of routers in the fleet.
    pub routers: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// The resolution of the router's timers: the shortest time between two rounds of events.
    pub tick: Time,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request over its tenant's quota keeps. The decisions don't use it.
    pub over_quota_weight: f64,
    /// Whether the endpoint list has to be polled because service discovery does not push it.
    pub poll_endpoint_list: bool,
    /// How reliably the endpoint list names the primary.
    pub list_role: ListRole,
    /// Whether the weights in the endpoint list are used; without them, all members have weight 1.
    pub use_weights: bool,
    /// Whether every response reports a log position. The decisions don't use this: they use each position
    /// that is reported.
    pub responses_report_position: bool,
    /// Whether health checks report a log position.
    pub probes_report_position: bool,
    /// Whether health checks report the role. The decisions don't use this: they use each role that is
    /// reported.
    pub probes_report_role: bool,
    /// What members do with reads for which their log positions are too far behind.
    pub when_behind: WhenBehind,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// The idle timeout after which a host closes a connection.
    pub connection_idle_timeout: Time,
    /// Whether health checks are allowed.
    pub probes_allowed: bool,
    /// Whether a rejected client is given a Retry-After.
    pub send_retry_after: bool,
    /// The longest Retry-After that clients comply with.
    pub max_retry_after: Time,
    /// How long attempts may still be sent to a member after the router was notified that the member is
    /// draining or removed.
    pub drain_grace: Time,
    /// Whether a member's removal from the endpoint list is ignored, so that attempts to it end only once the
    /// router was notified that it is draining.
    pub ignore_removal: bool,
    /// The least fraction of its capacity that a member has right after its start.
    pub slow_start_capacity: f64,
    /// The longest time that a member needs to warm up: from its start until it has its full capacity.
    pub slow_start_window: Time,
    /// A warming member is overloaded and fails if it is sent more than this multiple of its current capacity
    /// for the [`overload_window`](Self::overload_window).
    pub overload_multiple: f64,
    /// How long a warming member withstands more work than the [`overload_multiple`](Self::overload_multiple)
    /// allows.
    pub overload_window: Time,
    /// Where the endpoint list is polled: the router counts as notified of a change this long after the
    /// change.
    pub poll_interval: Time,
    /// The price of attempts across zones, one of the `prices` in the settings. Each price is multiplied by a
    /// share or rate and deducted from the deployment's rating. This one is multiplied by the number of
    /// attempts that go to another zone, divided by the number of first attempts. It is dimensionless.
    pub price_cross_zone: f64,
    /// The price of wasted work, one of the `prices` in the settings (see
    /// [`price_cross_zone`](Self::price_cross_zone)). It is multiplied by the work of database hosts that
    /// served no reply (health checks and connection startups included), divided by the work offered. It is
    /// dimensionless. The decisions don't use it.
    pub price_waste: f64,
}

/// A member's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Draining: it completes its requests before it stops.
    Draining,
    /// Removed from service.
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
    /// Its state in the list.
    pub state: EndpointState,
    /// Its weight among the members of its group.
    pub weight: f64,
    /// Whether the list names it as the primary.
    pub primary: bool,
    /// When it last started, if known.
    pub started: Option<Time>,
    /// When the router counts as notified of this state. This is before the list's arrival if the
    /// notification may have been delayed until a watch was opened; a time in the future counts as the time
    /// of arrival.
    pub notified_at: Time,
}

/// The kind of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the members that changed since the previous list.
    Delta,
    /// All members.
    Full,
    /// All members from the router's cache, possibly out of date; a router starts with this list.
    Cached,
    /// Polling the list failed; this list is empty.
    Failed,
}

/// A member's role in replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It executes writes.
    Primary,
    /// It applies the primary's log.
    Replica,
}

/// The replication state that a response or a load report gives for its member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicationState {
    /// The log position: all commits up to this time have been applied.
    pub position: Option<Time>,
    /// The member's role.
    pub role: Option<Role>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The member served it.
    Ok,
    /// The member served it, but the router had no memory for the response and discarded it.
    Discarded,
    /// The member rejected it without executing it, because it is not the primary or is too far behind.
    Misdirected,
    /// The member responded with an error.
    Error,
    /// The member rejected it for lack of capacity, without reading it.
    Overloaded,
    /// No response was received before the timeout.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was lost.
    Reset,
    /// The router cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Status {
    /// Returns whether this proves that the request was not executed.
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
    /// The deadline at which its client stops waiting.
    pub deadline: Time,
    /// The group that holds its data.
    pub group: GroupId,
    /// The log position that a member must have applied to serve a session read; zero for no requirement.
    pub floor: Time,
    /// How far a replica's estimated log position may be behind the floor for the request to wait for that
    /// replica.
    pub lead: Time,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
}

/// The outcome of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The member that it was sent to.
    pub member: MemberId,
    /// How the attempt ended.
    pub status: Status,
    /// The time from the start of the attempt to this outcome.
    pub elapsed: Time,
    /// Whether the request has completed with this outcome, so that it gets no further attempt.
    pub request_completed: bool,
    /// The member's replication state as given by the response itself.
    pub replication: ReplicationState,
    /// The member's replication state as given by a load report in the response, possibly out of date.
    pub report: ReplicationState,
}

/// An event that a router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list, or a change to it, arrived.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// A request arrived that is subject to fleet-wide limits.
    LimitedRequest {
        /// The request.
        request: Request,
        /// The fraction of the limits' tokens that is available, 0 to 1.
        available_fraction: f64,
        /// How long after a rejection by these limits the client may retry.
        retry_after: Time,
    },
    /// How much of the fleet-wide budgets this router may use until the next such event.
    Budgets {
        /// Attempts after the first of a request; `None` without such a budget.
        retries: Option<u32>,
        /// Health checks; `None` without such a budget.
        probes: Option<u32>,
    },
    /// How many more attempts a fleet-wide limit allows this router at a member.
    MemberCapacity {
        /// The member.
        member: MemberId,
        /// The number of attempts that may still be sent there before the next such event. The end of an
        /// attempt does not raise it.
        attempts: u32,
    },
    /// The first part of an attempt's response was sent to the client: from now on, no other attempt can
    /// serve the request. The decisions ignore this event.
    ResponseStarted(RequestId, Attempt),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client of a request no longer waits for its reply: it disconnected or cancelled the request, or
    /// the router is shutting down.
    ClientGone(RequestId),
    /// The timer with this token fired.
    Timer(u64),
    /// A health check ended.
    ProbeFinished {
        /// The member.
        member: MemberId,
        /// How the health check ended.
        status: Status,
        /// The time from the start of the health check to its end.
        elapsed: Time,
        /// The replication state in the member's load report.
        report: ReplicationState,
    },
    /// The system clock was set: log positions reported earlier may be wrong by any amount.
    ClockSet,
    /// A message from a peer. The decisions ignore it.
    Message(RouterId, Vec<u8>),
}

/// An action that the router has to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt of a request at a member, with a timeout if the attempt has to end before the
    /// client's deadline.
    Send(RequestId, MemberId, Option<Time>),
    /// Reject a request, which the client may safely retry, after the Retry-After if one is given.
    Reject(RequestId, Option<Time>),
    /// Fail a request, leaving open whether it was executed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, Attempt),
    /// Deliver [`Event::Timer`] with this token after a span.
    Timer(Time, u64),
    /// Send a health check to a member.
    Probe(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Poll the endpoint list once.
    PollEndpoints,
    /// Write a line to the log. [`Policy`](crate::Policy) does not return this action.
    Log(String),
}
