//! How the router closes a client's connection.

use super::eviction::ConnectionState;
use super::ClientConnection;
use crate::transport::io;
use std::time::Instant;

impl ClientConnection {
    /// Closes the connection from this side, once nothing is left to be answered on it. Closed over unread
    /// bytes, a connection is reset, and the tail of the last reply may be lost: so the sending ends first,
    /// and what arrives is dropped until the client closes, too.
    pub(super) async fn linger(&self) {
        self.handle.state.set(ConnectionState::Draining(Instant::now()));
        self.handle.message_started.take();
        self.large_permit.take();
        io::lingering_close(&self.driver.read_buffer, &self.stream, self.wait_until_evicted()).await;
    }

    /// Waits until this connection is to make place for another and can't linger on. Evicted, it first gives
    /// up its admission and takes one of the few permits for rejections, which it occupies until it is
    /// closed; where there is none, the wait is over.
    async fn wait_until_evicted(&self) {
        let mut rejection = None;
        loop {
            if self.handle.is_evicted() && rejection.is_none() {
                rejection = self.driver.clients.rejections.acquire_now();
                if rejection.is_none() {
                    return;
                }
                self.permits.take();
            }
            self.handle.changed().await;
        }
    }

    /// Ends the conversation between two requests. No complete request has been read that is not answered,
    /// and none will be: a client that sends one meanwhile knows by the close that it was not run.
    pub(super) fn end_between_requests(&self) {
        let mut conversation = self.conversation.borrow_mut();
        match self.driver.clients.close_notice() {
            true => conversation.end_with_notice(),
            false => conversation.end(),
        }
    }
}
