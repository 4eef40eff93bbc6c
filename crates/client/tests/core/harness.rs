//! A harness that runs a core with a simulated clock and simulated connections.

use crate::messages::READY_FOR_QUERY;
use basalthill_client::core::{Action, ConnectionId, Core, DisconnectReason, RequestId};
use basalthill_client::{Config, Idempotency, Request, RequestOutcome, RequestReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);
/// Length of a message's header, which consists of the type byte and the length field, in bytes.
const MESSAGE_HEADER_BYTES: usize = 5;

/// Returns a configuration with `routers` routers and a fixed seed.
pub fn config(routers: u16) -> Config {
    let address = |index: u16| SocketAddr::from(([127, 0, 0, 1], 1000 + index));
    let routers: Vec<SocketAddr> = (0..routers).map(address).collect();
    Config { seed: 17, ..Config::new(routers) }
}

/// A statement that the core has written.
#[derive(Clone, Debug)]
pub struct SentStatement {
    pub connection: ConnectionId,
    pub sent_at: Instant,
    pub text: String,
}

/// A core with a clock and connections that the test controls.
pub struct Harness {
    pub core: Core,
    pub now: Instant,
    /// Open connections, with their routers.
    pub connections: BTreeMap<ConnectionId, SocketAddr>,
    /// The bytes of the latest write to each connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    pub reports: BTreeMap<RequestId, RequestReport>,
    /// All statements that were written, in order.
    pub sent: Vec<SentStatement>,
    /// Whether each statement is reported as completely written as soon as the core writes it.
    pub completes_writes: bool,
}

impl Harness {
    pub fn new(config: Config) -> Harness {
        Harness {
            core: Core::new(config),
            now: Instant::now(),
            connections: BTreeMap::new(),
            written: BTreeMap::new(),
            reports: BTreeMap::new(),
            sent: Vec::new(),
            completes_writes: true,
        }
    }

    /// Executes the core's actions.
    pub fn perform_actions(&mut self) {
        while let Some(action) = self.core.poll_action() {
            match action {
                Action::Connect { connection, address } => {
                    self.connections.insert(connection, address);
                }
                Action::Write { connection, bytes, deadline } => {
                    if let Some(deadline) = deadline {
                        self.record_statement(connection, &bytes, deadline);
                    }
                    self.written.insert(connection, bytes);
                }
                Action::Close { connection } => {
                    self.connections.remove(&connection);
                }
                Action::Complete { request, report } => {
                    let previous = self.reports.insert(request, report);
                    assert!(previous.is_none(), "a request was reported more than once");
                }
            }
        }
    }

    fn record_statement(&mut self, connection: ConnectionId, bytes: &[u8], deadline: Instant) {
        assert!(self.now < deadline, "a statement was written at or after its deadline");
        let text = String::from_utf8_lossy(&bytes[MESSAGE_HEADER_BYTES..bytes.len() - 1]).into_owned();
        self.sent.push(SentStatement { connection, sent_at: self.now, text });
        if self.completes_writes {
            self.core.handle_written(connection, bytes.len());
        }
    }

    /// Advances the time until the core opens a connection, and completes its startup. Panics if none is
    /// opened within two seconds.
    pub fn accept_connection(&mut self) -> ConnectionId {
        self.perform_actions();
        let started_at = self.now;
        let id = loop {
            if let Some(id) = self.first_unaccepted_connection() {
                break id;
            }
            assert!(self.now < started_at + 2000 * MS, "the core opened no connection within 2 s");
            self.advance(1);
        };
        self.core.handle_connected(self.now, id);
        self.receive(id, READY_FOR_QUERY);
        id
    }

    fn first_unaccepted_connection(&self) -> Option<ConnectionId> {
        self.connections.keys().find(|id| !self.written.contains_key(id)).copied()
    }

    /// Passes received bytes to the core.
    pub fn receive(&mut self, id: ConnectionId, bytes: &[u8]) {
        self.core.handle_received(self.now, id, bytes);
        self.perform_actions();
    }

    /// Reports to the core that a connection was lost.
    pub fn disconnect(&mut self, id: ConnectionId, reason: DisconnectReason) {
        self.core.handle_disconnected(self.now, id, reason);
        self.connections.remove(&id);
        self.perform_actions();
    }

    /// Submits a request.
    pub fn submit(&mut self, request: Request) -> RequestId {
        let id = self.core.submit(self.now, request);
        self.perform_actions();
        id
    }

    /// Submits a write of this idempotency with a deadline `timeout_ms` from now.
    pub fn submit_write(&mut self, idempotency: Idempotency, timeout_ms: u32) -> RequestId {
        let request = Request::write("w", 1, "k", b"v").idempotency(idempotency);
        self.submit(request.deadline(self.now + timeout_ms * MS))
    }

    /// Advances the time by `ms` milliseconds and handles the core's timeouts in order.
    pub fn advance(&mut self, ms: u32) {
        let until = self.now + ms * MS;
        while let Some(due) = self.core.next_timeout().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.core.handle_timeout(self.now);
            self.perform_actions();
        }
        self.now = until;
    }

    /// Returns a request's outcome, or `None` if it has none yet.
    pub fn outcome(&self, id: RequestId) -> Option<&RequestOutcome> {
        self.reports.get(&id).map(|report| &report.outcome)
    }

    /// Returns the open connection with the lowest id.
    pub fn first_connection(&self) -> ConnectionId {
        *self.connections.keys().next().expect("no connection is open")
    }

    /// Returns the connection to which the latest statement was written.
    pub fn last_used_connection(&self) -> ConnectionId {
        self.sent.last().expect("no statement was written").connection
    }
}
