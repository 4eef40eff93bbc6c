//! The thread that drives clients: it takes callers' commands, reports sockets' events and time to each
//! client's [`Core`], and carries out the core's actions.

mod connection;

use self::connection::Connection;
use crate::config::Config;
use crate::core::{Action, ConnectionId, Core, Counters, DisconnectReason, RequestId, TableSizes};
use crate::outcome::{RequestOutcome, RequestReport};
use crate::request::Request;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;

/// A client, in commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClientId(pub(crate) u64);

/// A request, in commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(pub(crate) u64);

/// What handles send to the thread.
pub(crate) enum Command {
    /// A client begins.
    AddClient { client: ClientId, config: Config },
    /// A request is to be executed.
    Execute { client: ClientId, call: CallId, request: Request, reply: Sender<RequestReport> },
    /// A request's caller does not wait any longer.
    Cancel { client: ClientId, call: CallId },
    /// The client's counters and sizes are wanted.
    Inspect { client: ClientId, reply: Sender<Inspection> },
    /// The last handle of a client was dropped.
    RemoveClient { client: ClientId },
}

/// A look at a client's state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inspection {
    /// What it has counted.
    pub(crate) counters: Counters,
    /// The sizes of its tables.
    pub(crate) table_sizes: TableSizes,
}

/// Drives clients until all senders of commands are dropped.
pub(crate) fn run(commands: &Receiver<Command>) {
    let executor = Rc::new(LocalExecutor::new());
    let mut clients = Clients { executor: Rc::clone(&executor), by_id: BTreeMap::new() };
    future::block_on(executor.run(async {
        while let Ok(command) = commands.recv().await {
            clients.handle(command);
        }
    }));
}

/// The clients of the thread.
struct Clients {
    executor: Rc<LocalExecutor<'static>>,
    by_id: BTreeMap<ClientId, RunningClient>,
}

/// A client, and the task that lets its core's time pass; the task ends when it is dropped.
struct RunningClient {
    driver: Rc<ClientDriver>,
    timer: Task<()>,
}

impl Clients {
    fn handle(&mut self, command: Command) {
        match command {
            Command::AddClient { client, config } => {
                let driver = Rc::new(ClientDriver::new(config, Rc::clone(&self.executor)));
                let timer = self.executor.spawn(drive_time(Rc::clone(&driver)));
                self.by_id.insert(client, RunningClient { driver, timer });
            }
            Command::Execute { client, call, request, reply } => {
                if let Some(client) = self.by_id.get(&client) {
                    client.driver.execute(call, request, reply);
                }
            }
            Command::Cancel { client, call } => {
                if let Some(client) = self.by_id.get(&client) {
                    client.driver.cancel(call);
                }
            }
            Command::Inspect { client, reply } => {
                if let Some(client) = self.by_id.get(&client) {
                    // The caller may have stopped waiting.
                    let _ = reply.try_send(client.driver.inspect());
                }
            }
            Command::RemoveClient { client } => {
                if let Some(RunningClient { driver, timer }) = self.by_id.remove(&client) {
                    driver.shut_down();
                    drop(timer);
                }
            }
        }
    }
}

/// A caller who waits for a report.
struct Caller {
    call: CallId,
    reply: Sender<RequestReport>,
}

/// One client on the thread. Its tasks share it; no borrow of a cell lasts over an `await`.
struct ClientDriver {
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    callers: RefCell<BTreeMap<RequestId, Caller>>,
    requests_by_call: RefCell<BTreeMap<CallId, RequestId>>,
    /// Wakes the timer task when an earlier timeout was set.
    timer_waker: RefCell<Option<Waker>>,
    /// The timeout that the timer task waits for.
    awaited_timeout: Cell<Option<Instant>>,
}

impl ClientDriver {
    fn new(config: Config, executor: Rc<LocalExecutor<'static>>) -> ClientDriver {
        ClientDriver {
            core: RefCell::new(Core::new(config)),
            executor,
            connections: RefCell::default(),
            callers: RefCell::default(),
            requests_by_call: RefCell::default(),
            timer_waker: RefCell::default(),
            awaited_timeout: Cell::default(),
        }
    }

    fn execute(self: &Rc<ClientDriver>, call: CallId, request: Request, reply: Sender<RequestReport>) {
        let id = self.core.borrow_mut().submit(Instant::now(), request);
        self.callers.borrow_mut().insert(id, Caller { call, reply });
        self.requests_by_call.borrow_mut().insert(call, id);
        self.perform_actions();
    }

    fn cancel(self: &Rc<ClientDriver>, call: CallId) {
        let request = self.requests_by_call.borrow_mut().remove(&call);
        if let Some(request) = request {
            self.callers.borrow_mut().remove(&request);
            self.core.borrow_mut().cancel(Instant::now(), request);
        }
        self.perform_actions();
    }

    fn inspect(&self) -> Inspection {
        let core = self.core.borrow();
        Inspection { counters: core.counters(), table_sizes: core.table_sizes() }
    }

    fn shut_down(self: &Rc<ClientDriver>) {
        self.core.borrow_mut().shut_down(Instant::now());
        self.perform_actions();
    }

    /// Carries out the core's actions until there are no more.
    fn perform_actions(self: &Rc<ClientDriver>) {
        loop {
            let Some(action) = self.core.borrow_mut().poll_action() else { break };
            match action {
                Action::Connect { connection, address } => self.connect(connection, address),
                Action::Write { connection, bytes, deadline } => self.write(connection, bytes, deadline),
                Action::Close { connection } => self.close(connection),
                Action::Complete { request, report } => self.complete(request, report),
            }
        }
        let next = self.core.borrow().next_timeout();
        let awaited = self.awaited_timeout.get();
        if next.is_some() && (awaited.is_none() || next < awaited) {
            wake(&self.timer_waker);
        }
    }

    fn connect(self: &Rc<ClientDriver>, id: ConnectionId, address: SocketAddr) {
        metrics::counter!("basalthill_client_connects_total").increment(1);
        let connection = Rc::new(Connection::default());
        self.connections.borrow_mut().insert(id, Rc::clone(&connection));
        let task = connection::run(Rc::clone(self), connection, id, address);
        self.executor.spawn(task).detach();
    }

    fn write(&self, id: ConnectionId, bytes: Vec<u8>, deadline: Option<Instant>) {
        let Some(connection) = self.connections.borrow().get(&id).cloned() else { return };
        // A connection that has ended, or that has something to read, is found out before a statement is
        // written to it: then the statement is known not to have run.
        let is_statement = deadline.is_some();
        if is_statement && !connection.is_quiet() {
            self.close(id);
            let mut core = self.core.borrow_mut();
            return core.handle_disconnected(Instant::now(), id, DisconnectReason::Other);
        }
        let written = connection.write(bytes, deadline);
        if connection.is_open() {
            self.core.borrow_mut().handle_written(id, written);
        }
    }

    /// Closes a connection's socket. The connection's task ends by itself: it may be the one that runs now.
    fn close(&self, id: ConnectionId) {
        if let Some(connection) = self.connections.borrow_mut().remove(&id) {
            connection.close();
        }
    }

    fn complete(&self, request: RequestId, report: RequestReport) {
        record_metrics(&report);
        if let Some(caller) = self.callers.borrow_mut().remove(&request) {
            self.requests_by_call.borrow_mut().remove(&caller.call);
            // The caller may have stopped waiting.
            let _ = caller.reply.try_send(report);
        }
    }
}

/// Lets a core's time pass.
async fn drive_time(driver: Rc<ClientDriver>) {
    loop {
        let awaited = driver.core.borrow().next_timeout();
        driver.awaited_timeout.set(awaited);
        future::or(sleep_until(awaited), earlier_timeout(&driver, awaited)).await;
        let is_due = driver.core.borrow().next_timeout().is_some_and(|due| due <= Instant::now());
        if is_due {
            driver.core.borrow_mut().handle_timeout(Instant::now());
            driver.perform_actions();
            // A timeout in the past must not keep the thread to itself.
            future::yield_now().await;
        }
    }
}

/// Waits for a time, forever without one.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => {
            Timer::at(time).await;
        }
        None => future::pending().await,
    }
}

/// Waits until the core has an earlier timeout than the awaited one.
async fn earlier_timeout(driver: &ClientDriver, awaited: Option<Instant>) {
    future::poll_fn(|context| {
        let next = driver.core.borrow().next_timeout();
        if next.is_some() && (awaited.is_none() || next < awaited) {
            return Poll::Ready(());
        }
        *driver.timer_waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    })
    .await;
}

/// Wakes the task that waits in a cell, if one does.
fn wake(waker: &RefCell<Option<Waker>>) {
    if let Some(waker) = waker.borrow_mut().take() {
        waker.wake();
    }
}

/// Reports a request to the metrics recorder that the program has installed.
fn record_metrics(report: &RequestReport) {
    let end = match &report.outcome {
        RequestOutcome::Served(_) => "served",
        RequestOutcome::Rejected(_) => "refused",
        RequestOutcome::DeadlineExceeded => "late",
        RequestOutcome::Failed => "failed",
        RequestOutcome::MayHaveRun => "may_have_run",
        RequestOutcome::Invalid(_) => "invalid",
        RequestOutcome::Stopped => "stopped",
    };
    metrics::counter!("basalthill_client_requests_total", "end" => end).increment(1);
    metrics::counter!("basalthill_client_tries_total").increment(report.attempts.len() as u64);
    metrics::histogram!("basalthill_client_request_seconds").record(report.elapsed.as_secs_f64());
}
