//! Exchanges: one query and its response on a host connection, either pooled or new. A query is never sent
//! twice.

use super::driver::Driver;
use super::io;
use super::memory_budget::MemoryAccount;
use super::pool::{Checkout, HostConnection};
use super::response_memory::{self, AwaitedResponse};
use super::semaphore::{Permit, RETRY_INTERVAL};
use crate::protocol::host::{self, HostCodec, HostEvent, QueryOutcome, ReportedState};
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

/// The longest pause in a response that has begun; after it the response counts as incomplete.
const STALL_TIMEOUT: Duration = Duration::from_nanos(RESPONSE_STALL_TIMEOUT.0);
/// The zero byte that terminates a string in a message.
const TERMINATOR: &[u8] = &[0];
/// Nanoseconds per millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// The tasks of the exchanges that are in flight.
#[derive(Default)]
pub struct RunningExchanges(RefCell<BTreeMap<ExchangeId, Task<()>>>);

impl RunningExchanges {
    /// Stores an exchange's task. The task is cancelled by [`RunningExchanges::abort`], or when this is
    /// dropped.
    pub fn insert(&self, id: ExchangeId, task: Task<()>) {
        self.0.borrow_mut().insert(id, task);
    }

    /// Cancels an exchange, which closes its connection.
    pub fn abort(&self, id: ExchangeId) {
        self.0.borrow_mut().remove(&id);
    }

    /// Removes an exchange that is completing, without cancelling its task.
    pub fn detach(&self, id: ExchangeId) {
        if let Some(task) = self.0.borrow_mut().remove(&id) {
            task.detach();
        }
    }

    /// Returns the number of exchanges in flight.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }
}

/// The result of an exchange.
pub struct FinishedExchange {
    /// The result for routing.
    pub result: ExchangeResult,
    /// The account that the memory of the result's row is charged to.
    pub row_memory: MemoryAccount,
}

/// Runs one exchange and returns its result. If the future is dropped before it completes, the connection is
/// closed, so that a late response can't be taken for the response to a later query.
pub async fn run(driver: &Rc<Driver>, start: ExchangeStart) -> FinishedExchange {
    let row_memory = driver.response_memory.open_account(0);
    let result = match obtain_connection(driver, start.addr, &start.query).await {
        Ok(connection) => run_on_connection(driver, start, connection, &row_memory).await,
        Err(result) => result,
    };
    FinishedExchange { result, row_memory }
}

/// Runs an exchange on an open connection, which returns to the pool afterwards if it can be reused. The
/// memory of the result's row is charged to `row_memory`.
async fn run_on_connection(
    driver: &Rc<Driver>,
    start: ExchangeStart,
    mut connection: HostConnection,
    row_memory: &MemoryAccount,
) -> ExchangeResult {
    let ExchangeStart { id, member, requester, addr, query } = start;
    // The client may have disconnected while the exchange waited for a connection. On a busy router the
    // client's task may not have been scheduled since, so the socket is checked here.
    let client = requester.map(|requester| requester.client);
    if let Some(client) = client.filter(|client| driver.clients.has_disconnected(*client)) {
        driver.handle(Input::ClientDisconnected(client));
    }
    // While the exchange waited for a connection, the request may have been completed, the grace period of a
    // draining host may have passed, or an endpoint list without the host may have been received.
    if !driver.router.borrow().may_write(driver.clock.now(), id, member) {
        driver.pool.check_in(addr, connection);
        return ExchangeResult::Skipped;
    }
    connection.codec.begin_query();
    if let Err(e) = write_query(driver, &connection.stream, &query).await {
        tracing::debug!(%addr, error = %e, "host connection failed before the query was written completely");
        return ExchangeResult::NotSent;
    }
    let awaited =
        requester.zip(query.deadline()).map(|(requester, deadline)| AwaitedResponse { requester, deadline });
    let result = read_response(driver, addr, &mut connection, awaited).await;
    row_memory.set_held(result.row_memory());
    connection.memory.set_held(connection.codec.memory());
    connection.memory.release_reservation();
    if connection.codec.is_idle() && !driver.shutdown.is_draining() {
        driver.pool.check_in(addr, connection);
    }
    result
}

/// Returns a connection from the pool, or opens a new one.
async fn obtain_connection(
    driver: &Rc<Driver>,
    addr: SocketAddr,
    query: &Query,
) -> Result<HostConnection, ExchangeResult> {
    loop {
        match driver.pool.check_out(addr) {
            Checkout::Ready(connection) => return Ok(*connection),
            Checkout::ReusableAfter(delay) => drop(Timer::after(delay).await),
            // The connect budget is shared by all routers; its exhaustion is not a failure of the member.
            Checkout::Empty if !may_connect(driver, query) => return Err(ExchangeResult::Skipped),
            Checkout::Empty => return connect(driver, addr).await,
        }
    }
}

/// Returns whether a new connection may be opened for this query, and spends the routers' shared connect
/// budget if so. Health checks don't count against that budget; they have a separate budget.
fn may_connect(driver: &Driver, query: &Query) -> bool {
    let is_health_check = matches!(query, Query::HealthCheck(_));
    is_health_check || driver.router.borrow_mut().spend_budget(driver.clock.now(), Budget::Connects)
}

/// Opens a connection and completes its startup, within the connect timeout. If this router lacks local
/// resources, such as descriptors, it retries within the timeout, because completing exchanges release them.
/// If it still lacks them at the timeout, the result is [`ExchangeResult::Skipped`]: if the result were a
/// failure of the host, the policy would eject a healthy host.
async fn connect(driver: &Rc<Driver>, addr: SocketAddr) -> Result<HostConnection, ExchangeResult> {
    let lacks_resources = Cell::new(true);
    let connected = connect_with_retries(driver, addr, &lacks_resources);
    let timed_out = async {
        Timer::after(driver.pool.connect_timeout()).await;
        if !lacks_resources.get() {
            return Err(ExchangeResult::NotSent);
        }
        tracing::warn!(%addr, "connect timed out: router is out of descriptors, memory or ports");
        Err(ExchangeResult::Skipped)
    };
    future::or(connected, timed_out).await
}

/// Opens a connection, retrying while this router lacks the local resources for it. `lacks_resources` is true
/// while a lack of resources prevents the connect; the caller reads it at a timeout.
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
            return Ok(*connection);
        }
    }
}

/// Sends the startup message and waits for the host's ReadyForQuery.
async fn start_up(
    driver: &Driver,
    addr: SocketAddr,
    stream: Async<TcpStream>,
    descriptor: Permit,
) -> Result<HostConnection, ExchangeResult> {
    let _ = stream.get_ref().set_nodelay(true);
    io::write_all(&stream, &[&host::startup()]).await.map_err(|_| ExchangeResult::NotSent)?;
    let memory = driver.open_response_account();
    let mut connection =
        HostConnection { stream, codec: HostCodec::default(), memory, _descriptor: descriptor };
    loop {
        match connection.codec.next_event() {
            Ok(Some(HostEvent::Ready)) => return Ok(connection),
            Ok(Some(HostEvent::Rejected(code))) => return Err(ExchangeResult::ConnectionRejected(code)),
            Ok(Some(HostEvent::QueryEnded(..))) => return Err(ExchangeResult::NotSent),
            Ok(None) => {}
            Err(e) => {
                tracing::warn!(%addr, error = %e, "invalid startup response from a host");
                return Err(ExchangeResult::NotSent);
            }
        }
        response_memory::reserve_next_read(driver, &mut connection, None).await;
        if !matches!(connection.read(&driver.read_buffer).await, Ok(1..)) {
            return Err(ExchangeResult::NotSent);
        }
    }
}

async fn write_query(driver: &Driver, stream: &Async<TcpStream>, query: &Query) -> std::io::Result<()> {
    match query {
        Query::Statement { statement, deadline, floor_ms } => {
            // The time that is left now, after the connection has been opened.
            let remaining_ms = deadline.since(driver.clock.now()).0 / NS_PER_MS;
            let remaining_ms = remaining_ms.max(1).to_string();
            let floor_ms = floor_ms.map(|ms| ms.to_string());
            let text = statement.text_parts(&remaining_ms, floor_ms.as_deref());
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

/// Reads the response and returns the result of the exchange. A response that has begun and then pauses for
/// [`STALL_TIMEOUT`] is not waited for any longer: hosts write a response without pauses of that length, so
/// the rest would never be received.
async fn read_response(
    driver: &Driver,
    addr: SocketAddr,
    connection: &mut HostConnection,
    awaited: Option<AwaitedResponse>,
) -> ExchangeResult {
    loop {
        match connection.codec.next_event() {
            Ok(Some(HostEvent::QueryEnded(outcome, state))) => {
                return ExchangeResult::Response(outcome, state);
            }
            Ok(Some(_)) => return ExchangeResult::MalformedResponse,
            Ok(None) => {}
            Err(e) => {
                tracing::debug!(%addr, error = %e, "invalid response from a host");
                return complete_row_or_malformed(&mut connection.codec);
            }
        }
        response_memory::reserve_next_read(driver, connection, awaited).await;
        let has_begun = connection.codec.response_started();
        let stalled = async {
            match has_begun {
                true => drop(Timer::after(STALL_TIMEOUT).await),
                false => future::pending().await,
            }
            None
        };
        let read = async { Some(connection.read(&driver.read_buffer).await) };
        match future::or(read, stalled).await {
            Some(Ok(1..)) => {}
            Some(_) => return result_at_close(&mut connection.codec),
            None => {
                tracing::debug!(%addr, "response from a host stalled for {STALL_TIMEOUT:?}");
                return complete_row_or_malformed(&mut connection.codec);
            }
        }
    }
}

/// Returns the result of a response that is invalid or incomplete after some point: the row if it was
/// received completely, or else [`ExchangeResult::MalformedResponse`].
fn complete_row_or_malformed(codec: &mut HostCodec) -> ExchangeResult {
    match codec.take_complete_row() {
        Some(row) => ExchangeResult::Response(QueryOutcome::Row(row), ReportedState::default()),
        None => ExchangeResult::MalformedResponse,
    }
}

/// Returns the result when the host has closed the connection. A fatal error counts as a complete response,
/// because no ReadyForQuery follows it.
fn result_at_close(codec: &mut HostCodec) -> ExchangeResult {
    match codec.on_close() {
        Some((outcome, state)) => ExchangeResult::Response(outcome, state),
        None => ExchangeResult::ConnectionLost,
    }
}

#[cfg(test)]
mod tests;
