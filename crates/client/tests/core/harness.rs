//! A core, and full control of everything that happens to it.

use crate::messages::READY_FOR_QUERY;
use basalthill_client::core::{Action, ConnectionId, Core, DisconnectReason, RequestId};
use basalthill_client::{Config, Idempotency, Request, RequestOutcome, RequestReport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);
/// Offset of the type and length fields that stand before a message's body.
const MESSAGE_HEAD_BYTES: usize = 5;

/// A configuration with so many routers and a fixed seed.
pub fn config(routers: u16) -> Config {
    let address = |n: u16| SocketAddr::from(([127, 0, 0, 1], 1000 + n));
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
    /// The latest bytes written to each connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    pub reports: BTreeMap<RequestId, RequestReport>,
    /// All statements, in order.
    pub sent: Vec<SentStatement>,
    /// Whether each statement counts as written completely at once.
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

    /// Carries out the core's actions.
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
                    assert!(previous.is_none(), "one report for each request");
                }
            }
        }
    }

    fn record_statement(&mut self, connection: ConnectionId, bytes: &[u8], deadline: Instant) {
        assert!(self.now < deadline, "a statement written after its deadline");
        let text = String::from_utf8_lossy(&bytes[MESSAGE_HEAD_BYTES..bytes.len() - 1]).into_owned();
        self.sent.push(SentStatement { connection, sent_at: self.now, text });
        if self.completes_writes {
            self.core.handle_written(connection, bytes.len());
        }
    }

    /// Waits for the next connection that the core opens, and completes its startup.
    pub fn accept_connection(&mut self) -> ConnectionId {
        self.perform_actions();
        let started_at = self.now;
        let id = loop {
            if let Some(id) = self.first_unaccepted() {
                break id;
            }
            assert!(self.now < started_at + 2000 * MS, "the core opens no connection");
            self.advance(1);
        };
        self.core.handle_connected(self.now, id);
        self.receive(id, READY_FOR_QUERY);
        id
    }

    fn first_unaccepted(&self) -> Option<ConnectionId> {
        self.connections.keys().find(|id| !self.written.contains_key(id)).copied()
    }

    /// The core receives bytes.
    pub fn receive(&mut self, id: ConnectionId, bytes: &[u8]) {
        self.core.handle_received(self.now, id, bytes);
        self.perform_actions();
    }

    /// A connection ends without having been closed by the core.
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

    /// Submits a write of this idempotency, whose deadline is so many milliseconds from now.
    pub fn submit_write(&mut self, idempotency: Idempotency, timeout_ms: u32) -> RequestId {
        let request = Request::write("w", 1, "k", b"v").idempotency(idempotency);
        self.submit(request.deadline(self.now + timeout_ms * MS))
    }

    /// Lets so many milliseconds pass, with the core's timeouts in their order.
    pub fn advance(&mut self, ms: u32) {
        let until = self.now + ms * MS;
        while let Some(due) = self.core.next_timeout().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.core.handle_timeout(self.now);
            self.perform_actions();
        }
        self.now = until;
    }

    /// A request's outcome, once there is one.
    pub fn outcome(&self, id: RequestId) -> Option<&RequestOutcome> {
        self.reports.get(&id).map(|report| &report.outcome)
    }

    /// The first open connection.
    pub fn first_connection(&self) -> ConnectionId {
        *self.connections.keys().next().expect("an open connection")
    }

    /// The connection of the latest statement.
    pub fn last_used_connection(&self) -> ConnectionId {
        self.sent.last().expect("a statement").connection
    }
}
