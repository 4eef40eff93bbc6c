//! The operations that the router requests from transport: a list of [`Effect`]s for each input, and the
//! types that effects contain.

use super::input::{ClientId, CommandId, ExchangeId};
use crate::protocol::host::Row;
use crate::protocol::statement::{Statement, StatementError};
use basalthill_extproc::{ProxyReply, StreamId};
use basalthill_policy::api::{MemberId, Time};
use std::net::SocketAddr;
use std::rc::Rc;

/// The reply to a client's command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The row that a host returned for the request.
    Served(Row),
    /// The request has been rejected, and the client may safely retry it: the request has not run, or running
    /// it again has no further effect.
    Rejected {
        /// The number of milliseconds after which to retry, if it is known.
        retry_after_ms: Option<u64>,
    },
    /// The request failed without a usable response of a host. A write may have run.
    Failed,
    /// The client has cancelled the request. A write may have run.
    Cancelled,
    /// The statement is not a request that this deployment serves. Nothing has run.
    Invalid(StatementError),
}

impl Reply {
    /// Returns the number of bytes that the row in the reply holds in memory.
    pub fn row_memory(&self) -> usize {
        match self {
            Reply::Served(row) => row.memory(),
            Reply::Rejected { .. } | Reply::Failed | Reply::Cancelled | Reply::Invalid(_) => 0,
        }
    }
}

/// The query of an exchange.
#[derive(Clone, Debug)]
pub enum Query {
    /// A client's statement.
    Statement {
        /// The statement as its client sent it.
        statement: Rc<Statement>,
        /// The deadline of the attempt. When transport sends the statement, it writes the remaining time
        /// into it, in milliseconds.
        deadline: Time,
        /// The read floor to write into the statement, a Unix time in milliseconds; `None` if the statement
        /// is sent with the position that its client gave.
        floor_ms: Option<u64>,
    },
    /// The SQL text of a health check.
    HealthCheck(&'static str),
}

impl Query {
    /// Returns the deadline of an attempt; `None` for a health check.
    pub fn deadline(&self) -> Option<Time> {
        match self {
            Query::Statement { deadline, .. } => Some(*deadline),
            Query::HealthCheck(_) => None,
        }
    }
}

/// The command that awaits the response of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The connection on which the command arrived.
    pub client: ClientId,
    /// The command.
    pub command: CommandId,
}

/// An exchange that transport must start.
#[derive(Clone, Debug)]
pub struct ExchangeStart {
    /// The id to be passed back with the result.
    pub id: ExchangeId,
    /// The member to which the query is sent.
    pub member: MemberId,
    /// The command that awaits the response; `None` for a health check.
    pub requester: Option<Requester>,
    /// The member's address.
    pub addr: SocketAddr,
    /// The query to send.
    pub query: Query,
}

/// An operation that transport must carry out. Effects are carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Start an exchange.
    StartExchange(ExchangeStart),
    /// Abort an exchange and close its connection. The router ignores its result from now on.
    AbortExchange(ExchangeId),
    /// Send a client the token of its session, before the next reply at the latest.
    SessionToken {
        /// The client.
        client: ClientId,
        /// The token, in the form in which the client sends it back.
        token: String,
    },
    /// Send a reply to another proxy.
    ProxyReply {
        /// The proxy's stream.
        stream: StreamId,
        /// The reply.
        reply: ProxyReply,
        /// The address of the member that the reply names, if it names one.
        addr: Option<SocketAddr>,
    },
    /// Send a datagram to another router or to an operator.
    SendDatagram {
        /// The receiver.
        to: SocketAddr,
        /// The signed packet.
        bytes: Vec<u8>,
    },
    /// Reply to a client's command.
    Reply {
        /// The client.
        client: ClientId,
        /// The command.
        command: CommandId,
        /// The reply.
        reply: Reply,
    },
    /// Close all idle connections to an address.
    CloseIdleConnections(SocketAddr),
    /// Close the idle connections to an address that are stale, because the process that accepted them has
    /// exited or the member has moved to another address.
    CloseConnectionsIdleSince {
        /// The address.
        addr: SocketAddr,
        /// Connections that were last used before this time are stale.
        before: Time,
    },
}
