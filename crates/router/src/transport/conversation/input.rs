//! What a client has sent: messages as far as they are complete, each with the moment at which it arrived.

use crate::protocol::client::{ClientCodec, ReceivedMessage};
use basalthill_policy::api::Time;
use basalthill_wire::ProtocolError;

/// The reading side of a client's connection.
#[derive(Debug)]
pub struct MessageInput {
    codec: ClientCodec,
    /// Since when the socket may have something that is not read.
    unread_since: Option<Time>,
    /// When the first byte arrived of the message that is incomplete.
    message_started: Option<Time>,
    paused: bool,
    /// So many bytes more are accepted, and the rest of the message that has begun by then; nothing behind
    /// it.
    accept_limit: Option<usize>,
}

impl MessageInput {
    /// The input of a connection whose socket may have something to read since `unread_since`.
    pub fn new(unread_since: Time) -> MessageInput {
        MessageInput {
            codec: ClientCodec::default(),
            unread_since: Some(unread_since),
            message_started: None,
            paused: false,
            accept_limit: None,
        }
    }

    /// When the bytes that are read now may have arrived; `drained` tells that they were all that the socket
    /// had.
    pub fn arrival(&mut self, drained: bool, now: Time) -> Time {
        let arrived_at = self.unread_since.unwrap_or(now);
        if drained {
            self.unread_since = None;
        }
        arrived_at
    }

    /// Takes in bytes that were read now and arrived at `arrived_at`.
    pub fn feed(&mut self, bytes: &[u8], arrived_at: Time, drained: bool, now: Time) {
        let partial_before = self.codec.partial_bytes();
        let accepted = self.feed_accepted(bytes, arrived_at, drained);
        let partial = self.codec.partial_bytes();
        self.message_started = match self.message_started {
            _ if partial == 0 => None,
            // All that was fed belongs to the message that had begun before.
            Some(started) if partial == partial_before + accepted => Some(started),
            _ => Some(now),
        };
    }

    /// Feeds what is still accepted of the bytes; how many those were.
    fn feed_accepted(&mut self, bytes: &[u8], arrived_at: Time, drained: bool) -> usize {
        let Some(limit) = self.accept_limit else {
            self.codec.feed(bytes, arrived_at);
            return bytes.len();
        };
        let (accepted, behind) = bytes.split_at(limit.min(bytes.len()));
        self.codec.feed(accepted, arrived_at);
        self.accept_limit = Some(if drained { 0 } else { limit - accepted.len() });
        accepted.len() + self.codec.finish_message(behind, arrived_at)
    }

    /// The socket was found empty.
    pub fn socket_drained(&mut self) {
        self.unread_since = None;
        self.accept_limit = self.accept_limit.map(|_| 0);
    }

    /// Nothing is read from now on, up to [`MessageInput::resume`]: what arrives may wait unread.
    pub fn pause(&mut self, now: Time) {
        self.unread_since = self.unread_since.or(Some(now));
        self.paused = true;
    }

    /// Reading goes on. The pause was not the client's doing: an incomplete message has its time anew.
    pub fn resume(&mut self, now: Time) {
        if std::mem::take(&mut self.paused) {
            self.message_started = self.message_started.map(|_| now);
        }
    }

    /// Accepts `unread` bytes more, which the socket has by now, and the rest of a message that has begun.
    pub fn limit_to(&mut self, unread: usize) {
        self.accept_limit = Some(unread);
    }

    /// Whether [`MessageInput::limit_to`] has been called.
    pub fn is_limited(&self) -> bool {
        self.accept_limit.is_some()
    }

    /// Whether more bytes are accepted.
    pub fn accepts_more(&self) -> bool {
        self.accept_limit.is_none_or(|limit| limit > 0 || self.codec.partial_bytes() > 0)
    }

    /// Since when a message is incomplete, if one is and the router reads on.
    pub fn message_started(&self) -> Option<Time> {
        self.message_started.filter(|_| !self.paused)
    }

    /// The incomplete message has no more time.
    pub fn forget_message_start(&mut self) {
        self.message_started = None;
    }

    /// The next complete message.
    pub fn next_message(&mut self) -> Result<Option<ReceivedMessage>, ProtocolError> {
        self.codec.next_message()
    }

    /// Bytes of complete messages that were not taken yet.
    pub fn queued_bytes(&self) -> usize {
        self.codec.queued_bytes()
    }

    /// Bytes of the incomplete message.
    pub fn partial_bytes(&self) -> usize {
        self.codec.partial_bytes()
    }

    /// Whether everything complete has been taken, and nothing unreadable stands behind it.
    pub fn is_consumed(&self) -> bool {
        self.codec.queued_bytes() == 0 && !self.codec.has_error()
    }

    /// Drops what is not taken.
    pub fn clear(&mut self) {
        self.codec = ClientCodec::default();
        self.message_started = None;
    }
}
