//! The watch on discovery's endpoint list. It is kept open, and reopened when it is closed or times out. Each
//! discovery address has its own watch with its own version, because the versions of different discovery
//! services are not comparable.

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

/// The time within which a watch has to receive a complete message. Discovery sends an empty line every two
/// seconds as a keep-alive, so a watch without a complete message for longer than that has failed, even if it
/// receives single bytes. Reopening a watch is cheap.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2250);
/// The limit on connecting and receiving the head of the response. Discovery's agent is nearby and responds
/// immediately; the limit leaves time for the retransmission of a lost packet.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1200);
/// The limit on connecting and receiving the head of the response if endpoint lists are polled. Discovery
/// then serves the calls of all routers one after another, and closes a call itself once the call has waited
/// for two seconds. If a router closed its call earlier and made another, discovery's work on the first call
/// would be wasted; with hundreds of routers that do so, none would ever receive a list.
const SHARED_HEAD_TIMEOUT: Duration = Duration::from_millis(2250);
/// The pause before another attempt to spend the routers' shared budget for calls to discovery.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a call to discovery has ended.
#[derive(Debug, Error)]
enum WatchError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// No response head or complete message was received in time.
    #[error("timed out waiting for a response head or a complete message")]
    TimedOut,
    /// Discovery has completed the response.
    #[error("discovery completed the response")]
    Ended,
    /// Discovery has closed the connection.
    #[error("discovery closed the connection")]
    Closed,
    /// Discovery has rejected the call for lack of capacity.
    #[error("discovery rejected the call ({0})")]
    Rejected(DiscoveryError),
    /// Discovery has closed the connection without a response, which it also does for lack of capacity.
    #[error("discovery closed the connection without a response")]
    NoResponse,
    /// The response is invalid. The next call requests the complete list.
    #[error("{0}")]
    InvalidResponse(DiscoveryError),
}

impl WatchError {
    fn call_failure(&self) -> CallFailure {
        match self {
            WatchError::Rejected(_) | WatchError::NoResponse => CallFailure::Rejected,
            _ => CallFailure::Unreachable,
        }
    }
}

/// The watches of a router: the newest, and until that has received a list, the oldest of the earlier ones.
pub struct DiscoveryWatches {
    addr: Cell<SocketAddr>,
    /// The tasks of the open watches by number, the newest last.
    tasks: RefCell<BTreeMap<u64, Task<()>>>,
    /// Whether a call has been made.
    has_called: Cell<bool>,
    /// Notified when a list has been received.
    list_received: Notify,
    /// Whether discovery serves the calls of all routers one after another.
    is_shared: bool,
    /// The seed of the backoff's jitter.
    seed: u64,
}

impl DiscoveryWatches {
    /// Creates the state without a watch.
    pub fn new(config: &RouterConfig) -> DiscoveryWatches {
        DiscoveryWatches {
            addr: Cell::new(config.discovery),
            tasks: RefCell::default(),
            has_called: Cell::new(false),
            list_received: Notify::default(),
            is_shared: config.deployment.settings.poll_endpoint_list,
            seed: config.seed,
        }
    }

    /// Returns the address of the newest watch.
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// Waits until a list has been received.
    pub async fn list_received(&self) {
        self.list_received.notified().await;
    }

    /// Opens a watch on an address, for changes since `version` or, if that is `None`, for the complete list.
    /// The oldest of the earlier watches stays open until the new one has received a list. The current
    /// endpoint list remains in use.
    pub fn open(driver: &Rc<Driver>, addr: SocketAddr, version: Option<u64>) {
        let watches = &driver.discovery;
        watches.addr.set(addr);
        let number = watches.tasks.borrow().last_key_value().map_or(0, |(newest, _)| newest + 1);
        let watch_driver = Rc::clone(driver);
        let task = driver.tasks.spawn(async move {
            // The first list that discovery sends may have been valid since the watch was opened.
            let last_message_at = watch_driver.clock.now();
            Watch { driver: watch_driver, number, addr, version, last_message_at }.run().await;
        });
        let mut tasks = watches.tasks.borrow_mut();
        // Only the oldest of the earlier watches stays open. The others have received no list, because a
        // watch that receives one closes those before it.
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

    /// Closes the watches before this one, which has received a list. Called by the watch's own task.
    fn close_watches_before(&self, number: u64) {
        self.tasks.borrow_mut().retain(|n, _| *n >= number);
        self.list_received.notify();
    }

    fn backoff(&self, watch: u64) -> Backoff {
        match self.is_shared {
            true => Backoff::with_jitter(self.seed, watch),
            false => Backoff::without_jitter(),
        }
    }

    fn head_timeout(&self) -> Duration {
        match self.is_shared {
            true => SHARED_HEAD_TIMEOUT,
            false => HEAD_TIMEOUT,
        }
    }
}

/// A watch on one address. It makes one call after another.
struct Watch {
    driver: Rc<Driver>,
    number: u64,
    addr: SocketAddr,
    /// The version of the last list received, or `None` to request the complete list.
    version: Option<u64>,
    /// When the last message was received. The first list of the next call may have been valid since then.
    last_message_at: Time,
}

/// One call: its connection, and how much of the response has been received.
struct WatchCall {
    stream: Async<TcpStream>,
    codec: WatchCodec,
    /// When the call times out.
    deadline: Instant,
    /// Whether the response's head has been received.
    has_head: bool,
    /// Whether a complete message has been received.
    has_message: bool,
    /// Whether a list has been received.
    has_list: bool,
    /// Whether discovery has closed the connection.
    is_closed: bool,
}

impl Watch {
    /// Makes calls until the task is dropped.
    async fn run(mut self) {
        let mut backoff = self.driver.discovery.backoff(self.number);
        loop {
            let mut succeeded = false;
            let error = self.call(&mut succeeded).await;
            match &error {
                WatchError::InvalidResponse(e) => {
                    tracing::warn!(
                        addr = %self.addr,
                        error = %e,
                        "discovery: invalid response; requesting the complete list"
                    );
                    self.version = None;
                }
                e => {
                    tracing::warn!(
                        addr = %self.addr,
                        error = %e,
                        "discovery: reopening the watch; keeping the current list"
                    );
                }
            }
            if succeeded {
                backoff.reset();
            }
            Timer::after(backoff.next_delay(error.call_failure())).await;
        }
    }

    /// Makes one call and returns why it ended. `succeeded` is set if the call received a list.
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

    /// Connects and writes the request, once the routers' shared budget for calls to discovery permits it.
    async fn open(&self) -> Result<WatchCall, WatchError> {
        let discovery = &self.driver.discovery;
        let request = watch_request(&self.addr.to_string(), self.version);
        // The first call after the start is made without the budget, because the router could not serve
        // without a list.
        while discovery.has_called.replace(true) && !self.spend_budget() {
            Timer::after(BUDGET_CHECK_INTERVAL).await;
        }
        let deadline = Instant::now() + discovery.head_timeout();
        let opened = async {
            let stream = Async::<TcpStream>::connect(self.addr).await?;
            io::write_all(&stream, &[&request]).await?;
            Ok(stream)
        };
        let stream = future::or(opened, time_out_at(deadline)).await?;
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

    /// Handles the complete messages.
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
                    // Discovery sends a keep-alive only after it has sent all changes.
                    self.last_message_at = self.driver.clock.now();
                    call.has_message = true;
                }
                Ok(Some(WatchMessage::End)) if call.is_closed => return Err(WatchError::Closed),
                Ok(Some(WatchMessage::End)) => return Err(WatchError::Ended),
                Ok(None) => return Ok(()),
                // The version is kept, because requesting the complete list would add to discovery's load.
                Err(e) if call.codec.was_rejected() => return Err(WatchError::Rejected(e)),
                Err(e) => return Err(WatchError::InvalidResponse(e)),
            }
        }
    }

    fn handle_list(&mut self, call: &mut WatchCall, list: HostList) {
        call.extend_deadline();
        let now = self.driver.clock.now();
        let valid_since = if call.has_message { now } else { self.last_message_at };
        self.version = Some(list.version);
        self.last_message_at = now;
        call.has_message = true;
        call.has_list = true;
        self.driver.handle(Input::EndpointList { list, valid_since });
        self.driver.discovery.close_watches_before(self.number);
    }
}

impl WatchCall {
    /// Restarts the timeout after the response head or a complete message.
    fn extend_deadline(&mut self) {
        self.deadline = Instant::now() + MESSAGE_TIMEOUT;
    }

    /// Reads once, or fails at the deadline.
    async fn receive(&mut self, driver: &Driver) -> Result<(), WatchError> {
        let WatchCall { stream, codec, deadline, .. } = self;
        let read = async {
            Ok(driver.read_buffer.read(stream, io::READ_BUFFER_LEN, |bytes| codec.feed(bytes)).await?)
        };
        // A reset or a timeout returns here: the received bytes may end with an incomplete message, which
        // must not be parsed.
        if future::or(read, time_out_at(*deadline)).await? > 0 {
            return Ok(());
        }
        if !self.has_head {
            return Err(WatchError::NoResponse);
        }
        // After an orderly close, the body may end with the connection, and its last line may lack a line
        // break.
        self.codec.on_close();
        self.is_closed = true;
        Ok(())
    }
}

/// Waits until the deadline and returns [`WatchError::TimedOut`].
async fn time_out_at<T>(deadline: Instant) -> Result<T, WatchError> {
    Timer::at(deadline).await;
    Err(WatchError::TimedOut)
}
