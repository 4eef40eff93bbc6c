//! The protocol's client side for one connection: bytes in, answers out; and the statements' text.

use crate::request::{Operation, Request};
use basalthill_wire::{
    error_fields, put_cstring, put_message, read_cstring, MessageBuffer, MessageHeader, ProtocolError,
};

/// Longest message taken: a value of 64 KiB and its head, in text form twice that.
const LONGEST: usize = 160 * 1024;

/// What a router has said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerMessage {
    /// ReadyForQuery.
    Ready,
    /// A session's token.
    Token(String),
    /// A row is about to come.
    Description,
    /// A value; none if it is null.
    Row(Option<Vec<u8>>),
    /// The row is whole.
    Complete,
    /// An error: whether the connection ends with it, its SQLSTATE, its message and its detail.
    Error { fatal: bool, code: String, message: String, detail: Option<String> },
}

/// Bytes of one connection, up to messages.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    inbox: MessageBuffer,
}

impl MessageDecoder {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.extend(bytes);
    }

    /// The next thing said that matters.
    pub fn take(&mut self) -> Result<Option<ServerMessage>, ProtocolError> {
        loop {
            let Some(MessageHeader { kind, body_len: len }) = self.inbox.message_header(LONGEST)? else {
                return Ok(None);
            };
            let body = &self.inbox.unread()[5..5 + len];
            let wrong = || ProtocolError::UnreadableMessage(kind);
            let said = match kind {
                b'Z' if len == 1 => Some(ServerMessage::Ready),
                b'S' => {
                    let pair =
                        read_cstring(body).and_then(|(name, rest)| Some((name, read_cstring(rest)?.0)));
                    let (name, value) = pair.ok_or_else(wrong)?;
                    let token = || ServerMessage::Token(String::from_utf8_lossy(value).into_owned());
                    (name == b"session_token").then(token)
                }
                b'D' => Some(ServerMessage::Row(row(body).ok_or_else(wrong)?)),
                b'C' => Some(ServerMessage::Complete),
                b'E' => {
                    let field = |name| error_fields(body).find(|f| f.0 == name).map(|f| f.1);
                    let word = |name| field(name).map(|v| String::from_utf8_lossy(v).into_owned());
                    let fatal = field(b'V').or(field(b'S')).is_some_and(|s| s != b"ERROR");
                    let (code, message) = (word(b'C').unwrap_or_default(), word(b'M').unwrap_or_default());
                    Some(ServerMessage::Error { fatal, code, message, detail: word(b'D') })
                }
                b'R' if body == [0; 4] => None,
                b'T' => Some(ServerMessage::Description),
                b'K' | b'N' | b'A' | b'I' | b'v' => None,
                _ => return Err(wrong()),
            };
            self.inbox.consume(5 + len);
            if said.is_some() {
                return Ok(said);
            }
        }
    }
}

/// A row of one column.
fn row(body: &[u8]) -> Option<Option<Vec<u8>>> {
    let (&[0, 1, a, b, c, d], value) = body.split_first_chunk::<6>()? else { return None };
    match i32::from_be_bytes([a, b, c, d]) {
        -1 => value.is_empty().then_some(None),
        len => (usize::try_from(len) == Ok(value.len())).then(|| Some(value.to_vec())),
    }
}

/// The startup message.
pub fn startup() -> Vec<u8> {
    let mut body = 0x0003_0000u32.to_be_bytes().to_vec();
    ["user", "svc", "database", "main"].iter().for_each(|word| put_cstring(&mut body, word));
    body.push(0);
    [&((body.len() + 4) as u32).to_be_bytes()[..], &body].concat()
}

/// The query for one try of a request.
pub fn query(
    request: &Request,
    id: u64,
    left_ms: u64,
    again: bool,
    session: &str,
    tokens: &[String],
) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    put_message(&mut out, b'Q', |out| {
        let key = request.key.replace('\'', "''");
        match &request.operation {
            Operation::Read => out.extend(format!("SELECT v FROM records WHERE k = '{key}'").bytes()),
            Operation::Write(value) => {
                out.extend(format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x").bytes());
                const DIGITS: &[u8; 16] = b"0123456789abcdef";
                let digits = |b: &u8| [DIGITS[usize::from(b >> 4)], DIGITS[usize::from(b & 15)]];
                out.extend(value.iter().flat_map(digits));
                out.extend(b"') RETURNING v");
            }
        }
        let Request { class, tenant, group, .. } = request;
        out.extend(format!(" /* id={id:016x},c={class},t={tenant},d={left_ms},cluster={group}").bytes());
        if again {
            out.extend(b",r=1");
        }
        if !session.is_empty() {
            out.extend(format!(",session={session}").bytes());
        }
        tokens.iter().for_each(|token| out.extend(format!(",token={token}").bytes()));
        out.extend(b" */\0");
    });
    out
}
