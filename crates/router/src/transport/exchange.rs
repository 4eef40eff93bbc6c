//! One query at one host: on a pooled connection, or on a new one. Nothing is sent twice.

use super::pool::{HostConnection, Taken};
use super::semaphore::{Permit, LOOK_AGAIN};
use super::{io, Hub};
use crate::protocol::host::{self, HostCodec, HostMessage, QueryOutcome, ReportedState};
use crate::routing::{ExchangeResult, ExchangeStart, Input, Query};
use async_io::{Async, Timer};
use basalthill_config::router::ANSWER_STALL_TIMEOUT;
use basalthill_fleet::Budget;
use futures_lite::future;
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Runs a query to its end. Dropped before that, it closes its connection: an answer that comes late must not
/// meet the next request.
pub async fn run(hub: &Rc<Hub>, order: ExchangeStart) -> ExchangeResult {
    let ExchangeStart { id, member, client, addr, query } = order;
    let mut connection = loop {
        match hub.pool.take(addr) {
            Taken::Ready(connection) => break connection,
            Taken::Resting(left) => drop(Timer::after(left).await),
            // A want of connects over all routers says nothing of the member. Probes have a budget of
            // their own.
            Taken::Nothing if !may_connect(hub, &query) => return ExchangeResult::Skipped,
            Taken::Nothing => match connect(hub, addr).await {
                Ok(connection) => break connection,
                Err(ended) => return ended,
            },
        }
    };
    // The connection may have come up after a drain's grace, or its host's parting may have been told
    // meanwhile. The client may have left while its request waited here, and with many others to be served,
    // its task has not seen it yet.
    if client.is_some_and(|client| hub.clients.left(client)) {
        client.into_iter().for_each(|client| hub.input(Input::ClientDisconnected(client)));
    }
    if !hub.router.borrow().may_write(hub.clock.now(), id, member) {
        hub.pool.put(addr, connection);
        return ExchangeResult::Skipped;
    }
    connection.side.begin_query();
    if let Err(e) = write(hub, &connection.stream, &query).await {
        log::debug!("{addr}: broke before the last byte: {e}");
        return ExchangeResult::NotSent;
    }
    let ended = answer(hub, addr, &mut connection).await;
    if connection.side.is_idle() && !hub.closing.get() {
        hub.pool.put(addr, connection);
    }
    ended
}

fn may_connect(hub: &Hub, query: &Query) -> bool {
    let own = matches!(query, Query::HealthCheck(_));
    own || hub.router.borrow_mut().spend_budget(hub.clock.now(), Budget::Connects)
}

/// A connection that its host has welcomed. A want of this router's own, descriptors first, passes as
/// exchanges end: it is waited out within the time for a connection. What is still wanting then is no failure
/// of the host's, or the decisions would take a sound one out of service.
async fn connect(hub: &Rc<Hub>, addr: SocketAddr) -> Result<HostConnection, ExchangeResult> {
    let wanting = Cell::new(true);
    let up = async {
        loop {
            if let Some(permit) = hub.permit().await {
                wanting.set(false);
                match Async::<TcpStream>::connect(addr).await {
                    Ok(stream) => return welcome(hub, addr, stream, permit).await,
                    Err(e) if io::passes(&e) => wanting.set(true),
                    Err(_) => return Err(ExchangeResult::NotSent),
                }
            }
            Timer::after(LOOK_AGAIN).await;
            if let Taken::Ready(connection) = hub.pool.take(addr) {
                return Ok(connection);
            }
        }
    };
    let late = async {
        Timer::after(hub.connect_timeout).await;
        if !wanting.get() {
            return Err(ExchangeResult::NotSent);
        }
        log::warn!("{addr}: nothing left for a connection, descriptors or the like");
        Err(ExchangeResult::Skipped)
    };
    future::or(up, late).await
}

/// Sends the startup message and waits until the host is ready for a query.
async fn welcome(
    hub: &Rc<Hub>,
    addr: SocketAddr,
    stream: Async<TcpStream>,
    permit: Permit,
) -> Result<HostConnection, ExchangeResult> {
    let _ = stream.get_ref().set_nodelay(true);
    io::write(&stream, &[&host::startup()]).await.map_err(|_| ExchangeResult::NotSent)?;
    let mut side = HostCodec::default();
    loop {
        match side.next_message() {
            Ok(Some(HostMessage::Ready)) => return Ok(HostConnection { stream, side, _permit: permit }),
            Ok(Some(HostMessage::Rejected(code))) => return Err(ExchangeResult::ConnectionRejected(code)),
            Ok(Some(HostMessage::QueryEnded(..))) => return Err(ExchangeResult::NotSent),
            Ok(None) => {}
            Err(e) => {
                log::warn!("{addr}: {e}");
                return Err(ExchangeResult::NotSent);
            }
        }
        if !matches!(io::read(hub, &stream, |bytes| side.feed(bytes)).await, Ok(1..)) {
            return Err(ExchangeResult::NotSent);
        }
    }
}

async fn write(hub: &Hub, stream: &Async<TcpStream>, query: &Query) -> std::io::Result<()> {
    match query {
        Query::Statement { statement, deadline: until, floor_ms: floor } => {
            // What is left now: the connection may have taken its time to come up.
            let left_ms = until.since(hub.clock.now()).0 / 1_000_000;
            let (figure, floor) = (left_ms.max(1).to_string(), floor.map(|ms| ms.to_string()));
            let text = statement.text_parts(&figure, floor.as_deref());
            let head = host::query_head(text.iter().map(|part| part.len()).sum());
            let mut parts = Vec::with_capacity(text.len() + 2);
            parts.push(&head[..]);
            parts.extend(text);
            parts.push(&[0]);
            io::write(stream, &parts).await
        }
        Query::HealthCheck(text) => io::write(stream, &[&host::query(text)]).await,
    }
}

/// The host's answer, or how it came to nothing. One that has begun and does not go on is not waited for: its
/// host has written all that it ever will.
async fn answer(hub: &Rc<Hub>, addr: SocketAddr, connection: &mut HostConnection) -> ExchangeResult {
    let HostConnection { stream, side, .. } = connection;
    let salvaged = |side: &mut HostCodec| match side.take_complete_row() {
        Some(row) => ExchangeResult::Answered(QueryOutcome::Row(row), ReportedState::default()),
        None => ExchangeResult::MalformedResponse,
    };
    loop {
        match side.next_message() {
            Ok(Some(HostMessage::QueryEnded(ending, telling))) => {
                return ExchangeResult::Answered(ending, telling)
            }
            Ok(Some(_)) => return ExchangeResult::MalformedResponse,
            Ok(None) => {}
            Err(e) => {
                log::debug!("{addr}: {e}");
                return salvaged(side);
            }
        }
        let begun = side.answer_started();
        let pause = async {
            match begun {
                true => drop(Timer::after(Duration::from_nanos(ANSWER_STALL_TIMEOUT.0)).await),
                false => future::pending().await,
            }
            None
        };
        let read = async { Some(io::read(hub, stream, |bytes| side.feed(bytes)).await) };
        match future::or(read, pause).await {
            Some(Ok(1..)) => {}
            // An error that ends the connection comes without ReadyForQuery.
            Some(_) => {
                return side.on_close().map_or(ExchangeResult::ConnectionLost, |(e, telling)| {
                    ExchangeResult::Answered(e, telling)
                })
            }
            None => {
                log::debug!("{addr}: an answer that has begun does not go on");
                return salvaged(side);
            }
        }
    }
}

#[cfg(test)]
mod tests;
