//! The side towards clients: bytes in, requests out.

use basalthill_config::router::MAX_STATEMENT_LEN;
use basalthill_policy::api::Time;
use basalthill_wire::{
    put_cstring, put_error_response, put_message, read_cstring, MessageBuffer, MessageHeader, ProtocolError,
    Severity, READY_FOR_QUERY,
};
use std::collections::VecDeque;

/// Longest message body taken.
pub const LONGEST: usize = MAX_STATEMENT_LEN;
const LONGEST_STARTUP: usize = 10_000;

/// What a connection is told at its welcome, and a request to call something off has to name.
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
    /// It asks for encryption, which is declined.
    Encryption,
    /// It wants the request called off that is open on the connection which was welcomed with this key.
    CancelRequest(CancelKey),
    /// It has introduced itself; the flags tell of a newer minor version or of options that we don't know.
    Startup {
        /// NegotiateProtocolVersion is due.
        newer: bool,
    },
    /// A query: its text without the closing zero.
    Query(Vec<u8>),
    /// A message of a part of the protocol that is not served; answered once, up to the next Sync.
    Unsupported(u8),
    /// Sync after such messages.
    Sync,
    /// It says goodbye.
    Terminate,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Starting,
    Open,
    Skipping,
}

/// The protocol's state for one client. Messages are told apart as they come, each with the moment of its
/// last byte: a client's time counts from there, however many commands it has written before.
#[derive(Debug, Default)]
pub struct ClientCodec {
    inbox: MessageBuffer,
    stage: Stage,
    /// Messages that have come whole, and when.
    whole: VecDeque<Whole>,
    /// Bytes that those took.
    queued: usize,
    /// What came behind them can't be read.
    broken: Option<ProtocolError>,
}

#[derive(Debug)]
struct Whole {
    message: ClientMessage,
    came: Time,
    bytes: usize,
}

impl ClientCodec {
    /// Takes in bytes that came at `came`.
    pub fn feed(&mut self, bytes: &[u8], came: Time) {
        if self.broken.is_some() {
            return;
        }
        self.inbox.extend(bytes);
        loop {
            let before = self.inbox.len();
            match self.next() {
                Ok(Some(message)) => {
                    let bytes = before - self.inbox.len();
                    self.queued += bytes;
                    self.whole.push_back(Whole { message, came, bytes });
                }
                Ok(None) => return,
                Err(e) => {
                    self.inbox = MessageBuffer::default();
                    self.broken = Some(e);
                    return;
                }
            }
        }
    }

    /// Takes in what is left of the message that has begun, and nothing behind it; how much that was.
    pub fn finish_message(&mut self, bytes: &[u8], came: Time) -> usize {
        let (whole, mut fed) = (self.whole.len(), 0);
        while fed < bytes.len()
            && self.broken.is_none()
            && self.whole.len() == whole
            && self.partial_bytes() > 0
        {
            let n = self.missing().clamp(1, bytes.len() - fed);
            self.feed(&bytes[fed..fed + n], came);
            fed += n;
        }
        fed
    }

    /// How much is missing of the message that has begun, or of its head.
    fn missing(&self) -> usize {
        let (rest, head) = (self.inbox.unread(), if self.stage == Stage::Starting { 0 } else { 1 });
        let len = rest.get(head..).and_then(|r| r.first_chunk::<4>()).map(|len| u32::from_be_bytes(*len));
        len.map_or(head + 4, |len| head + len as usize).saturating_sub(rest.len())
    }

    /// Bytes of messages that have come whole and not been taken.
    pub fn queued_bytes(&self) -> usize {
        self.queued
    }

    /// Bytes of the message that has not come whole.
    pub fn partial_bytes(&self) -> usize {
        self.inbox.len()
    }

    /// Whether something came that can't be read.
    pub fn is_broken(&self) -> bool {
        self.broken.is_some()
    }

    /// The next message, if it has come whole, and when its last byte came.
    pub fn next_message(&mut self) -> Result<Option<(ClientMessage, Time)>, ProtocolError> {
        match (self.whole.pop_front(), &self.broken) {
            (Some(Whole { message, came, bytes }), _) => {
                self.queued -= bytes;
                Ok(Some((message, came)))
            }
            (None, Some(e)) => Err(e.clone()),
            (None, None) => Ok(None),
        }
    }

    fn next(&mut self) -> Result<Option<ClientMessage>, ProtocolError> {
        if self.stage == Stage::Starting {
            return self.startup();
        }
        loop {
            let Some(MessageHeader { kind, body_len: len }) = self.inbox.message_header(LONGEST)? else {
                return Ok(None);
            };
            let body = &self.inbox.unread()[5..5 + len];
            let message = match kind {
                b'Q' if self.stage == Stage::Open => match read_cstring(body) {
                    Some((query, [])) => Some(ClientMessage::Query(query.to_vec())),
                    _ => return Err(ProtocolError::UnterminatedQuery),
                },
                b'X' => Some(ClientMessage::Terminate),
                b'S' if self.stage == Stage::Skipping => {
                    self.stage = Stage::Open;
                    Some(ClientMessage::Sync)
                }
                b'S' => Some(ClientMessage::Sync),
                _ if self.stage == Stage::Skipping => None,
                b'P' | b'B' | b'E' | b'D' | b'C' | b'H' => {
                    self.stage = Stage::Skipping;
                    Some(ClientMessage::Unsupported(kind))
                }
                b'F' => Some(ClientMessage::Unsupported(kind)),
                b'd' | b'c' | b'f' => None,
                other => return Err(ProtocolError::UnknownClientMessage(other)),
            };
            self.inbox.consume(5 + len);
            if message.is_some() {
                return Ok(message);
            }
        }
    }

    fn startup(&mut self) -> Result<Option<ClientMessage>, ProtocolError> {
        let rest = self.inbox.unread();
        let Some(head) = rest.first_chunk::<4>() else { return Ok(None) };
        let len = u32::from_be_bytes(*head) as usize;
        if !(8..=LONGEST_STARTUP).contains(&len) {
            return Err(ProtocolError::StartupLength(len));
        }
        let Some(body) = rest.get(4..len) else { return Ok(None) };
        let (version, options) = body.split_at(4);
        let version = u32::from_be_bytes([version[0], version[1], version[2], version[3]]);
        let message = match (version >> 16, version & 0xffff) {
            (1234, 5678) => match options {
                &[a, b, c, d, e, f, g, h] => ClientMessage::CancelRequest(CancelKey {
                    process: u32::from_be_bytes([a, b, c, d]),
                    secret: u32::from_be_bytes([e, f, g, h]),
                }),
                _ => return Err(ProtocolError::CancelRequestLength(len)),
            },
            (1234, 5679 | 5680) => ClientMessage::Encryption,
            (3, minor) => {
                let mut newer = minor > 0;
                let mut left = options;
                while let Some((name, after)) = read_cstring(left).filter(|(name, _)| !name.is_empty()) {
                    newer |= name.starts_with(b"_pq_.");
                    left = read_cstring(after).ok_or(ProtocolError::StartupOptionWithoutValue)?.1;
                }
                if left != [0] {
                    return Err(ProtocolError::UnterminatedStartup);
                }
                self.stage = Stage::Open;
                ClientMessage::Startup { newer }
            }
            (major, minor) => return Err(ProtocolError::UnsupportedVersion { major, minor }),
        };
        self.inbox.consume(len);
        Ok(Some(message))
    }
}

/// The answer to a request for encryption: none.
pub const NO_ENCRYPTION: &[u8] = b"N";

/// The welcome to a client that has introduced itself, with the key by which it can call its requests off.
pub fn welcome(newer: bool, key: CancelKey) -> Vec<u8> {
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
pub fn unsupported() -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(&mut out, Severity::Error, "0A000", "only simple queries are served", None);
    out
}

/// An error after which the connection is closed.
pub fn fatal(code: &str, message: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    put_error_response(&mut out, Severity::Fatal, code, message, None);
    out
}
