//! The side towards database hosts: bytes in, answers out.
//!
//! [`HostCodec`] checks each message against the protocol's order and against the limits on its length, the
//! latter by its header alone, before the body has arrived.

use basalthill_wire::{
    error_code, put_cstring, put_message, read_cstring, ByteRange, MessageBuffer, MessageHeader,
    ProtocolError, HEADER_LEN,
};

/// The startup message to a host.
pub use basalthill_wire::startup_message as startup;

/// Longest message body taken from a host, in bytes: a value of 64 KiB and its headers.
pub const MAX_MESSAGE_LEN: usize = 80 * 1024;
/// Most bytes that one answer may have in all.
const MAX_ANSWER_LEN: usize = 128 * 1024;
/// Longest RowDescription: it describes one column.
const MAX_DESCRIPTION_LEN: usize = 1024;
/// Longest CommandComplete.
const MAX_COMMAND_TAG_LEN: usize = 64;
/// Longest message of parameters, notices or errors.
const MAX_TEXT_MESSAGE_LEN: usize = 8 * 1024;

/// Bytes of a DataRow's body before the value: the count of columns, which is one, and the value's length.
const ROW_HEADER_LEN: usize = 6;
/// The length that stands for a value of null.
const NULL_VALUE_LEN: i32 = -1;
/// Bytes that describe a column, after its name.
const COLUMN_DESCRIPTION_LEN: usize = 18;
/// The types of the messages that hosts send.
const HOST_MESSAGE_KINDS: &[u8] = b"SNARKvEZITDC";
/// Messages that make up a row for the client: RowDescription, DataRow, CommandComplete.
const MESSAGES_OF_A_ROW: usize = 3;

/// Positions from here on, in milliseconds of Unix time, are out of range: nanoseconds would not hold them.
const MAX_POSITION_MS: u64 = 1 << 44;

/// What a host's ParameterStatus messages have reported before a ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedState {
    /// Whether it reported to be the primary.
    pub primary: Option<bool>,
    /// Its position, a Unix time in milliseconds.
    pub position_ms: Option<u64>,
    /// Its load report as it came.
    pub load_report: Option<String>,
}

/// How a host ended a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// One row of one column came, and CommandComplete. The parts of `bytes` that a client gets, in order:
    /// the description, the row, the completion.
    Row(Row),
    /// An ErrorResponse with this SQLSTATE.
    Error(String),
    /// Nothing that counts as an answer: the query was empty, or it gave no row.
    Empty,
}

/// A row, complete, as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// What the host sent.
    pub bytes: Vec<u8>,
    /// The messages that belong to the client, in order.
    pub parts: Vec<ByteRange>,
    /// The value; none if it is null.
    pub value: Option<ByteRange>,
    /// Whether the value is in binary form.
    pub binary: bool,
}

/// What a host's messages amount to.
#[derive(Clone, Debug, PartialEq)]
pub enum HostMessage {
    /// The connection is open for queries.
    Ready,
    /// The host rejects the connection: an ErrorResponse during startup, with its SQLSTATE.
    Rejected(String),
    /// A query has ended, and what the host reported of itself.
    QueryEnded(QueryOutcome, ReportedState),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Startup,
    Idle,
    Answering(AnswerProgress),
}

/// The protocol's state for one connection to a host.
#[derive(Debug, Default)]
pub struct HostCodec {
    buffer: MessageBuffer,
    phase: Phase,
    reported: ReportedState,
}

impl HostCodec {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// Whether a query may be written.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.buffer.is_empty()
    }

    /// A query is about to be written.
    pub fn begin_query(&mut self) {
        self.phase = Phase::Answering(AnswerProgress::default());
        self.reported = ReportedState::default();
    }

    /// Whether an answer has begun and its end has not arrived.
    pub fn response_started(&self) -> bool {
        match &self.phase {
            Phase::Answering(progress) => progress.has_started() || !self.buffer.is_empty(),
            Phase::Startup | Phase::Idle => false,
        }
    }

    /// The connection has ended: the query's outcome, if its row is complete or an error had come that ends
    /// connections.
    pub fn on_close(&mut self) -> Option<(QueryOutcome, ReportedState)> {
        let Phase::Answering(mut progress) = std::mem::take(&mut self.phase) else { return None };
        if let Some(code) = progress.error.take() {
            return Some((QueryOutcome::Error(code), std::mem::take(&mut self.reported)));
        }
        let row = progress.into_row()?;
        Some((QueryOutcome::Row(row), ReportedState::default()))
    }

    /// What follows can't be read, or never comes: the row, if it is complete. What the host has reported of
    /// itself is not believed.
    pub fn take_complete_row(&mut self) -> Option<Row> {
        match std::mem::take(&mut self.phase) {
            Phase::Answering(progress) => progress.into_row(),
            Phase::Startup | Phase::Idle => None,
        }
    }

    /// What the messages that have arrived in full amount to, one after the other.
    pub fn next_message(&mut self) -> Result<Option<HostMessage>, ProtocolError> {
        loop {
            check_header(self.buffer.unread())?;
            let Some(header) = self.buffer.message_header(MAX_MESSAGE_LEN)? else { return Ok(None) };
            let event = self.handle_message(header)?;
            self.buffer.consume(HEADER_LEN + header.body_len);
            if event.is_some() {
                return Ok(event);
            }
        }
    }

    /// Takes the message at the front of the buffer.
    fn handle_message(&mut self, header: MessageHeader) -> Result<Option<HostMessage>, ProtocolError> {
        let kind = header.kind;
        let message = &self.buffer.unread()[..HEADER_LEN + header.body_len];
        let body = &message[HEADER_LEN..];
        match (kind, &mut self.phase) {
            (b'S', _) => self.reported.record(body),
            (b'N' | b'A', _) => {}
            (b'Z', phase @ Phase::Startup) => {
                *phase = Phase::Idle;
                return Ok(Some(HostMessage::Ready));
            }
            (_, Phase::Startup) => return check_startup_message(kind, body),
            (b'Z', phase @ Phase::Answering(_)) => {
                let Phase::Answering(progress) = std::mem::replace(phase, Phase::Idle) else {
                    return Ok(None);
                };
                let reported = std::mem::take(&mut self.reported);
                return Ok(Some(HostMessage::QueryEnded(progress.into_outcome(), reported)));
            }
            (_, Phase::Answering(progress)) => progress.record(kind, message)?,
            (_, Phase::Idle) => return Err(ProtocolError::UnexpectedMessage(kind)),
        }
        Ok(None)
    }
}

/// Checks the next message by its header, before its body has arrived: one that can't be right would be
/// waited for in vain.
fn check_header(unread: &[u8]) -> Result<(), ProtocolError> {
    let Some(&[kind, a, b, c, d]) = unread.first_chunk::<HEADER_LEN>() else {
        return match unread.first().is_none_or(|kind| HOST_MESSAGE_KINDS.contains(kind)) {
            true => Ok(()),
            false => Err(ProtocolError::UnknownHostMessage),
        };
    };
    let len = (u32::from_be_bytes([a, b, c, d]) as usize).saturating_sub(4);
    let plausible = match kind {
        b'D' => is_plausible_row(len, &unread[HEADER_LEN..]),
        b'Z' => len == 1,
        b'I' => len == 0,
        b'T' => len <= MAX_DESCRIPTION_LEN,
        b'C' => len <= MAX_COMMAND_TAG_LEN,
        b'S' | b'N' | b'A' | b'R' | b'K' | b'v' | b'E' => len <= MAX_TEXT_MESSAGE_LEN,
        _ => false,
    };
    match plausible {
        true => Ok(()),
        false => Err(ProtocolError::InvalidBodyLength { kind, len }),
    }
}

/// Whether a DataRow of this length can begin with what has arrived of its body.
fn is_plausible_row(len: usize, arrived: &[u8]) -> bool {
    match arrived.first_chunk::<ROW_HEADER_LEN>() {
        Some(&[0, 1, a, b, c, d]) => match i32::from_be_bytes([a, b, c, d]) {
            NULL_VALUE_LEN => len == ROW_HEADER_LEN,
            value_len => usize::try_from(value_len)
                .is_ok_and(|value_len| len == value_len.saturating_add(ROW_HEADER_LEN)),
        },
        Some(_) => false,
        None => (ROW_HEADER_LEN..=MAX_MESSAGE_LEN).contains(&len),
    }
}

/// A message before the first ReadyForQuery.
fn check_startup_message(kind: u8, body: &[u8]) -> Result<Option<HostMessage>, ProtocolError> {
    match kind {
        b'R' if body == [0; 4] => Ok(None),
        b'R' => Err(ProtocolError::AuthenticationRequested(kind)),
        b'K' | b'v' => Ok(None),
        b'E' => Ok(Some(HostMessage::Rejected(sqlstate(body)))),
        _ => Err(ProtocolError::UnexpectedMessage(kind)),
    }
}

/// The SQLSTATE of an ErrorResponse; empty if it has none.
fn sqlstate(body: &[u8]) -> String {
    error_code(body).map(|code| String::from_utf8_lossy(code).into_owned()).unwrap_or_default()
}

/// What has arrived of the answer to a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct AnswerProgress {
    bytes: Vec<u8>,
    parts: Vec<ByteRange>,
    value: Option<ByteRange>,
    rows: usize,
    binary: bool,
    complete: bool,
    error: Option<String>,
}

impl AnswerProgress {
    fn has_started(&self) -> bool {
        !self.parts.is_empty() || self.error.is_some()
    }

    /// Takes a message, given with its header.
    fn record(&mut self, kind: u8, message: &[u8]) -> Result<(), ProtocolError> {
        let body = &message[HEADER_LEN..];
        match kind {
            b'E' => self.error = Some(sqlstate(body)),
            b'I' => {}
            b'T' if self.parts.is_empty() && describes_one_column(body) => {
                self.binary = body.ends_with(&[0, 1]);
                self.append(message)?;
            }
            b'D' if self.parts.len() == 1 && !self.complete => self.record_row(kind, message)?,
            b'C' if self.parts.len() < MESSAGES_OF_A_ROW && !self.complete && body.ends_with(&[0]) => {
                self.complete = true;
                self.append(message)?;
            }
            _ => return Err(ProtocolError::UnexpectedMessage(kind)),
        }
        Ok(())
    }

    fn record_row(&mut self, kind: u8, message: &[u8]) -> Result<(), ProtocolError> {
        let body = &message[HEADER_LEN..];
        let Some((&[0, 1, a, b, c, d], value)) = body.split_first_chunk::<ROW_HEADER_LEN>() else {
            return Err(ProtocolError::ColumnCount(kind));
        };
        let value_len = match i32::from_be_bytes([a, b, c, d]) {
            NULL_VALUE_LEN => None,
            len if usize::try_from(len) == Ok(value.len()) => Some(value.len()),
            _ => return Err(ProtocolError::ValueLength(kind)),
        };
        self.rows += 1;
        self.append(message)?;
        self.value = value_len.map(|len| self.bytes.len() - len..self.bytes.len());
        Ok(())
    }

    fn append(&mut self, message: &[u8]) -> Result<(), ProtocolError> {
        let start = self.bytes.len();
        if start + message.len() > MAX_ANSWER_LEN {
            return Err(ProtocolError::ResponseTooLong);
        }
        self.bytes.extend_from_slice(message);
        self.parts.push(start..self.bytes.len());
        Ok(())
    }

    /// The outcome at the ReadyForQuery.
    fn into_outcome(mut self) -> QueryOutcome {
        match self.error.take() {
            Some(code) => QueryOutcome::Error(code),
            None => self.into_row().map_or(QueryOutcome::Empty, QueryOutcome::Row),
        }
    }

    /// The row, if one has arrived with all that belongs to it.
    fn into_row(self) -> Option<Row> {
        let all_parts = self.rows == 1 && self.parts.len() == MESSAGES_OF_A_ROW && self.complete;
        if !all_parts || self.error.is_some() {
            return None;
        }
        Some(Row { bytes: self.bytes, parts: self.parts, value: self.value, binary: self.binary })
    }
}

/// Whether this is the body of a RowDescription of one column.
fn describes_one_column(body: &[u8]) -> bool {
    let column = body.strip_prefix(&[0, 1]).and_then(read_cstring);
    column.is_some_and(|(_name, description)| description.len() == COLUMN_DESCRIPTION_LEN)
}

impl ReportedState {
    /// Takes the body of a ParameterStatus; one that can't be read reports nothing, and the answer is no
    /// worse for it.
    fn record(&mut self, body: &[u8]) {
        let Some((name, rest)) = read_cstring(body) else { return };
        let Some((value, _)) = read_cstring(rest) else { return };
        let word = std::str::from_utf8(value).unwrap_or_default().trim();
        match (name, word) {
            (b"rank", "source") => self.primary = Some(true),
            (b"rank", "copy") => self.primary = Some(false),
            (b"as_of", _) => self.position_ms = word.parse().ok().filter(|ms| *ms < MAX_POSITION_MS),
            (b"vitals", _) => self.load_report = Some(word.to_string()),
            _ => {}
        }
    }
}

/// A short query of the router's own, such as a health check.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put_message(&mut out, b'Q', |out| put_cstring(out, text));
    out
}

/// The header of a query whose text of `len` bytes and closing zero are written after it.
pub fn query_head(len: usize) -> [u8; HEADER_LEN] {
    let [a, b, c, d] = ((len + 5) as u32).to_be_bytes();
    [b'Q', a, b, c, d]
}

/// The names and values of a load report: `inflight=7,util=0.61`. Those that can't be read are left out.
pub fn parse_load_report(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        value.is_finite().then_some((name.trim(), value))
    })
}
