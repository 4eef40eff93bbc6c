//! A router under a simulated clock, and helpers to examine its effects.

use crate::common::{deployment_settings, sessions, statement};
use basalthill_config::settings::Deployment;
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

/// The Unix time at which each router starts.
pub const START: Time = Time::ms(1_767_225_600_000);
/// The primary's address.
pub const PRIMARY: &str = "127.0.0.1:7001";
/// The replica's address.
pub const REPLICA: &str = "127.0.0.1:7002";
/// The group of the primary and the replica.
const GROUP: u32 = 2;
/// The seed of the router's random number generator.
const SEED: u64 = 7;

/// A router with one primary and one replica, and the simulated time.
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
    /// Returns whether the exchange is an attempt of a request.
    pub fn is_attempt(&self) -> bool {
        matches!(self.id, ExchangeId::Attempt(..))
    }

    /// Returns whether the exchange is with the host at an address.
    pub fn goes_to(&self, expected: &str) -> bool {
        self.addr == address(expected)
    }

    /// Returns the deadline of an attempt's statement.
    pub fn deadline(&self) -> Time {
        match &self.query {
            Query::Statement { deadline, .. } => *deadline,
            Query::HealthCheck(text) => panic!("{text} has no deadline"),
        }
    }
}

impl RouterHarness {
    /// Starts a router with an endpoint list or without one. Also returns its first effects.
    pub fn start(list: Option<HostList>) -> (RouterHarness, Vec<Effect>) {
        RouterHarness::start_with(deployment_settings(), list)
    }

    fn start_with(deployment: Deployment, list: Option<HostList>) -> (RouterHarness, Vec<Effect>) {
        let mut effects = Vec::new();
        let router = Router::new(START, deployment, sessions(), SEED, list, &mut effects);
        (RouterHarness { router, now: START }, effects)
    }

    /// Starts a router and serves its first health checks, so that its policy has identified the primary.
    pub fn ready() -> RouterHarness {
        RouterHarness::ready_with(deployment_settings())
    }

    /// Like [`RouterHarness::ready`], with these settings.
    pub fn ready_with(deployment: Deployment) -> RouterHarness {
        let endpoints = list(1, true, &both_members("active"));
        let (mut harness, effects) = RouterHarness::start_with(deployment, Some(endpoints));
        for exchange in started_exchanges(&effects) {
            let query = &exchange.query;
            assert!(matches!(query, Query::HealthCheck("SHOW vitals")), "{query:?}");
            let is_primary = u8::from(exchange.goes_to(PRIMARY));
            let report = format!("x0=1767225600.000,x1={is_primary}");
            harness.finish(exchange.id, row_response(report.as_bytes()));
        }
        harness
    }

    /// Passes an input to the router. Returns the effects.
    pub fn input(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.router.handle(self.now, input, &mut effects);
        effects
    }

    /// Advances the time and fires each timer when it is due. Returns the effects.
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

    /// Returns the number of milliseconds from now until `time`, rounded down.
    pub fn ms_until(&self, time: Time) -> u64 {
        time.since(self.now).0 / 1_000_000
    }

    /// Returns the present Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.now.0 / 1_000_000
    }

    /// Returns the state that a host reports now: its role, and a log position that is `ms_ago` milliseconds
    /// old.
    pub fn reported(&self, is_primary: bool, ms_ago: u64) -> ReportedState {
        ReportedState {
            primary: Some(is_primary),
            position_ms: Some(self.unix_ms() - ms_ago),
            load_report: None,
        }
    }

    /// Applies an endpoint list that is valid from now on.
    pub fn apply_list(&mut self, list: HostList) -> Vec<Effect> {
        self.input(Input::EndpointList { list, valid_since: self.now })
    }

    /// Sends a client's request of a class now. Returns the effects.
    pub fn send_request(&mut self, client: u64, class: &str, extra_fields: &str) -> Vec<Effect> {
        self.input(request(client, statement(class, extra_fields), self.now))
    }

    /// Sends a client's request of a class, and returns the only exchange that it starts.
    pub fn start_attempt(&mut self, client: u64, class: &str) -> StartedExchange {
        let effects = self.send_request(client, class, "");
        let mut started = started_exchanges(&effects);
        assert_eq!(started.len(), 1, "{effects:?}");
        started.remove(0)
    }

    /// Ends an exchange with a result. Returns the effects.
    pub fn finish(&mut self, id: ExchangeId, result: ExchangeResult) -> Vec<Effect> {
        self.input(Input::ExchangeFinished(id, result))
    }

    /// Asserts that no request is open, and that no timers are set except those of health checks and the
    /// policy's periodic timer.
    pub fn assert_no_open_request(&self) {
        let outstanding = self.router.outstanding();
        let Outstanding { requests, probes, timers } = outstanding;
        assert_eq!((requests, timers - probes), (0, 1), "{outstanding:?}");
    }
}

/// Parses an address.
pub fn address(text: &str) -> SocketAddr {
    text.parse().expect("invalid address")
}

/// Returns the entry of a member of [`GROUP`] in an endpoint list.
pub fn member(name: &'static str, addr: &str, state: &'static str, rank: &'static str) -> Endpoint {
    Endpoint::new(name, address(addr), GROUP, state, rank)
}

/// Returns the entries of the primary, in this state, and of the replica, in service.
pub fn both_members(primary_state: &'static str) -> [Endpoint; 2] {
    [member("s-1", PRIMARY, primary_state, "source"), member("s-2", REPLICA, "active", "copy")]
}

/// Returns an endpoint list as service discovery sends it.
pub fn list(version: u64, full: bool, members: &[Endpoint]) -> HostList {
    HostList::parse(endpoint_list(version, full, members).as_bytes()).expect("invalid endpoint list")
}

/// Returns a client's request, which is the only open command of its connection.
pub fn request(client: u64, statement: Box<Statement>, arrived_at: Time) -> Input {
    Input::Request(ClientRequest { client: ClientId(client), command: CommandId(0), statement, arrived_at })
}

/// Returns a row with this value, as a host sends it.
pub fn row(value: &[u8]) -> Row {
    let end = value.len();
    Row { bytes: value.to_vec(), parts: vec![0..end, end..end, end..end], value: Some(0..end), binary: true }
}

/// Returns a response with a row and without a report of the host's state.
pub fn row_response(value: &[u8]) -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::Row(row(value)), ReportedState::default())
}

/// Returns a response with an error and without a report of the host's state.
pub fn error_response(code: &str) -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::Error(code.into()), ReportedState::default())
}

/// Returns a response without a row and without a report of the host's state.
pub fn empty_response() -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::Empty, ReportedState::default())
}

/// Returns the exchanges that effects start.
pub fn started_exchanges(effects: &[Effect]) -> Vec<StartedExchange> {
    let started = |effect: &Effect| match effect {
        Effect::StartExchange(start) => {
            Some(StartedExchange { id: start.id, addr: start.addr, query: start.query.clone() })
        }
        _ => None,
    };
    effects.iter().filter_map(started).collect()
}

/// Returns the attempts that effects start.
pub fn started_attempts(effects: &[Effect]) -> Vec<StartedExchange> {
    started_exchanges(effects).into_iter().filter(StartedExchange::is_attempt).collect()
}

/// Returns whether effects abort an exchange.
pub fn aborts(effects: &[Effect], id: ExchangeId) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::AbortExchange(aborted) if *aborted == id))
}

/// Returns the replies among effects, each with the number of its client.
pub fn client_replies(effects: &[Effect]) -> Vec<(u64, Reply)> {
    let reply = |effect: &Effect| match effect {
        Effect::Reply { client, reply, .. } => Some((client.0, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}
