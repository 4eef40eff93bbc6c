//! Version 3 messages of PostgreSQL's protocol: framing of a byte stream, and the few messages that we write.
//! Both the router and the client library stand on it.

use std::ops::Range;

/// Why a stream of messages cannot be read any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A message's length field is below its own size or above the limit.
    #[error("a message of {0} bytes")]
    MessageLength(usize),
    /// A query's text does not end with a zero byte.
    #[error("a query that does not end with its zero byte")]
    UnterminatedQuery,
    /// A client's message is of a type that the protocol does not have.
    #[error("message type {0} is unknown")]
    UnknownClientMessage(u8),
    /// A startup message is too short or too long.
    #[error("a startup message of {0} bytes")]
    StartupLength(usize),
    /// A cancel request is of another length than the protocol's.
    #[error("a cancel request of {0} bytes")]
    CancelRequestLength(usize),
    /// A startup option has a name and no value.
    #[error("a startup option has no value")]
    StartupOptionWithoutValue,
    /// A startup message's options do not end with a zero byte.
    #[error("a startup message that does not end well")]
    UnterminatedStartup,
    /// The client speaks a version of the protocol that is not served.
    #[error("protocol {major}.{minor} is not served")]
    UnsupportedVersion {
        /// The major version.
        major: u32,
        /// The minor version.
        minor: u32,
    },
    /// A host's message is of a type that hosts do not send.
    #[error("a message of an unknown type")]
    UnknownHostMessage,
    /// A host's message has a length that no message of its type has.
    #[error("a message {:?} of {len} bytes", char::from(*.kind))]
    ImplausibleLength {
        /// The message's type.
        kind: u8,
        /// The length of its body.
        len: usize,
    },
    /// A host wants a password.
    #[error("a host that wants a password (message {:?})", char::from(*.0))]
    AuthenticationRequested(u8),
    /// A row has another number of columns than one.
    #[error("a row of another shape (message {:?})", char::from(*.0))]
    RowShape(u8),
    /// A value's length is not what its row says.
    #[error("a value of another length (message {:?})", char::from(*.0))]
    ValueLength(u8),
    /// A message that does not belong there.
    #[error("a message out of order (message {:?})", char::from(*.0))]
    OutOfOrder(u8),
    /// A host's answer is longer than the router takes.
    #[error("an answer that is too long")]
    AnswerTooLong,
    /// A router's message cannot be read.
    #[error("message {:?} can't be read", char::from(*.0))]
    UnreadableMessage(u8),
}

/// The header of a message that has arrived in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader {
    /// The message's type.
    pub kind: u8,
    /// Bytes of its body, which follows the header.
    pub body_len: usize,
}

/// Bytes received and not consumed yet.
#[derive(Debug, Default)]
pub struct MessageBuffer {
    bytes: Vec<u8>,
    at: usize,
}

/// What a buffer keeps when it is empty.
const KEEP: usize = 4096;

impl MessageBuffer {
    /// Takes bytes in.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.at > 0 && (self.at == self.bytes.len() || self.at >= KEEP) {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        // Grown to what is needed, not to twice that: many clients may be sending long statements at once.
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes waiting.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.at
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What waits.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.at..]
    }

    /// Marks bytes as used; gives memory back once all are.
    pub fn consume(&mut self, n: usize) {
        self.at = (self.at + n).min(self.bytes.len());
        if self.at == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(KEEP);
            self.at = 0;
        }
    }

    /// The next whole message, its type and the length of its body after a head of five bytes; none while it
    /// is incomplete. `limit` bounds the body.
    pub fn message_header(&self, limit: usize) -> Result<Option<MessageHeader>, ProtocolError> {
        let rest = self.unread();
        let Some(&[kind, a, b, c, d]) = rest.first_chunk::<5>() else { return Ok(None) };
        let len = u32::from_be_bytes([a, b, c, d]) as usize;
        if len < 4 || len - 4 > limit {
            return Err(ProtocolError::MessageLength(len));
        }
        Ok((rest.len() > len).then_some(MessageHeader { kind, body_len: len - 4 }))
    }
}

/// Appends a message.
pub fn put_message(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let len = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a string with its closing zero.
pub fn put_cstring(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// A string with its closing zero at the start of `bytes`, and what follows it.
pub fn read_cstring(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let len = bytes.iter().position(|b| *b == 0)?;
    Some((&bytes[..len], &bytes[len + 1..]))
}

/// ReadyForQuery, outside a transaction.
pub const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// Severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The connection goes on.
    Error,
    /// The connection ends.
    Fatal,
}

/// Appends an ErrorResponse.
pub fn put_error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: &str,
    message: &str,
    detail: Option<&str>,
) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    put_message(out, b'E', |out| {
        let fields =
            [(b'S', Some(severity)), (b'V', Some(severity)), (b'C', Some(code)), (b'M', Some(message))];
        for (field, value) in fields.into_iter().chain([(b'D', detail)]) {
            if let Some(value) = value {
                out.push(field);
                put_cstring(out, value);
            }
        }
        out.push(0);
    });
}

/// The fields of an ErrorResponse's body, up to the first that can't be read.
pub fn error_fields(body: &[u8]) -> impl Iterator<Item = (u8, &[u8])> {
    let mut rest = body;
    std::iter::from_fn(move || {
        let (&field, after) = rest.split_first().filter(|(field, _)| **field != 0)?;
        let (value, next) = read_cstring(after)?;
        rest = next;
        Some((field, value))
    })
}

/// The SQLSTATE of an ErrorResponse's body.
pub fn error_code(body: &[u8]) -> Option<&[u8]> {
    error_fields(body).find(|f| f.0 == b'C').map(|f| f.1)
}

/// A part of a buffer that is written out as it lies.
pub type ByteRange = Range<usize>;
