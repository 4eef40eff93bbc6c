//! Version 3 messages of PostgreSQL's protocol: framing of a byte stream, and the few messages that we write.
//! Both the router and the client library stand on it.

use std::fmt;
use std::ops::Range;

/// A stream that breaks the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub String);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Bytes received and not used yet.
#[derive(Debug, Default)]
pub struct Inbox {
    bytes: Vec<u8>,
    at: usize,
}

/// What a buffer keeps when it is empty.
const KEEP: usize = 4096;

impl Inbox {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
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
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.at..]
    }

    /// Marks bytes as used; gives memory back once all are.
    pub fn used(&mut self, n: usize) {
        self.at = (self.at + n).min(self.bytes.len());
        if self.at == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(KEEP);
            self.at = 0;
        }
    }

    /// The next whole message, its type and the length of its body after a head of five bytes; none while it
    /// is incomplete. `limit` bounds the body.
    pub fn message(&self, limit: usize) -> Result<Option<(u8, usize)>, ProtocolError> {
        let rest = self.rest();
        let Some(&[kind, a, b, c, d]) = rest.first_chunk::<5>() else { return Ok(None) };
        let len = u32::from_be_bytes([a, b, c, d]) as usize;
        if len < 4 || len - 4 > limit {
            return Err(ProtocolError(format!("a message of {len} bytes")));
        }
        Ok((rest.len() > len).then_some((kind, len - 4)))
    }
}

/// Appends a message.
pub fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let len = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a string with its closing zero.
pub fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// A string with its closing zero at the start of `bytes`, and what follows it.
pub fn text(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let len = bytes.iter().position(|b| *b == 0)?;
    Some((&bytes[..len], &bytes[len + 1..]))
}

/// ReadyForQuery, outside a transaction.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

/// Severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The connection goes on.
    Error,
    /// The connection ends.
    Fatal,
}

/// Appends an ErrorResponse.
pub fn put_error(out: &mut Vec<u8>, severity: Severity, code: &str, message: &str, detail: Option<&str>) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    put(out, b'E', |out| {
        let fields =
            [(b'S', Some(severity)), (b'V', Some(severity)), (b'C', Some(code)), (b'M', Some(message))];
        for (field, value) in fields.into_iter().chain([(b'D', detail)]) {
            if let Some(value) = value {
                out.push(field);
                put_text(out, value);
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
        let (value, next) = text(after)?;
        rest = next;
        Some((field, value))
    })
}

/// The SQLSTATE of an ErrorResponse's body.
pub fn error_code(body: &[u8]) -> Option<&[u8]> {
    error_fields(body).find(|f| f.0 == b'C').map(|f| f.1)
}

/// A part of a buffer that is written out as it lies.
pub type Part = Range<usize>;
