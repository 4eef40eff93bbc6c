//! The state machine of one client, without I/O. The driver reports events together with their times and
//! executes the [`Action`]s that the state machine returns. The same seed and the same sequence of events
//! always produce the same actions.
//!
//! Each part of the state is owned by one module:
//!
//! - `requests`: the requests without an outcome, and their attempts
//! - `connections`: the connections and their timeouts
//! - `exchange`: the response to one statement
//! - `routers`: the load and the circuit breaker of each router
//! - `reconnect_gate`: the delay of new connections after one was lost
//! - `retry_budget`: the token bucket that limits retries
//! - `response_times`: the response time estimate of each request class
//!
//! [`Core`] connects them: `connection_events` handles events on connections, `attempts` starts attempts,
//! schedules retries and completes requests.

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
    /// The id of the latest request or connection; both are numbered from one sequence.
    last_id: u64,
    counters: Counters,
    actions: VecDeque<Action>,
    /// The latest time that the driver reported; `None` before the first event.
    latest_time: Option<Instant>,
}

impl Core {
    /// Creates a client without requests and connections.
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

    /// Returns the next action, or `None` if there is no further action until another event is reported.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns the time at which the driver must call [`Core::handle_timeout`]; `None` if no timeout is set.
    pub fn next_timeout(&self) -> Option<Instant> {
        let mut times = vec![
            self.requests.next_deadline(),
            self.requests.next_delay_end(),
            self.connections.next_timeout(),
        ];
        if self.requests.ready_count() > 0 {
            // Times that have already passed are left out. If no connection could be opened then, the core
            // tries again at the next event; returning such a time would make the driver loop.
            let opens_at = self.reconnect_gate.opens_at();
            times.push(opens_at.filter(|opens_at| self.latest_time.is_none_or(|now| *opens_at > now)));
            times.push(self.routers.next_available_at(self.latest_time));
        }
        times.into_iter().flatten().min()
    }

    /// Returns the counts since the client was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the sizes of the tables, with which tests detect entries that are never removed.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            requests: self.requests.len(),
            connections: self.connections.len(),
            timeouts: self.connections.timeout_count(),
        }
    }

    /// Accepts a request. [`Action::Complete`] reports its outcome no later than its deadline.
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

    /// Cancels a request whose caller no longer waits for it. No report is made.
    pub fn cancel(&mut self, now: Instant, id: RequestId) {
        self.abandon_attempt(now, id);
        self.requests.remove(id);
        self.advance(now);
    }

    /// Handles a completed connect: writes the startup message.
    pub fn handle_connected(&mut self, now: Instant, id: ConnectionId) {
        if self.connections.mark_connected(id) {
            let bytes = startup_message();
            self.actions.push_back(Action::Write { connection: id, bytes, deadline: None });
        }
        self.advance(now);
    }

    /// Records that another `bytes` bytes of the connection's statement were handed to the operating system.
    /// Has no effect while the connection has no statement, for example when the bytes are those of the
    /// startup message.
    pub fn handle_written(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(id) {
            if let ConnectionState::Busy(exchange) = &mut connection.state {
                exchange.on_written(bytes);
            }
        }
    }

    /// Decodes received bytes and handles each complete message.
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

    /// Handles a connection that was closed by the router, that failed, or that could not be opened.
    pub fn handle_disconnected(&mut self, now: Instant, id: ConnectionId, reason: DisconnectReason) {
        self.complete_expired_requests(now);
        if let Some(connection) = self.remove_connection(id) {
            self.handle_lost_connection(now, connection, reason);
        }
        self.advance(now);
    }

    /// Handles all timeouts that are due at `now`.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.advance(now);
    }

    /// Completes all requests and closes all connections.
    pub fn shut_down(&mut self, now: Instant) {
        for id in self.requests.ids() {
            self.abandon_attempt(now, id);
            self.complete_or_may_have_run(now, id, RequestOutcome::Stopped);
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
