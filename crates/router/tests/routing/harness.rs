//! A router with a time of its own, and what the tests read out of its effects.

use crate::common::{sessions, site, statement};
use basalthill_policy::api::Time;
use basalthill_router::protocol::discovery::HostList;
use basalthill_router::protocol::host::{QueryOutcome, ReportedState, Row};
use basalthill_router::protocol::statement::Statement;
use basalthill_router::routing::{
    ClientId, ClientRequest, CommandId, Effect, ExchangeId, ExchangeResult, Input, Outstanding, Query, Reply,
    Router,
};
use basalthill_standin::discovery::{endpoint_list, Endpoint};
use std::net::SocketAddr;

/// When each router starts: a Unix time.
pub const START: Time = Time::ms(1_767_225_600_000);
/// The primary's address.
pub const PRIMARY: &str = "127.0.0.1:7001";
/// The replica's address.
pub const REPLICA: &str = "127.0.0.1:7002";
/// The group of both.
const GROUP: u32 = 2;
/// The seed of the router's random numbers.
const SEED: u64 = 7;

/// A router of one primary and one replica, and its time.
pub struct RouterHarness {
    pub router: Router,
    pub now: Time,
}

/// An exchange that the router has started.
#[derive(Clone, Debug)]
pub struct StartedExchange {
    pub id: ExchangeId,
    pub addr: SocketAddr,
    pub query: Query,
}

impl StartedExchange {
    /// Whether it is an attempt of a request.
    pub fn is_attempt(&self) -> bool {
        matches!(self.id, ExchangeId::Attempt(..))
    }

    /// Whether it goes to an address.
    pub fn goes_to(&self, expected: &str) -> bool {
        self.addr == address(expected)
    }

    /// The deadline of an attempt's statement.
    pub fn deadline(&self) -> Time {
        match &self.query {
            Query::Statement { deadline, .. } => *deadline,
            Query::HealthCheck(text) => panic!("{text} has no deadline"),
        }
    }
}

impl RouterHarness {
    /// A router that has just started with a list, or without any; its first effects.
    pub fn start(list: Option<HostList>) -> (RouterHarness, Vec<Effect>) {
        let mut effects = Vec::new();
        let router = Router::new(START, site(), sessions(), SEED, list, &mut effects);
        (RouterHarness { router, now: START }, effects)
    }

    /// A router whose first health checks are answered: it knows the primary.
    pub fn ready() -> RouterHarness {
        let (mut harness, effects) = RouterHarness::start(Some(list(1, true, &both("active"))));
        for exchange in started_exchanges(&effects) {
            let query = &exchange.query;
            assert!(matches!(query, Query::HealthCheck("SHOW vitals")), "{query:?}");
            let is_primary = u8::from(exchange.goes_to(PRIMARY));
            let report = format!("x0=1767225600.000,x1={is_primary}");
            harness.finish(exchange.id, row_response(report.as_bytes()));
        }
        harness
    }

    /// Hands an input over; its effects.
    pub fn input(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.router.handle(self.now, input, &mut effects);
        effects
    }

    /// Advances the time, firing each timer when it is due.
    pub fn advance_ms(&mut self, ms: u64) -> Vec<Effect> {
        let end = self.now.plus(Time::ms(ms));
        let mut effects = Vec::new();
        while let Some(due) = self.router.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            effects.extend(self.input(Input::Tick));
        }
        self.now = end;
        effects
    }

    /// Milliseconds up to a time, rounded down.
    pub fn ms_until(&self, time: Time) -> u64 {
        time.since(self.now).0 / 1_000_000
    }

    /// Now, as a Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.now.0 / 1_000_000
    }

    /// What a host reports now: its role, and a position this many milliseconds old.
    pub fn reported(&self, is_primary: bool, ms_ago: u64) -> ReportedState {
        ReportedState {
            primary: Some(is_primary),
            position_ms: Some(self.unix_ms() - ms_ago),
            load_report: None,
        }
    }

    /// Applies a list from discovery that is valid since now.
    pub fn apply_list(&mut self, list: HostList) -> Vec<Effect> {
        self.input(Input::EndpointList { list, valid_since: self.now })
    }

    /// A client sends a request of a class now.
    pub fn send_request(&mut self, client: u64, class: &str, more: &str) -> Vec<Effect> {
        self.input(request(client, statement(class, more), self.now))
    }

    /// A client sends a request of a class, for which exactly one attempt is started.
    pub fn start_attempt(&mut self, client: u64, class: &str) -> StartedExchange {
        let effects = self.send_request(client, class, "");
        let mut started = started_exchanges(&effects);
        assert_eq!(started.len(), 1, "{effects:?}");
        started.remove(0)
    }

    /// An exchange ends with a result.
    pub fn finish(&mut self, id: ExchangeId, result: ExchangeResult) -> Vec<Effect> {
        self.input(Input::ExchangeFinished(id, result))
    }

    /// Once every health check has ended, the tables hold nothing but the policy's own timer.
    pub fn assert_drained(&self) {
        let outstanding = self.router.outstanding();
        let Outstanding { requests, probes, timers } = outstanding;
        assert_eq!((requests, timers - probes), (0, 1), "{outstanding:?}");
    }
}

/// The address of a text.
pub fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// A member of a list, in the one group.
pub fn member(name: &'static str, addr: &str, state: &'static str, rank: &'static str) -> Endpoint {
    Endpoint::new(name, address(addr), GROUP, state, rank)
}

/// The primary in a state, and the replica in service.
pub fn both(primary_state: &'static str) -> [Endpoint; 2] {
    [member("s-1", PRIMARY, primary_state, "source"), member("s-2", REPLICA, "active", "copy")]
}

/// A list as discovery sends it.
pub fn list(version: u64, full: bool, members: &[Endpoint]) -> HostList {
    HostList::parse(endpoint_list(version, full, members).as_bytes()).expect("a valid list")
}

/// A client's request, the only open command of its connection.
pub fn request(client: u64, statement: Box<Statement>, arrived_at: Time) -> Input {
    Input::Request(ClientRequest { client: ClientId(client), command: CommandId(0), statement, arrived_at })
}

/// A host's row with a value.
pub fn row(value: &[u8]) -> Row {
    let end = value.len();
    Row { bytes: value.to_vec(), parts: vec![0..end, end..end, end..end], value: Some(0..end), binary: true }
}

/// A host responds with a row and reports nothing of its state.
pub fn row_response(value: &[u8]) -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::Row(row(value)), ReportedState::default())
}

/// A host responds with an error and reports nothing of its state.
pub fn error_response(code: &str) -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::Error(code.into()), ReportedState::default())
}

/// A host responds without a row and reports nothing of its state.
pub fn empty_response() -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::Empty, ReportedState::default())
}

/// The exchanges that effects start.
pub fn started_exchanges(effects: &[Effect]) -> Vec<StartedExchange> {
    let started = |effect: &Effect| match effect {
        Effect::StartExchange(start) => {
            Some(StartedExchange { id: start.id, addr: start.addr, query: start.query.clone() })
        }
        _ => None,
    };
    effects.iter().filter_map(started).collect()
}

/// The attempts that effects start.
pub fn started_attempts(effects: &[Effect]) -> Vec<StartedExchange> {
    started_exchanges(effects).into_iter().filter(StartedExchange::is_attempt).collect()
}

/// Whether effects abort an exchange.
pub fn aborts(effects: &[Effect], id: ExchangeId) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::AbortExchange(aborted) if *aborted == id))
}

/// The replies among effects, each with its client.
pub fn client_replies(effects: &[Effect]) -> Vec<(u64, Reply)> {
    let reply = |effect: &Effect| match effect {
        Effect::Reply { client, reply, .. } => Some((client.0, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}
