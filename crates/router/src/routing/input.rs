//! What transport hands to the router: one [`Input`] for each event, and the types that it is made of.

use crate::protocol::discovery::HostList;
use crate::protocol::host::{QueryOutcome, ReportedState};
use crate::protocol::statement::Statement;
use basalthill_extproc::{DecisionRequest, LeaseId, LeaseOutcome, StreamId};
use basalthill_fleet::packet::{Packet, StatusMessage};
use basalthill_fleet::DropReason;
use basalthill_policy::api::{Attempt, ReplicationState, RequestId, Time};
use std::net::SocketAddr;

/// A client's connection, numbered in the order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A command's number on its connection. Several commands of one connection may be open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandId(pub u64);

/// A client's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The connection that it came on.
    pub client: ClientId,
    /// Its command on that connection.
    pub command: CommandId,
    /// The parsed statement.
    pub statement: Box<Statement>,
    /// When the command's last byte arrived. The command may have waited behind others since then; its
    /// deadline counts from here.
    pub arrived_at: Time,
}

/// One exchange with a database host: an attempt of a request, or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExchangeId {
    /// An attempt of a request.
    Attempt(RequestId, Attempt),
    /// A health check, by its number.
    Probe(u64),
}

/// How an exchange with a host ended, as transport saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeResult {
    /// The host answered the query, and reported its state with the answer.
    Response(QueryOutcome, ReportedState),
    /// The host rejected the connection: an ErrorResponse with this SQLSTATE during startup.
    ConnectionRejected(String),
    /// No connection came up, or it was lost before the query's last byte was written: nothing ran.
    NotSent,
    /// The query was deliberately not written: the drain grace period had passed, the client had
    /// disconnected, or this router had no descriptor left. It is neither the host's fault nor a failed
    /// connection.
    Skipped,
    /// The connection was lost after the query's last byte was written: the query may have run.
    ConnectionLost,
    /// The host's response violates the protocol: the query may have run.
    MalformedResponse,
}

/// An event for the router. Each is handed over with the time at which it happened.
#[derive(Debug)]
pub enum Input {
    /// A client's connection has been accepted.
    ClientConnected(ClientId),
    /// A client has sent a request.
    Request(ClientRequest),
    /// A client's connection has ended. Repeats are ignored.
    ClientDisconnected(ClientId),
    /// An exchange has ended. Results of exchanges that have ended before are ignored.
    ExchangeFinished(ExchangeId, ExchangeResult),
    /// A client cancels its first unanswered request and stays connected.
    CancelRequested(ClientId),
    /// Discovery has sent the list of endpoints or changes to it.
    EndpointList {
        /// The list, complete or changes only.
        list: HostList,
        /// The earliest time at which its content may have been true: before its arrival, where a watch was
        /// silent.
        valid_since: Time,
    },
    /// Another proxy has sent a message on its stream.
    Proxy(StreamId, ProxyMessage),
    /// Something for the fleet's limits has arrived.
    Fleet(FleetInput),
    /// Timers may be due.
    Tick,
    /// The program is about to end: open requests fail, later ones are rejected.
    Shutdown,
}

/// A message of another proxy, which sends its requests to members itself.
#[derive(Clone, Debug)]
pub enum ProxyMessage {
    /// It needs a member for a request.
    Request(DecisionRequest),
    /// It reports how the attempt under a lease ended.
    Outcome {
        /// The lease.
        lease: LeaseId,
        /// How the attempt ended.
        outcome: LeaseOutcome,
        /// The member's replication state according to its answer.
        replication: ReplicationState,
    },
    /// Its stream has ended.
    StreamClosed,
}

/// What arrives on the fleet's socket.
#[derive(Debug)]
pub enum FleetInput {
    /// Another router's packet; its signature has been verified.
    Packet(Packet),
    /// An operator's status query.
    OperatorQuery {
        /// The query.
        query: StatusMessage,
        /// The address that gets the response.
        from: SocketAddr,
    },
    /// Datagrams have been dropped before they reached the router.
    DatagramsDropped {
        /// The reason.
        reason: DropReason,
        /// How many.
        count: u64,
    },
}
