//! The thread that drives clients. It receives callers' commands, reports socket events and timeouts to each
//! client's [`Core`], and executes the core's actions.

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

/// The id of a client, unique within its thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClientId(pub(crate) u64);

/// The id of a call of [`Client::execute`](crate::Client::execute), unique within its thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(pub(crate) u64);

/// A command from a handle to the thread.
pub(crate) enum Command {
    /// Creates a client.
    AddClient { client: ClientId, config: Config },
    /// Executes a request and sends its report to `reply`.
    Execute { client: ClientId, call: CallId, request: Request, reply: Sender<RequestReport> },
    /// Cancels a request whose caller no longer waits for it.
    Cancel { client: ClientId, call: CallId },
    /// Sends the client's counters and table sizes to `reply`.
    Inspect { client: ClientId, reply: Sender<Inspection> },
    /// Stops a client whose last handle has been dropped.
    RemoveClient { client: ClientId },
}

/// A snapshot of a client's counters and table sizes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inspection {
    /// The client's counters.
    pub(crate) counters: Counters,
    /// The sizes of the client's tables.
    pub(crate) table_sizes: TableSizes,
}

/// Drives clients until all senders of `commands` are dropped.
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

/// A client's driver and its timer task. Dropping the task cancels it.
struct RunningClient {
    driver: Rc<ClientDriver>,
    timer: Task<()>,
}

impl Clients {
    fn handle(&mut self, command: Command) {
        match command {
            Command::AddClient { client, config } => {
                let driver = Rc::new(ClientDriver::new(config, Rc::clone(&self.executor)));
                let timer = self.executor.spawn(run_timer(Rc::clone(&driver)));
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
                    // This fails if the caller has stopped waiting.
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

/// A caller that waits for a report.
struct Caller {
    call: CallId,
    reply: Sender<RequestReport>,
}

/// The driver of one client, shared by the client's tasks. No borrow of a cell may be held across an `await`,
/// since another task that borrows the cell would panic.
struct ClientDriver {
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    callers: RefCell<BTreeMap<RequestId, Caller>>,
    requests_by_call: RefCell<BTreeMap<CallId, RequestId>>,
    /// Wakes the timer task when the core's next timeout is earlier than the one it waits for.
    timer_waker: RefCell<Option<Waker>>,
    /// The timeout that the timer task waits for; `None` if the core had none.
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

    /// Executes the core's actions until there are no more, then wakes the timer task if the core's next
    /// timeout has become earlier.
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
        // Before a statement is written, the socket is checked for the end of the stream and for unexpected
        // input. If the connection is closed here, the statement is known not to have run and can be retried.
        let is_statement = deadline.is_some();
        if is_statement && !connection.is_input_empty() {
            self.close(id);
            let mut core = self.core.borrow_mut();
            return core.handle_disconnected(Instant::now(), id, DisconnectReason::Other);
        }
        let written = connection.write(bytes, deadline);
        if connection.is_open() {
            self.core.borrow_mut().handle_written(id, written);
        }
    }

    /// Closes a connection's socket. The connection's task is not cancelled here, since it may be the caller;
    /// it ends when it finds the socket closed.
    fn close(&self, id: ConnectionId) {
        if let Some(connection) = self.connections.borrow_mut().remove(&id) {
            connection.close();
        }
    }

    fn complete(&self, request: RequestId, report: RequestReport) {
        record_metrics(&report);
        if let Some(caller) = self.callers.borrow_mut().remove(&request) {
            self.requests_by_call.borrow_mut().remove(&caller.call);
            // This fails if the caller has stopped waiting.
            let _ = caller.reply.try_send(report);
        }
    }
}

/// Runs the timer task of a client: reports each timeout to the core when it is due.
async fn run_timer(driver: Rc<ClientDriver>) {
    loop {
        let awaited = driver.core.borrow().next_timeout();
        driver.awaited_timeout.set(awaited);
        future::or(sleep_until(awaited), wait_for_earlier_timeout(&driver, awaited)).await;
        let is_due = driver.core.borrow().next_timeout().is_some_and(|due| due <= Instant::now());
        if is_due {
            driver.core.borrow_mut().handle_timeout(Instant::now());
            driver.perform_actions();
            // Lets other tasks run even if the core's next timeout is already due.
            future::yield_now().await;
        }
    }
}

/// Waits until `time`, or forever if it is `None`.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => {
            Timer::at(time).await;
        }
        None => future::pending().await,
    }
}

/// Waits until the core's next timeout is earlier than `awaited`.
async fn wait_for_earlier_timeout(driver: &ClientDriver, awaited: Option<Instant>) {
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

/// Wakes the task whose waker is stored in `waker`, if there is one.
fn wake(waker: &RefCell<Option<Waker>>) {
    if let Some(waker) = waker.borrow_mut().take() {
        waker.wake();
    }
}

/// Records a completed request with the metrics recorder that the program has installed.
fn record_metrics(report: &RequestReport) {
    let outcome_label = match &report.outcome {
        RequestOutcome::Served(_) => "served",
        RequestOutcome::Rejected(_) => "refused",
        RequestOutcome::DeadlineExceeded => "late",
        RequestOutcome::Failed => "failed",
        RequestOutcome::MayHaveRun => "may_have_run",
        RequestOutcome::Invalid(_) => "invalid",
        RequestOutcome::Stopped => "stopped",
    };
    metrics::counter!("basalthill_client_requests_total", "end" => outcome_label).increment(1);
    metrics::counter!("basalthill_client_tries_total").increment(report.attempts.len() as u64);
    metrics::histogram!("basalthill_client_request_seconds").record(report.elapsed.as_secs_f64());
}
