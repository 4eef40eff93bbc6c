//! The decisions of one client, without I/O: time and what happened go in, effects come out. The same seed
//! and the same inputs always give the same effects.

use crate::request::{
    is_statement_error, AttemptOutcome, AttemptRecord, Config, Idempotency, InvalidRequest, Priority,
    Request, RequestOutcome, RequestReport, WriteProgress,
};
use crate::wire::{query, startup, MessageDecoder, ServerMessage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request of this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A connection of this client; never used again after its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Open a connection; its end, or its coming up, is told.
    Connect(ConnectionId, SocketAddr),
    /// Write bytes. No byte may be written after the time given, if one is.
    Write(ConnectionId, Vec<u8>, Option<Instant>),
    /// Close a connection. Nothing more is told of it.
    Close(ConnectionId),
    /// A request has ended.
    Done(RequestId, RequestReport),
}

/// How a connection came to its end by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// Nobody listens there.
    NotListening,
    /// Any other way.
    Other,
}

/// Shortest wait after a refusal without a time to come back, or after a failure.
const REST: Duration = Duration::from_millis(20);
/// Most of a wait that is drawn on top of it.
const JITTER: f64 = 0.5;
/// A try needs this much time at least.
const LEAST_LEFT: Duration = Duration::from_millis(2);
/// How fast what a class takes follows answers down, and up.
const QUICKER: f64 = 0.2;
const SLOWER: f64 = 0.02;
/// Classes whose times are kept.
const CLASSES: usize = 64;
/// Transport failures running that eject a router.
const FAILURES: u32 = 3;
/// A cooldown doubles up to this many times.
const DOUBLINGS: u32 = 4;
/// The span of reconnects doubles up to this many times while routers are full.
const FULL_DOUBLINGS: u32 = 3;
/// The share of what a waiting request has left over which reconnects spread.
const SLACK: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum CircuitBreaker {
    Closed,
    /// Out of service until then; one connection is its probe after that.
    Open(Instant),
}

#[derive(Debug)]
struct Router {
    addr: SocketAddr,
    out: usize,
    conns: usize,
    failures: u32,
    ejections: u32,
    breaker: CircuitBreaker,
    /// It was full: no new connection before this.
    rest: Option<Instant>,
}

#[derive(Debug)]
enum ConnectionState {
    Connecting,
    /// Connected, and the router's welcome has not come.
    Starting,
    Idle,
    Busy(Exchange),
}

/// A statement on its way, and what came of it so far.
#[derive(Debug)]
struct Exchange {
    request: RequestId,
    left: usize,
    total: usize,
    row: Option<Option<Vec<u8>>>,
    whole: bool,
    error: Option<AttemptOutcome>,
    invalid: Option<InvalidRequest>,
    /// Anything that counts as an answer has come.
    begun: bool,
}

impl Exchange {
    fn written(&self) -> WriteProgress {
        match self.left {
            0 => WriteProgress::Complete,
            left if left == self.total => WriteProgress::Unsent,
            _ => WriteProgress::Partial,
        }
    }
}

#[derive(Debug)]
struct Connection {
    router: usize,
    stage: ConnectionState,
    side: MessageDecoder,
    expires: Instant,
    timer: Option<Instant>,
}

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    begun: Instant,
    conn: Option<ConnectionId>,
    tries: Vec<AttemptRecord>,
    /// When the first try began that may have run.
    doubt: Option<Instant>,
    ready_at: Instant,
    session_out: bool,
    brought: Vec<String>,
}

/// What a client has counted, since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub requests: u64,
    /// Tries begun.
    pub tries: u64,
    /// Further tries that the budget did not allow.
    pub over_budget: u64,
    /// Connections begun.
    pub connects: u64,
    /// Routers ejected.
    pub ejections: u64,
}

/// The decisions of one client.
#[derive(Debug)]
pub struct Core {
    config: Config,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    conns: BTreeMap<ConnectionId, Connection>,
    idle: BTreeSet<ConnectionId>,
    timers: BTreeSet<(Instant, ConnectionId)>,
    pending: usize,
    jobs: BTreeMap<RequestId, PendingRequest>,
    ready: BTreeSet<RequestId>,
    later: BTreeSet<(Instant, RequestId)>,
    deadlines: BTreeSet<(Instant, RequestId)>,
    /// What answers of each class take, the quicker ones counting more.
    quick: BTreeMap<String, f64>,
    store: f64,
    /// A connection was lost: the next one waits for its turn. The turn is drawn when one is wanted.
    lost: bool,
    gate: Option<Instant>,
    full: u32,
    next: u64,
    counts: Counters,
    out: VecDeque<Action>,
    /// The latest time told.
    now: Option<Instant>,
}

impl Core {
    /// A client that has asked nothing.
    pub fn new(config: Config) -> Core {
        let router = |addr: &SocketAddr| Router {
            addr: *addr,
            out: 0,
            conns: 0,
            failures: 0,
            ejections: 0,
            breaker: CircuitBreaker::Closed,
            rest: None,
        };
        Core {
            rng: fastrand::Rng::with_seed(config.seed),
            routers: config.routers.iter().map(router).collect(),
            store: config.retry_budget_capacity,
            config,
            conns: BTreeMap::new(),
            idle: BTreeSet::new(),
            timers: BTreeSet::new(),
            pending: 0,
            jobs: BTreeMap::new(),
            ready: BTreeSet::new(),
            later: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            quick: BTreeMap::new(),
            lost: false,
            gate: None,
            full: 0,
            next: 0,
            counts: Counters::default(),
            out: VecDeque::new(),
            now: None,
        }
    }

    /// The next thing to be done.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.out.pop_front()
    }

    /// What has been counted.
    pub fn counts(&self) -> Counters {
        self.counts
    }

    /// Requests, connections and timers on the books.
    pub fn books(&self) -> (usize, usize, usize) {
        let waiting = self.ready.len() + self.later.len();
        (self.jobs.len().max(waiting).max(self.deadlines.len()), self.conns.len(), self.timers.len())
    }

    /// When [`Core::handle_timeout`] is due next.
    pub fn next_timeout(&self) -> Option<Instant> {
        let first = |set: &BTreeSet<(Instant, ConnectionId)>| set.first().map(|t| t.0);
        // What has passed and had nothing to begin is due with the next event, not with time.
        let ahead = |at: &Instant| self.now.is_none_or(|now| *at > now);
        let waits = [
            self.deadlines.first().map(|t| t.0),
            self.later.first().map(|t| t.0),
            first(&self.timers),
            self.gate.filter(|at| !self.ready.is_empty() && ahead(at)),
            // With all of them out of service, the first that may be probed or tried again.
            self.routers
                .iter()
                .filter(|_| !self.ready.is_empty())
                .filter_map(Router::opens)
                .filter(ahead)
                .min(),
        ];
        waits.into_iter().flatten().min()
    }

    /// A request. It is answered with [`Action::Done`], by its deadline.
    pub fn submit(&mut self, now: Instant, request: Request) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        self.counts.requests += 1;
        if let Some(fault) = request.fault() {
            let report = RequestReport {
                outcome: RequestOutcome::Invalid(fault),
                attempts: Vec::new(),
                elapsed: Duration::ZERO,
            };
            self.out.push_back(Action::Done(id, report));
            return id;
        }
        self.store = (self.store + self.config.retry_ratio).min(self.config.retry_budget_capacity);
        self.deadlines.insert((request.deadline, id));
        let (tries, brought) = (Vec::new(), Vec::new());
        let job = PendingRequest {
            request,
            begun: now,
            conn: None,
            tries,
            doubt: None,
            ready_at: now,
            session_out: false,
            brought,
        };
        self.jobs.insert(id, job);
        self.ready.insert(id);
        self.pump(now);
        id
    }

    /// The caller waits no longer for a request.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        self.drop_try(now, id);
        self.forget(id);
        self.pump(now);
    }

    /// A connection is up.
    pub fn handle_connected(&mut self, now: Instant, id: ConnectionId) {
        if let Some(conn) = self.conns.get_mut(&id).filter(|c| matches!(c.stage, ConnectionState::Connecting))
        {
            conn.stage = ConnectionState::Starting;
            self.out.push_back(Action::Write(id, startup(), None));
        }
        self.pump(now);
    }

    /// So many more bytes of the statement were handed to the system. What a connection writes before its
    /// first statement does not count.
    pub fn handle_written(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(Connection { stage: ConnectionState::Busy(exchange), .. }) = self.conns.get_mut(&id) {
            exchange.left = exchange.left.saturating_sub(bytes);
        }
    }

    /// Bytes have come.
    pub fn handle_received(&mut self, now: Instant, id: ConnectionId, bytes: &[u8]) {
        self.expire(now);
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.side.feed(bytes);
        }
        while let Some(conn) = self.conns.get_mut(&id) {
            match conn.side.take() {
                Ok(Some(said)) => self.said(now, id, said),
                Ok(None) => break,
                Err(_) => self.unreadable(now, id),
            }
        }
        self.pump(now);
    }

    /// A connection has ended, or has never come up.
    pub fn handle_disconnected(&mut self, now: Instant, id: ConnectionId, how: DisconnectReason) {
        self.expire(now);
        if let Some(conn) = self.remove(id) {
            match conn.stage {
                ConnectionState::Connecting | ConnectionState::Starting => {
                    self.failed(now, conn.router, how == DisconnectReason::NotListening)
                }
                ConnectionState::Idle => self.lost = true,
                ConnectionState::Busy(exchange) => {
                    self.lost = true;
                    let served = exchange.whole && exchange.error.is_none();
                    let end = match (served, exchange.error.clone()) {
                        (true, _) => AttemptOutcome::Served,
                        (false, Some(error)) => error,
                        (false, None) => AttemptOutcome::Closed(exchange.written()),
                    };
                    if matches!(end, AttemptOutcome::Closed(_)) {
                        self.failed(now, conn.router, false);
                    }
                    self.ended(now, exchange, end);
                }
            }
        }
        self.pump(now);
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.pump(now);
    }

    /// Ends everything: what is out gets the end that can be told of it.
    pub fn shut_down(&mut self, now: Instant) {
        let all: Vec<RequestId> = self.jobs.keys().copied().collect();
        for id in all {
            let may_have_run = self.drop_try(now, id);
            self.finish(
                now,
                id,
                if may_have_run { RequestOutcome::MayHaveRun } else { RequestOutcome::Stopped },
            );
        }
        let conns: Vec<ConnectionId> = self.conns.keys().copied().collect();
        conns.into_iter().for_each(|id| self.close(id));
    }

    // ---- Connections ----

    fn set_timer(&mut self, id: ConnectionId, at: Option<Instant>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut conn.timer, at) {
            self.timers.remove(&(old, id));
        }
        self.timers.extend(at.map(|at| (at, id)));
    }

    /// Takes a connection off the books.
    fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.set_timer(id, None);
        let conn = self.conns.remove(&id)?;
        self.idle.remove(&id);
        let router = &mut self.routers[conn.router];
        router.conns -= 1;
        match conn.stage {
            ConnectionState::Connecting | ConnectionState::Starting => self.pending -= 1,
            ConnectionState::Busy(_) => router.out -= 1,
            ConnectionState::Idle => {}
        }
        Some(conn)
    }

    fn close(&mut self, id: ConnectionId) {
        if self.remove(id).is_some() {
            self.out.push_back(Action::Close(id));
        }
    }

    /// A transport failure at a router.
    fn failed(&mut self, now: Instant, router: usize, refused: bool) {
        self.lost = true;
        let draw = 0.5 + self.rng.f64();
        let r = &mut self.routers[router];
        r.failures += 1;
        let probe = matches!(r.breaker, CircuitBreaker::Open(_));
        // Nobody listens there: it is not up. A probe's failure counts at once, too.
        if refused || probe || r.failures >= FAILURES {
            let cooldown = self.config.ejection_cooldown * (1 << r.ejections.min(DOUBLINGS));
            r.breaker = CircuitBreaker::Open(now + cooldown.mul_f64(draw));
            r.ejections += 1;
            self.counts.ejections += 1;
        }
    }

    fn open(&mut self, now: Instant, router: usize) {
        self.next += 1;
        let id = ConnectionId(self.next);
        let age = self.config.connection_lifetime.mul_f64(0.5 + self.rng.f64());
        let conn = Connection {
            router,
            stage: ConnectionState::Connecting,
            side: MessageDecoder::default(),
            expires: now + age,
            timer: None,
        };
        self.conns.insert(id, conn);
        self.set_timer(id, Some(now + self.config.connect_timeout));
        self.routers[router].conns += 1;
        self.pending += 1;
        self.counts.connects += 1;
        self.out.push_back(Action::Connect(id, self.routers[router].addr));
    }

    /// The router for a new connection: fewest requests and connections to come, ties drawn. One out of
    /// service is probed by one connection, once its cooldown is over.
    fn router(&mut self, now: Instant) -> Option<usize> {
        let mut best: Option<(usize, f64, usize)> = None;
        for n in 0..self.routers.len() {
            let draw = self.rng.f64();
            let r = &self.routers[n];
            let open = r.rest.is_none_or(|at| at <= now) && r.conns < self.config.max_connections_per_router;
            let probing = match r.breaker {
                CircuitBreaker::Closed => false,
                CircuitBreaker::Open(until) => until > now || r.conns > 0,
            };
            if open && !probing && best.is_none_or(|b| (r.conns, draw) < (b.0, b.1)) {
                best = Some((r.conns, draw, n));
            }
        }
        best.map(|b| b.2)
    }

    fn unreadable(&mut self, now: Instant, id: ConnectionId) {
        let Some(conn) = self.remove(id) else { return };
        self.out.push_back(Action::Close(id));
        match conn.stage {
            ConnectionState::Busy(exchange) => self.ended(now, exchange, AttemptOutcome::MalformedResponse),
            ConnectionState::Idle => self.lost = true,
            ConnectionState::Connecting | ConnectionState::Starting => self.failed(now, conn.router, false),
        }
    }

    fn said(&mut self, now: Instant, id: ConnectionId, said: ServerMessage) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let router = conn.router;
        match (&mut conn.stage, said) {
            (ConnectionState::Connecting, _) => self.unreadable(now, id),
            (ConnectionState::Starting, ServerMessage::Ready) => {
                conn.stage = ConnectionState::Idle;
                self.pending -= 1;
                let r = &mut self.routers[router];
                (r.breaker, r.failures, r.ejections, r.rest) = (CircuitBreaker::Closed, 0, 0, None);
                (self.full, self.lost, self.gate) = (0, false, None);
                self.rest(now, id);
            }
            (ConnectionState::Starting, ServerMessage::Error { code, .. }) => {
                // Full, or on its way out: it is told apart from one that is not there.
                self.close(id);
                if code == "53300" || code == "57P03" {
                    self.full = (self.full + 1).min(FULL_DOUBLINGS);
                    let span = self.config.reconnect_spread * (1 << self.full);
                    let wait = span.mul_f64(self.rng.f64());
                    self.routers[router].rest = Some(now + wait);
                    self.lost = true;
                } else {
                    self.failed(now, router, false);
                }
            }
            (ConnectionState::Starting, _) => {}
            (ConnectionState::Idle, ServerMessage::Token(_)) => {}
            // Between two requests nothing is due; a farewell, most likely.
            (ConnectionState::Idle, _) => {
                self.close(id);
                self.lost = true;
            }
            (ConnectionState::Busy(exchange), ServerMessage::Description) => exchange.begun = true,
            (ConnectionState::Busy(exchange), ServerMessage::Token(token)) => {
                // An early one comes as the statement goes out: it was read.
                exchange.begun = true;
                let job = self.jobs.get_mut(&exchange.request);
                if let Some((job, session)) = job.and_then(|j| j.request.session.clone().map(|s| (j, s))) {
                    session.token(&mut job.brought, token);
                }
            }
            (ConnectionState::Busy(exchange), ServerMessage::Row(value))
                if exchange.row.is_none() && !exchange.whole =>
            {
                (exchange.row, exchange.begun) = (Some(value), true);
            }
            (ConnectionState::Busy(exchange), ServerMessage::Complete)
                if exchange.row.is_some() && !exchange.whole =>
            {
                exchange.whole = true
            }
            (ConnectionState::Busy(exchange), ServerMessage::Error { fatal, code, message, detail })
                if exchange.error.is_none() =>
            {
                let after = || detail.and_then(|d| d.trim().parse().ok()).map(Duration::from_millis);
                exchange.error = Some(match code.as_str() {
                    "53300" | "57P03" => AttemptOutcome::Rejected(after()),
                    // Ahead of all else it proves that the statement was not read.
                    "57P01" if fatal && !exchange.begun => AttemptOutcome::CloseNotice,
                    _ => AttemptOutcome::Error(code.clone()),
                });
                if is_statement_error(&code) {
                    exchange.invalid = Some(InvalidRequest { code, message });
                }
                exchange.begun = true;
                if fatal {
                    self.over(now, id, true);
                }
            }
            (ConnectionState::Busy(exchange), ServerMessage::Ready)
                if exchange.whole || exchange.error.is_some() =>
            {
                self.over(now, id, false)
            }
            (ConnectionState::Busy(_), _) => self.unreadable(now, id),
        }
    }

    /// An answer is whole.
    fn over(&mut self, now: Instant, id: ConnectionId, fatal: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let router = conn.router;
        let ConnectionState::Busy(exchange) = std::mem::replace(&mut conn.stage, ConnectionState::Idle)
        else {
            return;
        };
        self.routers[router].out -= 1;
        self.routers[router].failures = 0;
        let end = exchange.error.clone().unwrap_or(AttemptOutcome::Served);
        // An answer to half a statement is about something else.
        if fatal || exchange.written() != WriteProgress::Complete {
            self.close(id);
        } else {
            self.rest(now, id);
        }
        self.ended(now, exchange, end);
    }

    /// A connection falls idle, unless its time has come.
    fn rest(&mut self, now: Instant, id: ConnectionId) {
        match self.conns.get(&id).is_some_and(|c| c.expires <= now) {
            true => self.close(id),
            false => {
                self.idle.insert(id);
                self.set_timer(id, Some(now + self.config.idle_timeout));
            }
        }
    }

    // ---- Requests ----

    /// What is out for a request is given up; whether the request may have run.
    fn drop_try(&mut self, now: Instant, id: RequestId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let conn = job.conn.take().and_then(|c| self.remove(c).map(|conn| (c, conn)));
        if let Some((conn_id, Connection { router, stage: ConnectionState::Busy(exchange), .. })) = conn {
            // An answer that comes late must not meet the next request.
            self.out.push_back(Action::Close(conn_id));
            let end = AttemptOutcome::Abandoned(exchange.written());
            self.note(now, id, router, end);
        }
        self.jobs
            .get(&id)
            .is_some_and(|j| j.request.idempotency != Idempotency::Idempotent && j.doubt.is_some())
    }

    /// Notes how the last try ended.
    fn note(&mut self, now: Instant, id: RequestId, router: usize, end: AttemptOutcome) {
        let addr = self.routers[router].addr;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(last) = job.tries.last_mut().filter(|t| t.router == addr) else { return };
        last.took = now.saturating_duration_since(last.began);
        let began = last.began;
        let doubtful = !end.proves_not_run() && end != AttemptOutcome::Served;
        last.end = end;
        if doubtful && job.doubt.is_none() {
            job.doubt = Some(began);
            // A repeat is dropped inside the window only, and `d` tells all that carry it until when that is.
            if let Idempotency::Keyed(window) = job.request.idempotency {
                self.deadlines.remove(&(job.request.deadline, id));
                job.request.deadline = job.request.deadline.min(began + window);
                self.deadlines.insert((job.request.deadline, id));
            }
        }
    }

    fn forget(&mut self, id: RequestId) -> Option<PendingRequest> {
        let job = self.jobs.remove(&id)?;
        self.ready.remove(&id);
        self.later.remove(&(job.ready_at, id));
        self.deadlines.remove(&(job.request.deadline, id));
        if let Some(session) = job.request.session.as_ref().filter(|_| job.session_out) {
            session.end();
        }
        Some(job)
    }

    fn finish(&mut self, now: Instant, id: RequestId, end: RequestOutcome) {
        let Some(job) = self.forget(id) else { return };
        let took = now.saturating_duration_since(job.begun);
        self.out
            .push_back(Action::Done(id, RequestReport { outcome: end, attempts: job.tries, elapsed: took }));
    }

    /// Ends all that is past its deadline, before anything else is done.
    fn expire(&mut self, now: Instant) {
        while let Some((_, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            let may_have_run = self.drop_try(now, id);
            self.finish(
                now,
                id,
                if may_have_run { RequestOutcome::MayHaveRun } else { RequestOutcome::DeadlineExceeded },
            );
        }
    }

    /// What an answer of this class takes, when it comes quickly.
    fn least(&self, class: &str) -> Duration {
        let quick = self.quick.get(class).copied().unwrap_or(0.0);
        LEAST_LEFT.max(Duration::from_secs_f64(quick))
    }

    /// A try has ended by itself: the request is done, or goes on if its idempotency, its time and the budget
    /// allow.
    fn ended(&mut self, now: Instant, exchange: Exchange, end: AttemptOutcome) {
        let id = exchange.request;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.conn = None;
        let addr = job.tries.last().map(|t| t.router);
        let router = self.routers.iter().position(|r| Some(r.addr) == addr).unwrap_or(0);
        self.note(now, id, router, end.clone());
        let Some(job) = self.jobs.get(&id) else { return };
        if end == AttemptOutcome::Served {
            let (class, took) = (job.request.class.clone(), job.tries.last().map(|t| t.took));
            self.learn(class, took.unwrap_or_default());
            return self.finish(now, id, RequestOutcome::Served(exchange.row.flatten()));
        }
        if let Some(invalid) = exchange.invalid {
            return self.finish(now, id, RequestOutcome::Invalid(invalid));
        }
        let (idempotency, priority, deadline) =
            (job.request.idempotency, job.request.priority, job.request.deadline);
        let (doubt, tries, least) = (job.doubt, job.tries.len() as u32, self.least(&job.request.class));
        let given_up = match &end {
            _ if idempotency != Idempotency::Idempotent && doubt.is_some() => RequestOutcome::MayHaveRun,
            AttemptOutcome::Rejected(after) => RequestOutcome::Rejected(*after),
            _ if doubt.is_none() => RequestOutcome::Rejected(None),
            _ => RequestOutcome::Failed,
        };
        if idempotency == Idempotency::NonIdempotent && doubt.is_some() {
            return self.finish(now, id, RequestOutcome::MayHaveRun);
        }
        let draw = self.rng.f64();
        let wait = match &end {
            AttemptOutcome::Rejected(after) => {
                after.unwrap_or_default().max(REST).mul_f64(1.0 + JITTER * draw)
            }
            _ if end.may_have_reached_router() => (REST * (1 << tries.min(4))).mul_f64(0.5 + draw),
            _ => Duration::ZERO,
        };
        // Far enough off to pass no deadline, and near enough to be a time at all.
        let ready_at = now + wait.min(Duration::from_secs(86_400));
        if ready_at + least >= deadline || (end.may_have_reached_router() && !self.spend(priority)) {
            return self.finish(now, id, given_up);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ready_at = ready_at;
            match ready_at <= now {
                true => self.ready.insert(id),
                false => self.later.insert((ready_at, id)),
            };
        }
    }

    /// Takes a further try from the store.
    fn spend(&mut self, priority: Priority) -> bool {
        let kept = match priority {
            Priority::Low => 0.75,
            Priority::Normal => 0.5,
            Priority::High => 0.0,
        };
        // A store too small for shares is there for all.
        let kept = if self.config.retry_budget_capacity < 4.0 {
            0.0
        } else {
            kept * self.config.retry_budget_capacity
        };
        let allowed = self.store - 1.0 >= kept;
        match allowed {
            true => self.store -= 1.0,
            false => self.counts.over_budget += 1,
        }
        allowed
    }

    fn learn(&mut self, class: String, took: Duration) {
        if self.quick.len() >= CLASSES && !self.quick.contains_key(&class) {
            return;
        }
        let took = took.as_secs_f64();
        let quick = self.quick.entry(class).or_insert(took);
        *quick += (took - *quick) * if took < *quick { QUICKER } else { SLOWER };
    }

    /// Begins what can begin.
    fn pump(&mut self, now: Instant) {
        self.now = self.now.max(Some(now));
        self.expire(now);
        while let Some((at, id)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.remove(&(at, id));
            let Some(conn) = self.conns.get_mut(&id) else { continue };
            conn.timer = None;
            let (router, idle) = (conn.router, matches!(conn.stage, ConnectionState::Idle));
            self.close(id);
            if !idle {
                self.failed(now, router, false);
            }
        }
        while let Some((at, id)) = self.later.first().copied().filter(|t| t.0 <= now) {
            self.later.remove(&(at, id));
            self.ready.insert(id);
        }
        let mut from = RequestId(0);
        while !self.idle.is_empty() {
            let Some(id) = self.ready.range(from..).next().copied() else { break };
            from = RequestId(id.0 + 1);
            self.begin(now, id);
        }
        self.reconnect(now);
    }

    /// Sends a request on the idle connection of the router with fewest outstanding, if it may go now.
    fn begin(&mut self, now: Instant, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let deadline = job.request.deadline;
        if now + self.least(&job.request.class) >= deadline {
            let end = match job.request.idempotency != Idempotency::Idempotent && job.doubt.is_some() {
                true => RequestOutcome::MayHaveRun,
                false => RequestOutcome::DeadlineExceeded,
            };
            return self.finish(now, id, end);
        }
        let out =
            |conn: &ConnectionId| self.conns.get(conn).map_or(usize::MAX, |c| self.routers[c.router].out);
        // Of one router, the connection used last: the others can go.
        let Some(conn_id) = self.idle.iter().rev().copied().min_by_key(out) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (mut name, mut tokens) = (String::new(), Vec::new());
        if let Some(session) = &job.request.session {
            if job.session_out {
                session.end();
                job.session_out = false;
            }
            let Some(held) = session.begin() else { return };
            job.session_out = true;
            (name, tokens) = (session.name(), held);
        }
        job.brought = tokens.clone();
        let random = self.rng.u64(..1 << 53);
        let wire_id = (random << 11) ^ self.next ^ (self.counts.tries << 3);
        self.idle.remove(&conn_id);
        self.set_timer(conn_id, None);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let left = deadline.saturating_duration_since(now).as_millis() as u64;
        let bytes = query(&job.request, wire_id, left, !job.tries.is_empty(), &name, &tokens);
        let Some(conn) = self.conns.get_mut(&conn_id) else { return };
        let router = conn.router;
        let total = bytes.len();
        conn.stage = ConnectionState::Busy(Exchange {
            request: id,
            left: total,
            total,
            row: None,
            whole: false,
            error: None,
            invalid: None,
            begun: false,
        });
        self.routers[router].out += 1;
        self.counts.tries += 1;
        job.conn = Some(conn_id);
        let (addr, end) = (self.routers[router].addr, AttemptOutcome::Abandoned(WriteProgress::Unsent));
        job.tries.push(AttemptRecord { router: addr, began: now, took: Duration::ZERO, end });
        self.ready.remove(&id);
        self.out.push_back(Action::Write(conn_id, bytes, Some(deadline)));
    }

    /// Opens connections for those that wait, within the gate.
    fn reconnect(&mut self, now: Instant) {
        let Some(first) = self.ready.first().and_then(|id| self.jobs.get(id)) else { return };
        let left = first.request.deadline.saturating_duration_since(now);
        if self.pending >= self.ready.len() {
            return;
        }
        if std::mem::take(&mut self.lost) && self.gate.is_none_or(|at| at <= now) {
            // Nobody knows how many others have lost the same router: all spread over the slack they have.
            let span = (self.config.reconnect_spread * (1 << self.full)).min(left.mul_f64(SLACK));
            let wait = span.mul_f64(self.rng.f64());
            self.gate = Some(now + wait);
        }
        if self.gate.is_some_and(|at| at > now) {
            return;
        }
        while self.pending < self.ready.len() {
            let Some(router) = self.router(now) else { return };
            self.open(now, router);
        }
    }
}

impl Router {
    /// When it may be asked for a connection again, if it may not now.
    fn opens(&self) -> Option<Instant> {
        match self.breaker {
            CircuitBreaker::Open(until) if self.conns == 0 => Some(until.max(self.rest.unwrap_or(until))),
            _ => self.rest,
        }
    }
}
