//! Closing of a client connection by the router.

use super::eviction::ConnectionState;
use super::ClientConnection;
use crate::transport::io;
use std::time::Instant;

impl ClientConnection {
    /// Closes the connection after the last reply has been written. Closing a socket with unread input resets
    /// the connection, which may lose the end of the last reply, so this shuts down the write side first and
    /// discards input until the client closes as well.
    pub(super) async fn linger(&self) {
        self.handle.state.set(ConnectionState::Draining(Instant::now()));
        self.handle.message_started.take();
        self.request_memory.give_up();
        self.request_memory.release_reservation();
        self.request_memory.set_held(0);
        io::lingering_close(&self.driver.read_buffer, &self.stream, self.evicted_without_permit()).await;
    }

    /// Waits until the connection is evicted while no rejection permit is available. On an eviction, tries to
    /// exchange the connection's admission permits for a rejection permit. If one is available, the
    /// connection continues to linger and holds the permit until it is closed; otherwise, this returns.
    async fn evicted_without_permit(&self) {
        let mut rejection_permit = None;
        loop {
            if self.handle.is_eviction_requested() && rejection_permit.is_none() {
                rejection_permit = self.driver.clients.rejection_permits.acquire_now();
                if rejection_permit.is_none() {
                    return;
                }
                self.permits.take();
            }
            self.handle.changed().await;
        }
    }

    /// Closes the conversation while no request is in flight. Every complete request that was read has its
    /// reply, and no further input is read, so a client that sends a request at this time can tell from the
    /// close that the request was not executed.
    pub(super) fn close_between_requests(&self) {
        let mut conversation = self.conversation.borrow_mut();
        match self.driver.clients.sends_close_notice() {
            true => conversation.close_with_notice(),
            false => conversation.close(),
        }
    }
}
