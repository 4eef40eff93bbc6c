//! The input from a client: complete messages with their arrival times, and the incomplete message after
//! them.

use crate::protocol::client::{ClientCodec, ReceivedMessage};
use basalthill_policy::api::Time;
use basalthill_wire::ProtocolError;

/// The input of a client connection.
#[derive(Debug)]
pub struct MessageInput {
    codec: ClientCodec,
    /// Since when the socket may have unread input; `None` if the last read emptied it.
    unread_since: Option<Time>,
    /// When the first byte of the incomplete message was received, if there is one.
    message_started: Option<Time>,
    paused: bool,
    /// The number of further bytes that are accepted; `None` if the input is not limited. The rest of the
    /// message that is incomplete after these bytes is accepted as well, and nothing after that message.
    accept_limit: Option<usize>,
}

impl MessageInput {
    /// Creates the input of a connection whose socket may have unread input since `unread_since`.
    pub fn new(unread_since: Time) -> MessageInput {
        MessageInput {
            codec: ClientCodec::default(),
            unread_since: Some(unread_since),
            message_started: None,
            paused: false,
            accept_limit: None,
        }
    }

    /// Returns the earliest time at which bytes that are read at `now` may have been received. If `drained`
    /// is true, the socket has no more bytes; bytes that are read later count as received when they are read,
    /// unless reading is paused before.
    pub fn arrival_time(&mut self, drained: bool, now: Time) -> Time {
        let arrived_at = self.unread_since.unwrap_or(now);
        if drained {
            self.unread_since = None;
        }
        arrived_at
    }

    /// Handles bytes that were read at `now` and received at `arrived_at`.
    pub fn feed(&mut self, bytes: &[u8], arrived_at: Time, drained: bool, now: Time) {
        let partial_before = self.codec.partial_bytes();
        let accepted = self.feed_accepted(bytes, arrived_at, drained);
        let partial = self.codec.partial_bytes();
        self.message_started = match self.message_started {
            _ if partial == 0 => None,
            // All of the bytes belong to the message that was incomplete before.
            Some(started) if partial == partial_before + accepted => Some(started),
            _ => Some(now),
        };
    }

    /// Passes the accepted part of the bytes to the codec. Returns its length.
    fn feed_accepted(&mut self, bytes: &[u8], arrived_at: Time, drained: bool) -> usize {
        let Some(limit) = self.accept_limit else {
            self.codec.feed(bytes, arrived_at);
            return bytes.len();
        };
        let (accepted, rest) = bytes.split_at(limit.min(bytes.len()));
        self.codec.feed(accepted, arrived_at);
        self.accept_limit = Some(if drained { 0 } else { limit - accepted.len() });
        accepted.len() + self.codec.finish_message(rest, arrived_at)
    }

    /// Records that the socket has no unread input.
    pub fn socket_drained(&mut self) {
        self.unread_since = None;
        self.accept_limit = self.accept_limit.map(|_| 0);
    }

    /// Records that the socket is not read until [`MessageInput::resume`] is called, so that input received
    /// from now on may stay unread.
    pub fn pause(&mut self, now: Time) {
        self.unread_since = self.unread_since.or(Some(now));
        self.paused = true;
    }

    /// Records that the socket is read again. Restarts the timeout of an incomplete message, because the
    /// pause was not caused by the client.
    pub fn resume(&mut self, now: Time) {
        if std::mem::take(&mut self.paused) {
            self.message_started = self.message_started.map(|_| now);
        }
    }

    /// Limits further input to the `unread` bytes that the socket has now, and the rest of the message that
    /// is incomplete after them.
    pub fn limit_to(&mut self, unread: usize) {
        self.accept_limit = Some(unread);
    }

    /// Returns whether [`MessageInput::limit_to`] has been called.
    pub fn is_limited(&self) -> bool {
        self.accept_limit.is_some()
    }

    /// Returns whether more bytes are accepted.
    pub fn accepts_more(&self) -> bool {
        self.accept_limit.is_none_or(|limit| limit > 0 || self.codec.partial_bytes() > 0)
    }

    /// Returns when the first byte of the incomplete message was received, if there is one and reading is not
    /// paused.
    pub fn message_started(&self) -> Option<Time> {
        self.message_started.filter(|_| !self.paused)
    }

    /// Stops the timeout of the incomplete message.
    pub fn clear_message_start(&mut self) {
        self.message_started = None;
    }

    /// Takes the next complete message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<ReceivedMessage>, ProtocolError> {
        self.codec.next_message()
    }

    /// Returns the number of bytes in complete messages that have not been taken.
    pub fn queued_bytes(&self) -> usize {
        self.codec.queued_bytes()
    }

    /// Returns the number of received bytes of the incomplete message.
    pub fn partial_bytes(&self) -> usize {
        self.codec.partial_bytes()
    }

    /// Returns the number of bytes that the input holds in memory.
    pub fn memory(&self) -> usize {
        self.codec.memory()
    }

    /// Returns the number of bytes that are missing from the incomplete message.
    pub fn missing_bytes(&self) -> usize {
        self.codec.missing_bytes()
    }

    /// Allocates memory for the rest of the incomplete message.
    pub fn reserve_message(&mut self) {
        self.codec.reserve_message();
    }

    /// Discards the incomplete message, see [`ClientCodec::discard_message`].
    pub fn discard_message(&mut self) -> bool {
        self.codec.discard_message()
    }

    /// Returns whether all complete messages have been taken, and no protocol error follows them.
    pub fn is_consumed(&self) -> bool {
        self.codec.queued_bytes() == 0 && !self.codec.has_error()
    }

    /// Drops all input that has not been taken.
    pub fn clear(&mut self) {
        self.codec = ClientCodec::default();
        self.message_started = None;
    }
}
