//! What callers say and hear.

use crate::session::Session;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// The routers, all alike.
    pub routers: Vec<SocketAddr>,
    /// Connections to each router at most.
    pub max_connections_per_router: usize,
    /// What a first try earns, as a share of a further one.
    pub retry_ratio: f64,
    /// Most further tries in store.
    pub retry_budget_capacity: f64,
    /// Reconnects spread over this at most, and over half of what the next request has left.
    pub reconnect_spread: Duration,
    /// A connection that has asked nothing for this long is closed; routers close theirs after two seconds.
    pub idle_timeout: Duration,
    /// A connection ends after about this, so that load finds routers that have come back.
    pub connection_lifetime: Duration,
    /// A connection that is not up within this has failed.
    pub connect_timeout: Duration,
    /// The first cooldown of a router that has failed.
    pub ejection_cooldown: Duration,
    /// For random numbers: two clients of one seed draw alike.
    pub seed: u64,
}

impl Config {
    /// Defaults for these routers, with a seed of this process's own.
    pub fn new(routers: impl Into<Vec<SocketAddr>>) -> Config {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Config {
            routers: routers.into(),
            max_connections_per_router: 32,
            retry_ratio: 0.1,
            retry_budget_capacity: 10.0,
            reconnect_spread: Duration::from_secs(1),
            idle_timeout: Duration::from_millis(1500),
            connection_lifetime: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(1),
            ejection_cooldown: Duration::from_secs(1),
            seed: now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40),
        }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// Its group drops repeats for this long from the first try that may have run.
    Keyed(Duration),
    /// It must never run twice.
    NonIdempotent,
}

/// Which requests may spend the store of further tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Down to three quarters.
    Low,
    /// Down to a half.
    #[default]
    Normal,
    /// All of it.
    High,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The value under the key.
    Read,
    /// This value under the key.
    Write(Vec<u8>),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its class, as the routers' settings name it.
    pub class: String,
    /// Its group.
    pub group: u32,
    /// Its tenant; may be empty.
    pub tenant: String,
    /// Its key.
    pub key: String,
    /// What is asked.
    pub operation: Operation,
    /// The caller hears by then, whatever happens.
    pub deadline: Instant,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Whether it may spend the store of further tries.
    pub priority: Priority,
    /// Its session, whose tokens go with it.
    pub session: Option<Session>,
}

impl Request {
    /// A read, safe to repeat, with a deadline one second from now.
    pub fn read(class: &str, group: u32, key: &str) -> Request {
        Request {
            class: class.into(),
            group,
            tenant: String::new(),
            key: key.into(),
            operation: Operation::Read,
            deadline: Instant::now() + Duration::from_secs(1),
            idempotency: Idempotency::Idempotent,
            priority: Priority::Normal,
            session: None,
        }
    }

    /// A write, never to run twice, with a deadline one second from now.
    pub fn write(class: &str, group: u32, key: &str, value: &[u8]) -> Request {
        let (operation, idempotency) = (Operation::Write(value.into()), Idempotency::NonIdempotent);
        Request { operation, idempotency, ..Request::read(class, group, key) }
    }

    /// For a tenant.
    pub fn tenant(self, tenant: &str) -> Request {
        Request { tenant: tenant.into(), ..self }
    }

    /// With a deadline so long from now.
    pub fn timeout(self, time: Duration) -> Request {
        Request { deadline: Instant::now() + time, ..self }
    }

    /// With a deadline.
    pub fn deadline(self, deadline: Instant) -> Request {
        Request { deadline, ..self }
    }

    /// With another idempotency.
    pub fn idempotency(self, idempotency: Idempotency) -> Request {
        Request { idempotency, ..self }
    }

    /// With another priority.
    pub fn priority(self, priority: Priority) -> Request {
        Request { priority, ..self }
    }

    /// Of a session.
    pub fn session(self, session: &Session) -> Request {
        Request { session: Some(session.clone()), ..self }
    }

    /// What is wrong with it before anything is sent.
    pub(crate) fn fault(&self) -> Option<InvalidRequest> {
        let plain = |text: &str| {
            text.bytes().all(|b| b.is_ascii_graphic() && !matches!(b, b',' | b'=' | b'*' | b'/'))
        };
        let names = [("class", &self.class, false), ("tenant", &self.tenant, true)];
        let bad = names.into_iter().find(|(_, text, empty)| !plain(text) || (text.is_empty() && !empty));
        if let Some((name, text, _)) = bad {
            return Some(InvalidRequest::here(format!("{name} {text:?} can't stand in a comment")));
        }
        if self.key.bytes().any(|b| b == 0) {
            return Some(InvalidRequest::here("a key must not hold a zero byte".into()));
        }
        let long = matches!(&self.operation, Operation::Write(value) if value.len() > LONGEST_VALUE);
        long.then(|| InvalidRequest::here(format!("a value has {LONGEST_VALUE} bytes at most")))
    }
}

/// Longest value.
pub const LONGEST_VALUE: usize = 64 * 1024;

/// Why a request is none that routers or hosts take. It has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRequest {
    /// The SQLSTATE, 22023 if nothing was sent.
    pub code: String,
    /// For people.
    pub message: String,
}

impl InvalidRequest {
    fn here(message: String) -> InvalidRequest {
        InvalidRequest { code: "22023".into(), message }
    }
}

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for InvalidRequest {}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "MayHaveRun obliges the caller to look"]
pub enum RequestOutcome {
    /// The value; none if it is null.
    Served(Option<Vec<u8>>),
    /// Turned away, and nothing has run. Worth asking again, not sooner than after this if it is told.
    Rejected(Option<Duration>),
    /// Its time is over, or what is left is too short for an answer. Nothing has run, or a repeat does no
    /// harm.
    DeadlineExceeded,
    /// It failed, and a repeat does no harm.
    Failed,
    /// Nobody knows whether it has run, or it may yet run. Never ask again without having looked.
    MayHaveRun,
    /// It is no request that can be served; nothing has run.
    Invalid(InvalidRequest),
    /// The client has been stopped before anything was sent.
    Stopped,
}

/// How much of a statement was handed to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// Nothing.
    Unsent,
    /// A part: no router takes it.
    Partial,
    /// All of it.
    Complete,
}

/// How one try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// Refused, with the time to come back if it was told.
    Rejected(Option<Duration>),
    /// Any other error, by its SQLSTATE.
    Error(String),
    /// The router said that it closes the connection and has read nothing more.
    CloseNotice,
    /// The connection ended.
    Closed(WriteProgress),
    /// What came can't be read.
    MalformedResponse,
    /// Given up: at the deadline, or by the caller.
    Abandoned(WriteProgress),
}

impl AttemptOutcome {
    /// Whether it proves that nothing ran, and nothing will.
    pub fn proves_not_run(&self) -> bool {
        match self {
            AttemptOutcome::Rejected(_) | AttemptOutcome::CloseNotice => true,
            AttemptOutcome::Closed(written) | AttemptOutcome::Abandoned(written) => {
                *written != WriteProgress::Complete
            }
            AttemptOutcome::Error(code) => is_statement_error(code),
            AttemptOutcome::Served | AttemptOutcome::MalformedResponse => false,
        }
    }

    /// Whether a router may have seen it.
    pub(crate) fn may_have_reached_router(&self) -> bool {
        !matches!(self, AttemptOutcome::Closed(w) | AttemptOutcome::Abandoned(w) if *w != WriteProgress::Complete)
            && *self != AttemptOutcome::CloseNotice
    }
}

/// Whether an error lies in the statement: it is as wrong anywhere else, and has not run.
pub(crate) fn is_statement_error(code: &str) -> bool {
    code.starts_with("08P") || code.starts_with("22") || code.starts_with("42") || code.starts_with("0A")
}

/// One try, for the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Its router.
    pub router: SocketAddr,
    /// When it began.
    pub began: Instant,
    /// How long it took.
    pub took: Duration,
    /// How it ended.
    pub end: AttemptOutcome,
}

/// How a request ended, and why.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// Its end.
    pub outcome: RequestOutcome,
    /// Its tries, in order.
    pub attempts: Vec<AttemptRecord>,
    /// How long it took in all.
    pub elapsed: Duration,
}
