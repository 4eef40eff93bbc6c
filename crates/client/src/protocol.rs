//! The client side of version 3 of PostgreSQL's protocol: encodes statements and decodes the messages of a
//! router.

use crate::request::{Operation, Request};
use crate::session::SessionContext;
use basalthill_wire::{
    error_fields, put_message, read_cstring, MessageBuffer, MessageHeader, ProtocolError, HEADER_LEN,
};

/// Maximum length of a message's body, in bytes. A value of 64 KiB takes 128 KiB in text form, as
/// hexadecimal digits; the rest is for the other fields of the message.
const MAX_BODY_LEN: usize = 160 * 1024;
/// Body of the AuthenticationOk message, with which the router requires no authentication.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// Name of the parameter whose ParameterStatus messages carry session tokens.
const SESSION_TOKEN_PARAMETER: &[u8] = b"session_token";
/// Severity of an ErrorResponse after which the connection stays open.
const SEVERITY_ERROR: &[u8] = b"ERROR";
/// Initial capacity of a statement's buffer, in bytes: enough for reads and for writes of short values.
const STATEMENT_CAPACITY: usize = 256;

/// SQLSTATE `too_many_connections`: the router sheds load.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE `cannot_connect_now`: the router is starting or shutting down.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE `admin_shutdown`: the router closes this connection.
pub(crate) const ADMIN_SHUTDOWN: &str = "57P01";

/// Returns whether a SQLSTATE means that the router rejected a connection or a statement without running it.
pub(crate) fn is_rejection(code: &str) -> bool {
    code == TOO_MANY_CONNECTIONS || code == CANNOT_CONNECT_NOW
}

/// A message from a router that affects a request or the state of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerMessage {
    /// ReadyForQuery.
    ReadyForQuery,
    /// ParameterStatus with a session token.
    SessionToken(String),
    /// RowDescription.
    RowDescription,
    /// DataRow with one column.
    DataRow(ColumnValue),
    /// CommandComplete.
    CommandComplete,
    /// ErrorResponse.
    Error(ServerError),
}

/// The value of a row's only column; `None` if it is null.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ColumnValue(pub(crate) Option<Vec<u8>>);

/// The fields of an ErrorResponse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerError {
    /// Whether the router closes the connection after it.
    pub(crate) is_fatal: bool,
    /// The SQLSTATE.
    pub(crate) code: String,
    /// The human-readable message.
    pub(crate) message: String,
    /// The detail, if there is one. In rejections it is a Retry-After time in milliseconds.
    pub(crate) detail: Option<String>,
}

/// Decodes the bytes received on one connection into messages.
#[derive(Debug, Default)]
pub(crate) struct MessageDecoder {
    buffer: MessageBuffer,
}

impl MessageDecoder {
    /// Appends received bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// Returns the next message that the client handles, or `None` if it has not been received
    /// completely. Skips other messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a message that a router may send.
    pub(crate) fn next_message(&mut self) -> Result<Option<ServerMessage>, ProtocolError> {
        loop {
            let Some(MessageHeader { kind, body_len }) = self.buffer.message_header(MAX_BODY_LEN)? else {
                return Ok(None);
            };
            let end = HEADER_LEN + body_len;
            let message = decode(kind, &self.buffer.unread()[HEADER_LEN..end])?;
            self.buffer.consume(end);
            if message.is_some() {
                return Ok(message);
            }
        }
    }
}

/// Decodes the body of a message of type `kind`. Returns `None` if the client ignores messages of this type.
fn decode(kind: u8, body: &[u8]) -> Result<Option<ServerMessage>, ProtocolError> {
    let malformed = || ProtocolError::MalformedMessage(kind);
    let message = match kind {
        b'Z' if body.len() == 1 => ServerMessage::ReadyForQuery,
        b'S' => {
            let status = decode_parameter_status(body).ok_or_else(malformed)?;
            if status.name != SESSION_TOKEN_PARAMETER {
                return Ok(None);
            }
            ServerMessage::SessionToken(String::from_utf8_lossy(status.value).into_owned())
        }
        b'D' => ServerMessage::DataRow(decode_row(body).ok_or_else(malformed)?),
        b'C' => ServerMessage::CommandComplete,
        b'E' => ServerMessage::Error(decode_error(body)),
        b'T' => ServerMessage::RowDescription,
        b'R' if body == AUTHENTICATION_OK => return Ok(None),
        b'K' | b'N' | b'A' | b'I' | b'v' => return Ok(None),
        _ => return Err(malformed()),
    };
    Ok(Some(message))
}

/// The fields of a ParameterStatus message.
struct ParameterStatus<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

fn decode_parameter_status(body: &[u8]) -> Option<ParameterStatus<'_>> {
    let (name, rest) = read_cstring(body)?;
    let (value, _) = read_cstring(rest)?;
    Some(ParameterStatus { name, value })
}

/// Decodes the body of a DataRow with one column: the column count 1, the value's length or -1 for null, and
/// the value.
fn decode_row(body: &[u8]) -> Option<ColumnValue> {
    let (&[0, 1, a, b, c, d], value) = body.split_first_chunk::<6>()? else { return None };
    match i32::from_be_bytes([a, b, c, d]) {
        -1 => value.is_empty().then_some(ColumnValue(None)),
        length => {
            let is_complete = usize::try_from(length) == Ok(value.len());
            is_complete.then(|| ColumnValue(Some(value.to_vec())))
        }
    }
}

fn decode_error(body: &[u8]) -> ServerError {
    let field = |name: u8| error_fields(body).find(|field| field.0 == name).map(|field| field.1);
    let text_of = |name: u8| field(name).map(|value| String::from_utf8_lossy(value).into_owned());
    let severity = field(b'V').or(field(b'S'));
    ServerError {
        is_fatal: severity.is_some_and(|severity| severity != SEVERITY_ERROR),
        code: text_of(b'C').unwrap_or_default(),
        message: text_of(b'M').unwrap_or_default(),
        detail: text_of(b'D'),
    }
}

/// The statement of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Statement<'a> {
    /// The request.
    pub(crate) request: &'a Request,
    /// The id of the attempt.
    pub(crate) attempt_id: u64,
    /// Time left until the deadline, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Whether there was an earlier attempt.
    pub(crate) is_retry: bool,
    /// The name and tokens of the request's session; empty if it has none.
    pub(crate) session: &'a SessionContext,
}

impl Statement<'_> {
    /// Encodes the Query message: the SQL statement, followed by a comment with the fields for routers.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut message = Vec::with_capacity(STATEMENT_CAPACITY);
        put_message(&mut message, b'Q', |out| {
            self.put_sql(out);
            self.put_comment(out);
            out.push(0);
        });
        message
    }

    fn put_sql(&self, out: &mut Vec<u8>) {
        let key = self.request.key.replace('\'', "''");
        match &self.request.operation {
            Operation::Read => {
                out.extend(format!("SELECT v FROM records WHERE k = '{key}'").bytes());
            }
            Operation::Write(value) => {
                out.extend(format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x").bytes());
                put_hex(out, value);
                out.extend(b"') RETURNING v");
            }
        }
    }

    fn put_comment(&self, out: &mut Vec<u8>) {
        let Request { class, tenant, group, .. } = self.request;
        let Statement { attempt_id, remaining_ms, .. } = self;
        let fields =
            format!(" /* id={attempt_id:016x},c={class},t={tenant},d={remaining_ms},cluster={group}");
        out.extend(fields.bytes());
        if self.is_retry {
            out.extend(b",r=1");
        }
        if !self.session.name.is_empty() {
            out.extend(format!(",session={}", self.session.name).bytes());
        }
        for token in &self.session.tokens {
            out.extend(format!(",token={token}").bytes());
        }
        out.extend(b" */");
    }
}

/// Appends bytes as hexadecimal digits.
fn put_hex(out: &mut Vec<u8>, bytes: &[u8]) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    out.reserve(2 * bytes.len());
    for byte in bytes {
        out.push(DIGITS[usize::from(byte >> 4)]);
        out.push(DIGITS[usize::from(byte & 0x0f)]);
    }
}
