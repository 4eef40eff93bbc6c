//! Received bytes, up to the messages that they make up.

use crate::error::ProtocolError;

/// Bytes of a message before its body: the type and the length field.
pub const HEADER_LEN: usize = 5;
/// Bytes of the length field, which counts itself and the body.
const LENGTH_FIELD_LEN: usize = 4;
/// Bytes of memory that an empty buffer keeps for the next messages.
const RETAINED_CAPACITY: usize = 4096;

/// The header of a message that has arrived in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader {
    /// The message's type.
    pub kind: u8,
    /// Bytes of its body, which follows [`HEADER_LEN`] bytes of header.
    pub body_len: usize,
}

/// Bytes received and not consumed yet.
#[derive(Debug, Default)]
pub struct MessageBuffer {
    bytes: Vec<u8>,
    /// Bytes at the front that have been consumed.
    consumed: usize,
}

impl MessageBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        let all_consumed = self.consumed == self.bytes.len();
        if self.consumed > 0 && (all_consumed || self.consumed >= RETAINED_CAPACITY) {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        // Grown to what is needed, not to twice that: many clients may be sending long statements at once.
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// How many bytes are not consumed.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes that are not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks `len` bytes at the front as consumed, and gives memory back once all are.
    pub fn consume(&mut self, len: usize) {
        self.consumed = (self.consumed + len).min(self.bytes.len());
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(RETAINED_CAPACITY);
            self.consumed = 0;
        }
    }

    /// The header of the next message; none until the message has arrived in full.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::MessageLength`] if the length field does not cover itself, or the body is longer than
    /// `max_body_len`. That is known as soon as the header has arrived.
    pub fn message_header(&self, max_body_len: usize) -> Result<Option<MessageHeader>, ProtocolError> {
        let unread = self.unread();
        let Some(&[kind, a, b, c, d]) = unread.first_chunk::<HEADER_LEN>() else { return Ok(None) };
        let len = u32::from_be_bytes([a, b, c, d]) as usize;
        if len < LENGTH_FIELD_LEN || len - LENGTH_FIELD_LEN > max_body_len {
            return Err(ProtocolError::MessageLength(len));
        }
        // The type's byte is not counted by the length field.
        let is_complete = unread.len() > len;
        Ok(is_complete.then_some(MessageHeader { kind, body_len: len - LENGTH_FIELD_LEN }))
    }
}
