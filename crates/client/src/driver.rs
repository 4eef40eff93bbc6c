//! The driver: sockets, timers and the hand-over from callers, on a thread of its own.

use crate::core::{Action, ConnectionId, Core, Counters, DisconnectReason, RequestId};
use crate::request::{Config, Request, RequestOutcome, RequestReport};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Bytes read at a time.
const READ_AT_ONCE: usize = 16 * 1024;

/// What callers hand over.
enum Ask {
    Client(u64, Config),
    Request(u64, u64, Request, Sender<RequestReport>),
    GiveUp(u64, u64),
    Counts(u64, Sender<(Counters, (usize, usize, usize))>),
    Gone(u64),
}

/// A thread that drives clients; it ends when the last handle to it is dropped. Most programs have one client
/// and need not know of it: [`Client::start`] makes one.
#[derive(Clone)]
pub struct Runtime(Arc<Handle>);

struct Handle {
    asks: Sender<Ask>,
    next: std::sync::atomic::AtomicU64,
}

impl Runtime {
    /// Starts the thread.
    pub fn start() -> io::Result<Runtime> {
        let (asks, from) = async_channel::unbounded();
        std::thread::Builder::new().name("basalthill-client".into()).spawn(move || run(from))?;
        Ok(Runtime(Arc::new(Handle { asks, next: std::sync::atomic::AtomicU64::new(1) })))
    }

    /// A client that it drives.
    pub fn client(&self, config: Config) -> Client {
        let number = self.0.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let _ = self.0.asks.try_send(Ask::Client(number, config));
        Client(Arc::new(Owned { runtime: self.clone(), number }))
    }
}

/// A client of some routers. Clones are the same client; any thread may use it.
#[derive(Clone)]
pub struct Client(Arc<Owned>);

struct Owned {
    runtime: Runtime,
    number: u64,
}

impl Drop for Owned {
    fn drop(&mut self) {
        let _ = self.runtime.0.asks.try_send(Ask::Gone(self.number));
    }
}

/// A request that is out. Dropped, it is given up, on the wire too.
struct Asked {
    client: Client,
    number: u64,
    answer: Pin<Box<Receiver<RequestReport>>>,
    over: bool,
}

impl Drop for Asked {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.client.0.runtime.0.asks.try_send(Ask::GiveUp(self.client.0.number, self.number));
        }
    }
}

impl Future for Asked {
    type Output = RequestReport;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<RequestReport> {
        use futures_lite::Stream;
        let polled = self.answer.as_mut().poll_next(cx);
        polled.map(|report| {
            self.over = true;
            report.unwrap_or(RequestReport {
                outcome: RequestOutcome::Stopped,
                attempts: Vec::new(),
                elapsed: Duration::ZERO,
            })
        })
    }
}

impl Client {
    /// A client with a thread of its own.
    pub fn start(config: Config) -> io::Result<Client> {
        Ok(Runtime::start()?.client(config))
    }

    /// Asks, and hears by the request's deadline. Dropping the future gives the request up.
    pub fn execute(&self, request: Request) -> impl Future<Output = RequestReport> + Send + 'static {
        let span = tracing::debug_span!("request", class = %request.class, group = request.group);
        let (done, answer) = async_channel::bounded(1);
        let runtime = &self.0.runtime.0;
        let number = runtime.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let _ = runtime.asks.try_send(Ask::Request(self.0.number, number, request, done));
        let asked = Asked { client: self.clone(), number, answer: Box::pin(answer), over: false };
        async move {
            let report = asked.await;
            let _in = span.enter();
            let attempts = report.attempts.len();
            tracing::debug!(end = ?report.outcome, tries = attempts, took = ?report.elapsed, "ended");
            report
        }
    }

    /// Asks, and blocks this thread until the request has ended.
    pub fn execute_blocking(&self, request: Request) -> RequestReport {
        future::block_on(self.execute(request))
    }

    /// What the client has counted so far; nothing if its thread is gone.
    pub async fn counts(&self) -> Counters {
        self.look().await.0
    }

    /// Requests, connections and timers on the books, for tests.
    #[doc(hidden)]
    pub async fn books(&self) -> (usize, usize, usize) {
        self.look().await.1
    }

    async fn look(&self) -> (Counters, (usize, usize, usize)) {
        let (done, counts) = async_channel::bounded(1);
        let _ = self.0.runtime.0.asks.try_send(Ask::Counts(self.0.number, done));
        counts.recv().await.unwrap_or_default()
    }
}

/// One client's books on the thread.
struct Driven {
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    conns: RefCell<BTreeMap<ConnectionId, Rc<Wire>>>,
    /// Callers by request, and requests by the callers' numbers.
    callers: RefCell<BTreeMap<RequestId, (u64, Sender<RequestReport>)>>,
    numbers: RefCell<BTreeMap<u64, RequestId>>,
    rearm: RefCell<Option<Waker>>,
    armed: Cell<Option<Instant>>,
}

/// A connection's socket, once it is up, and what is to be written.
struct Wire {
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    out: RefCell<VecDeque<Pending>>,
    more: RefCell<Option<Waker>>,
    task: RefCell<Option<Task<()>>>,
}

struct Pending {
    bytes: Vec<u8>,
    at: usize,
    until: Option<Instant>,
}

fn run(asks: Receiver<Ask>) {
    let executor = Rc::new(LocalExecutor::new());
    let mut clients: BTreeMap<u64, (Rc<Driven>, Task<()>)> = BTreeMap::new();
    future::block_on(async_io_run(&executor, async {
        while let Ok(ask) = asks.recv().await {
            match ask {
                Ask::Client(number, config) => {
                    let driven = Rc::new(Driven {
                        core: RefCell::new(Core::new(config)),
                        executor: Rc::clone(&executor),
                        conns: RefCell::default(),
                        callers: RefCell::default(),
                        numbers: RefCell::default(),
                        rearm: RefCell::default(),
                        armed: Cell::default(),
                    });
                    let timers = executor.spawn(timers(Rc::clone(&driven)));
                    clients.insert(number, (driven, timers));
                }
                Ask::Request(client, number, request, caller) => {
                    let Some((driven, _)) = clients.get(&client) else { continue };
                    let id = driven.core.borrow_mut().submit(Instant::now(), request);
                    driven.callers.borrow_mut().insert(id, (number, caller));
                    driven.numbers.borrow_mut().insert(number, id);
                    driven.carry_out();
                }
                Ask::GiveUp(client, number) => {
                    let Some((driven, _)) = clients.get(&client) else { continue };
                    let id = driven.numbers.borrow_mut().remove(&number);
                    if let Some(id) = id {
                        driven.callers.borrow_mut().remove(&id);
                        driven.core.borrow_mut().cancel(Instant::now(), id);
                    }
                    driven.carry_out();
                }
                Ask::Counts(client, done) => {
                    if let Some((driven, _)) = clients.get(&client) {
                        let core = driven.core.borrow();
                        let _ = done.try_send((core.counts(), core.books()));
                    }
                }
                Ask::Gone(client) => {
                    if let Some((driven, timers)) = clients.remove(&client) {
                        driven.core.borrow_mut().shut_down(Instant::now());
                        driven.carry_out();
                        drop(timers);
                    }
                }
            }
        }
    }));
}

/// Runs the executor and a future beside it, with this thread's reactor.
async fn async_io_run(executor: &LocalExecutor<'static>, main: impl Future<Output = ()>) {
    executor.run(main).await;
}

impl Driven {
    /// Closes a connection's socket. Its task may be the one that runs just now: it finds out by itself.
    fn let_go(&self, id: ConnectionId) {
        let Some(wire) = self.conns.borrow_mut().remove(&id) else { return };
        if let Some(stream) = wire.stream.borrow_mut().take() {
            let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
        }
        wake(&wire.more);
        let task = wire.task.borrow_mut().take();
        if let Some(task) = task {
            task.detach();
        }
    }

    /// Does what the core asks for.
    fn carry_out(self: &Rc<Driven>) {
        loop {
            let Some(action) = self.core.borrow_mut().poll_action() else { break };
            match action {
                Action::Connect(id, addr) => {
                    metrics::counter!("basalthill_client_connects_total").increment(1);
                    let wire = Rc::new(Wire {
                        stream: RefCell::default(),
                        out: RefCell::default(),
                        more: RefCell::default(),
                        task: RefCell::default(),
                    });
                    self.conns.borrow_mut().insert(id, Rc::clone(&wire));
                    let task = self.executor.spawn(connection(Rc::clone(self), Rc::clone(&wire), id, addr));
                    *wire.task.borrow_mut() = Some(task);
                }
                Action::Write(id, bytes, until) => {
                    let Some(wire) = self.conns.borrow().get(&id).cloned() else { continue };
                    // What has ended, or says something unasked, is found out before a statement goes out on
                    // it: then it is known not to have run.
                    let quiet =
                        wire.stream.borrow().as_ref().is_none_or(|s| until.is_none() || silent(s.get_ref()));
                    if !quiet {
                        self.let_go(id);
                        self.core.borrow_mut().handle_disconnected(
                            Instant::now(),
                            id,
                            DisconnectReason::Other,
                        );
                        continue;
                    }
                    wire.out.borrow_mut().push_back(Pending { bytes, at: 0, until });
                    // Mostly the system takes it at once; the connection's task writes the rest.
                    if let Some(stream) = wire.stream.borrow().as_ref() {
                        let n = flush(stream.get_ref(), &wire.out).unwrap_or(0);
                        self.core.borrow_mut().handle_written(id, n);
                    }
                    if !wire.out.borrow().is_empty() {
                        wake(&wire.more);
                    }
                }
                Action::Close(id) => {
                    self.let_go(id);
                }
                Action::Done(id, report) => {
                    count(&report);
                    if let Some((number, caller)) = self.callers.borrow_mut().remove(&id) {
                        self.numbers.borrow_mut().remove(&number);
                        let _ = caller.try_send(report);
                    }
                }
            }
        }
        let due = self.core.borrow().next_timeout();
        if due.is_some() && (self.armed.get().is_none() || due < self.armed.get()) {
            wake(&self.rearm);
        }
    }
}

/// Whether a connection is open and has nothing to say.
fn silent(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

fn wake(waker: &RefCell<Option<Waker>>) {
    if let Some(waker) = waker.borrow_mut().take() {
        waker.wake();
    }
}

/// Counters on whatever recorder the program has installed.
fn count(report: &RequestReport) {
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

/// Writes what there is, up to each part's time; how many bytes the system has taken.
fn flush(mut stream: &TcpStream, out: &RefCell<VecDeque<Pending>>) -> io::Result<usize> {
    let mut taken = 0;
    let mut out = out.borrow_mut();
    while let Some(part) = out.front_mut() {
        if part.until.is_some_and(|until| Instant::now() >= until) {
            out.clear();
            break;
        }
        match stream.write(&part.bytes[part.at..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => {
                taken += n;
                part.at += n;
                if part.at == part.bytes.len() {
                    out.pop_front();
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // The reading side tells how the connection ended.
            Err(_) => break,
        }
    }
    Ok(taken)
}

/// One connection, from its opening to its end.
async fn connection(driven: Rc<Driven>, wire: Rc<Wire>, id: ConnectionId, addr: SocketAddr) {
    let stream = match Async::<TcpStream>::connect(addr).await {
        Ok(stream) => Rc::new(stream),
        Err(e) => {
            let how = if e.kind() == ErrorKind::ConnectionRefused {
                DisconnectReason::NotListening
            } else {
                DisconnectReason::Other
            };
            return ended(&driven, id, how);
        }
    };
    let _ = stream.get_ref().set_nodelay(true);
    if !driven.conns.borrow().contains_key(&id) {
        return; // closed meanwhile
    }
    *wire.stream.borrow_mut() = Some(Rc::clone(&stream));
    driven.core.borrow_mut().handle_connected(Instant::now(), id);
    driven.carry_out();
    let mut bytes = vec![0; READ_AT_ONCE];
    loop {
        let read = async { Some(stream.read_with(|mut s: &TcpStream| s.read(&mut bytes)).await) };
        let write = async {
            // Until there is something left to write, and room for it.
            future::poll_fn(|cx| match wire.out.borrow().is_empty() && wire.stream.borrow().is_some() {
                true => {
                    *wire.more.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
                false => Poll::Ready(()),
            })
            .await;
            if wire.stream.borrow().is_some() {
                let _ = stream.writable().await;
            }
            None
        };
        match future::or(read, write).await {
            _ if wire.stream.borrow().is_none() => return, // closed by the core
            Some(Ok(n)) if n > 0 => {
                driven.core.borrow_mut().handle_received(Instant::now(), id, &bytes[..n]);
                driven.carry_out();
            }
            Some(_) => return ended(&driven, id, DisconnectReason::Other),
            None => {
                let n = flush(stream.get_ref(), &wire.out).unwrap_or(0);
                driven.core.borrow_mut().handle_written(id, n);
            }
        }
    }
}

/// A connection's end, told by its own task.
fn ended(driven: &Rc<Driven>, id: ConnectionId, how: DisconnectReason) {
    if let Some(wire) = driven.conns.borrow_mut().remove(&id) {
        if let Some(task) = wire.task.borrow_mut().take() {
            task.detach();
        }
        wire.stream.borrow_mut().take();
    }
    driven.core.borrow_mut().handle_disconnected(Instant::now(), id, how);
    driven.carry_out();
}

/// Lets the core's time pass.
async fn timers(driven: Rc<Driven>) {
    loop {
        let due = driven.core.borrow().next_timeout();
        driven.armed.set(due);
        let again = future::poll_fn(|cx| {
            let next = driven.core.borrow().next_timeout();
            if next.is_some() && (due.is_none() || next < due) {
                return Poll::Ready(());
            }
            *driven.rearm.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        });
        let sleep = async {
            match due {
                Some(due) => drop(Timer::at(due).await),
                None => future::pending().await,
            }
        };
        future::or(sleep, again).await;
        if driven.core.borrow().next_timeout().is_some_and(|due| due <= Instant::now()) {
            driven.core.borrow_mut().handle_timeout(Instant::now());
            driven.carry_out();
            // A due time in the past must not keep the thread to itself.
            future::yield_now().await;
        }
    }
}
