//! The registry of client connections: where each one's answers are left for its task, and its state as the
//! others see it.

use super::eviction::{ConnectionState, Eviction};
use crate::protocol::client::CancelKey;
use crate::routing::{ClientId, CommandId, Reply};
use crate::transport::io;
use crate::transport::semaphore::Semaphore;
use async_io::Async;
use basalthill_config::router::{RouterConfig, RESERVED_SOCKETS};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Instant;

/// An answer that waits for its client's task.
pub struct CommandAnswer {
    /// The command that it belongs to.
    pub command: CommandId,
    /// The answer.
    pub answer: Reply,
}

/// What others know of a client's connection, and what they leave for its task.
pub struct ClientHandle {
    /// Answers that its task has not taken yet.
    pub(super) answers: RefCell<Vec<CommandAnswer>>,
    /// Its session's token, if one has not gone out yet.
    pub(super) session_token: RefCell<Option<String>>,
    /// Something was left or has changed since its task looked.
    changed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    pub(super) state: Cell<ConnectionState>,
    /// When the first byte arrived of the message that is incomplete.
    pub(super) message_started: Cell<Option<Instant>>,
    /// It is to make place for another connection.
    evicted: Cell<bool>,
    /// Its socket, while its task goes on.
    stream: Weak<Async<TcpStream>>,
    cancel_key: CancelKey,
}

impl ClientHandle {
    /// The handle of a client that has just been admitted.
    pub(super) fn new(stream: &Rc<Async<TcpStream>>, cancel_key: CancelKey) -> ClientHandle {
        ClientHandle {
            answers: RefCell::default(),
            session_token: RefCell::default(),
            changed: Cell::new(false),
            waker: RefCell::default(),
            state: Cell::new(ConnectionState::Unused(Instant::now())),
            message_started: Cell::default(),
            evicted: Cell::new(false),
            stream: Rc::downgrade(stream),
            cancel_key,
        }
    }

    /// Leaves a command's answer.
    pub fn push_answer(&self, command: CommandId, answer: Reply) {
        self.answers.borrow_mut().push(CommandAnswer { command, answer });
        self.wake();
    }

    /// Leaves the session's token; it replaces one that has not gone out.
    pub fn set_session_token(&self, token: String) {
        *self.session_token.borrow_mut() = Some(token);
        self.wake();
    }

    /// Has the connection closed, if it is between two requests.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.wake();
    }

    /// Whether the connection is to make place for another.
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// How readily the connection makes place for another.
    pub(super) fn eviction(&self) -> Eviction {
        Eviction::of(self.state.get(), self.message_started.get(), self.evicted.get())
    }

    /// Wakes the connection's task.
    pub fn wake(&self) {
        self.changed.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until something was left or has changed.
    pub(super) async fn changed(&self) {
        poll_fn(|cx| match self.changed.take() {
            true => Poll::Ready(()),
            false => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// How many connections the router has ended of its own accord since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndedConnections {
    /// Rejected for want of descriptors.
    pub rejected: u32,
    /// Dismissed for what they sent, or did not send.
    pub dismissed: u32,
}

/// The clients of a router and the limits on them.
pub struct ClientRegistry {
    handles: RefCell<BTreeMap<ClientId, Rc<ClientHandle>>>,
    /// The clients' part of the descriptors.
    pub(super) admissions: Semaphore,
    /// From so many clients on, idle ones make place for newcomers.
    pub(super) eviction_threshold: usize,
    /// Rejections that may wait for their clients at a time.
    pub(super) rejections: Semaphore,
    /// Statements past the large size that may be read at a time.
    pub(super) large_statements: Semaphore,
    /// Empty queries are answered: the router has its endpoint list, or has waited for it long enough.
    ready: Cell<bool>,
    /// Clients are notified when their connection is closed between two requests.
    close_notice: Cell<bool>,
    /// Makes the secrets of cancel keys.
    secrets: RandomState,
    ended: Cell<EndedConnections>,
}

impl ClientRegistry {
    /// An empty registry with the limits of a configuration.
    pub fn new(config: &RouterConfig) -> ClientRegistry {
        ClientRegistry {
            handles: RefCell::default(),
            admissions: Semaphore::new(config.limits.client_descriptors()),
            eviction_threshold: config.limits.client_eviction_threshold(),
            rejections: Semaphore::new(RESERVED_SOCKETS / 3),
            large_statements: Semaphore::new(config.limits.max_large_statements()),
            ready: Cell::new(false),
            close_notice: Cell::new(config.local_settings.close_notice),
            secrets: RandomState::new(),
            ended: Cell::default(),
        }
    }

    /// How many clients there are.
    pub fn len(&self) -> usize {
        self.handles.borrow().len()
    }

    /// The handle of a client that is connected.
    pub fn handle(&self, client: ClientId) -> Option<Rc<ClientHandle>> {
        self.handles.borrow().get(&client).cloned()
    }

    /// The client whose connection makes place for another most readily, and how readily it does.
    pub(super) fn readiest_to_evict(&self) -> Option<(Eviction, Rc<ClientHandle>)> {
        let handles = self.handles.borrow();
        let evictions = handles.values().map(|handle| (handle.eviction(), Rc::clone(handle)));
        evictions.max_by_key(|(eviction, _)| *eviction)
    }

    /// Registers a client.
    pub(super) fn insert(&self, client: ClientId, handle: Rc<ClientHandle>) {
        self.handles.borrow_mut().insert(client, handle);
    }

    /// Removes a client.
    pub(super) fn remove(&self, client: ClientId) {
        self.handles.borrow_mut().remove(&client);
    }

    /// The cancel key of a client's connection.
    pub(super) fn cancel_key(&self, client: ClientId) -> CancelKey {
        CancelKey { process: client.0 as u32, secret: self.secrets.hash_one(client.0) as u32 }
    }

    /// The client whose connection has this cancel key.
    pub(super) fn client_of_key(&self, key: CancelKey) -> Option<ClientId> {
        let client = ClientId(u64::from(key.process));
        self.handles.borrow().get(&client).filter(|handle| handle.cancel_key == key).map(|_| client)
    }

    /// Whether a client is known to have closed its connection, though its task may not have seen it yet.
    pub fn has_disconnected(&self, client: ClientId) -> bool {
        let stream = self.handles.borrow().get(&client).and_then(|handle| handle.stream.upgrade());
        stream.is_none_or(|stream| io::at_end(&stream))
    }

    /// Answers empty queries from now on, and has all clients look whether the router stops.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.handles.borrow().values().for_each(|handle| handle.wake());
    }

    /// Whether empty queries are answered.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Sets whether clients are notified when their connection is closed between two requests.
    pub fn set_close_notice(&self, close_notice: bool) {
        self.close_notice.set(close_notice);
    }

    /// Whether clients are notified when their connection is closed between two requests.
    pub(super) fn close_notice(&self) -> bool {
        self.close_notice.get()
    }

    /// Counts a client that was rejected for want of descriptors.
    pub(super) fn count_rejected(&self) {
        let ended = self.ended.get();
        self.ended.set(EndedConnections { rejected: ended.rejected + 1, ..ended });
    }

    /// Counts a client that was dismissed.
    pub(super) fn count_dismissed(&self) {
        let ended = self.ended.get();
        self.ended.set(EndedConnections { dismissed: ended.dismissed + 1, ..ended });
    }

    /// The connections that the router has ended since this was last called.
    pub fn take_ended(&self) -> EndedConnections {
        self.ended.take()
    }
}
