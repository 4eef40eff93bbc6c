//! The registry of client connections: the replies that routing has queued for each connection's task, and
//! the state of each connection as other tasks see it.

use super::eviction::{ConnectionState, EvictionPriority, PartialMessage};
use super::memory_counts::MemoryCounters;
use crate::protocol::client::CancelKey;
use crate::routing::{ClientId, CommandId, Reply};
use crate::transport::io;
use crate::transport::memory_budget::MemoryAccount;
use crate::transport::semaphore::Semaphore;
use async_io::Async;
use basalthill_config::router::{RouterConfig, RESERVED_SOCKETS};
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BinaryHeap};
use std::future::poll_fn;
use std::hash::{BuildHasher, RandomState};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// The time for which a client may accept none of its output while others wait for the memory that it holds.
const READER_STALL_TIMEOUT: Duration = Duration::from_millis(200);

/// The time for which a client may send nothing of a large message while others wait for the memory that is
/// reserved for it.
const SENDER_STALL_TIMEOUT: Duration = Duration::from_millis(50);

/// The time within which a client has to send the rest of a large message while others wait for the memory
/// that is reserved for it.
const LARGE_MESSAGE_TIME: Duration = Duration::from_millis(250);

/// A message that is being received, and for which memory beyond the connection's share is reserved.
#[derive(Clone, Copy)]
pub struct LargeMessage {
    /// The number of bytes that are reserved.
    pub reserved_bytes: usize,
    /// When they were reserved.
    pub reserved_at: Instant,
    /// When the last of the message's bytes were received.
    pub received_at: Instant,
}

impl LargeMessage {
    /// Returns whether the client sends the message too slowly to keep the memory from others.
    fn is_stalled(&self) -> bool {
        self.received_at.elapsed() >= SENDER_STALL_TIMEOUT || self.reserved_at.elapsed() >= LARGE_MESSAGE_TIME
    }
}

/// A reply that is queued for its client's task.
pub struct CommandReply {
    /// The command that the reply belongs to.
    pub command: CommandId,
    /// The reply.
    pub reply: Reply,
}

/// The part of a client connection that other tasks access: its state, and the replies and tokens that they
/// queue for its task.
pub struct ClientHandle {
    /// Replies that the connection's task has not taken yet.
    replies: RefCell<Vec<CommandReply>>,
    /// The memory of all replies that the client has not received completely.
    reply_memory: MemoryAccount,
    /// The command whose reply the client receives next, if it has none yet and the client keeps up with
    /// reading.
    pub(in crate::transport) next_reply: Cell<Option<CommandId>>,
    /// Notified when `next_reply` changes, or the client has disconnected.
    pub(in crate::transport) next_reply_changed: Event,
    /// Since when the client has accepted none of the output; `None` if there is no output.
    pub(super) output_stalled_since: Cell<Option<Instant>>,
    /// The message for which memory beyond the connection's share is reserved, while it is received.
    pub(super) large_message: Cell<Option<LargeMessage>>,
    /// Whether the large message has to be discarded to free its memory.
    discard_requested: Cell<bool>,
    /// Whether the connection has to be reset to free the memory of its replies.
    reset_requested: Cell<bool>,
    /// The session token to send next, if there is one.
    pub(super) session_token: RefCell<Option<String>>,
    /// Whether something was queued or has changed since the connection's task last checked.
    changed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    pub(super) state: Cell<ConnectionState>,
    /// When the first byte of the incomplete message was received, if there is one.
    pub(super) message_started: Cell<Option<Instant>>,
    /// When input was last received.
    input_received_at: Cell<Instant>,
    /// Whether the connection has to be closed to free its descriptor.
    eviction_requested: Cell<bool>,
    /// The connection's socket; it is dropped with the connection's task.
    stream: Weak<Async<TcpStream>>,
    cancel_key: CancelKey,
}

impl ClientHandle {
    /// Creates the handle of a client that has just been admitted.
    pub(super) fn new(
        stream: &Rc<Async<TcpStream>>,
        cancel_key: CancelKey,
        reply_memory: MemoryAccount,
    ) -> ClientHandle {
        ClientHandle {
            replies: RefCell::default(),
            reply_memory,
            next_reply: Cell::default(),
            next_reply_changed: Event::new(),
            output_stalled_since: Cell::default(),
            large_message: Cell::default(),
            discard_requested: Cell::new(false),
            reset_requested: Cell::new(false),
            session_token: RefCell::default(),
            changed: Cell::new(false),
            waker: RefCell::default(),
            state: Cell::new(ConnectionState::Unused(Instant::now())),
            message_started: Cell::default(),
            input_received_at: Cell::new(Instant::now()),
            eviction_requested: Cell::new(false),
            stream: Rc::downgrade(stream),
            cancel_key,
        }
    }

    /// Queues the reply to a command and wakes the connection's task.
    pub fn push_reply(&self, command: CommandId, reply: Reply) {
        self.reply_memory.add_held(reply.row_memory());
        self.replies.borrow_mut().push(CommandReply { command, reply });
        self.wake();
    }

    /// Takes the replies that are queued.
    pub(super) fn take_replies(&self) -> Vec<CommandReply> {
        self.replies.take()
    }

    /// Records that the connection's task holds `bytes` of replies, besides those that are queued here.
    pub(super) fn set_reply_memory(&self, bytes: usize) {
        let queued: usize = self.replies.borrow().iter().map(|queued| queued.reply.row_memory()).sum();
        self.reply_memory.set_held(bytes + queued);
    }

    /// Records the command whose reply the client receives next.
    pub(super) fn set_next_reply(&self, command: Option<CommandId>) {
        if self.next_reply.replace(command) != command {
            self.next_reply_changed.notify(usize::MAX);
        }
    }

    /// Records that input has been received.
    pub(super) fn record_input(&self) {
        let now = Instant::now();
        self.input_received_at.set(now);
        if let Some(message) = self.large_message.get() {
            self.large_message.set(Some(LargeMessage { received_at: now, ..message }));
        }
    }

    /// Requests that the large message be discarded.
    fn request_discard(&self) {
        self.discard_requested.set(true);
        self.wake();
    }

    /// Returns whether the large message has to be discarded, and resets the request.
    pub(super) fn take_discard_request(&self) -> bool {
        self.discard_requested.take()
    }

    /// Requests that the connection be reset.
    fn request_reset(&self) {
        self.reset_requested.set(true);
        self.wake();
    }

    /// Returns whether the connection has to be reset to free the memory of its replies.
    pub(super) fn is_reset_requested(&self) -> bool {
        self.reset_requested.get()
    }

    /// Queues a session token and wakes the connection's task. The token replaces one that has not been sent.
    pub fn set_session_token(&self, token: String) {
        *self.session_token.borrow_mut() = Some(token);
        self.wake();
    }

    /// Requests that the connection be closed as soon as it has no request in flight.
    pub(super) fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.wake();
    }

    /// Returns whether the connection has to be closed to free its descriptor.
    pub(super) fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// Returns the connection's priority for eviction.
    pub(super) fn eviction_priority(&self) -> EvictionPriority {
        let partial_message = self.message_started.get().map(|started| PartialMessage {
            started,
            received_at: started.max(self.input_received_at.get()),
        });
        EvictionPriority::of(self.state.get(), partial_message, self.eviction_requested.get())
    }

    /// Returns whether the client has sent input that the router has not read and would still handle.
    fn has_unread_input(&self) -> bool {
        let is_served = !matches!(self.state.get(), ConnectionState::Draining(_));
        is_served && self.stream.upgrade().is_some_and(|stream| io::unread_len(&stream) > 0)
    }

    /// Wakes the connection's task.
    pub fn wake(&self) {
        self.changed.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until something was queued or has changed since the last call.
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

/// The numbers of client connections that the router has rejected or closed since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections rejected for lack of descriptors.
    pub rejected: u32,
    /// Connections closed for a protocol error, too many unsupported or invalid commands, or a message
    /// timeout.
    pub dismissed: u32,
}

/// The clients of a router, and the limits on them.
pub struct ClientRegistry {
    handles: RefCell<BTreeMap<ClientId, Rc<ClientHandle>>>,
    /// The number of descriptors that client connections may use.
    pub(super) client_permits: Semaphore,
    /// If there are at least this many clients, an unused or idle one is evicted when a new client connects.
    pub(super) eviction_threshold: usize,
    /// The number of rejected or evicted connections that may wait for their client to close at a time. They
    /// hold no other permit; their sockets use up to a third of the reserved descriptors.
    pub(super) rejection_permits: Semaphore,
    /// Whether empty queries get a reply: the router has an endpoint list, or has timed out waiting for one.
    ready: Cell<bool>,
    /// Whether clients are sent an error message before their connection is closed between two requests.
    sends_close_notice: Cell<bool>,
    /// The hasher that derives the secrets of cancel keys.
    secret_hasher: RandomState,
    connection_counts: Cell<ConnectionCounts>,
    /// What the router has done since the counts were last taken because memory was short.
    pub memory_counts: MemoryCounters,
}

impl ClientRegistry {
    /// Creates an empty registry with the limits of a configuration.
    pub fn new(config: &RouterConfig) -> ClientRegistry {
        ClientRegistry {
            handles: RefCell::default(),
            client_permits: Semaphore::new(config.limits.client_descriptors()),
            eviction_threshold: config.limits.client_eviction_threshold(),
            rejection_permits: Semaphore::new(RESERVED_SOCKETS / 3),
            ready: Cell::new(false),
            sends_close_notice: Cell::new(config.local_settings.close_notice),
            secret_hasher: RandomState::new(),
            connection_counts: Cell::default(),
            memory_counts: MemoryCounters::default(),
        }
    }

    /// Returns the number of clients.
    pub fn len(&self) -> usize {
        self.handles.borrow().len()
    }

    /// Returns the handle of a client, if it is connected.
    pub fn handle(&self, client: ClientId) -> Option<Rc<ClientHandle>> {
        self.handles.borrow().get(&client).cloned()
    }

    /// Returns the client connection with the highest priority for eviction, and that priority. A connection
    /// whose socket has unread input is passed over: its client has sent the next request.
    pub(super) fn eviction_candidate(&self) -> Option<(EvictionPriority, Rc<ClientHandle>)> {
        let handles = self.handles.borrow();
        let priorities = handles.iter().map(|(client, handle)| (handle.eviction_priority(), *client));
        let mut candidates: BinaryHeap<(EvictionPriority, ClientId)> = priorities.collect();
        while let Some((priority, client)) = candidates.pop() {
            let handle = handles.get(&client)?;
            if priority <= EvictionPriority::NotYet || !handle.has_unread_input() {
                return Some((priority, Rc::clone(handle)));
            }
        }
        // The connections whose input is unread have a reply soon.
        handles.values().next().map(|handle| (EvictionPriority::NotYet, Rc::clone(handle)))
    }

    /// Registers a client.
    pub(super) fn insert(&self, client: ClientId, handle: Rc<ClientHandle>) {
        self.handles.borrow_mut().insert(client, handle);
    }

    /// Removes a client.
    pub(super) fn remove(&self, client: ClientId) {
        let removed = self.handles.borrow_mut().remove(&client);
        if let Some(handle) = removed {
            handle.next_reply_changed.notify(usize::MAX);
        }
    }

    /// Discards large messages whose clients have sent nothing for [`SENDER_STALL_TIMEOUT`], or have not
    /// completed them within [`LARGE_MESSAGE_TIME`], oldest first, until `needed` bytes of the request memory
    /// are free.
    pub fn discard_stalled_messages(&self, needed: usize) {
        let handles = self.handles.borrow();
        let mut stalled: Vec<(LargeMessage, &Rc<ClientHandle>)> = handles
            .values()
            .filter(|handle| !handle.discard_requested.get())
            .filter_map(|handle| Some((handle.large_message.get()?, handle)))
            .filter(|(message, _)| message.is_stalled())
            .collect();
        stalled.sort_by_key(|(message, _)| message.reserved_at);
        let mut freed = 0;
        for (message, handle) in stalled {
            if freed >= needed {
                return;
            }
            freed += message.reserved_bytes;
            handle.request_discard();
        }
    }

    /// Resets the connections of clients that have accepted no byte of their output for
    /// [`READER_STALL_TIMEOUT`], longest first, until they free `needed` bytes of the response memory.
    pub fn reset_stalled_readers(&self, needed: usize) {
        let handles = self.handles.borrow();
        let mut stalled: Vec<(Instant, &Rc<ClientHandle>)> = handles
            .values()
            .filter(|handle| handle.reply_memory.charge() > 0 && !handle.is_reset_requested())
            .filter_map(|handle| Some((handle.output_stalled_since.get()?, handle)))
            .filter(|(since, _)| since.elapsed() >= READER_STALL_TIMEOUT)
            .collect();
        stalled.sort_by_key(|(since, _)| *since);
        let mut freed = 0;
        for (_, handle) in stalled {
            if freed >= needed {
                return;
            }
            freed += handle.reply_memory.charge();
            self.memory_counts.count_reset_reader();
            handle.request_reset();
        }
    }

    /// Returns the cancel key of a client's connection.
    pub(super) fn cancel_key(&self, client: ClientId) -> CancelKey {
        CancelKey { process: client.0 as u32, secret: self.secret_hasher.hash_one(client.0) as u32 }
    }

    /// Returns the client whose connection has this cancel key.
    pub(super) fn client_with_key(&self, key: CancelKey) -> Option<ClientId> {
        let client = ClientId(u64::from(key.process));
        self.handles.borrow().get(&client).filter(|handle| handle.cancel_key == key).map(|_| client)
    }

    /// Returns whether a client has closed its connection. The connection's task may not have noticed it yet.
    pub fn has_disconnected(&self, client: ClientId) -> bool {
        let stream = self.handles.borrow().get(&client).and_then(|handle| handle.stream.upgrade());
        stream.is_none_or(|stream| io::hung_up(&stream))
    }

    /// Makes the router reply to empty queries from now on, and wakes the tasks of all clients, which also
    /// check whether the router is shutting down.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.handles.borrow().values().for_each(|handle| handle.wake());
    }

    /// Returns whether empty queries get a reply.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Sets whether clients are sent an error message before their connection is closed between two requests.
    pub fn set_close_notice(&self, enabled: bool) {
        self.sends_close_notice.set(enabled);
    }

    /// Returns whether clients are sent an error message before their connection is closed between two
    /// requests.
    pub(super) fn sends_close_notice(&self) -> bool {
        self.sends_close_notice.get()
    }

    /// Counts a connection that was rejected for lack of descriptors.
    pub(super) fn count_rejected(&self) {
        let counts = self.connection_counts.get();
        self.connection_counts.set(ConnectionCounts { rejected: counts.rejected + 1, ..counts });
    }

    /// Counts a connection that was closed for an error or a message timeout.
    pub(super) fn count_dismissed(&self) {
        let counts = self.connection_counts.get();
        self.connection_counts.set(ConnectionCounts { dismissed: counts.dismissed + 1, ..counts });
    }

    /// Returns the numbers of connections rejected or closed since the last call.
    pub fn take_connection_counts(&self) -> ConnectionCounts {
        self.connection_counts.take()
    }
}
