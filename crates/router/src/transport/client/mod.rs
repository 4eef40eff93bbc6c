//! Client connections: their admission, their registry, and the task that serves each of them.

mod admission;
mod close;
mod eviction;
mod input_memory;
mod memory_counts;
mod registry;
mod serve;

pub use admission::{admit, MAX_ADMISSION_ATTEMPTS};
pub use eviction::EvictionPriority;
pub use memory_counts::MemoryCounts;
pub use registry::{ClientRegistry, ConnectionCounts};

use super::conversation::Conversation;
use super::driver::Driver;
use super::memory_budget::MemoryAccount;
use crate::routing::{ClientId, Input};
use admission::AdmissionPermits;
use async_io::Async;
use basalthill_policy::api::Time;
use registry::ClientHandle;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// The connection of an admitted client. When it is dropped, it is removed from the registry, its requests
/// are abandoned, and its permits and socket are released.
struct ClientConnection {
    driver: Rc<Driver>,
    id: ClientId,
    handle: Rc<ClientHandle>,
    /// The memory of the client's requests.
    request_memory: MemoryAccount,
    connected_at: Instant,
    /// When the router last wrote to the client only to see whether it has closed.
    probed_at: Cell<Option<Instant>>,
    /// The admission permits; `None` once they have been exchanged for a rejection permit.
    permits: RefCell<Option<AdmissionPermits>>,
    conversation: RefCell<Conversation>,
    stream: Rc<Async<TcpStream>>,
}

/// Why a connection's task stops serving.
enum ConnectionEnd {
    /// The client has closed the connection, the connection failed, or the client has stopped reading.
    Disconnected,
    /// The router closes the connection, and the client still has to receive the last reply.
    Closed,
}

impl ClientConnection {
    /// Registers an admitted client. Unread input may have been in its socket since `connected_at`.
    fn new(
        driver: Rc<Driver>,
        id: ClientId,
        stream: Async<TcpStream>,
        permits: AdmissionPermits,
        connected_at: Instant,
    ) -> ClientConnection {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let cancel_key = driver.clients.cancel_key(id);
        let handle = Rc::new(ClientHandle::new(&stream, cancel_key, driver.open_response_account()));
        let request_memory = driver.open_request_account();
        driver.clients.insert(id, Rc::clone(&handle));
        driver.handle(Input::ClientConnected(id));
        let unread_since = driver.clock.now().minus(Time(connected_at.elapsed().as_nanos() as u64));
        ClientConnection {
            driver,
            id,
            handle,
            request_memory,
            connected_at,
            probed_at: Cell::default(),
            permits: RefCell::new(Some(permits)),
            conversation: RefCell::new(Conversation::new(cancel_key, unread_since)),
            stream,
        }
    }

    /// Serves the client until its connection is closed.
    async fn run(self) {
        let end = self.serve().await;
        if let Some(reason) = self.conversation.borrow().close_reason() {
            tracing::debug!(
                client = self.id.0,
                reason,
                "closing a client connection for an error or timeout"
            );
            self.driver.clients.count_dismissed();
        }
        if let ConnectionEnd::Closed = end {
            self.linger().await;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.clients.remove(self.id);
        self.driver.handle(Input::ClientDisconnected(self.id));
        self.driver.shutdown.notify_progress();
    }
}
