//! The state machine of one client, without I/O: the driver reports events with their times, and carries out
//! the [`Action`]s that come out. The same seed and the same events always give the same actions.
//!
//! Each part of the state has one owner: `requests` the requests and their attempts, `connections` the
//! connections and their timeouts, `exchange` a statement's response, `routers` the circuit breakers,
//! `reconnect_gate` the delay of reconnects, `retry_budget` and `response_times` what their names say.
//! [`Core`] passes events on between them: `connection_events` has what follows from an event on a
//! connection, `attempts` the course of a request.

mod api;
mod attempts;
mod connection_events;
mod connections;
mod exchange;
mod reconnect_gate;
mod requests;
mod response_times;
mod retry_budget;
mod routers;

pub use self::api::{Action, ConnectionId, Counters, DisconnectReason, RequestId, TableSizes};

use self::connections::{ConnectionState, Connections};
use self::reconnect_gate::ReconnectGate;
use self::requests::Requests;
use self::response_times::ResponseTimes;
use self::retry_budget::RetryBudget;
use self::routers::Routers;
use crate::config::Config;
use crate::outcome::{RequestOutcome, RequestReport};
use crate::request::Request;
use basalthill_wire::startup_message;
use std::collections::VecDeque;
use std::time::Instant;

/// The state machine of one client.
#[derive(Debug)]
pub struct Core {
    config: Config,
    rng: fastrand::Rng,
    requests: Requests,
    connections: Connections,
    routers: Routers,
    reconnect_gate: ReconnectGate,
    retry_budget: RetryBudget,
    response_times: ResponseTimes,
    /// The latest id given to a request or connection.
    last_id: u64,
    counters: Counters,
    actions: VecDeque<Action>,
    /// The latest time that was reported.
    latest_time: Option<Instant>,
}

impl Core {
    /// A client without requests and connections.
    pub fn new(config: Config) -> Core {
        Core {
            rng: fastrand::Rng::with_seed(config.seed),
            requests: Requests::default(),
            connections: Connections::default(),
            routers: Routers::new(&config),
            reconnect_gate: ReconnectGate::new(config.reconnect_spread),
            retry_budget: RetryBudget::new(&config),
            response_times: ResponseTimes::default(),
            last_id: 0,
            counters: Counters::default(),
            actions: VecDeque::new(),
            latest_time: None,
            config,
        }
    }

    /// The next action; `None` until another event is reported.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Core::handle_timeout`] is due next; `None` if no time is awaited.
    pub fn next_timeout(&self) -> Option<Instant> {
        let mut times = vec![
            self.requests.next_deadline(),
            self.requests.next_delay_end(),
            self.connections.next_timeout(),
        ];
        if self.requests.ready() > 0 {
            // What has passed without letting a connection be opened is due with the next event, not at a
            // time.
            let opens_at = self.reconnect_gate.opens_at();
            times.push(opens_at.filter(|opens_at| self.latest_time.is_none_or(|now| *opens_at > now)));
            times.push(self.routers.next_acceptance(self.latest_time));
        }
        times.into_iter().flatten().min()
    }

    /// What has been counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The sizes of the tables, for tests.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            requests: self.requests.len(),
            connections: self.connections.len(),
            timeouts: self.connections.timeouts(),
        }
    }

    /// Takes a request. [`Action::Complete`] reports its outcome, by its deadline.
    pub fn submit(&mut self, now: Instant, request: Request) -> RequestId {
        let id = RequestId(self.allocate_id());
        self.counters.requests += 1;
        if let Err(invalid) = request.validate() {
            let report = RequestReport::without_attempts(RequestOutcome::Invalid(invalid));
            self.actions.push_back(Action::Complete { request: id, report });
            return id;
        }
        self.retry_budget.deposit();
        self.requests.insert(now, id, request);
        self.advance(now);
        id
    }

    /// Ends a request whose caller does not wait any longer. There is no report.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        self.abandon_attempt(now, id);
        self.requests.remove(id);
        self.advance(now);
    }

    /// A connection is up.
    pub fn handle_connected(&mut self, now: Instant, id: ConnectionId) {
        if self.connections.mark_connected(id) {
            let bytes = startup_message();
            self.actions.push_back(Action::Write { connection: id, bytes, deadline: None });
        }
        self.advance(now);
    }

    /// So many more bytes of a connection's statement were handed to the operating system. Bytes written
    /// before its first statement are not counted.
    pub fn handle_written(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(id) {
            if let ConnectionState::Busy(exchange) = &mut connection.state {
                exchange.on_written(bytes);
            }
        }
    }

    /// Bytes were received.
    pub fn handle_received(&mut self, now: Instant, id: ConnectionId, bytes: &[u8]) {
        self.complete_expired_requests(now);
        if let Some(connection) = self.connections.get_mut(id) {
            connection.decoder.feed(bytes);
        }
        while let Some(connection) = self.connections.get_mut(id) {
            match connection.decoder.next_message() {
                Ok(Some(message)) => self.handle_message(now, id, message),
                Ok(None) => break,
                Err(_) => self.handle_malformed_message(now, id),
            }
        }
        self.advance(now);
    }

    /// A connection has ended, or did not come up.
    pub fn handle_disconnected(&mut self, now: Instant, id: ConnectionId, reason: DisconnectReason) {
        self.complete_expired_requests(now);
        if let Some(connection) = self.remove_connection(id) {
            self.handle_lost_connection(now, connection, reason);
        }
        self.advance(now);
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.advance(now);
    }

    /// Ends all requests and connections.
    pub fn shut_down(&mut self, now: Instant) {
        for id in self.requests.ids() {
            self.abandon_attempt(now, id);
            self.complete_unless_run(now, id, RequestOutcome::Stopped);
        }
        for id in self.connections.ids() {
            self.close_connection(id);
        }
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
