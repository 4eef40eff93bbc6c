//! Discovery's watch: kept open, and opened again when it ends or falls silent. Each address has a watch of
//! its own, with its versions: those of another discovery may not compare.

use super::backoff::{Backoff, CallFailure};
use super::driver::Driver;
use super::io;
use super::notify::Notify;
use crate::protocol::discovery::{watch_request, DiscoveryError, HostList, WatchCodec, WatchMessage};
use crate::routing::Input;
use async_executor::Task;
use async_io::{Async, Timer};
use basalthill_config::router::RouterConfig;
use basalthill_fleet::Budget;
use basalthill_policy::api::Time;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// An empty line arrives every two seconds: a watch that brings no complete message for longer has died,
/// however many bytes drip in, and is opened anew at next to no cost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2250);
/// Discovery's agent is near, and answers at once: so long for a connection and the answer's head. A packet
/// that is lost on the way is sent again within it.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Where lists are polled, calls of all routers wait in turn, and discovery itself ends one that has waited
/// for two seconds. One given up before that has cost its work for nothing, and is made again: routers that
/// did so by hundreds would never get a list.
const SHARED_HEAD_TIMEOUT: Duration = Duration::from_millis(2250);
/// How often it is checked again whether the budget has a call.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a watch has ended.
#[derive(Debug, Error)]
enum WatchError {
    /// The connection has failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// No complete message has arrived in time.
    #[error("silent for too long")]
    Silent,
    /// Discovery has ended the watch.
    #[error("the watch has ended")]
    Ended,
    /// Discovery has closed the connection.
    #[error("the connection has ended")]
    Closed,
    /// Discovery is there and has no capacity for the call: it says so.
    #[error("the call is rejected ({0})")]
    Rejected(DiscoveryError),
    /// Discovery has ended the call without an answer, which also is for want of capacity.
    #[error("the call has ended without an answer")]
    Unanswered,
    /// What has arrived can't be read: the full list is requested next.
    #[error("{0}")]
    Unreadable(DiscoveryError),
}

impl WatchError {
    fn call_failure(&self) -> CallFailure {
        match self {
            WatchError::Rejected(_) | WatchError::Unanswered => CallFailure::Rejected,
            _ => CallFailure::Unreachable,
        }
    }
}

/// The watches of a router: the newest, and until that has brought its list the one before it.
pub struct DiscoveryWatches {
    addr: Cell<SocketAddr>,
    /// The tasks of the open watches, by their numbers.
    tasks: RefCell<BTreeMap<u64, Task<()>>>,
    /// A call has been made.
    called: Cell<bool>,
    /// A list has arrived.
    list_arrived: Notify,
    /// Discovery serves the calls of all routers in turn.
    shared: bool,
    /// The seed of the backoff's jitter.
    seed: u64,
}

impl DiscoveryWatches {
    /// No watch yet; the first will be of the configuration's address.
    pub fn new(config: &RouterConfig) -> DiscoveryWatches {
        DiscoveryWatches {
            addr: Cell::new(config.discovery),
            tasks: RefCell::default(),
            called: Cell::new(false),
            list_arrived: Notify::default(),
            shared: config.deployment.settings.poll_endpoint_list,
            seed: config.seed,
        }
    }

    /// Where discovery answers.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// Waits until a list has arrived.
    pub async fn list_arrived(&self) {
        self.list_arrived.notified().await;
    }

    /// Opens a watch at an address, for changes since `version`. The watch before goes on until the new one
    /// has brought its list; what is known stays meanwhile.
    pub fn open(driver: &Rc<Driver>, addr: SocketAddr, version: Option<u64>) {
        let watches = &driver.discovery;
        watches.addr.set(addr);
        let number = watches.tasks.borrow().last_key_value().map_or(0, |(newest, _)| newest + 1);
        let watch_driver = Rc::clone(driver);
        let task = driver.tasks.spawn(async move {
            // Discovery may have had what the first call brings since the router follows this address.
            let heard_at = watch_driver.clock.now();
            Watch { driver: watch_driver, number, addr, version, heard_at }.run().await;
        });
        let mut tasks = watches.tasks.borrow_mut();
        // A watch that has brought no list has nothing to go on with.
        while tasks.len() > 1 {
            tasks.pop_last();
        }
        if let Some(task) = task {
            tasks.insert(number, task);
        }
    }

    /// Closes all watches.
    pub fn close_all(&self) {
        self.tasks.borrow_mut().clear();
    }

    /// A watch has brought a list: those before it are closed. Called from within it.
    fn supersede_before(&self, number: u64) {
        self.tasks.borrow_mut().retain(|n, _| *n >= number);
        self.list_arrived.notify();
    }

    fn backoff(&self, watch: u64) -> Backoff {
        match self.shared {
            true => Backoff::with_jitter(self.seed, watch),
            false => Backoff::without_jitter(),
        }
    }

    fn head_timeout(&self) -> Duration {
        match self.shared {
            true => SHARED_HEAD_TIMEOUT,
            false => HEAD_TIMEOUT,
        }
    }
}

/// One address that is followed, call after call.
struct Watch {
    driver: Rc<Driver>,
    number: u64,
    addr: SocketAddr,
    /// The version up to which changes are known; none to request the full list.
    version: Option<u64>,
    /// When the last message arrived. What a call brings first, discovery may have had since then.
    heard_at: Time,
}

/// One call: its connection, and what has arrived on it.
struct WatchCall {
    stream: Async<TcpStream>,
    codec: WatchCodec,
    /// When the call is given up.
    deadline: Instant,
    /// The answer's head has arrived.
    has_head: bool,
    /// A complete message has arrived.
    has_message: bool,
    /// A list has arrived.
    has_list: bool,
    /// Discovery has closed the connection.
    is_closed: bool,
}

impl Watch {
    /// Follows the list for ever.
    async fn run(mut self) {
        let mut backoff = self.driver.discovery.backoff(self.number);
        loop {
            let mut succeeded = false;
            let error = self.call(&mut succeeded).await;
            match &error {
                WatchError::Unreadable(e) => {
                    tracing::warn!(error = %e, "discovery: the full list is requested, the old one stays");
                    self.version = None;
                }
                e => tracing::warn!(error = %e, "discovery: the watch is opened again, the list stays"),
            }
            if succeeded {
                backoff.reset();
            }
            Timer::after(backoff.next_delay(error.call_failure())).await;
        }
    }

    /// One call, to its end; `succeeded` shows whether it brought a list.
    async fn call(&mut self, succeeded: &mut bool) -> WatchError {
        let mut call = match self.open().await {
            Ok(call) => call,
            Err(e) => return e,
        };
        loop {
            let handled = self.handle_messages(&mut call);
            *succeeded = call.has_list;
            if let Err(e) = handled {
                return e;
            }
            if call.is_closed {
                return WatchError::Closed;
            }
            if let Err(e) = call.receive(&self.driver).await {
                return e;
            }
        }
    }

    /// Connects and writes the request, once all routers' budget for such calls has one for it.
    async fn open(&self) -> Result<WatchCall, WatchError> {
        let discovery = &self.driver.discovery;
        let request = watch_request(&self.addr.to_string(), self.version);
        // A router that has just started calls whatever the others do: it could not serve otherwise.
        while discovery.called.replace(true) && !self.spend_budget() {
            Timer::after(BUDGET_CHECK_INTERVAL).await;
        }
        let deadline = Instant::now() + discovery.head_timeout();
        let opened = async {
            let stream = Async::<TcpStream>::connect(self.addr).await?;
            io::write_all(&stream, &[&request]).await?;
            Ok(stream)
        };
        let stream = future::or(opened, silent_at(deadline)).await?;
        Ok(WatchCall {
            stream,
            codec: WatchCodec::default(),
            deadline,
            has_head: false,
            has_message: false,
            has_list: false,
            is_closed: false,
        })
    }

    fn spend_budget(&self) -> bool {
        let now = self.driver.clock.now();
        self.driver.router.borrow_mut().spend_budget(now, Budget::ListCalls)
    }

    /// Handles the messages that are complete.
    fn handle_messages(&mut self, call: &mut WatchCall) -> Result<(), WatchError> {
        loop {
            let message = call.codec.next_message();
            if !call.has_head && call.codec.has_head() {
                call.has_head = true;
                call.extend_deadline();
            }
            match message {
                Ok(Some(WatchMessage::List(list))) => self.handle_list(call, list),
                Ok(Some(WatchMessage::KeepAlive)) => {
                    call.extend_deadline();
                    // It stands behind all that there was to send.
                    self.heard_at = self.driver.clock.now();
                    call.has_message = true;
                }
                Ok(Some(WatchMessage::End)) if call.is_closed => return Err(WatchError::Closed),
                Ok(Some(WatchMessage::End)) => return Err(WatchError::Ended),
                Ok(None) => return Ok(()),
                // What is known stays known: the full list would cost a busy discovery the more.
                Err(e) if call.codec.was_rejected() => return Err(WatchError::Rejected(e)),
                Err(e) => return Err(WatchError::Unreadable(e)),
            }
        }
    }

    fn handle_list(&mut self, call: &mut WatchCall, list: HostList) {
        call.extend_deadline();
        let now = self.driver.clock.now();
        let valid_since = if call.has_message { now } else { self.heard_at };
        self.version = Some(list.version);
        self.heard_at = now;
        call.has_message = true;
        call.has_list = true;
        self.driver.handle(Input::EndpointList { list, valid_since });
        self.driver.discovery.supersede_before(self.number);
    }
}

impl WatchCall {
    /// A message has arrived: the next one has its time.
    fn extend_deadline(&mut self) {
        self.deadline = Instant::now() + SILENCE_TIMEOUT;
    }

    /// Reads once, within the deadline.
    async fn receive(&mut self, driver: &Driver) -> Result<(), WatchError> {
        let WatchCall { stream, codec, deadline, .. } = self;
        let read = async { Ok(driver.read_buffer.read(stream, |bytes| codec.feed(bytes)).await?) };
        // After a reset or in silence, what has arrived may be part of a line; at the connection's end it is
        // not.
        if future::or(read, silent_at(*deadline)).await? > 0 {
            return Ok(());
        }
        if !self.has_head {
            return Err(WatchError::Unanswered);
        }
        // A body that ends with its connection may have a last line.
        self.codec.on_close();
        self.is_closed = true;
        Ok(())
    }
}

/// Fails at a deadline.
async fn silent_at<T>(deadline: Instant) -> Result<T, WatchError> {
    Timer::at(deadline).await;
    Err(WatchError::Silent)
}
