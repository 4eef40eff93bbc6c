//! The side towards clients: bytes in, requests out; and the messages that clients get.
//!
//! [`ClientCodec`] takes messages apart as they arrive, each with the time of its last byte: a client's
//! deadline counts from there, however many commands stand before it.

use basalthill_config::router::MAX_STATEMENT_LEN;
use basalthill_policy::api::Time;
use basalthill_wire::sqlstate::FEATURE_NOT_SUPPORTED;
use basalthill_wire::{
    put_cstring, put_error_response, put_message, read_cstring, MessageBuffer, MessageHeader, ProtocolError,
    Severity, HEADER_LEN, READY_FOR_QUERY,
};
use std::collections::VecDeque;

/// Longest message body taken, in bytes.
pub const MAX_MESSAGE_LEN: usize = MAX_STATEMENT_LEN;
/// Longest startup message, in bytes.
const MAX_STARTUP_LEN: usize = 10_000;
/// Shortest startup message: its length and a version.
const MIN_STARTUP_LEN: usize = 8;

/// The major version that a message in place of a startup message carries.
const REQUEST_MAJOR: u32 = 1234;
/// The minor version of a cancel request.
const CANCEL_MINOR: u32 = 5678;
/// The minor version of a request for TLS.
const TLS_MINOR: u32 = 5679;
/// The minor version of a request for GSSAPI encryption.
const GSS_MINOR: u32 = 5680;
/// The major version of the protocol that is served.
const SERVED_MAJOR: u32 = 3;
/// Startup options with this prefix request extensions of the protocol.
const EXTENSION_PREFIX: &[u8] = b"_pq_.";

/// What a client gets when its connection is opened, and a cancel request has to carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// The connection's number.
    pub process: u32,
    /// What only its client knows.
    pub secret: u32,
}

/// What a client has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// A request for encryption, which is declined.
    Encryption,
    /// Cancel the request that is open on the connection with this key.
    CancelRequest(CancelKey),
    /// The startup message.
    Startup {
        /// It has a newer minor version or options that are not served: NegotiateProtocolVersion is due.
        newer: bool,
    },
    /// A query: its text without the closing zero.
    Query(Vec<u8>),
    /// A message of a part of the protocol that is not served; answered once, up to the next Sync.
    Unsupported(u8),
    /// Sync after such messages.
    Sync,
    /// The client ends the connection.
    Terminate,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Startup,
    Open,
    /// Messages are passed over up to the next Sync.
    SkippingToSync,
}

/// The protocol's state for one client.
#[derive(Debug, Default)]
pub struct ClientCodec {
    buffer: MessageBuffer,
    phase: Phase,
    /// Messages that have arrived in full.
    queue: VecDeque<QueuedMessage>,
    /// Bytes of those.
    queued_bytes: usize,
    /// Why what arrived behind them can't be read.
    error: Option<ProtocolError>,
}

/// A message that has arrived in full.
#[derive(Debug, PartialEq)]
pub struct ReceivedMessage {
    /// What it says.
    pub message: ClientMessage,
    /// When its last byte arrived.
    pub arrived_at: Time,
}

#[derive(Debug)]
struct QueuedMessage {
    received: ReceivedMessage,
    bytes: usize,
}

impl ClientCodec {
    /// Takes in bytes that arrived at this time.
    pub fn feed(&mut self, bytes: &[u8], arrived_at: Time) {
        if self.error.is_some() {
            return;
        }
        self.buffer.extend(bytes);
        loop {
            let before = self.buffer.len();
            match self.parse_message() {
                Ok(Some(message)) => {
                    let bytes = before - self.buffer.len();
                    self.queued_bytes += bytes;
                    let received = ReceivedMessage { message, arrived_at };
                    self.queue.push_back(QueuedMessage { received, bytes });
                }
                Ok(None) => return,
                Err(error) => {
                    self.buffer = MessageBuffer::default();
                    self.error = Some(error);
                    return;
                }
            }
        }
    }

    /// Takes in the rest of the message that has begun, and nothing behind it; returns how many bytes that
    /// was.
    pub fn finish_message(&mut self, bytes: &[u8], arrived_at: Time) -> usize {
        let queued_before = self.queue.len();
        let mut fed = 0;
        while fed < bytes.len()
            && self.error.is_none()
            && self.queue.len() == queued_before
            && self.partial_bytes() > 0
        {
            let len = self.missing_bytes().clamp(1, bytes.len() - fed);
            self.feed(&bytes[fed..fed + len], arrived_at);
            fed += len;
        }
        fed
    }

    /// How many bytes are missing of the message that has begun, or of its header.
    fn missing_bytes(&self) -> usize {
        let unread = self.buffer.unread();
        // A startup message has no type before its length.
        let kind_len = if self.phase == Phase::Startup { 0 } else { 1 };
        let message_len = match unread.get(kind_len..).and_then(|rest| rest.first_chunk::<4>()) {
            Some(len) => kind_len + u32::from_be_bytes(*len) as usize,
            None => kind_len + 4,
        };
        message_len.saturating_sub(unread.len())
    }

    /// Bytes of messages that have arrived in full and not been taken.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Bytes of the message that has not arrived in full.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether something arrived that can't be read.
    pub fn has_error(&self) -> bool {
        self.error.is_some()
    }

    /// The next message, if it has arrived in full.
    pub fn next_message(&mut self) -> Result<Option<ReceivedMessage>, ProtocolError> {
        if let Some(QueuedMessage { received, bytes }) = self.queue.pop_front() {
            self.queued_bytes -= bytes;
            return Ok(Some(received));
        }
        match &self.error {
            Some(error) => Err(error.clone()),
            None => Ok(None),
        }
    }

    /// Takes the next message off the buffer.
    fn parse_message(&mut self) -> Result<Option<ClientMessage>, ProtocolError> {
        if self.phase == Phase::Startup {
            return self.parse_startup();
        }
        loop {
            let Some(header) = self.buffer.message_header(MAX_MESSAGE_LEN)? else { return Ok(None) };
            let len = HEADER_LEN + header.body_len;
            let message = self.parse_command(header)?;
            self.buffer.consume(len);
            if message.is_some() {
                return Ok(message);
            }
        }
    }

    /// Reads the message at the front of the buffer; none if it is passed over.
    fn parse_command(&mut self, header: MessageHeader) -> Result<Option<ClientMessage>, ProtocolError> {
        let MessageHeader { kind, body_len } = header;
        let body = &self.buffer.unread()[HEADER_LEN..HEADER_LEN + body_len];
        match kind {
            b'Q' if self.phase == Phase::Open => match read_cstring(body) {
                Some((query, [])) => Ok(Some(ClientMessage::Query(query.to_vec()))),
                _ => Err(ProtocolError::UnterminatedQuery),
            },
            b'X' => Ok(Some(ClientMessage::Terminate)),
            b'S' => {
                self.phase = Phase::Open;
                Ok(Some(ClientMessage::Sync))
            }
            _ if self.phase == Phase::SkippingToSync => Ok(None),
            b'P' | b'B' | b'E' | b'D' | b'C' | b'H' => {
                self.phase = Phase::SkippingToSync;
                Ok(Some(ClientMessage::Unsupported(kind)))
            }
            b'F' => Ok(Some(ClientMessage::Unsupported(kind))),
            b'd' | b'c' | b'f' => Ok(None),
            other => Err(ProtocolError::UnknownClientMessage(other)),
        }
    }

    /// Takes a startup message, or a request that stands in its place, off the buffer.
    fn parse_startup(&mut self) -> Result<Option<ClientMessage>, ProtocolError> {
        let unread = self.buffer.unread();
        let Some(len) = unread.first_chunk::<4>() else { return Ok(None) };
        let len = u32::from_be_bytes(*len) as usize;
        if !(MIN_STARTUP_LEN..=MAX_STARTUP_LEN).contains(&len) {
            return Err(ProtocolError::StartupLength(len));
        }
        let Some(&[a, b, c, d, ref content @ ..]) = unread.get(4..len) else { return Ok(None) };
        let version = u32::from_be_bytes([a, b, c, d]);
        let message = match (version >> 16, version & 0xffff) {
            (REQUEST_MAJOR, CANCEL_MINOR) => match cancel_key(content) {
                Some(key) => ClientMessage::CancelRequest(key),
                None => return Err(ProtocolError::CancelRequestLength(len)),
            },
            (REQUEST_MAJOR, TLS_MINOR | GSS_MINOR) => ClientMessage::Encryption,
            (SERVED_MAJOR, minor) => {
                let has_extensions = startup_has_extensions(content)?;
                self.phase = Phase::Open;
                ClientMessage::Startup { newer: minor > 0 || has_extensions }
            }
            (major, minor) => return Err(ProtocolError::UnsupportedVersion { major, minor }),
        };
        self.buffer.consume(len);
        Ok(Some(message))
    }
}

fn cancel_key(content: &[u8]) -> Option<CancelKey> {
    let &[a, b, c, d, e, f, g, h] = content else { return None };
    let process = u32::from_be_bytes([a, b, c, d]);
    let secret = u32::from_be_bytes([e, f, g, h]);
    Some(CancelKey { process, secret })
}

/// Whether a startup message requests extensions of the protocol among its options: names and values, up to
/// an empty name.
fn startup_has_extensions(options: &[u8]) -> Result<bool, ProtocolError> {
    let mut has_extensions = false;
    let mut rest = options;
    while let Some((name, after)) = read_cstring(rest).filter(|(name, _)| !name.is_empty()) {
        has_extensions |= name.starts_with(EXTENSION_PREFIX);
        let (_value, next) = read_cstring(after).ok_or(ProtocolError::StartupOptionWithoutValue)?;
        rest = next;
    }
    match rest {
        [0] => Ok(has_extensions),
        _ => Err(ProtocolError::UnterminatedStartup),
    }
}

/// The answer to a request for encryption: none.
pub const ENCRYPTION_DECLINED: &[u8] = b"N";

/// The answer to a startup message, with the key by which the client can cancel its requests.
pub fn startup_reply(newer: bool, key: CancelKey) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    if newer {
        put_message(&mut out, b'v', |out| out.extend([0; 8]));
    }
    put_message(&mut out, b'R', |out| out.extend([0; 4]));
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
        ("DateStyle", "ISO, MDY"),
    ];
    for (name, value) in parameters {
        put_message(&mut out, b'S', |out| {
            put_cstring(out, name);
            put_cstring(out, value);
        });
    }
    put_message(&mut out, b'K', |out| {
        out.extend(key.process.to_be_bytes());
        out.extend(key.secret.to_be_bytes());
    });
    out.extend_from_slice(READY_FOR_QUERY);
    out
}

/// The parameter that carries a session's token.
pub const SESSION_TOKEN: &str = "session_token";

/// A ParameterStatus message with a session's token.
pub fn session_token(token: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(32 + token.len());
    put_message(&mut out, b'S', |out| {
        put_cstring(out, SESSION_TOKEN);
        put_cstring(out, token);
    });
    out
}

/// The answer to an empty query.
pub fn empty_query() -> Vec<u8> {
    let mut out = Vec::with_capacity(16);
    put_message(&mut out, b'I', |_| {});
    out.extend_from_slice(READY_FOR_QUERY);
    out
}

/// An error after which the connection goes on.
pub fn error(code: &str, message: &str, detail: Option<&str>) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(&mut out, Severity::Error, code, message, detail);
    out.extend_from_slice(READY_FOR_QUERY);
    out
}

/// An error without ReadyForQuery, which follows Sync.
pub fn unsupported_reply() -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(
        &mut out,
        Severity::Error,
        FEATURE_NOT_SUPPORTED,
        "only simple queries are served",
        None,
    );
    out
}

/// An error after which the connection is closed.
pub fn fatal(code: &str, message: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(&mut out, Severity::Fatal, code, message, None);
    out
}
