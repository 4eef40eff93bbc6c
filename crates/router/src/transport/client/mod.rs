//! Clients' connections: their admission, their registry, and the task that serves each of them.

mod admission;
mod close;
mod eviction;
mod registry;
mod serve;

pub use admission::{admit, MAX_ADMISSION_ATTEMPTS};
pub use eviction::Eviction;
pub use registry::{ClientRegistry, EndedConnections};

use super::conversation::Conversation;
use super::driver::Driver;
use super::semaphore::Permit;
use crate::routing::{ClientId, Input};
use admission::AdmissionPermits;
use async_io::Async;
use basalthill_policy::api::Time;
use registry::ClientHandle;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// An admitted client's connection. Dropped, it is off the registry, its requests are given up, and its
/// permits and its socket are released.
struct ClientConnection {
    driver: Rc<Driver>,
    id: ClientId,
    handle: Rc<ClientHandle>,
    /// The permit for a large statement, while one is read.
    large_permit: RefCell<Option<Permit>>,
    connected_at: Instant,
    permits: RefCell<Option<AdmissionPermits>>,
    conversation: RefCell<Conversation>,
    stream: Rc<Async<TcpStream>>,
}

/// Why a conversation is over.
enum ConnectionEnd {
    /// The client has closed the connection, or takes nothing any more.
    ClientGone,
    /// The router closes the connection: what was written last still has to arrive.
    Closed,
}

impl ClientConnection {
    /// Registers an admitted client. What it has sent may wait in its socket since `connected_at`.
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
        let handle = Rc::new(ClientHandle::new(&stream, cancel_key));
        driver.clients.insert(id, Rc::clone(&handle));
        driver.handle(Input::ClientConnected(id));
        let unread_since = driver.clock.now().minus(Time(connected_at.elapsed().as_nanos() as u64));
        ClientConnection {
            driver,
            id,
            handle,
            large_permit: RefCell::default(),
            connected_at,
            permits: RefCell::new(Some(permits)),
            conversation: RefCell::new(Conversation::new(cancel_key, unread_since)),
            stream,
        }
    }

    /// Serves the client until its connection ends.
    async fn run(self) {
        let end = self.serve().await;
        if let Some(reason) = self.conversation.borrow().dismissal() {
            tracing::debug!(client = self.id.0, reason, "client dismissed");
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
