//! The handles that callers use: [`Runtime`], a thread, and [`Client`], a client that the thread drives.

use crate::config::Config;
use crate::core::{Counters, TableSizes};
use crate::driver::{self, CallId, ClientId, Command, Inspection};
use crate::outcome::{RequestOutcome, RequestReport};
use crate::request::Request;
use async_channel::{Receiver, Sender};
use futures_lite::{future, Stream};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Name of the thread that drives clients.
const THREAD_NAME: &str = "basalthill-client";

/// A handle to a thread that drives clients. The thread exits when its last handle and its last client are
/// dropped. Programs with a single client don't need it: [`Client::start`] starts a thread for that client.
#[derive(Clone)]
pub struct Runtime(Arc<RuntimeHandle>);

struct RuntimeHandle {
    commands: Sender<Command>,
    next_id: AtomicU64,
}

impl Runtime {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't start a thread.
    pub fn start() -> io::Result<Runtime> {
        let (commands, receiver) = async_channel::unbounded();
        std::thread::Builder::new().name(THREAD_NAME.into()).spawn(move || driver::run(&receiver))?;
        Ok(Runtime(Arc::new(RuntimeHandle { commands, next_id: AtomicU64::new(1) })))
    }

    /// Creates a client that is driven by this thread.
    pub fn client(&self, config: Config) -> Client {
        let id = ClientId(self.next_id());
        self.send(Command::AddClient { client: id, config });
        Client(Arc::new(ClientHandle { runtime: self.clone(), id }))
    }

    /// Sends a command to the thread. If the thread has exited, the command and its reply channel are
    /// dropped, and the receiver of the reply gets an error.
    fn send(&self, command: Command) {
        let _ = self.0.commands.try_send(command);
    }

    fn next_id(&self) -> u64 {
        self.0.next_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// A handle to a client of the routers in its [`Config`]. Clones are handles to the same client, and any
/// thread may use them.
#[derive(Clone)]
pub struct Client(Arc<ClientHandle>);

struct ClientHandle {
    runtime: Runtime,
    id: ClientId,
}

impl Drop for ClientHandle {
    fn drop(&mut self) {
        self.runtime.send(Command::RemoveClient { client: self.id });
    }
}

impl Client {
    /// Creates a client and starts a thread that drives only this client.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't start a thread.
    pub fn start(config: Config) -> io::Result<Client> {
        Ok(Runtime::start()?.client(config))
    }

    /// Executes a request. The future is ready by the request's deadline; dropping it earlier cancels the
    /// request.
    pub fn execute(&self, request: Request) -> impl Future<Output = RequestReport> + Send + 'static {
        let span = tracing::debug_span!("request", class = %request.class, group = request.group);
        let call = self.call(request);
        async move {
            let report = call.await;
            let _entered = span.enter();
            tracing::debug!(
                outcome = ?report.outcome,
                attempts = report.attempts.len(),
                elapsed = ?report.elapsed,
                "request completed"
            );
            report
        }
    }

    /// Executes a request and blocks the calling thread until the request has its outcome.
    pub fn execute_blocking(&self, request: Request) -> RequestReport {
        future::block_on(self.execute(request))
    }

    /// Returns the client's counters; all are zero if its thread has exited.
    pub async fn counters(&self) -> Counters {
        self.inspect().await.counters
    }

    /// Returns the sizes of the client's tables, for tests; all are zero if its thread has exited.
    #[doc(hidden)]
    pub async fn table_sizes(&self) -> TableSizes {
        self.inspect().await.table_sizes
    }

    fn call(&self, request: Request) -> Call {
        let (reply, report) = async_channel::bounded(1);
        let id = CallId(self.0.runtime.next_id());
        self.0.runtime.send(Command::Execute { client: self.0.id, call: id, request, reply });
        Call { client: self.clone(), id, report: Box::pin(report), is_complete: false }
    }

    async fn inspect(&self) -> Inspection {
        let (reply, inspection) = async_channel::bounded(1);
        self.0.runtime.send(Command::Inspect { client: self.0.id, reply });
        inspection.recv().await.unwrap_or_default()
    }
}

/// A request that has been sent to the thread. Dropping the call before its report has been received cancels
/// the request.
struct Call {
    client: Client,
    id: CallId,
    report: Pin<Box<Receiver<RequestReport>>>,
    is_complete: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_complete {
            let handle = &self.client.0;
            handle.runtime.send(Command::Cancel { client: handle.id, call: self.id });
        }
    }
}

impl Future for Call {
    type Output = RequestReport;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<RequestReport> {
        let Poll::Ready(report) = self.report.as_mut().poll_next(context) else { return Poll::Pending };
        self.is_complete = true;
        Poll::Ready(report.unwrap_or_else(|| RequestReport::without_attempts(RequestOutcome::Stopped)))
    }
}
