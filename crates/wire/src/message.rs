//! Encoding of messages, and decoding of the parts that both ends of a connection read.

use std::ops::Range;

/// The message ReadyForQuery with the status "idle" (no transaction is open).
pub const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// A range of bytes in a buffer.
pub type ByteRange = Range<usize>;

/// The severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The connection stays open after the error.
    Error,
    /// The server closes the connection after the error.
    Fatal,
}

impl Severity {
    /// Returns the severity's name in the protocol.
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// Appends a message of type `kind`; `put_body` appends its body.
pub fn put_message(out: &mut Vec<u8>, kind: u8, put_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let length_offset = out.len();
    out.extend([0; 4]);
    put_body(out);
    // The length field counts itself and the body, but not the type byte.
    let len = (out.len() - length_offset) as u32;
    out[length_offset..length_offset + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a string and its terminating zero byte. Zero bytes within the string are left out.
pub fn put_cstring(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|byte| *byte != 0));
    out.push(0);
}

/// Returns the string at the start of `bytes`, without its terminating zero byte, and the bytes that follow
/// the zero byte. Returns `None` if there is no zero byte.
pub fn read_cstring(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let len = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..len], &bytes[len + 1..]))
}

/// Appends an ErrorResponse with a SQLSTATE, a message and, if given, a detail.
pub fn put_error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: &str,
    message: &str,
    detail: Option<&str>,
) {
    let fields = [
        (b'S', Some(severity.as_str())),
        (b'V', Some(severity.as_str())),
        (b'C', Some(code)),
        (b'M', Some(message)),
        (b'D', detail),
    ];
    put_message(out, b'E', |out| {
        for (field, value) in fields {
            let Some(value) = value else { continue };
            out.push(field);
            put_cstring(out, value);
        }
        out.push(0);
    });
}

/// Returns the fields of an ErrorResponse's body, each with its type byte, up to the first that is cut off.
pub fn error_fields(body: &[u8]) -> impl Iterator<Item = (u8, &[u8])> {
    let mut unread = body;
    std::iter::from_fn(move || {
        let (&field, after) = unread.split_first().filter(|(field, _)| **field != 0)?;
        let (value, next) = read_cstring(after)?;
        unread = next;
        Some((field, value))
    })
}

/// Returns the SQLSTATE in an ErrorResponse's body.
pub fn error_code(body: &[u8]) -> Option<&[u8]> {
    error_fields(body).find(|(field, _)| *field == b'C').map(|(_, value)| value)
}
