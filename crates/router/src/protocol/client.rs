//! The protocol on client connections: parses the messages that clients send, and encodes those that they
//! get.
//!
//! [`ClientCodec`] finds the end of each message as it arrives, records the arrival time of its last byte,
//! and parses it once it is taken. A client's deadline counts from that time, even if other commands have
//! to be processed first.

use basalthill_config::router::MAX_STATEMENT_LEN;
use basalthill_policy::api::Time;
use basalthill_wire::sqlstate::FEATURE_NOT_SUPPORTED;
use basalthill_wire::{
    message_header, put_cstring, put_error_response, put_message, read_cstring, MessageBuffer, MessageHeader,
    ProtocolError, Severity, HEADER_LEN, READY_FOR_QUERY,
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
    /// A query whose text has been discarded, because there was no memory for it.
    DiscardedQuery,
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

/// The protocol state of one client connection. Messages are parsed when they are taken, so that a codec
/// holds little more than the bytes that it has received, however short their messages are.
#[derive(Debug, Default)]
pub struct ClientCodec {
    /// Complete messages that have not been taken, and the incomplete message after them.
    buffer: MessageBuffer,
    /// The phase of the connection at the first message in the buffer.
    phase: Phase,
    /// The phase of the connection after the complete messages, as far as the framing depends on it.
    is_startup_complete: bool,
    /// The arrival times of the complete messages.
    arrivals: ArrivalQueue,
    /// A message that is not stored, because there is no memory for it.
    discarded: Option<DiscardedMessage>,
    /// The protocol error in the bytes after the complete messages.
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

/// A message that is not stored. It precedes all messages in the buffer.
#[derive(Debug)]
struct DiscardedMessage {
    kind: u8,
    /// The number of bytes that have been received.
    received: usize,
    /// The number of bytes that are missing.
    missing: usize,
    /// When the last byte arrived.
    arrived_at: Time,
}

/// The arrival times of complete messages, in their order. Consecutive messages that arrived at the same time
/// share an entry.
#[derive(Debug, Default)]
struct ArrivalQueue {
    entries: VecDeque<Arrival>,
    /// The size of all messages, in bytes.
    bytes: usize,
}

#[derive(Debug)]
struct Arrival {
    bytes: usize,
    arrived_at: Time,
}

impl ArrivalQueue {
    /// Appends complete messages of this size.
    fn push(&mut self, bytes: usize, arrived_at: Time) {
        self.bytes += bytes;
        match self.entries.back_mut().filter(|last| last.arrived_at == arrived_at) {
            Some(last) => last.bytes += bytes,
            None => self.entries.push_back(Arrival { bytes, arrived_at }),
        }
    }

    /// Returns the arrival time of the first message.
    fn first(&self) -> Option<Time> {
        self.entries.front().map(|first| first.arrived_at)
    }

    /// Removes the first message, of this size.
    fn pop(&mut self, bytes: usize) {
        self.bytes -= bytes;
        let Some(first) = self.entries.front_mut() else { return };
        first.bytes -= bytes;
        if first.bytes == 0 {
            self.entries.pop_front();
        }
    }

    /// Returns the number of bytes that the queue holds in memory.
    fn memory(&self) -> usize {
        self.entries.capacity() * size_of::<Arrival>()
    }
}

impl ClientCodec {
    /// Stores bytes that arrived at this time.
    pub fn feed(&mut self, bytes: &[u8], arrived_at: Time) {
        if self.error.is_some() {
            return;
        }
        let discarded = self.discard(bytes, arrived_at);
        self.buffer.extend(&bytes[discarded..]);
        self.scan(arrived_at);
    }

    /// Handles bytes of the message that is discarded. Returns their number.
    fn discard(&mut self, bytes: &[u8], arrived_at: Time) -> usize {
        let Some(message) = self.discarded.as_mut().filter(|message| message.missing > 0) else { return 0 };
        let len = message.missing.min(bytes.len());
        message.missing -= len;
        message.received += len;
        message.arrived_at = arrived_at;
        len
    }

    /// Finds the messages that are complete now.
    fn scan(&mut self, arrived_at: Time) {
        loop {
            match self.next_message_len() {
                Ok(Some(len)) => self.arrivals.push(len, arrived_at),
                Ok(None) => return,
                Err(error) => {
                    self.buffer.truncate(self.arrivals.bytes);
                    self.error = Some(error);
                    return;
                }
            }
        }
    }

    /// Returns the length of the first message that has not been found complete before, if it is complete.
    fn next_message_len(&mut self) -> Result<Option<usize>, ProtocolError> {
        let unscanned = &self.buffer.unread()[self.arrivals.bytes..];
        if self.is_startup_complete {
            let header = message_header(unscanned, MAX_MESSAGE_LEN)?;
            return Ok(header.map(|header| HEADER_LEN + header.body_len));
        }
        let Some(startup) = startup_packet(unscanned)? else { return Ok(None) };
        self.is_startup_complete = startup.major == SERVED_MAJOR;
        Ok(Some(startup.len))
    }

    /// Stores the rest of a message that has partly arrived, but nothing after it. Returns the number of
    /// bytes that were consumed.
    pub fn finish_message(&mut self, bytes: &[u8], arrived_at: Time) -> usize {
        let mut fed = 0;
        while fed < bytes.len() && self.error.is_none() && self.partial_bytes() > 0 {
            let len = self.missing_bytes().clamp(1, bytes.len() - fed);
            self.feed(&bytes[fed..fed + len], arrived_at);
            fed += len;
        }
        fed
    }

    /// Returns the number of bytes that are missing from the message that has partly arrived, or from its
    /// header.
    pub fn missing_bytes(&self) -> usize {
        if let Some(message) = self.discarded.as_ref().filter(|message| message.missing > 0) {
            return message.missing;
        }
        let partial = &self.buffer.unread()[self.arrivals.bytes..];
        // A startup message has no type byte before its length.
        let kind_len = usize::from(self.is_startup_complete);
        let message_len = match partial.get(kind_len..).and_then(|rest| rest.first_chunk::<4>()) {
            Some(len) => kind_len + u32::from_be_bytes(*len) as usize,
            None => kind_len + 4,
        };
        message_len.saturating_sub(partial.len())
    }

    /// Returns the size of the complete messages that have not been taken, in bytes.
    pub fn queued_bytes(&self) -> usize {
        let is_discarded = |message: &&DiscardedMessage| message.missing == 0;
        self.arrivals.bytes
            + self.discarded.as_ref().filter(is_discarded).map_or(0, |message| message.received)
    }

    /// Returns the number of bytes that have arrived of an incomplete message.
    pub fn partial_bytes(&self) -> usize {
        let is_partial = |message: &&DiscardedMessage| message.missing > 0;
        let discarded = self.discarded.as_ref().filter(is_partial).map_or(0, |message| message.received);
        self.buffer.len() - self.arrivals.bytes + discarded
    }

    /// Returns the number of bytes that the codec holds in memory.
    pub fn memory(&self) -> usize {
        self.buffer.capacity() + self.arrivals.memory()
    }

    /// Allocates memory for the rest of the message that has partly arrived.
    pub fn reserve_message(&mut self) {
        self.buffer.reserve(self.missing_bytes());
    }

    /// Discards the message that has partly arrived: what has arrived of it, and the rest as it arrives. Does
    /// nothing unless its header has arrived, no complete message precedes it, and the startup is complete.
    /// Returns whether the message is discarded.
    pub fn discard_message(&mut self) -> bool {
        let is_first = self.discarded.is_none() && self.arrivals.bytes == 0;
        if !is_first || !self.is_startup_complete || self.buffer.len() < HEADER_LEN {
            return false;
        }
        let (kind, received, missing) = (self.buffer.unread()[0], self.buffer.len(), self.missing_bytes());
        self.buffer.consume(received);
        self.discarded = Some(DiscardedMessage { kind, received, missing, arrived_at: Time(0) });
        true
    }

    /// Returns whether a protocol error has been found.
    pub fn has_error(&self) -> bool {
        self.error.is_some()
    }

    /// Returns the next complete message; `None` if no message is complete. After the last one, returns the
    /// protocol error, if one has been found.
    pub fn next_message(&mut self) -> Result<Option<ReceivedMessage>, ProtocolError> {
        while let Some((message, arrived_at)) = self.take_message()? {
            if let Some(message) = message {
                return Ok(Some(ReceivedMessage { message, arrived_at }));
            }
        }
        match &self.error {
            Some(error) => Err(error.clone()),
            None => Ok(None),
        }
    }

    /// Takes the next complete message; the message is `None` if it is skipped. After an error, nothing is
    /// left.
    fn take_message(&mut self) -> Result<Option<(Option<ClientMessage>, Time)>, ProtocolError> {
        let result = match self.discarded.take_if(|message| message.missing == 0) {
            Some(message) => self.take_discarded(message).map(Some),
            None => self.take_stored(),
        };
        if let Err(error) = &result {
            self.buffer = MessageBuffer::default();
            self.arrivals = ArrivalQueue::default();
            self.error = Some(error.clone());
        }
        result
    }

    fn take_discarded(
        &mut self,
        message: DiscardedMessage,
    ) -> Result<(Option<ClientMessage>, Time), ProtocolError> {
        let DiscardedMessage { kind, arrived_at, .. } = message;
        Ok((parse_command(&mut self.phase, kind, None)?, arrived_at))
    }

    fn take_stored(&mut self) -> Result<Option<(Option<ClientMessage>, Time)>, ProtocolError> {
        let Some(arrived_at) = self.arrivals.first() else { return Ok(None) };
        let (message, len) = self.parse_message()?;
        self.arrivals.pop(len);
        self.buffer.consume(len);
        Ok(Some((message, arrived_at)))
    }

    /// Parses the complete message at the front of the buffer. Returns it, or `None` if it is skipped, and
    /// its length.
    fn parse_message(&mut self) -> Result<(Option<ClientMessage>, usize), ProtocolError> {
        if self.phase == Phase::Startup {
            return self.parse_startup();
        }
        let unread = self.buffer.unread();
        let Some(MessageHeader { kind, body_len }) = message_header(unread, MAX_MESSAGE_LEN)? else {
            return Ok((None, 0));
        };
        let len = HEADER_LEN + body_len;
        let message = parse_command(&mut self.phase, kind, Some(&unread[HEADER_LEN..len]))?;
        Ok((message, len))
    }

    /// Parses a startup message, a cancel request or an encryption request. Returns it and its length.
    fn parse_startup(&mut self) -> Result<(Option<ClientMessage>, usize), ProtocolError> {
        let unread = self.buffer.unread();
        let Some(StartupPacket { len, major, minor }) = startup_packet(unread)? else { return Ok((None, 0)) };
        let content = &unread[MIN_STARTUP_LEN..len];
        let message = match (major, minor) {
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
        Ok((Some(message), len))
    }
}

/// Parses a message after the startup; `None` if it is skipped. `body` is `None` if the message has been
/// discarded.
fn parse_command(
    phase: &mut Phase,
    kind: u8,
    body: Option<&[u8]>,
) -> Result<Option<ClientMessage>, ProtocolError> {
    match kind {
        b'Q' if *phase == Phase::Open => match body.map(read_cstring) {
            Some(Some((query, []))) => Ok(Some(ClientMessage::Query(query.to_vec()))),
            Some(_) => Err(ProtocolError::UnterminatedQuery),
            None => Ok(Some(ClientMessage::DiscardedQuery)),
        },
        b'X' => Ok(Some(ClientMessage::Terminate)),
        b'S' => {
            *phase = Phase::Open;
            Ok(Some(ClientMessage::Sync))
        }
        _ if *phase == Phase::SkippingToSync => Ok(None),
        b'P' | b'B' | b'E' | b'D' | b'C' | b'H' => {
            *phase = Phase::SkippingToSync;
            Ok(Some(ClientMessage::Unsupported(kind)))
        }
        b'F' => Ok(Some(ClientMessage::Unsupported(kind))),
        b'd' | b'c' | b'f' => Ok(None),
        other => Err(ProtocolError::UnknownClientMessage(other)),
    }
}

/// A message that is sent in place of others at the start of a connection: its length, including the length
/// field, and its version or request code.
struct StartupPacket {
    len: usize,
    major: u32,
    minor: u32,
}

/// Returns the startup packet at the start of `bytes`, if it is complete.
fn startup_packet(bytes: &[u8]) -> Result<Option<StartupPacket>, ProtocolError> {
    let Some(len) = bytes.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*len) as usize;
    if !(MIN_STARTUP_LEN..=MAX_STARTUP_LEN).contains(&len) {
        return Err(ProtocolError::StartupLength(len));
    }
    let Some(&[a, b, c, d, ..]) = bytes.get(4..len) else { return Ok(None) };
    let version = u32::from_be_bytes([a, b, c, d]);
    Ok(Some(StartupPacket { len, major: version >> 16, minor: version & 0xffff }))
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

/// Encodes a ParameterStatus message that repeats a parameter of the startup reply. Clients accept it at any
/// time between two messages, and it changes nothing for them.
pub fn repeated_parameter() -> Vec<u8> {
    let mut out = Vec::with_capacity(32);
    put_message(&mut out, b'S', |out| {
        put_cstring(out, "client_encoding");
        put_cstring(out, "UTF8");
    });
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
