//! Maps messages and the decisions' events onto each other; owns the decisions, requests, attempts and
//! timers. Free of I/O: an input with its time goes in, effects come out. It decides nothing.

mod clock;
mod counters;
mod endpoints;
mod fleet_limits;
mod outcomes;
mod proxy_leases;
mod request_table;
mod sessions;
mod system_clock;
mod timers;

pub use clock::Clock;
pub use counters::RequestCounters;
pub use fleet_limits::FleetInput;

use crate::protocol::discovery::HostList;
use crate::protocol::host::{QueryOutcome, ReportedState, Row};
use crate::protocol::statement::{Statement, StatementError};
use basalthill_config::settings::{Deployment, LoadReportSource};
use basalthill_extproc::{DecisionRequest, LeaseCoordinator, LeaseId, LeaseOutcome, ProxyReply, StreamId};
use basalthill_fleet::{Budget, LimitKey};
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use basalthill_session::{SessionCounts, Sessions};
use endpoints::EndpointTable;
use fleet_limits::FleetLimits;
use outcomes::{
    is_statement_error, replication_state, session_identity, status_for_sqlstate, time_from_unix_ms,
};
use request_table::{InFlightExchange, OpenRequest, ProbeTable, RequestTable};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use system_clock::SystemClockOffset;
use timers::{Timer, TimerKey, Timers};

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A command of a connection: its number there. Several may be out at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandId(pub u64);

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Who asks.
    pub client: ClientId,
    /// Which of its commands this is.
    pub command: CommandId,
    /// What it asks.
    pub statement: Box<Statement>,
    /// When the command's last byte came: it may have waited behind others since.
    pub arrived_at: Time,
}

/// One attempt of a request, or one probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExchangeId {
    /// An attempt of a request.
    Attempt(RequestId, Attempt),
    /// A probe, by its number.
    Probe(u64),
}

/// How an exchange with a host ended, as transport saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeResult {
    /// The host answered the query.
    Answered(QueryOutcome, ReportedState),
    /// The host would not have the connection: an ErrorResponse with this SQLSTATE during startup.
    ConnectionRejected(String),
    /// No connection, or it broke before the request's last byte was written.
    NotSent,
    /// It was not written, as a drain's grace had passed or this router had nothing left for a connection:
    /// neither the host's fault nor a failed connection.
    Skipped,
    /// The connection broke after that.
    ConnectionLost,
    /// The host answered, but not so that it could be read.
    MalformedResponse,
}

/// What comes in.
#[derive(Debug)]
pub enum Input {
    /// A client's connection has been accepted.
    ClientConnected(ClientId),
    /// A client's request.
    Request(ClientRequest),
    /// A client has gone away, or is gone already.
    ClientDisconnected(ClientId),
    /// An exchange has ended.
    ExchangeFinished(ExchangeId, ExchangeResult),
    /// A client calls off its first request that is still open, and stays.
    CancelRequested(ClientId),
    /// Discovery has told something, and since when it may count as told.
    EndpointList {
        /// The list, full or changes only.
        list: HostList,
        /// Since when what it says may have held.
        valid_since: Time,
    },
    /// Another proxy says something on a stream of its own.
    Proxy(StreamId, ProxyMessage),
    /// Another router says something, or an operator asks.
    Fleet(FleetInput),
    /// Timers that are due may fire.
    Tick,
    /// The program is about to end: what is unanswered is failed.
    Shutdown,
}

/// What another proxy says.
#[derive(Clone, Debug)]
pub enum ProxyMessage {
    /// It asks which member takes a request.
    Request(DecisionRequest),
    /// It tells what came of a lease.
    Outcome {
        /// Which lease.
        lease: LeaseId,
        /// How it ended.
        outcome: LeaseOutcome,
        /// What the member's answer says of its replication.
        replication: ReplicationState,
    },
    /// Its stream has ended.
    StreamClosed,
}

/// What a client gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The row that a host gave for this request.
    Served(Row),
    /// Turned away: trying again does no harm, after so many milliseconds if told.
    Rejected {
        /// In how many milliseconds to retry, if that is known.
        retry_after_ms: Option<u64>,
    },
    /// ExchangeResult without a promise.
    Failed,
    /// Called off by the client itself: ended without a promise.
    Cancelled,
    /// Not a request of ours.
    Invalid(StatementError),
}

/// What is to be written for an exchange.
#[derive(Clone, Debug)]
pub enum Query {
    /// A client's statement, until when the router will wait, and where floors are ours to tell, the floor of
    /// its read as a Unix time in milliseconds.
    Statement {
        /// The statement as its client sent it.
        statement: Rc<Statement>,
        /// Until when the router will wait.
        deadline: Time,
        /// The floor of its read, Unix time in ms.
        floor_ms: Option<u64>,
    },
    /// A query of our own.
    HealthCheck(&'static str),
}

/// An exchange that is to begin.
#[derive(Clone, Debug)]
pub struct ExchangeStart {
    /// Which it is.
    pub id: ExchangeId,
    /// With which member.
    pub member: MemberId,
    /// Who waits for it; nobody for a probe.
    pub client: Option<ClientId>,
    /// Where that listens.
    pub addr: SocketAddr,
    /// What is to be written.
    pub query: Query,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Begin an exchange.
    StartExchange(ExchangeStart),
    /// Give an exchange up.
    AbortExchange(ExchangeId),
    /// Hand a client its session's token, before its answer or with it.
    SessionToken {
        /// Who gets it.
        client: ClientId,
        /// The token, as clients send it back.
        token: String,
    },
    /// Tell another proxy; the address goes with a member.
    ProxyReply(StreamId, ProxyReply, Option<SocketAddr>),
    /// Send a datagram to another router or an operator.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// The sealed packet.
        bytes: Vec<u8>,
    },
    /// Answer a client's command.
    Answer {
        /// Whose.
        client: ClientId,
        /// Which of its commands.
        command: CommandId,
        /// What it gets.
        answer: Answer,
    },
    /// Close the idle connections to an address.
    CloseIdleConnections(SocketAddr),
    /// Close those to an address that have been idle since before a time: their process has ended by then.
    CloseConnectionsIdleSince {
        /// Where their host listens.
        addr: SocketAddr,
        /// Idle since before this.
        before: Time,
    },
}

/// A router without its sockets.
pub struct Router {
    policy: Policy,
    deployment: Deployment,
    sessions: Sessions,
    /// Calls of other proxies, where they are served.
    coordinator: Option<LeaseCoordinator>,
    /// Limits over all routers, where there are any.
    fleet_limits: Option<FleetLimits>,
    endpoints: EndpointTable,
    /// Where Unix times lie on the clock by which inputs come.
    system_clock: SystemClockOffset,
    /// When each client's connection was accepted.
    accepted_at: BTreeMap<ClientId, Time>,
    requests: RequestTable,
    probes: ProbeTable,
    timers: Timers,
    counters: RequestCounters,
    /// The program is about to end: nothing more is sent on.
    shutting_down: bool,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Router {
    /// A router that has just started with the list as it last had it.
    pub fn new(
        now: Time,
        deployment: Deployment,
        sessions: Sessions,
        seed: u64,
        known: Option<HostList>,
        out: &mut Vec<Effect>,
    ) -> Router {
        let policy = Policy::new(deployment.settings.clone(), seed);
        let endpoints = EndpointTable::new(&deployment.zones, deployment.settings.only_draining_binds);
        let mut router = Router {
            policy,
            deployment,
            sessions,
            coordinator: None,
            fleet_limits: None,
            endpoints,
            system_clock: SystemClockOffset::default(),
            accepted_at: BTreeMap::new(),
            requests: RequestTable::default(),
            probes: ProbeTable::default(),
            timers: Timers::default(),
            counters: RequestCounters::default(),
            shutting_down: false,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let entries =
            known.map(|list| router.endpoints.apply(now, router.system_clock, list, &mut Vec::new()).1);
        let entries = entries.unwrap_or_default();
        router.events.push_back(Event::Endpoints(EndpointUpdate::Cached, entries));
        router.run(now, out);
        router
    }

    /// Takes note of how far the system's clock is ahead of the one by which inputs come. Once it has been
    /// set, positions told before can't be compared with those told from then on, and starts count by
    /// whichever clock makes them later.
    pub fn observe_system_clock(&mut self, now: Time, offset_ns: i64, out: &mut Vec<Effect>) {
        if self.system_clock.update(offset_ns) {
            log::warn!(
                "the system's clock has been set: {} ms from where it was",
                self.system_clock.offset_ms()
            );
            self.events.push_back(Event::ClockSet);
            let restarted = self.endpoints.move_starts_later(self.system_clock);
            self.events.push_back(Event::Endpoints(EndpointUpdate::Delta, restarted));
            self.run(now, out);
        }
    }

    /// A time as a Unix time.
    pub fn unix_time(&self, now: Time) -> Time {
        self.system_clock.to_unix_time(now)
    }

    /// Takes an input; appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ClientConnected(client) => drop(self.accepted_at.insert(client, now)),
            Input::Request(request) if self.shutting_down => {
                self.counters.rejected += 1;
                out.push(Effect::Answer {
                    client: request.client,
                    command: request.command,
                    answer: Answer::Rejected { retry_after_ms: None },
                });
            }
            Input::Request(request) => {
                if let Some((id, keys)) = self.accept_request(now, request, out) {
                    self.run(now, out);
                    self.record_admission(id, &keys);
                }
            }
            Input::ClientDisconnected(client) => {
                self.accepted_at.remove(&client);
                for id in self.requests.release_client(client) {
                    self.counters.abandoned += 1;
                    self.close(now, id);
                    self.events.push_back(Event::ClientGone(id));
                }
            }
            Input::CancelRequested(client) => {
                if let Some((command, id)) = self.requests.release_first(client) {
                    self.counters.abandoned += 1;
                    self.note_unknown_outcome(now, id, out);
                    self.close(now, id);
                    out.push(Effect::Answer { client, command, answer: Answer::Cancelled });
                    self.events.push_back(Event::ClientGone(id));
                }
            }
            Input::ExchangeFinished(exchange, ended) => self.exchange_finished(now, exchange, ended, out),
            Input::EndpointList { list, valid_since } => {
                let mut ended = Vec::new();
                let (form, entries) =
                    self.endpoints.apply(valid_since.min(now), self.system_clock, list, &mut ended);
                out.extend(
                    ended
                        .into_iter()
                        .map(|(addr, at)| Effect::CloseConnectionsIdleSince { addr, before: at }),
                );
                self.events.push_back(Event::Endpoints(form, entries));
                self.update_limited_members(now);
            }
            Input::Fleet(input) => self.handle_fleet_input(now, input, out),
            Input::Proxy(stream, message) => self.handle_proxy_message(now, stream, message, out),
            Input::Tick => self.fire_due_timers(now, out),
            Input::Shutdown => {
                self.shutting_down = true;
                for ((client, command), id) in self.requests.release_all() {
                    self.note_unknown_outcome(now, id, out);
                    self.close(now, id);
                    out.push(Effect::Answer { client, command, answer: Answer::Failed });
                    self.events.push_back(Event::ClientGone(id));
                }
            }
        }
        self.run(now, out);
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Time> {
        let lease = self.coordinator.as_ref().and_then(LeaseCoordinator::next_due);
        let fleet = self.fleet_limits.as_ref().map(|l| l.fleet.next_due());
        self.timers.next().into_iter().chain(lease).chain(fleet).min()
    }

    /// Whether an exchange's query may still be written. The decisions keep a drain's grace when they send,
    /// but a connection can come up after it has passed, or after the request has ended: its client may have
    /// gone meanwhile.
    pub fn may_write(&self, now: Time, exchange: ExchangeId, member: MemberId) -> bool {
        let grace = self.deployment.settings.drain_grace;
        let awaited = match exchange {
            ExchangeId::Attempt(id, _) => self.requests.get(id).is_some_and(|open| !open.answered),
            ExchangeId::Probe(_) => true,
        };
        awaited
            && self.endpoints.draining_since(member).is_none_or(|notified_at| now < notified_at.plus(grace))
    }

    /// Requests without an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    /// What has happened since this was last read.
    pub fn take_request_counters(&mut self) -> RequestCounters {
        std::mem::take(&mut self.counters)
    }

    /// How this router keeps its sessions.
    pub fn sessions(&mut self) -> &mut Sessions {
        &mut self.sessions
    }

    /// What has been counted of sessions since this was last read.
    pub fn take_session_counts(&mut self) -> SessionCounts {
        self.sessions.take_counts()
    }

    /// Requests, probes and timers on the books; the decisions' own timer is among the last.
    pub fn books(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.probes.len(), self.timers.len())
    }

    /// Hands events to the decisions until none are left, and carries their actions over.
    fn run(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let event = self.with_current_capacity(now, event);
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        let of = match &action {
            Action::Send(id, ..) | Action::Reject(id, _) | Action::Fail(id) | Action::Cancel(id, _) => {
                Some(*id)
            }
            _ => None,
        };
        if of.is_some_and(LeaseCoordinator::owns) {
            return self.apply_proxy_action(now, &action, out);
        }
        match action {
            Action::Send(id, member, limit) => self.start_attempt(now, id, member, limit, out),
            Action::Reject(id, after) => {
                self.note_missed_retry(id);
                let ms = after.map(|t| t.0.div_ceil(1_000_000));
                self.note_unknown_outcome(now, id, out);
                self.answer_client(now, id, Answer::Rejected { retry_after_ms: ms }, out);
            }
            Action::Fail(id) => {
                self.note_missed_retry(id);
                self.note_unknown_outcome(now, id, out);
                self.answer_client(now, id, Answer::Failed, out);
            }
            Action::Cancel(id, attempt) => {
                if let Some(exchange) = self.take_attempt(id, attempt) {
                    out.push(Effect::AbortExchange(ExchangeId::Attempt(id, attempt)));
                    self.record_attempt_outcome(
                        now,
                        id,
                        attempt,
                        exchange,
                        Status::Cancelled,
                        ReportedState::default(),
                    );
                }
            }
            Action::Timer(after, token) => {
                self.timers.add(now.plus(after), Timer::Policy(token));
            }
            Action::Probe(member) => {
                let Some(addr) = self.endpoints.addr(member) else {
                    let none = ReplicationState::default();
                    return self.events.push_back(Event::ProbeFinished {
                        member,
                        status: Status::ConnectFailed,
                        took: Time(0),
                        report: none,
                    });
                };
                self.spend_budget(now, Budget::Probes);
                let (timers, due) = (&mut self.timers, now.plus(self.deployment.connect_timeout));
                let number = self.probes.insert(|number| InFlightExchange {
                    member,
                    sent_at: now,
                    timer: timers.add(due, Timer::Probe(number)),
                });
                let text = if self.deployment.load_reports == LoadReportSource::None {
                    "SELECT 1"
                } else {
                    "SHOW vitals"
                };
                let (id, query) = (ExchangeId::Probe(number), Query::HealthCheck(text));
                out.push(Effect::StartExchange(ExchangeStart { id, member, client: None, addr, query }));
            }
            Action::CloseIdle(member) => {
                out.extend(self.endpoints.addr(member).map(Effect::CloseIdleConnections))
            }
            // A watch is always kept, and tells each change by itself: the whole list costs a discovery that
            // all routers share what others wait for.
            Action::WatchEndpoints | Action::PollEndpoints => {}
            Action::Log(line) => log::info!("{line}"),
        }
    }

    /// A client's request; its number, and the limits that count it.
    fn accept_request(
        &mut self,
        now: Time,
        request: ClientRequest,
        out: &mut Vec<Effect>,
    ) -> Option<(RequestId, Vec<LimitKey>)> {
        let ClientRequest { client, command, statement, arrived_at } = request;
        let named = |names: &[String], word: &[u8]| names.iter().position(|n| n.as_bytes() == word);
        let group = GroupId(statement.group);
        let mut invalid = |what: &str| {
            self.counters.invalid += 1;
            let error = StatementError { code: "22023", message: what.into() };
            Effect::Answer { client, command, answer: Answer::Invalid(error) }
        };
        let Some(class) = named(&self.deployment.classes, statement.class()) else {
            out.push(invalid("the class is unknown"));
            return None;
        };
        // Without any list yet, that says nothing: the decisions turn it away, and it may come again.
        if self.endpoints.lacks_group(group) {
            out.push(invalid("the cluster is unknown"));
            return None;
        }
        // Two requests of one id could not be told apart at a host, and one would get the other's answer.
        if self.requests.has_client_id(statement.id()) {
            out.push(invalid("the id is that of an open request"));
            return None;
        }
        // A tenant that the settings don't name is one without a share.
        let tenant =
            named(&self.deployment.tenants, statement.tenant()).unwrap_or(self.deployment.tenants.len());
        let id = self.requests.next_id();
        let deadline = arrived_at.min(now).plus(Time::ms(statement.deadline_ms));
        let (tracked, floor) = self.begin_session_request(now, client, &statement, class, group);
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: TenantId(tenant as u16),
            deadline,
            group,
            floor: self.system_clock.to_router_time(floor.position),
            lead: floor.lead,
            client_retry: statement.is_retry,
        };
        let floor_ms = floor.send_to_hosts.then(|| floor.position.0.div_ceil(1_000_000));
        let statement = Rc::from(statement);
        let (answered, served, attempts) = (false, false, Vec::new());
        let open = OpenRequest {
            client,
            command,
            statement,
            deadline,
            group,
            tracked,
            floor_ms,
            answered,
            served,
            attempts,
        };
        self.requests.insert(id, open);
        let (event, keys) = self.request_event(now, request);
        self.events.push_back(event);
        Some((id, keys))
    }

    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        member: MemberId,
        limit: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let most = self.deployment.settings.max_attempts as usize;
        let addr = self.endpoints.addr(member);
        let Some(open) = self.requests.get_mut(id) else {
            // Ended and off the books: it goes nowhere, and that is told.
            let exchange = InFlightExchange { member, sent_at: now, timer: TimerKey::default() };
            return self.record_attempt_outcome(
                now,
                id,
                Attempt(u16::MAX),
                exchange,
                Status::NotSent,
                ReportedState::default(),
            );
        };
        let attempt = Attempt(open.attempts.len() as u16);
        if open.answered || open.attempts.len() >= most || now >= open.deadline {
            open.attempts.push(None);
            let exchange = InFlightExchange { member, sent_at: now, timer: TimerKey::default() };
            return self.record_attempt_outcome(
                now,
                id,
                attempt,
                exchange,
                Status::NotSent,
                ReportedState::default(),
            );
        }
        let Some(addr) = addr else {
            open.attempts.push(None);
            let exchange = InFlightExchange { member, sent_at: now, timer: TimerKey::default() };
            return self.record_attempt_outcome(
                now,
                id,
                attempt,
                exchange,
                Status::ConnectFailed,
                ReportedState::default(),
            );
        };
        let left = open.deadline.since(now);
        let wait = limit.unwrap_or(left).min(left);
        let timer = self.timers.add(now.plus(wait), Timer::Attempt(id, attempt));
        open.attempts.push(Some(InFlightExchange { member, sent_at: now, timer }));
        let query = Query::Statement {
            statement: Rc::clone(&open.statement),
            deadline: now.plus(wait),
            floor_ms: open.floor_ms,
        };
        if let Some(tracked) = open.tracked.as_ref().filter(|b| b.is_write && attempt == Attempt(0)) {
            let identity = session_identity(&self.sessions, &open.statement);
            let token = self.sessions.early_token(
                self.system_clock.to_unix_time(now),
                identity,
                open.group,
                tracked,
                self.system_clock.to_unix_time(now.plus(wait)),
            );
            out.extend(token.map(|t| Effect::SessionToken { client: open.client, token: t }));
        }
        let (exchange, client) = (ExchangeId::Attempt(id, attempt), Some(open.client));
        out.push(Effect::StartExchange(ExchangeStart { id: exchange, member, client, addr, query }));
        self.occupy_member_slot(now, id, attempt, member, now.plus(wait));
        if attempt > Attempt(0) {
            self.spend_budget(now, Budget::Retries);
        }
    }

    fn exchange_finished(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        result: ExchangeResult,
        out: &mut Vec<Effect>,
    ) {
        match exchange {
            ExchangeId::Attempt(id, attempt) => {
                let Some(exchange) = self.take_attempt(id, attempt) else { return };
                let (status, reported) = match result {
                    ExchangeResult::Answered(QueryOutcome::Row(row), reported) => {
                        self.note_session_served(now, id, reported.position_ms.map(time_from_unix_ms), out);
                        self.answer_client(now, id, Answer::Served(row), out);
                        (Status::Ok, reported)
                    }
                    ExchangeResult::Answered(QueryOutcome::Error(code), reported)
                        if is_statement_error(&code) =>
                    {
                        let error = StatementError { code: "22023", message: "a host can't use it".into() };
                        self.answer_client(now, id, Answer::Invalid(error), out);
                        (Status::NotSent, reported)
                    }
                    ExchangeResult::Answered(QueryOutcome::Error(code), reported) => {
                        (status_for_sqlstate(&code), reported)
                    }
                    ExchangeResult::Answered(QueryOutcome::Empty, reported) => (Status::Error, reported),
                    ExchangeResult::ConnectionRejected(code) if code == "53300" => {
                        (Status::Overloaded, ReportedState::default())
                    }
                    ExchangeResult::ConnectionRejected(_) | ExchangeResult::NotSent => {
                        (Status::ConnectFailed, ReportedState::default())
                    }
                    ExchangeResult::Skipped => (Status::NotSent, ReportedState::default()),
                    ExchangeResult::ConnectionLost => (Status::Reset, ReportedState::default()),
                    // It may have run, like an error; the member is there, and answers.
                    ExchangeResult::MalformedResponse => (Status::Error, ReportedState::default()),
                };
                self.record_attempt_outcome(now, id, attempt, exchange, status, reported);
            }
            ExchangeId::Probe(number) => {
                let Some(exchange) = self.take_probe(number) else { return };
                let (status, report) = match result {
                    ExchangeResult::Answered(QueryOutcome::Row(row), _) => {
                        let value = row.value.clone().map(|v| &row.bytes[v]).unwrap_or_default();
                        (
                            Status::Ok,
                            replication_state(
                                &self.deployment.report_columns,
                                std::str::from_utf8(value).unwrap_or_default(),
                            ),
                        )
                    }
                    ExchangeResult::Answered(..) => (Status::Error, ReplicationState::default()),
                    ExchangeResult::ConnectionRejected(code) if code == "53300" => {
                        (Status::Overloaded, ReplicationState::default())
                    }
                    ExchangeResult::ConnectionRejected(_) | ExchangeResult::NotSent => {
                        (Status::ConnectFailed, ReplicationState::default())
                    }
                    ExchangeResult::Skipped => (Status::NotSent, ReplicationState::default()),
                    ExchangeResult::ConnectionLost => (Status::Reset, ReplicationState::default()),
                    ExchangeResult::MalformedResponse => (Status::Error, ReplicationState::default()),
                };
                self.record_probe_outcome(now, exchange, status, report);
            }
        }
    }

    /// Fires the timers that are due now; those set meanwhile wait for the next time.
    fn fire_due_timers(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(coordinator) = &mut self.coordinator {
            let mut outputs = Vec::new();
            coordinator.tick(now, &mut outputs);
            self.apply_coordinator_outputs(outputs, out);
            self.run(now, out);
        }
        self.fire_fleet_timer(now, out);
        self.run(now, out);
        for (key, timer) in self.timers.due(now) {
            match timer {
                Timer::Policy(token) => {
                    self.timers.cancel(key);
                    self.events.push_back(Event::Timer(token));
                }
                Timer::Attempt(id, attempt) => {
                    if let Some(exchange) = self.take_attempt(id, attempt) {
                        out.push(Effect::AbortExchange(ExchangeId::Attempt(id, attempt)));
                        self.record_attempt_outcome(
                            now,
                            id,
                            attempt,
                            exchange,
                            Status::Timeout,
                            ReportedState::default(),
                        );
                    }
                }
                Timer::Probe(number) => {
                    if let Some(exchange) = self.take_probe(number) {
                        out.push(Effect::AbortExchange(ExchangeId::Probe(number)));
                        self.record_probe_outcome(
                            now,
                            exchange,
                            Status::Timeout,
                            ReplicationState::default(),
                        );
                    }
                }
            }
            self.run(now, out);
        }
    }

    /// The final answer: the client gets it unless it has had one.
    fn answer_client(&mut self, now: Time, id: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get(id).filter(|o| !o.answered) else { return };
        match answer {
            Answer::Served(_) => self.counters.served += 1,
            Answer::Rejected { .. } => self.counters.rejected += 1,
            Answer::Failed | Answer::Cancelled => self.counters.failed += 1,
            Answer::Invalid(_) => self.counters.invalid += 1,
        }
        let (client, command) = (open.client, open.command);
        self.requests.release(client, command);
        out.push(Effect::Answer { client, command, answer });
        self.close(now, id);
    }

    /// A request has ended; its row goes once no attempt is out.
    fn close(&mut self, now: Time, id: RequestId) {
        if let Some(OpenRequest { group, tracked: Some(tracked), .. }) = self.requests.close(id) {
            self.sessions.end_request(self.system_clock.to_unix_time(now), group, &tracked);
        }
    }

    /// Takes an attempt off the books, if it is out. Its request's row stays for
    /// [`Router::record_attempt_outcome`].
    fn take_attempt(&mut self, id: RequestId, attempt: Attempt) -> Option<InFlightExchange> {
        let exchange = self.requests.take_attempt(id, attempt)?;
        self.timers.cancel(exchange.timer);
        Some(exchange)
    }

    fn take_probe(&mut self, number: u64) -> Option<InFlightExchange> {
        let exchange = self.probes.take(number)?;
        self.timers.cancel(exchange.timer);
        Some(exchange)
    }

    /// Tells the one outcome of an attempt that has been taken off the books.
    fn record_attempt_outcome(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        exchange: InFlightExchange,
        status: Status,
        reported: ReportedState,
    ) {
        self.counters.record_attempt(status);
        self.release_member_slot(now, id, attempt, exchange.member, status);
        if let Some(position) = reported.position_ms {
            self.sessions.observe_position(
                self.system_clock.to_unix_time(now),
                self.system_clock.to_unix_time(exchange.sent_at),
                time_from_unix_ms(position),
            );
        }
        if let Some(open) = self.requests.get_mut(id).filter(|o| !o.served && !status.proves_not_executed()) {
            open.tracked.iter_mut().for_each(|b| b.outcome_unknown = b.is_write);
        }
        let ended = self.requests.get(id).is_none_or(|o| o.answered);
        if ended {
            self.close(now, id);
        }
        let role = reported.primary.map(|p| if p { Role::Primary } else { Role::Replica });
        let replication = self.on_router_clock(ReplicationState {
            position: reported.position_ms.map(time_from_unix_ms),
            role,
        });
        let report = reported
            .load_report
            .as_deref()
            .map(|v| replication_state(&self.deployment.report_columns, v))
            .unwrap_or_default();
        let report = self.on_router_clock(report);
        let took = now.since(exchange.sent_at);
        let outcome = Outcome {
            request: id,
            attempt,
            member: exchange.member,
            status,
            took,
            ended,
            replication,
            report,
        };
        self.events.push_back(Event::Outcome(outcome));
    }

    fn on_router_clock(&self, replication: ReplicationState) -> ReplicationState {
        ReplicationState {
            position: replication.position.map(|p| self.system_clock.to_router_time(p)),
            ..replication
        }
    }

    /// Tells the one outcome of a probe that has been taken off the books.
    fn record_probe_outcome(
        &mut self,
        now: Time,
        exchange: InFlightExchange,
        status: Status,
        report: ReplicationState,
    ) {
        self.counters.probes += 1;
        if let Some(position) = report.position {
            self.sessions.observe_position(
                self.system_clock.to_unix_time(now),
                self.system_clock.to_unix_time(exchange.sent_at),
                position,
            );
        }
        let report = self.on_router_clock(report);
        self.counters.probes_failed += u32::from(status != Status::Ok);
        self.events.push_back(Event::ProbeFinished {
            member: exchange.member,
            status,
            took: now.since(exchange.sent_at),
            report,
        });
    }
}
