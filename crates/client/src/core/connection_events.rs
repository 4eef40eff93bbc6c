//! Handling of events on connections, and opening and closing them.

use super::connections::{Connection, ConnectionState};
use super::exchange::ResponseProgress;
use super::routers::{RouterIndex, TransportFailure};
use super::{Action, ConnectionId, Core, DisconnectReason};
use crate::outcome::{AttemptOutcome, WriteProgress};
use crate::protocol::{is_rejection, ServerMessage};
use std::time::Instant;

/// Jitter of a connection's lifetime: the configured lifetime is multiplied by a random factor between this
/// value and this value plus one.
const MIN_LIFETIME_FACTOR: f64 = 0.5;

impl Core {
    pub(super) fn open_connection(&mut self, now: Instant, router: RouterIndex) {
        let id = ConnectionId(self.allocate_id());
        let lifetime = self.config.connection_lifetime.mul_f64(MIN_LIFETIME_FACTOR + self.rng.f64());
        self.connections.insert(id, router, now + lifetime, now + self.config.connect_timeout);
        self.routers.on_connection_opened(router);
        self.counters.connects += 1;
        let address = self.routers.address(router);
        self.actions.push_back(Action::Connect { connection: id, address });
    }

    /// Removes a connection from all tables. The caller closes its socket if it is still open.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(id)?;
        self.routers.on_connection_removed(connection.router);
        if matches!(connection.state, ConnectionState::Busy(_)) {
            self.routers.on_request_abandoned(connection.router);
        }
        Some(connection)
    }

    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        if self.remove_connection(id).is_some() {
            self.actions.push_back(Action::Close { connection: id });
        }
    }

    /// Makes a connection available for the next request, or closes it if it has reached its lifetime.
    fn release_connection(&mut self, now: Instant, id: ConnectionId) {
        if !self.connections.make_idle(id, now, now + self.config.idle_timeout) {
            self.close_connection(id);
        }
    }

    fn record_transport_failure(&mut self, now: Instant, router: RouterIndex, failure: TransportFailure) {
        self.reconnect_gate.on_connection_lost();
        if self.routers.on_transport_failure(now, router, failure, &mut self.rng) {
            self.counters.ejections += 1;
        }
    }

    pub(super) fn handle_lost_connection(
        &mut self,
        now: Instant,
        connection: Connection,
        reason: DisconnectReason,
    ) {
        let router = connection.router;
        match connection.state {
            ConnectionState::Connecting | ConnectionState::Startup => {
                let failure = match reason {
                    DisconnectReason::NotListening => TransportFailure::NotListening,
                    DisconnectReason::Other => TransportFailure::Other,
                };
                self.record_transport_failure(now, router, failure);
            }
            ConnectionState::Idle => self.reconnect_gate.on_connection_lost(),
            ConnectionState::Busy(exchange) => {
                self.reconnect_gate.on_connection_lost();
                let result = exchange.into_result_on_disconnect();
                if matches!(result.outcome, AttemptOutcome::Closed(_)) {
                    self.record_transport_failure(now, router, TransportFailure::Other);
                }
                self.finish_attempt(now, result);
            }
        }
    }

    /// Closes a connection whose latest message could not be decoded or is not allowed in the connection's
    /// state.
    pub(super) fn handle_malformed_message(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.remove_connection(id) else { return };
        self.actions.push_back(Action::Close { connection: id });
        match connection.state {
            ConnectionState::Busy(exchange) => {
                self.finish_attempt(now, exchange.into_result_with(AttemptOutcome::MalformedResponse));
            }
            ConnectionState::Idle => self.reconnect_gate.on_connection_lost(),
            ConnectionState::Connecting | ConnectionState::Startup => {
                self.record_transport_failure(now, connection.router, TransportFailure::Other);
            }
        }
    }

    pub(super) fn handle_message(&mut self, now: Instant, id: ConnectionId, message: ServerMessage) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let router = connection.router;
        match &mut connection.state {
            ConnectionState::Connecting => self.handle_malformed_message(now, id),
            ConnectionState::Startup => self.handle_startup_message(now, id, router, message),
            ConnectionState::Idle => self.handle_idle_message(id, &message),
            ConnectionState::Busy(exchange) => {
                let request = exchange.request();
                match exchange.on_message(message) {
                    ResponseProgress::Incomplete => {}
                    ResponseProgress::SessionToken(token) => {
                        self.requests.store_session_token(request, token);
                    }
                    ResponseProgress::Complete => self.finish_exchange(now, id, router, false),
                    ResponseProgress::CompleteAndClosing => self.finish_exchange(now, id, router, true),
                    ResponseProgress::Malformed => self.handle_malformed_message(now, id),
                }
            }
        }
    }

    fn handle_startup_message(
        &mut self,
        now: Instant,
        id: ConnectionId,
        router: RouterIndex,
        message: ServerMessage,
    ) {
        match message {
            ServerMessage::ReadyForQuery => {
                self.connections.complete_startup(id);
                self.routers.on_connection_ready(router);
                self.reconnect_gate.on_connection_ready();
                self.release_connection(now, id);
            }
            ServerMessage::Error(error) => {
                self.close_connection(id);
                // A router that rejects a connection because it is full is running, so this does not count as
                // a transport failure.
                if is_rejection(&error.code) {
                    let delay = self.reconnect_gate.on_router_full(&mut self.rng);
                    self.routers.on_router_full(router, now + delay);
                } else {
                    self.record_transport_failure(now, router, TransportFailure::Other);
                }
            }
            ServerMessage::SessionToken(_)
            | ServerMessage::RowDescription
            | ServerMessage::DataRow(_)
            | ServerMessage::CommandComplete => {}
        }
    }

    /// Handles a message received while no request is in flight. A router may send only late session tokens
    /// then; any other message most likely announces that it closes the connection, so the connection is
    /// closed.
    fn handle_idle_message(&mut self, id: ConnectionId, message: &ServerMessage) {
        if matches!(message, ServerMessage::SessionToken(_)) {
            return;
        }
        self.close_connection(id);
        self.reconnect_gate.on_connection_lost();
    }

    /// Ends the exchange of a connection whose response is complete. `is_closing` says that the router closes
    /// the connection after this response.
    fn finish_exchange(&mut self, now: Instant, id: ConnectionId, router: RouterIndex, is_closing: bool) {
        let Some(exchange) = self.connections.take_exchange(id) else { return };
        self.routers.on_response(router);
        // A response that is complete before the whole statement was written is not the response to this
        // statement, so the connection can't be reused.
        if is_closing || exchange.write_progress() != WriteProgress::Complete {
            self.close_connection(id);
        } else {
            self.release_connection(now, id);
        }
        self.finish_attempt(now, exchange.into_result());
    }

    pub(super) fn close_timed_out_connections(&mut self, now: Instant) {
        while let Some(id) = self.connections.pop_timed_out(now) {
            let Some(connection) = self.remove_connection(id) else { continue };
            self.actions.push_back(Action::Close { connection: id });
            if !matches!(connection.state, ConnectionState::Idle) {
                self.record_transport_failure(now, connection.router, TransportFailure::Other);
            }
        }
    }
}
