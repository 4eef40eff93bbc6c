//! The inputs that transport passes to the router: one [`Input`] for each event, and the types that inputs
//! contain.

use crate::protocol::discovery::HostList;
use crate::protocol::host::{QueryOutcome, ReportedState};
use crate::protocol::statement::Statement;
use basalthill_extproc::{DecisionRequest, LeaseId, LeaseOutcome, StreamId};
use basalthill_fleet::packet::{Packet, StatusMessage};
use basalthill_fleet::DropReason;
use basalthill_policy::api::{Attempt, ReplicationState, RequestId, Time};
use std::net::SocketAddr;

/// Identifies a client's connection. Connections are numbered in the order in which they are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies a command on its client's connection. Several commands of one connection may be open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandId(pub u64);

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The connection on which it arrived.
    pub client: ClientId,
    /// Its command on that connection.
    pub command: CommandId,
    /// The parsed statement.
    pub statement: Box<Statement>,
    /// When the command's last byte arrived. The client's deadline counts from this time, even if the command
    /// has since waited in its connection's pipeline.
    pub arrived_at: Time,
}

/// Identifies an exchange with a host: an attempt of a request, or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExchangeId {
    /// An attempt of a request, by the request's id and the attempt's number.
    Attempt(RequestId, Attempt),
    /// A health check, by its number.
    Probe(u64),
}

/// How an exchange with a host ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeResult {
    /// The host responded to the query and reported its state with the response.
    Response(QueryOutcome, ReportedState),
    /// The host rejected the connection: it sent an ErrorResponse with this SQLSTATE during startup.
    ConnectionRejected(String),
    /// No connection could be opened, or it was lost before the query's last byte was written. The query has
    /// not run.
    NotSent,
    /// Transport decided not to write the query, because the member's drain grace period had passed, the
    /// request had been completed, the connect budget was exhausted, or the router had no file descriptors,
    /// memory or ports left. This counts neither as a fault of the host nor as a failed connection.
    Skipped,
    /// The connection was lost after the query's last byte was written. The query may have run.
    ConnectionLost,
    /// The host's response violates the protocol. The query may have run.
    MalformedResponse,
}

impl ExchangeResult {
    /// Returns the number of bytes that the row in the response holds in memory.
    pub fn row_memory(&self) -> usize {
        match self {
            ExchangeResult::Response(QueryOutcome::Row(row), _) => row.memory(),
            _ => 0,
        }
    }
}

/// An event for the router. It is passed to [`Router::handle`](super::Router::handle) with the time at which
/// it happened.
#[derive(Debug)]
pub enum Input {
    /// A client's connection has been accepted.
    ClientConnected(ClientId),
    /// A client has sent a request.
    Request(ClientRequest),
    /// A client has disconnected. Repeated notifications are ignored.
    ClientDisconnected(ClientId),
    /// An exchange has ended. The result of an exchange that is not in flight is ignored.
    ExchangeFinished(ExchangeId, ExchangeResult),
    /// A client cancels its first request that has no reply yet. Its connection stays open.
    CancelRequested(ClientId),
    /// Service discovery has sent the endpoint list or changes to it.
    EndpointList {
        /// The complete list, or only the entries that have changed.
        list: HostList,
        /// The earliest time at which the content may have become valid: the time at which the list was
        /// received. For the first message of a new call to discovery, it is the time of the last message of
        /// the calls before, or the time at which the watch was opened if no message was received before,
        /// because the change may have been made while no call was open.
        valid_since: Time,
    },
    /// Another proxy has sent a message on its stream.
    Proxy(StreamId, ProxyMessage),
    /// A packet or an operator's query has arrived on the fleet's socket, or datagrams have been dropped.
    Fleet(FleetInput),
    /// Timers may be due.
    Tick,
    /// The process is about to exit: open requests fail, later ones are rejected.
    Shutdown,
}

/// A message of another proxy, which sends its requests to members itself.
#[derive(Clone, Debug)]
pub enum ProxyMessage {
    /// The proxy needs a member for a request.
    Request(DecisionRequest),
    /// The proxy reports how the attempt under a lease ended.
    Outcome {
        /// The lease.
        lease: LeaseId,
        /// The outcome of the attempt.
        outcome: LeaseOutcome,
        /// The member's replication state according to its response.
        replication: ReplicationState,
    },
    /// The proxy's stream is closed.
    StreamClosed,
}

/// An event on the fleet's socket.
#[derive(Debug)]
pub enum FleetInput {
    /// A packet of another router, whose signature has been verified.
    Packet(Packet),
    /// An operator's status query.
    OperatorQuery {
        /// The query.
        query: StatusMessage,
        /// The address to which the response is sent.
        from: SocketAddr,
    },
    /// Transport has dropped datagrams before they reached the router.
    DatagramsDropped {
        /// Why they were dropped.
        reason: DropReason,
        /// The number of datagrams.
        count: u64,
    },
}
