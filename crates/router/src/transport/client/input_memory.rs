//! Reading from a client within the memory that all requests share.

use super::registry::LargeMessage;
use super::ClientConnection;
use async_io::Timer;
use futures_lite::future;
use std::time::{Duration, Instant};

/// The longest wait for the memory of a large message. The message is then discarded, and a request rejected.
/// The router does not know the deadline of a request that it has not read, so the wait is shorter than any.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(250);

impl ClientConnection {
    /// Waits until more may be read, and returns how many bytes. A connection may hold its share of messages.
    /// For a longer message that is the next to be handled, memory is reserved; a message after commands
    /// without replies is not read on, so that no connection holds the memory of one request while it waits
    /// for the memory of another.
    pub(super) async fn allow_read(&self) -> usize {
        let held = self.conversation.borrow().request_memory();
        self.request_memory.set_held(held);
        let is_share_used = held >= self.request_memory.allowed();
        if !self.accepts_input() || (is_share_used && !self.conversation.borrow().is_receiving_next()) {
            self.conversation.borrow_mut().pause_reading(self.driver.clock.now());
            // The connection's task starts anew once a reply has been queued or output has been written.
            return future::pending().await;
        }
        if is_share_used {
            self.reserve_or_discard_message().await;
        }
        self.room_for_input()
    }

    fn accepts_input(&self) -> bool {
        self.conversation.borrow().accepts_input()
    }

    /// Returns how many bytes may be read without a further reservation, at least one.
    pub(super) fn room_for_input(&self) -> usize {
        let held = self.conversation.borrow().request_memory();
        self.request_memory.allowed().saturating_sub(held).max(1)
    }

    /// Reserves memory for the rest of the incomplete message, or discards the message if none is available
    /// within [`MAX_MEMORY_WAIT`].
    async fn reserve_or_discard_message(&self) {
        let bytes = {
            let conversation = self.conversation.borrow();
            conversation.request_memory() + conversation.missing_bytes()
        };
        if !self.request_memory.reserve_now(bytes) && !self.wait_for_memory(bytes).await {
            return self.discard_message();
        }
        self.conversation.borrow_mut().reserve_message();
        let now = Instant::now();
        let message = LargeMessage { reserved_bytes: bytes, reserved_at: now, received_at: now };
        self.handle.large_message.set(Some(message));
    }

    /// Waits until `bytes` are reserved, for [`MAX_MEMORY_WAIT`] at most. Returns whether they are. If the
    /// future is dropped, the next call continues the wait.
    async fn wait_for_memory(&self, bytes: usize) -> bool {
        self.conversation.borrow_mut().pause_reading(self.driver.clock.now());
        let waiting_since = self.request_memory.waiting_since().unwrap_or_else(Instant::now);
        let reserved = async {
            self.request_memory.reserve(bytes).await;
            true
        };
        let timed_out = async {
            Timer::at(waiting_since + MAX_MEMORY_WAIT).await;
            false
        };
        let is_reserved = future::or(reserved, timed_out).await;
        self.request_memory.give_up();
        is_reserved
    }

    /// Discards the incomplete message and frees its memory.
    pub(super) fn discard_message(&self) {
        self.driver.clients.memory_counts.count_discarded_message();
        self.conversation.borrow_mut().discard_message();
        self.request_memory.release_reservation();
        self.handle.large_message.set(None);
        self.update_request_memory();
    }

    /// Accounts for the memory that the conversation holds now. Releases the reservation once the message for
    /// which it was made is complete.
    pub(super) fn update_request_memory(&self) {
        let conversation = self.conversation.borrow();
        self.request_memory.set_held(conversation.request_memory());
        if !conversation.is_receiving_next() {
            self.request_memory.release_reservation();
            self.handle.large_message.set(None);
        }
    }
}
