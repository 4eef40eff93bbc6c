//! A buffer of received bytes, from which complete messages are taken.

use crate::error::ProtocolError;

/// Length of a message's header, in bytes: the type and the length field.
pub const HEADER_LEN: usize = 5;
/// Length of the length field, in bytes. Its value counts itself and the body.
const LENGTH_FIELD_LEN: usize = 4;
/// Upper limit of the memory that an empty buffer keeps allocated, in bytes. A buffer that is not empty frees
/// consumed bytes only once there are this many and at least as many as others, since those have to be moved.
const RETAINED_CAPACITY: usize = 1024;

/// The header of a message that has been received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader {
    /// The message's type byte.
    pub kind: u8,
    /// Length of the body in bytes. The body follows the [`HEADER_LEN`] bytes of the header.
    pub body_len: usize,
}

/// A buffer of bytes that have been received and not yet consumed.
#[derive(Debug, Default)]
pub struct MessageBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that are already consumed.
    consumed: usize,
}

impl MessageBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        // Allocates only what is needed, since doubling the capacity would cost much memory when many clients
        // send long statements at the same time.
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Allocates memory for `len` further bytes, which are about to be received.
    pub fn reserve(&mut self, len: usize) {
        self.bytes.reserve_exact(len);
    }

    /// Returns the number of bytes that are allocated.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the number of bytes that are not consumed.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Returns whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes that are not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks the next `len` bytes as consumed. Their memory is freed once they are at least half of the bytes
    /// and more than `RETAINED_CAPACITY`, or no others are left.
    pub fn consume(&mut self, len: usize) {
        self.consumed = (self.consumed + len).min(self.bytes.len());
        let all_consumed = self.consumed == self.bytes.len();
        if all_consumed || (self.consumed > RETAINED_CAPACITY && self.consumed >= self.len()) {
            self.bytes.drain(..self.consumed);
            self.bytes.shrink_to(RETAINED_CAPACITY);
            self.consumed = 0;
        }
    }

    /// Returns the number of bytes that are missing from the next message, or from its header. The header is
    /// not checked.
    pub fn missing_bytes(&self) -> usize {
        let unread = self.unread();
        let message_len = match unread.first_chunk::<HEADER_LEN>() {
            // The length field does not count the type byte.
            Some(&[_kind, a, b, c, d]) => 1 + u32::from_be_bytes([a, b, c, d]) as usize,
            None => HEADER_LEN,
        };
        message_len.saturating_sub(unread.len())
    }

    /// Drops all bytes that are not consumed except for the first `len`.
    pub fn truncate(&mut self, len: usize) {
        self.bytes.truncate(self.consumed + len);
    }

    /// Returns the header of the next message, as [`message_header`] does.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`message_header`].
    pub fn message_header(&self, max_body_len: usize) -> Result<Option<MessageHeader>, ProtocolError> {
        message_header(self.unread(), max_body_len)
    }
}

/// Returns the header of the message at the start of `bytes`, or `None` if the message is not complete.
///
/// # Errors
///
/// Returns [`ProtocolError::MessageLength`] if the length field is below its own length or the body is longer
/// than `max_body_len`. This is detected as soon as the header has been received.
pub fn message_header(bytes: &[u8], max_body_len: usize) -> Result<Option<MessageHeader>, ProtocolError> {
    let Some(&[kind, a, b, c, d]) = bytes.first_chunk::<HEADER_LEN>() else { return Ok(None) };
    let len = u32::from_be_bytes([a, b, c, d]) as usize;
    if len < LENGTH_FIELD_LEN || len - LENGTH_FIELD_LEN > max_body_len {
        return Err(ProtocolError::MessageLength(len));
    }
    // The length field does not count the type byte.
    let is_complete = bytes.len() > len;
    Ok(is_complete.then_some(MessageHeader { kind, body_len: len - LENGTH_FIELD_LEN }))
}
