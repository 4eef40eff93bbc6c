//! Maps messages and the decisions' events onto each other; owns the decisions, requests, attempts and
//! timers. Free of I/O: an input with its time goes in, effects come out. It decides nothing.

mod clock;
mod limits;
mod members;
mod proxies;
mod requests;
mod sessions;
mod tally;
mod terms;
mod timers;
mod wall;

pub use clock::Clock;
pub use limits::FleetInput;
pub use tally::RequestCounters;

use crate::protocol::discovery::HostList;
use crate::protocol::host::{QueryOutcome, ReportedState, Row};
use crate::protocol::statement::{Statement, StatementError};
use basalthill_config::settings::{Deployment, LoadReportSource};
use basalthill_extproc::{DecisionRequest, LeaseCoordinator, LeaseId, LeaseOutcome, ProxyReply, StreamId};
use basalthill_fleet::{Budget, LimitKey};
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use basalthill_session::{SessionCounts, Sessions};
use limits::Limits;
use members::Members;
use requests::{Exchange, Open, Probes, Requests};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use terms::{by_code, of_the_statement, owner, reported, unix_ms};
use timers::{Timer, TimerKey, Timers};
use wall::Wall;

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
    site: Deployment,
    sessions: Sessions,
    /// Calls of other proxies, where they are served.
    coordinator: Option<LeaseCoordinator>,
    /// Limits over all routers, where there are any.
    limits: Option<Limits>,
    members: Members,
    /// Where Unix times lie on the clock by which inputs come.
    wall: Wall,
    /// When each client's connection was accepted.
    accepted: BTreeMap<ClientId, Time>,
    requests: Requests,
    probes: Probes,
    timers: Timers,
    tally: RequestCounters,
    /// The program is about to end: nothing more is sent on.
    over: bool,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Router {
    /// A router that has just started with the list as it last had it.
    pub fn new(
        now: Time,
        site: Deployment,
        sessions: Sessions,
        seed: u64,
        known: Option<HostList>,
        out: &mut Vec<Effect>,
    ) -> Router {
        let policy = Policy::new(site.settings.clone(), seed);
        let members = Members::new(&site.zones, site.settings.only_draining_binds);
        let mut router = Router {
            policy,
            site,
            sessions,
            coordinator: None,
            limits: None,
            members,
            wall: Wall::default(),
            accepted: BTreeMap::new(),
            requests: Requests::default(),
            probes: Probes::default(),
            timers: Timers::default(),
            tally: RequestCounters::default(),
            over: false,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let entries = known.map(|list| router.members.take(now, router.wall, list, &mut Vec::new()).1);
        let entries = entries.unwrap_or_default();
        router.events.push_back(Event::Endpoints(EndpointUpdate::Cached, entries));
        router.run(now, out);
        router
    }

    /// Takes note of how far the system's clock is ahead of the one by which inputs come. Once it has been
    /// set, positions told before can't be compared with those told from then on, and starts count by
    /// whichever clock makes them later.
    pub fn observe_system_clock(&mut self, now: Time, ahead_ns: i64, out: &mut Vec<Effect>) {
        if self.wall.follow(ahead_ns) {
            log::warn!("the system's clock has been set: {} ms from where it was", self.wall.ahead_ms());
            self.events.push_back(Event::ClockSet);
            let restarted = self.members.starts_later(self.wall);
            self.events.push_back(Event::Endpoints(EndpointUpdate::Delta, restarted));
            self.run(now, out);
        }
    }

    /// A time as a Unix time.
    pub fn unix_time(&self, now: Time) -> Time {
        self.wall.unix(now)
    }

    /// Takes an input; appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ClientConnected(client) => drop(self.accepted.insert(client, now)),
            Input::Request(asked) if self.over => {
                self.tally.refused += 1;
                out.push(Effect::Answer {
                    client: asked.client,
                    command: asked.command,
                    answer: Answer::Rejected { retry_after_ms: None },
                });
            }
            Input::Request(asked) => {
                if let Some((id, keys)) = self.request(now, asked, out) {
                    self.run(now, out);
                    self.admitted(id, &keys);
                }
            }
            Input::ClientDisconnected(client) => {
                self.accepted.remove(&client);
                for id in self.requests.release_client(client) {
                    self.tally.left += 1;
                    self.close(now, id);
                    self.events.push_back(Event::ClientGone(id));
                }
            }
            Input::CancelRequested(client) => {
                if let Some((command, id)) = self.requests.release_first(client) {
                    self.tally.left += 1;
                    self.doubtful(now, id, out);
                    self.close(now, id);
                    out.push(Effect::Answer { client, command, answer: Answer::Cancelled });
                    self.events.push_back(Event::ClientGone(id));
                }
            }
            Input::ExchangeFinished(exchange, ended) => self.ended(now, exchange, ended, out),
            Input::EndpointList { list, valid_since: told } => {
                let mut ended = Vec::new();
                let (form, entries) = self.members.take(told.min(now), self.wall, list, &mut ended);
                out.extend(
                    ended
                        .into_iter()
                        .map(|(addr, at)| Effect::CloseConnectionsIdleSince { addr, before: at }),
                );
                self.events.push_back(Event::Endpoints(form, entries));
                self.list_limits(now);
            }
            Input::Fleet(input) => self.fleet_says(now, input, out),
            Input::Proxy(stream, spoken) => self.proxy(now, stream, spoken, out),
            Input::Tick => self.due(now, out),
            Input::Shutdown => {
                self.over = true;
                for ((client, command), id) in self.requests.release_all() {
                    self.doubtful(now, id, out);
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
        let fleet = self.limits.as_ref().map(|l| l.fleet.next_due());
        self.timers.next().into_iter().chain(lease).chain(fleet).min()
    }

    /// Whether an exchange's query may still be written. The decisions keep a drain's grace when they send,
    /// but a connection can come up after it has passed, or after the request has ended: its client may have
    /// gone meanwhile.
    pub fn may_write(&self, now: Time, exchange: ExchangeId, member: MemberId) -> bool {
        let grace = self.site.settings.drain_grace;
        let awaited = match exchange {
            ExchangeId::Attempt(id, _) => self.requests.get(id).is_some_and(|open| !open.answered),
            ExchangeId::Probe(_) => true,
        };
        awaited && self.members.parting(member).is_none_or(|told| now < told.plus(grace))
    }

    /// Requests without an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    /// What has happened since this was last asked.
    pub fn take_request_counters(&mut self) -> RequestCounters {
        std::mem::take(&mut self.tally)
    }

    /// How this router keeps its sessions.
    pub fn sessions(&mut self) -> &mut Sessions {
        &mut self.sessions
    }

    /// What has been counted of sessions since this was last asked.
    pub fn take_session_counts(&mut self) -> SessionCounts {
        self.sessions.take_counts()
    }

    /// Requests, probes and timers on the books; the decisions' own timer is among the last.
    pub fn books(&self) -> (usize, usize, usize) {
        (self.requests.rows(), self.probes.len(), self.timers.len())
    }

    /// Hands events to the decisions until none are left, and carries their actions over.
    fn run(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let event = self.as_of_now(now, event);
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        let of = match &action {
            Action::Send(id, ..) | Action::Reject(id, _) | Action::Fail(id) | Action::Cancel(id, _) => {
                Some(*id)
            }
            _ => None,
        };
        if of.is_some_and(LeaseCoordinator::owns) {
            return self.act_for_proxy(now, &action, out);
        }
        match action {
            Action::Send(id, member, limit) => self.send(now, id, member, limit, out),
            Action::Reject(id, after) => {
                self.gave_up(id);
                let ms = after.map(|t| t.0.div_ceil(1_000_000));
                self.doubtful(now, id, out);
                self.answer(now, id, Answer::Rejected { retry_after_ms: ms }, out);
            }
            Action::Fail(id) => {
                self.gave_up(id);
                self.doubtful(now, id, out);
                self.answer(now, id, Answer::Failed, out);
            }
            Action::Cancel(id, attempt) => {
                if let Some(x) = self.take_attempt(id, attempt) {
                    out.push(Effect::AbortExchange(ExchangeId::Attempt(id, attempt)));
                    self.outcome(now, id, attempt, x, Status::Cancelled, ReportedState::default());
                }
            }
            Action::Timer(after, token) => {
                self.timers.add(now.plus(after), Timer::Policy(token));
            }
            Action::Probe(member) => {
                let Some(addr) = self.members.addr(member) else {
                    let none = ReplicationState::default();
                    return self.events.push_back(Event::ProbeFinished {
                        member,
                        status: Status::ConnectFailed,
                        took: Time(0),
                        report: none,
                    });
                };
                self.spend_budget(now, Budget::Probes);
                let (timers, due) = (&mut self.timers, now.plus(self.site.connect_timeout));
                let number = self.probes.put(|number| Exchange {
                    member,
                    sent: now,
                    timer: timers.add(due, Timer::Probe(number)),
                });
                let text =
                    if self.site.load_reports == LoadReportSource::None { "SELECT 1" } else { "SHOW vitals" };
                let (id, query) = (ExchangeId::Probe(number), Query::HealthCheck(text));
                out.push(Effect::StartExchange(ExchangeStart { id, member, client: None, addr, query }));
            }
            Action::CloseIdle(member) => {
                out.extend(self.members.addr(member).map(Effect::CloseIdleConnections))
            }
            // A watch is always kept, and tells each change by itself: the whole list costs a discovery that
            // all routers share what others wait for.
            Action::WatchEndpoints | Action::PollEndpoints => {}
            Action::Log(line) => log::info!("{line}"),
        }
    }

    /// A client's request; its number, and the limits that count it.
    fn request(
        &mut self,
        now: Time,
        asked: ClientRequest,
        out: &mut Vec<Effect>,
    ) -> Option<(RequestId, Vec<LimitKey>)> {
        let ClientRequest { client, command, statement, arrived_at } = asked;
        let named = |names: &[String], word: &[u8]| names.iter().position(|n| n.as_bytes() == word);
        let group = GroupId(statement.group);
        let mut invalid = |what: &str| {
            self.tally.invalid += 1;
            let error = StatementError { code: "22023", message: what.into() };
            Effect::Answer { client, command, answer: Answer::Invalid(error) }
        };
        let Some(class) = named(&self.site.classes, statement.class()) else {
            out.push(invalid("the class is unknown"));
            return None;
        };
        // Without any list yet, that says nothing: the decisions turn it away, and it may come again.
        if self.members.lacks(group) {
            out.push(invalid("the cluster is unknown"));
            return None;
        }
        // Two requests of one id could not be told apart at a host, and one would get the other's answer.
        if self.requests.has(statement.id()) {
            out.push(invalid("the id is that of an open request"));
            return None;
        }
        // A tenant that the settings don't name is one without a share.
        let tenant = named(&self.site.tenants, statement.tenant()).unwrap_or(self.site.tenants.len());
        let id = self.requests.number();
        let deadline = arrived_at.min(now).plus(Time::ms(statement.deadline_ms));
        let (tracked, floor) = self.session(now, client, &statement, class, group);
        let request = Request {
            id,
            class: ClassId(class as u16),
            tenant: TenantId(tenant as u16),
            deadline,
            group,
            floor: self.wall.own(floor.position),
            lead: floor.lead,
            client_retry: statement.is_retry,
        };
        let floor_ms = floor.send_to_hosts.then(|| floor.position.0.div_ceil(1_000_000));
        let statement = Rc::from(statement);
        let (answered, served, attempts) = (false, false, Vec::new());
        let open = Open {
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
        self.requests.put(id, open);
        let (event, keys) = self.limited(now, request);
        self.events.push_back(event);
        Some((id, keys))
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        member: MemberId,
        limit: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let most = self.site.settings.max_attempts as usize;
        let addr = self.members.addr(member);
        let Some(open) = self.requests.get_mut(id) else {
            // ExchangeResult and off the books: it goes nowhere, and that is told.
            let x = Exchange { member, sent: now, timer: TimerKey::default() };
            return self.outcome(now, id, Attempt(u16::MAX), x, Status::NotSent, ReportedState::default());
        };
        let attempt = Attempt(open.attempts.len() as u16);
        if open.answered || open.attempts.len() >= most || now >= open.deadline {
            open.attempts.push(None);
            let x = Exchange { member, sent: now, timer: TimerKey::default() };
            return self.outcome(now, id, attempt, x, Status::NotSent, ReportedState::default());
        }
        let Some(addr) = addr else {
            open.attempts.push(None);
            let x = Exchange { member, sent: now, timer: TimerKey::default() };
            return self.outcome(now, id, attempt, x, Status::ConnectFailed, ReportedState::default());
        };
        let left = open.deadline.since(now);
        let wait = limit.unwrap_or(left).min(left);
        let timer = self.timers.add(now.plus(wait), Timer::Attempt(id, attempt));
        open.attempts.push(Some(Exchange { member, sent: now, timer }));
        let query = Query::Statement {
            statement: Rc::clone(&open.statement),
            deadline: now.plus(wait),
            floor_ms: open.floor_ms,
        };
        if let Some(tracked) = open.tracked.as_ref().filter(|b| b.is_write && attempt == Attempt(0)) {
            let owner = owner(&self.sessions, &open.statement);
            let token = self.sessions.early_token(
                self.wall.unix(now),
                owner,
                open.group,
                tracked,
                self.wall.unix(now.plus(wait)),
            );
            out.extend(token.map(|t| Effect::SessionToken { client: open.client, token: t }));
        }
        let (exchange, client) = (ExchangeId::Attempt(id, attempt), Some(open.client));
        out.push(Effect::StartExchange(ExchangeStart { id: exchange, member, client, addr, query }));
        self.begun(now, id, attempt, member, now.plus(wait));
        if attempt > Attempt(0) {
            self.spend_budget(now, Budget::Retries);
        }
    }

    fn ended(&mut self, now: Time, exchange: ExchangeId, ended: ExchangeResult, out: &mut Vec<Effect>) {
        match exchange {
            ExchangeId::Attempt(id, attempt) => {
                let Some(x) = self.take_attempt(id, attempt) else { return };
                let (status, telling) = match ended {
                    ExchangeResult::Answered(QueryOutcome::Row(row), telling) => {
                        self.served(now, id, telling.position_ms.map(unix_ms), out);
                        self.answer(now, id, Answer::Served(row), out);
                        (Status::Ok, telling)
                    }
                    ExchangeResult::Answered(QueryOutcome::Error(code), telling)
                        if of_the_statement(&code) =>
                    {
                        let error = StatementError { code: "22023", message: "a host can't use it".into() };
                        self.answer(now, id, Answer::Invalid(error), out);
                        (Status::NotSent, telling)
                    }
                    ExchangeResult::Answered(QueryOutcome::Error(code), telling) => (by_code(&code), telling),
                    ExchangeResult::Answered(QueryOutcome::Empty, telling) => (Status::Error, telling),
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
                self.outcome(now, id, attempt, x, status, telling);
            }
            ExchangeId::Probe(number) => {
                let Some(x) = self.take_probe(number) else { return };
                let (status, report) = match ended {
                    ExchangeResult::Answered(QueryOutcome::Row(row), _) => {
                        let value = row.value.clone().map(|v| &row.bytes[v]).unwrap_or_default();
                        (
                            Status::Ok,
                            reported(
                                &self.site.report_columns,
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
                self.probed(now, x, status, report);
            }
        }
    }

    /// Fires the timers that are due now; those set meanwhile wait for the next time.
    fn due(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(coordinator) = &mut self.coordinator {
            let mut said = Vec::new();
            coordinator.tick(now, &mut said);
            self.apply_coordinator_outputs(said, out);
            self.run(now, out);
        }
        self.fleet_due(now, out);
        self.run(now, out);
        for (key, timer) in self.timers.due(now) {
            match timer {
                Timer::Policy(token) => {
                    self.timers.cancel(key);
                    self.events.push_back(Event::Timer(token));
                }
                Timer::Attempt(id, attempt) => {
                    if let Some(x) = self.take_attempt(id, attempt) {
                        out.push(Effect::AbortExchange(ExchangeId::Attempt(id, attempt)));
                        self.outcome(now, id, attempt, x, Status::Timeout, ReportedState::default());
                    }
                }
                Timer::Probe(number) => {
                    if let Some(x) = self.take_probe(number) {
                        out.push(Effect::AbortExchange(ExchangeId::Probe(number)));
                        self.probed(now, x, Status::Timeout, ReplicationState::default());
                    }
                }
            }
            self.run(now, out);
        }
    }

    /// The final answer: the client gets it unless it has had one.
    fn answer(&mut self, now: Time, id: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get(id).filter(|o| !o.answered) else { return };
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Rejected { .. } => self.tally.refused += 1,
            Answer::Failed | Answer::Cancelled => self.tally.failed += 1,
            Answer::Invalid(_) => self.tally.invalid += 1,
        }
        let (client, command) = (open.client, open.command);
        self.requests.release(client, command);
        out.push(Effect::Answer { client, command, answer });
        self.close(now, id);
    }

    /// A request has ended; its row goes once no attempt is out.
    fn close(&mut self, now: Time, id: RequestId) {
        if let Some(Open { group, tracked: Some(tracked), .. }) = self.requests.close(id) {
            self.sessions.end_request(self.wall.unix(now), group, &tracked);
        }
    }

    /// Takes an attempt off the books, if it is out. Its request's row stays for [`Router::outcome`].
    fn take_attempt(&mut self, id: RequestId, attempt: Attempt) -> Option<Exchange> {
        let x = self.requests.take_attempt(id, attempt)?;
        self.timers.cancel(x.timer);
        Some(x)
    }

    fn take_probe(&mut self, number: u64) -> Option<Exchange> {
        let x = self.probes.take(number)?;
        self.timers.cancel(x.timer);
        Some(x)
    }

    /// Tells the one outcome of an attempt that has been taken off the books.
    fn outcome(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        x: Exchange,
        status: Status,
        t: ReportedState,
    ) {
        self.tally.attempt(status);
        self.place_back(now, id, attempt, x.member, status);
        if let Some(position) = t.position_ms {
            self.sessions.observe_position(self.wall.unix(now), self.wall.unix(x.sent), unix_ms(position));
        }
        if let Some(open) = self.requests.get_mut(id).filter(|o| !o.served && !status.proves_not_executed()) {
            open.tracked.iter_mut().for_each(|b| b.outcome_unknown = b.is_write);
        }
        let ended = self.requests.get(id).is_none_or(|o| o.answered);
        if ended {
            self.close(now, id);
        }
        let role = t.primary.map(|p| if p { Role::Primary } else { Role::Replica });
        let replication = self.on_own_clock(ReplicationState { position: t.position_ms.map(unix_ms), role });
        let report =
            t.load_report.as_deref().map(|v| reported(&self.site.report_columns, v)).unwrap_or_default();
        let report = self.on_own_clock(report);
        let took = now.since(x.sent);
        let outcome =
            Outcome { request: id, attempt, member: x.member, status, took, ended, replication, report };
        self.events.push_back(Event::Outcome(outcome));
    }

    fn on_own_clock(&self, replication: ReplicationState) -> ReplicationState {
        ReplicationState { position: replication.position.map(|p| self.wall.own(p)), ..replication }
    }

    /// Tells the one outcome of a probe that has been taken off the books.
    fn probed(&mut self, now: Time, x: Exchange, status: Status, report: ReplicationState) {
        self.tally.probes += 1;
        if let Some(position) = report.position {
            self.sessions.observe_position(self.wall.unix(now), self.wall.unix(x.sent), position);
        }
        let report = self.on_own_clock(report);
        self.tally.probes_failed += u32::from(status != Status::Ok);
        self.events.push_back(Event::ProbeFinished {
            member: x.member,
            status,
            took: now.since(x.sent),
            report,
        });
    }
}
