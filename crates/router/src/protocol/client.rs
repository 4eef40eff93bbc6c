//! The protocol on client connections: parses the messages that clients send, and encodes those that they
//! get.
//!
//! [`ClientCodec`] parses messages as they arrive and records the arrival time of each message's last byte. A
//! client's deadline counts from that time, even if other commands have to be processed first.

use basalthill_config::router::MAX_STATEMENT_LEN;
use basalthill_policy::api::Time;
use basalthill_wire::sqlstate::FEATURE_NOT_SUPPORTED;
use basalthill_wire::{
    put_cstring, put_error_response, put_message, read_cstring, MessageBuffer, MessageHeader, ProtocolError,
    Severity, HEADER_LEN, READY_FOR_QUERY,
};
use std::collections::VecDeque;

/// The longest accepted message body, in bytes.
pub const MAX_MESSAGE_LEN: usize = MAX_STATEMENT_LEN;
/// The longest accepted startup message, in bytes.
const MAX_STARTUP_LEN: usize = 10_000;
/// The shortest valid startup message, in bytes: its length and a version.
const MIN_STARTUP_LEN: usize = 8;

/// The major version in a cancel request or an encryption request, which are sent in place of a startup
/// message.
const SPECIAL_REQUEST_MAJOR: u32 = 1234;
/// The minor version in a cancel request.
const CANCEL_MINOR: u32 = 5678;
/// The minor version in a request for TLS.
const TLS_MINOR: u32 = 5679;
/// The minor version in a request for GSSAPI encryption.
const GSSAPI_MINOR: u32 = 5680;
/// The major version of the protocol that is served.
const SERVED_MAJOR: u32 = 3;
/// The prefix of startup options that request protocol extensions.
const EXTENSION_PREFIX: &[u8] = b"_pq_.";

/// The key that a client gets when its connection is opened, and that identifies the connection in a cancel
/// request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// The number of the connection.
    pub process: u32,
    /// A secret known only to the connection's client.
    pub secret: u32,
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// A request for encryption, which is always declined.
    Encryption,
    /// Cancel the first open request of the connection with this key.
    CancelRequest(CancelKey),
    /// The startup message.
    Startup {
        /// Whether the client requests a newer minor version or protocol extensions. They are not served, so
        /// the reply begins with NegotiateProtocolVersion.
        needs_negotiation: bool,
    },
    /// A query: its text without the terminating zero byte.
    Query(Vec<u8>),
    /// A message of a part of the protocol that is not served, with its type byte. The reply is an error.
    /// Further messages up to the next Sync are skipped, except after a FunctionCall.
    Unsupported(u8),
    /// Sync, which ends the skipping of messages after an unsupported one.
    Sync,
    /// The client closes the connection.
    Terminate,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Startup,
    Open,
    /// Messages are skipped up to the next Sync.
    SkippingToSync,
}

/// The protocol state of one client connection.
#[derive(Debug, Default)]
pub struct ClientCodec {
    buffer: MessageBuffer,
    phase: Phase,
    /// Complete messages that have not been taken.
    queue: VecDeque<QueuedMessage>,
    /// The size of the messages in `queue`, in bytes.
    queued_bytes: usize,
    /// The protocol error in the bytes after the queued messages.
    error: Option<ProtocolError>,
}

/// A complete message.
#[derive(Debug, PartialEq)]
pub struct ReceivedMessage {
    /// The message.
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
    /// Parses bytes that arrived at this time.
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

    /// Parses the rest of a message that has partly arrived, but nothing after it. Returns the number of
    /// bytes that were consumed.
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

    /// Returns the number of bytes that are missing from the message that has partly arrived, or from its
    /// header.
    fn missing_bytes(&self) -> usize {
        let unread = self.buffer.unread();
        // A startup message has no type byte before its length.
        let kind_len = if self.phase == Phase::Startup { 0 } else { 1 };
        let message_len = match unread.get(kind_len..).and_then(|rest| rest.first_chunk::<4>()) {
            Some(len) => kind_len + u32::from_be_bytes(*len) as usize,
            None => kind_len + 4,
        };
        message_len.saturating_sub(unread.len())
    }

    /// Returns the size of the complete messages that have not been taken, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Returns the number of bytes that have arrived of an incomplete message.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether a protocol error has been found.
    pub fn has_error(&self) -> bool {
        self.error.is_some()
    }

    /// Returns the next complete message; `None` if no message is complete. After the last one, returns the
    /// protocol error, if one has been found.
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

    /// Parses the next message and removes it from the buffer.
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

    /// Parses the message at the front of the buffer; `None` if it is skipped.
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

    /// Parses a startup message, a cancel request or an encryption request and removes it from the buffer.
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
            (SPECIAL_REQUEST_MAJOR, CANCEL_MINOR) => match cancel_key(content) {
                Some(key) => ClientMessage::CancelRequest(key),
                None => return Err(ProtocolError::CancelRequestLength(len)),
            },
            (SPECIAL_REQUEST_MAJOR, TLS_MINOR | GSSAPI_MINOR) => ClientMessage::Encryption,
            (SERVED_MAJOR, minor) => {
                let has_extensions = startup_has_extensions(content)?;
                self.phase = Phase::Open;
                ClientMessage::Startup { needs_negotiation: minor > 0 || has_extensions }
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

/// Returns whether the options of a startup message request protocol extensions. The options are pairs of
/// name and value, terminated by an empty name.
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

/// The reply to a request for encryption, which is declined.
pub const ENCRYPTION_DECLINED: &[u8] = b"N";

/// Encodes the reply to a startup message, with the key by which the client can cancel its requests. If
/// `needs_negotiation`, the reply begins with NegotiateProtocolVersion.
pub fn startup_reply(needs_negotiation: bool, key: CancelKey) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    if needs_negotiation {
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

/// The parameter that carries a session token.
pub const SESSION_TOKEN: &str = "session_token";

/// Encodes a ParameterStatus message with a session token.
pub fn session_token(token: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(32 + token.len());
    put_message(&mut out, b'S', |out| {
        put_cstring(out, SESSION_TOKEN);
        put_cstring(out, token);
    });
    out
}

/// Encodes the reply to an empty query.
pub fn empty_query() -> Vec<u8> {
    let mut out = Vec::with_capacity(16);
    put_message(&mut out, b'I', |_| {});
    out.extend_from_slice(READY_FOR_QUERY);
    out
}

/// Encodes an error after which the connection stays open.
pub fn error(code: &str, message: &str, detail: Option<&str>) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(&mut out, Severity::Error, code, message, detail);
    out.extend_from_slice(READY_FOR_QUERY);
    out
}

/// Encodes the error for an unsupported message other than a FunctionCall. It lacks ReadyForQuery, which is
/// sent as the reply to Sync.
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

/// Encodes an error after which the connection is closed.
pub fn fatal(code: &str, message: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(&mut out, Severity::Fatal, code, message, None);
    out
}
