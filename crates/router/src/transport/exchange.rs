//! One query at one host: on a pooled connection, or on a new one. Nothing is sent twice.

use super::driver::Driver;
use super::io;
use super::pool::{Checkout, HostConnection};
use super::semaphore::{Permit, RETRY_INTERVAL};
use crate::protocol::host::{self, HostCodec, HostMessage, QueryOutcome, ReportedState};
use crate::routing::{ExchangeId, ExchangeResult, ExchangeStart, Input, Query};
use async_executor::Task;
use async_io::{Async, Timer};
use basalthill_config::router::RESPONSE_STALL_TIMEOUT;
use basalthill_fleet::Budget;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// An answer that has begun is given up after a pause of this length.
const STALL_TIMEOUT: Duration = Duration::from_nanos(RESPONSE_STALL_TIMEOUT.0);
/// The end of a string in a message.
const TERMINATOR: &[u8] = &[0];
/// Nanoseconds in a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// The tasks of the exchanges that are under way.
#[derive(Default)]
pub struct RunningExchanges(RefCell<BTreeMap<ExchangeId, Task<()>>>);

impl RunningExchanges {
    /// Takes an exchange's task; it is cancelled with this or by [`RunningExchanges::abort`].
    pub fn insert(&self, id: ExchangeId, task: Task<()>) {
        self.0.borrow_mut().insert(id, task);
    }

    /// Cancels an exchange: its connection is closed.
    pub fn abort(&self, id: ExchangeId) {
        self.0.borrow_mut().remove(&id);
    }

    /// Forgets an exchange that comes to its end by itself.
    pub fn detach(&self, id: ExchangeId) {
        if let Some(task) = self.0.borrow_mut().remove(&id) {
            task.detach();
        }
    }

    /// How many exchanges are under way.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Runs a query to its end. Dropped before that, it closes its connection: an answer that arrives late must
/// not meet the next request.
pub async fn run(driver: &Rc<Driver>, start: ExchangeStart) -> ExchangeResult {
    let ExchangeStart { id, member, client, addr, query } = start;
    let mut connection = match obtain_connection(driver, addr, &query).await {
        Ok(connection) => connection,
        Err(result) => return result,
    };
    // The client may have gone while its request waited here, and with many others to be served, its task has
    // not seen it yet.
    if let Some(client) = client.filter(|client| driver.clients.has_disconnected(*client)) {
        driver.handle(Input::ClientDisconnected(client));
    }
    // The connection may have come up after a drain's grace, or the host's departure may have become known
    // meanwhile.
    if !driver.router.borrow().may_write(driver.clock.now(), id, member) {
        driver.pool.check_in(addr, connection);
        return ExchangeResult::Skipped;
    }
    connection.codec.begin_query();
    if let Err(e) = write_query(driver, &connection.stream, &query).await {
        tracing::debug!(%addr, error = %e, "host connection broke before the query's last byte");
        return ExchangeResult::NotSent;
    }
    let result = read_answer(driver, addr, &mut connection).await;
    if connection.codec.is_idle() && !driver.shutdown.is_draining() {
        driver.pool.check_in(addr, connection);
    }
    result
}

/// A connection from the pool, or a new one.
async fn obtain_connection(
    driver: &Rc<Driver>,
    addr: SocketAddr,
    query: &Query,
) -> Result<HostConnection, ExchangeResult> {
    loop {
        match driver.pool.check_out(addr) {
            Checkout::Ready(connection) => return Ok(connection),
            Checkout::ReusableAfter(delay) => drop(Timer::after(delay).await),
            // That all routers together have no budget left says nothing of the member.
            Checkout::Empty if !may_connect(driver, query) => return Err(ExchangeResult::Skipped),
            Checkout::Empty => return connect(driver, addr).await,
        }
    }
}

/// Whether the budget of all routers has a connect for this query. Health checks have a budget of their own.
fn may_connect(driver: &Driver, query: &Query) -> bool {
    let is_health_check = matches!(query, Query::HealthCheck(_));
    is_health_check || driver.router.borrow_mut().spend_budget(driver.clock.now(), Budget::Connects)
}

/// A new connection that its host has accepted. Where this router itself has nothing left for it, descriptors
/// first, it waits within the timeout: that passes as exchanges end. What is missing then is no failure of
/// the host, or the policy would take a sound one out of service.
async fn connect(driver: &Rc<Driver>, addr: SocketAddr) -> Result<HostConnection, ExchangeResult> {
    let lacks_resources = Cell::new(true);
    let connected = connect_with_retries(driver, addr, &lacks_resources);
    let timed_out = async {
        Timer::after(driver.pool.connect_timeout()).await;
        if !lacks_resources.get() {
            return Err(ExchangeResult::NotSent);
        }
        tracing::warn!(%addr, "nothing left for a connection to a host: descriptors, memory or ports");
        Err(ExchangeResult::Skipped)
    };
    future::or(connected, timed_out).await
}

/// Connects, again and again while this router lacks the resources for it; `lacks_resources` shows whether it
/// does.
async fn connect_with_retries(
    driver: &Rc<Driver>,
    addr: SocketAddr,
    lacks_resources: &Cell<bool>,
) -> Result<HostConnection, ExchangeResult> {
    loop {
        if let Some(descriptor) = driver.acquire_descriptor().await {
            lacks_resources.set(false);
            match Async::<TcpStream>::connect(addr).await {
                Ok(stream) => return start_up(driver, addr, stream, descriptor).await,
                Err(e) if io::is_transient(&e) => lacks_resources.set(true),
                Err(_) => return Err(ExchangeResult::NotSent),
            }
        }
        Timer::after(RETRY_INTERVAL).await;
        if let Checkout::Ready(connection) = driver.pool.check_out(addr) {
            return Ok(connection);
        }
    }
}

/// Sends the startup message and waits until the host is ready for a query.
async fn start_up(
    driver: &Driver,
    addr: SocketAddr,
    stream: Async<TcpStream>,
    descriptor: Permit,
) -> Result<HostConnection, ExchangeResult> {
    let _ = stream.get_ref().set_nodelay(true);
    io::write_all(&stream, &[&host::startup()]).await.map_err(|_| ExchangeResult::NotSent)?;
    let mut codec = HostCodec::default();
    loop {
        match codec.next_message() {
            Ok(Some(HostMessage::Ready)) => {
                return Ok(HostConnection { stream, codec, _descriptor: descriptor });
            }
            Ok(Some(HostMessage::Rejected(code))) => return Err(ExchangeResult::ConnectionRejected(code)),
            Ok(Some(HostMessage::QueryEnded(..))) => return Err(ExchangeResult::NotSent),
            Ok(None) => {}
            Err(e) => {
                tracing::warn!(%addr, error = %e, "a host's startup can't be read");
                return Err(ExchangeResult::NotSent);
            }
        }
        if !matches!(driver.read_buffer.read(&stream, |bytes| codec.feed(bytes)).await, Ok(1..)) {
            return Err(ExchangeResult::NotSent);
        }
    }
}

async fn write_query(driver: &Driver, stream: &Async<TcpStream>, query: &Query) -> std::io::Result<()> {
    match query {
        Query::Statement { statement, deadline, floor_ms } => {
            // What is left now: the connection may have taken its time to come up.
            let left_ms = deadline.since(driver.clock.now()).0 / NANOS_PER_MS;
            let left_ms = left_ms.max(1).to_string();
            let floor_ms = floor_ms.map(|ms| ms.to_string());
            let text = statement.text_parts(&left_ms, floor_ms.as_deref());
            let head = host::query_head(text.iter().map(|part| part.len()).sum());
            let mut parts = Vec::with_capacity(text.len() + 2);
            parts.push(&head[..]);
            parts.extend(text);
            parts.push(TERMINATOR);
            io::write_all(stream, &parts).await
        }
        Query::HealthCheck(text) => io::write_all(stream, &[&host::query(text)]).await,
    }
}

/// The host's answer, or how it came to nothing. One that has begun and does not go on is not waited for: its
/// host has written all that it ever will.
async fn read_answer(driver: &Driver, addr: SocketAddr, connection: &mut HostConnection) -> ExchangeResult {
    let HostConnection { stream, codec, .. } = connection;
    loop {
        match codec.next_message() {
            Ok(Some(HostMessage::QueryEnded(outcome, state))) => {
                return ExchangeResult::Response(outcome, state);
            }
            Ok(Some(_)) => return ExchangeResult::MalformedResponse,
            Ok(None) => {}
            Err(e) => {
                tracing::debug!(%addr, error = %e, "a host's answer can't be read");
                return complete_row_or_malformed(codec);
            }
        }
        let has_started = codec.response_started();
        let stalled = async {
            match has_started {
                true => drop(Timer::after(STALL_TIMEOUT).await),
                false => future::pending().await,
            }
            None
        };
        let read = async { Some(driver.read_buffer.read(stream, |bytes| codec.feed(bytes)).await) };
        match future::or(read, stalled).await {
            Some(Ok(1..)) => {}
            Some(_) => return result_at_close(codec),
            None => {
                tracing::debug!(%addr, "a host's answer has begun and does not go on");
                return complete_row_or_malformed(codec);
            }
        }
    }
}

/// The result of an answer that can't be read to its end: its row, if that is complete.
fn complete_row_or_malformed(codec: &mut HostCodec) -> ExchangeResult {
    match codec.take_complete_row() {
        Some(row) => ExchangeResult::Response(QueryOutcome::Row(row), ReportedState::default()),
        None => ExchangeResult::MalformedResponse,
    }
}

/// The result as the host closes the connection: an error that ends it comes without ReadyForQuery.
fn result_at_close(codec: &mut HostCodec) -> ExchangeResult {
    match codec.on_close() {
        Some((outcome, state)) => ExchangeResult::Response(outcome, state),
        None => ExchangeResult::ConnectionLost,
    }
}

#[cfg(test)]
mod tests;
