//! What the router has transport do: a list of [`Effect`]s for each input, and the types that they are made
//! of.

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
    /// The row that a host returned for this request.
    Served(Row),
    /// Rejected: nothing has run, and a retry is safe.
    Rejected {
        /// In how many milliseconds to retry, if that is known.
        retry_after_ms: Option<u64>,
    },
    /// Ended without an answer. A write may have run.
    Failed,
    /// Cancelled by the client. A write may have run.
    Cancelled,
    /// Not a request that this deployment serves; nothing has run.
    Invalid(StatementError),
}

/// The query of an exchange.
#[derive(Clone, Debug)]
pub enum Query {
    /// A client's statement.
    Statement {
        /// The statement as its client sent it.
        statement: Rc<Statement>,
        /// The end of the attempt's time. The host is sent what is left of it when the statement is written.
        deadline: Time,
        /// The position that a read must see, a Unix time in milliseconds, where hosts are sent one.
        floor_ms: Option<u64>,
    },
    /// The text of a health check.
    HealthCheck(&'static str),
}

/// An exchange that is to start.
#[derive(Clone, Debug)]
pub struct ExchangeStart {
    /// Its id, which its result comes back with.
    pub id: ExchangeId,
    /// The member that it goes to.
    pub member: MemberId,
    /// The client that waits for it; none for a health check.
    pub client: Option<ClientId>,
    /// The member's address.
    pub addr: SocketAddr,
    /// What is to be written.
    pub query: Query,
}

/// Something that transport is to do. Effects are carried out in their order.
#[derive(Debug)]
pub enum Effect {
    /// Start an exchange.
    StartExchange(ExchangeStart),
    /// Abort an exchange and close its connection. Its result is not awaited any more.
    AbortExchange(ExchangeId),
    /// Send a client its session's token, before an answer or with it.
    SessionToken {
        /// The client.
        client: ClientId,
        /// The token, as the client sends it back.
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
    /// Send a datagram to another router or an operator.
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
        /// Its command.
        command: CommandId,
        /// The reply.
        reply: Reply,
    },
    /// Close all idle connections to an address.
    CloseIdleConnections(SocketAddr),
    /// Close the connections to an address that have been idle since before a time: the process that accepted
    /// them has ended.
    CloseConnectionsIdleSince {
        /// The address.
        addr: SocketAddr,
        /// Connections last used before this time are closed.
        before: Time,
    },
}
