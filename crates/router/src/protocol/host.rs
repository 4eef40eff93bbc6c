//! The protocol on connections to database hosts: parses the messages that hosts send, and encodes queries.
//!
//! [`HostCodec`] checks that messages arrive in the order that the protocol requires and don't exceed their
//! maximum lengths. It checks the length as soon as a message's header has arrived.

use basalthill_wire::{
    error_code, put_cstring, put_message, read_cstring, ByteRange, MessageBuffer, MessageHeader,
    ProtocolError, HEADER_LEN, READY_FOR_QUERY,
};

/// The startup message to a host.
pub use basalthill_wire::startup_message as startup;

/// The longest accepted message body in bytes: a value of 64 KiB and its headers.
pub const MAX_MESSAGE_LEN: usize = 80 * 1024;
/// The maximum total size of the RowDescription, DataRow and CommandComplete of a response, in bytes.
const MAX_RESPONSE_LEN: usize = 128 * 1024;
/// The longest accepted RowDescription, which describes one column, in bytes.
const MAX_DESCRIPTION_LEN: usize = 1024;
/// The longest accepted CommandComplete, in bytes.
const MAX_COMMAND_TAG_LEN: usize = 64;
/// The longest CommandComplete and ReadyForQuery after a row, in bytes.
const MAX_MESSAGES_AFTER_ROW_LEN: usize = HEADER_LEN + MAX_COMMAND_TAG_LEN + READY_FOR_QUERY.len();
/// The longest accepted message of any other type, such as a parameter, a notice or an error, in bytes.
const MAX_TEXT_MESSAGE_LEN: usize = 8 * 1024;

/// Bytes of a DataRow's body before the value: the number of columns, which is one, and the value's length.
const ROW_HEADER_LEN: usize = 6;
/// The value of the length field for a null value.
const NULL_VALUE_LEN: i32 = -1;
/// Bytes of a column's description after the column's name.
const COLUMN_DESCRIPTION_LEN: usize = 18;
/// The types of the messages that hosts send.
const HOST_MESSAGE_KINDS: &[u8] = b"SNARKvEZITDC";
/// The number of messages that a client gets for a row: RowDescription, DataRow, CommandComplete.
const ROW_MESSAGE_COUNT: usize = 3;

/// A reported log position must be less than this, in milliseconds of Unix time, or it is ignored. The limit
/// ensures that positions in nanoseconds fit into 64 bits.
const MAX_POSITION_MS: u64 = 1 << 44;

/// The state that a host reported in the ParameterStatus messages before a ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedState {
    /// Whether it is the primary.
    pub primary: Option<bool>,
    /// Its log position, a Unix time in milliseconds.
    pub position_ms: Option<u64>,
    /// The text of its load report.
    pub load_report: Option<String>,
}

/// How a query ended at a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// One row of one column and CommandComplete.
    Row(Row),
    /// One row and CommandComplete, but the row was discarded by [`HostCodec::discard_row`].
    RowDiscarded,
    /// An ErrorResponse with this SQLSTATE.
    Error(String),
    /// No row: the query was empty, or it returned none.
    Empty,
}

/// A complete row as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The messages that the host sent.
    pub bytes: Vec<u8>,
    /// The ranges of the messages that the client gets, in order: RowDescription, DataRow, CommandComplete.
    pub parts: Vec<ByteRange>,
    /// The range of the value; `None` if it is null.
    pub value: Option<ByteRange>,
    /// Whether the value is in binary format.
    pub binary: bool,
}

impl Row {
    /// Returns the number of bytes that the row holds in memory.
    pub fn memory(&self) -> usize {
        self.bytes.capacity()
    }
}

/// An event that results from a host's messages.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// The connection is ready for queries.
    Ready,
    /// The host rejects the connection: it sent an ErrorResponse with this SQLSTATE during startup.
    Rejected(String),
    /// A query has ended with this outcome, and the host has reported this state.
    QueryEnded(QueryOutcome, ReportedState),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Startup,
    Idle,
    Responding(ResponseProgress),
}

/// The protocol state of one connection to a host.
#[derive(Debug, Default)]
pub struct HostCodec {
    buffer: MessageBuffer,
    phase: Phase,
    reported: ReportedState,
    /// The number of bytes of a discarded row that have not been received.
    discarding: usize,
}

impl HostCodec {
    /// Appends received bytes to the buffer, except for those of a discarded row.
    pub fn feed(&mut self, bytes: &[u8]) {
        let discarded = self.discarding.min(bytes.len());
        self.discarding -= discarded;
        self.buffer.extend(&bytes[discarded..]);
    }

    /// Returns the number of bytes that the connection holds in memory.
    pub fn memory(&self) -> usize {
        let response = match &self.phase {
            Phase::Responding(progress) => progress.bytes.capacity(),
            Phase::Startup | Phase::Idle => 0,
        };
        let load_report = self.reported.load_report.as_ref().map_or(0, String::capacity);
        self.buffer.capacity() + response + load_report
    }

    /// Returns the number of bytes that are missing from the message at the front of the buffer, or from its
    /// header.
    pub fn missing_bytes(&self) -> usize {
        self.buffer.missing_bytes()
    }

    /// Allocates memory for the rest of the message at the front of the buffer.
    pub fn reserve_message(&mut self) {
        self.buffer.reserve(self.missing_bytes());
    }

    /// Returns whether the message at the front of the buffer is a row that belongs to a response and has not
    /// been received completely.
    pub fn is_receiving_row(&self) -> bool {
        let awaits_row = matches!(&self.phase, Phase::Responding(progress) if progress.awaits_row());
        awaits_row && self.buffer.unread().starts_with(b"D") && self.buffer.len() >= HEADER_LEN
    }

    /// Discards the row that is being received: what has been received of it, and the rest as it is received.
    /// The response then ends with [`QueryOutcome::RowDiscarded`]. The caller has checked
    /// [`HostCodec::is_receiving_row`].
    pub fn discard_row(&mut self) {
        let Phase::Responding(progress) = &mut self.phase else { return };
        progress.discard_row();
        self.discarding = self.buffer.missing_bytes();
        self.buffer.consume(self.buffer.len());
    }

    /// Returns whether a query may be written.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.buffer.is_empty()
    }

    /// Prepares for the response to a query, which is written next.
    pub fn begin_query(&mut self) {
        self.phase = Phase::Responding(ResponseProgress::default());
        self.reported = ReportedState::default();
    }

    /// Returns whether part of a response has arrived and its end has not.
    pub fn response_started(&self) -> bool {
        match &self.phase {
            Phase::Responding(progress) => progress.has_started() || !self.buffer.is_empty(),
            Phase::Startup | Phase::Idle => false,
        }
    }

    /// Handles the end of the connection. Returns the query's outcome if its row is complete or the host sent
    /// an error. A host that closes a connection deliberately sends an error first, without ReadyForQuery.
    pub fn on_close(&mut self) -> Option<(QueryOutcome, ReportedState)> {
        let Phase::Responding(mut progress) = std::mem::take(&mut self.phase) else { return None };
        if let Some(code) = progress.error.take() {
            return Some((QueryOutcome::Error(code), std::mem::take(&mut self.reported)));
        }
        let row = progress.into_row()?;
        Some((QueryOutcome::Row(row), ReportedState::default()))
    }

    /// Returns the row if it is complete, even if the rest of the response is malformed or has not arrived.
    /// The state that the host has reported is discarded, as it can't be trusted.
    pub fn take_complete_row(&mut self) -> Option<Row> {
        match std::mem::take(&mut self.phase) {
            Phase::Responding(progress) => progress.into_row(),
            Phase::Startup | Phase::Idle => None,
        }
    }

    /// Returns the next event that results from the messages that have arrived; `None` if more bytes are
    /// needed.
    pub fn next_event(&mut self) -> Result<Option<HostEvent>, ProtocolError> {
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

    /// Handles the complete message at the front of the buffer.
    fn handle_message(&mut self, header: MessageHeader) -> Result<Option<HostEvent>, ProtocolError> {
        let kind = header.kind;
        let message = &self.buffer.unread()[..HEADER_LEN + header.body_len];
        let body = &message[HEADER_LEN..];
        match (kind, &mut self.phase) {
            (b'S', _) => self.reported.record_parameter(body),
            (b'N' | b'A', _) => {}
            (b'Z', phase @ Phase::Startup) => {
                *phase = Phase::Idle;
                return Ok(Some(HostEvent::Ready));
            }
            (_, Phase::Startup) => return check_startup_message(kind, body),
            (b'Z', phase @ Phase::Responding(_)) => {
                let Phase::Responding(progress) = std::mem::replace(phase, Phase::Idle) else {
                    return Ok(None);
                };
                let reported = std::mem::take(&mut self.reported);
                return Ok(Some(HostEvent::QueryEnded(progress.into_outcome(), reported)));
            }
            (_, Phase::Responding(progress)) => progress.record_message(kind, message)?,
            (_, Phase::Idle) => return Err(ProtocolError::UnexpectedMessage(kind)),
        }
        Ok(None)
    }
}

/// Checks the next message by its header. If a length is wrong, the rest of the message might never arrive,
/// or might fill the memory, so the error is reported without waiting for the body.
fn check_header(unread: &[u8]) -> Result<(), ProtocolError> {
    let Some(&[kind, a, b, c, d]) = unread.first_chunk::<HEADER_LEN>() else {
        return match unread.first().is_none_or(|kind| HOST_MESSAGE_KINDS.contains(kind)) {
            true => Ok(()),
            false => Err(ProtocolError::UnknownHostMessage),
        };
    };
    let len = (u32::from_be_bytes([a, b, c, d]) as usize).saturating_sub(4);
    let is_plausible = match kind {
        b'D' => is_plausible_row(len, &unread[HEADER_LEN..]),
        b'Z' => len == 1,
        b'I' => len == 0,
        b'T' => len <= MAX_DESCRIPTION_LEN,
        b'C' => len <= MAX_COMMAND_TAG_LEN,
        b'S' | b'N' | b'A' | b'R' | b'K' | b'v' | b'E' => len <= MAX_TEXT_MESSAGE_LEN,
        _ => false,
    };
    match is_plausible {
        true => Ok(()),
        false => Err(ProtocolError::InvalidBodyLength { kind, len }),
    }
}

/// Returns whether the part of a DataRow's body that has arrived is consistent with the body's length.
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

/// Handles a message before the first ReadyForQuery.
fn check_startup_message(kind: u8, body: &[u8]) -> Result<Option<HostEvent>, ProtocolError> {
    match kind {
        b'R' if body == [0; 4] => Ok(None),
        b'R' => Err(ProtocolError::AuthenticationRequested(kind)),
        b'K' | b'v' => Ok(None),
        b'E' => Ok(Some(HostEvent::Rejected(sqlstate(body)))),
        _ => Err(ProtocolError::UnexpectedMessage(kind)),
    }
}

/// Returns the SQLSTATE of an ErrorResponse; empty if it has none.
fn sqlstate(body: &[u8]) -> String {
    error_code(body).map(|code| String::from_utf8_lossy(code).into_owned()).unwrap_or_default()
}

/// The part of the response to a query that has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ResponseProgress {
    /// The messages that belong to the row: RowDescription, DataRow, CommandComplete.
    bytes: Vec<u8>,
    /// The range of each message in `bytes`.
    parts: Vec<ByteRange>,
    value: Option<ByteRange>,
    rows: usize,
    binary: bool,
    /// Whether CommandComplete has arrived.
    command_completed: bool,
    /// Whether the row was discarded while it was received.
    row_discarded: bool,
    /// The SQLSTATE of an ErrorResponse.
    error: Option<String>,
}

impl ResponseProgress {
    fn has_started(&self) -> bool {
        !self.parts.is_empty() || self.error.is_some()
    }

    /// Returns whether a DataRow may be received next.
    fn awaits_row(&self) -> bool {
        self.parts.len() == 1 && !self.command_completed && !self.row_discarded
    }

    /// Records a row that is discarded. The messages that follow it are handled as usual.
    fn discard_row(&mut self) {
        self.row_discarded = true;
        self.rows += 1;
        self.parts.push(self.bytes.len()..self.bytes.len());
    }

    /// Handles a message. `message` includes the header.
    fn record_message(&mut self, kind: u8, message: &[u8]) -> Result<(), ProtocolError> {
        let body = &message[HEADER_LEN..];
        match kind {
            b'E' => self.error = Some(sqlstate(body)),
            b'I' => {}
            b'T' if self.parts.is_empty() && describes_one_column(body) => {
                // The column's description ends with its format code, which is 1 for binary.
                self.binary = body.ends_with(&[0, 1]);
                self.append(message)?;
            }
            b'D' if self.awaits_row() => self.record_row(kind, message)?,
            b'C' if self.parts.len() < ROW_MESSAGE_COUNT
                && !self.command_completed
                && body.ends_with(&[0]) =>
            {
                self.command_completed = true;
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
        // The messages that follow the row to the client fit as well, so that the row is not copied again.
        self.bytes.reserve_exact(message.len() + MAX_MESSAGES_AFTER_ROW_LEN);
        self.append(message)?;
        self.value = value_len.map(|len| self.bytes.len() - len..self.bytes.len());
        Ok(())
    }

    fn append(&mut self, message: &[u8]) -> Result<(), ProtocolError> {
        let start = self.bytes.len();
        if start + message.len() > MAX_RESPONSE_LEN {
            return Err(ProtocolError::ResponseTooLong);
        }
        self.bytes.extend_from_slice(message);
        self.parts.push(start..self.bytes.len());
        Ok(())
    }

    /// Returns the outcome once ReadyForQuery has arrived.
    fn into_outcome(mut self) -> QueryOutcome {
        match self.error.take() {
            Some(code) => QueryOutcome::Error(code),
            None if self.row_discarded && self.command_completed => QueryOutcome::RowDiscarded,
            None => self.into_row().map_or(QueryOutcome::Empty, QueryOutcome::Row),
        }
    }

    /// Returns the row, if all messages that belong to it have arrived.
    fn into_row(self) -> Option<Row> {
        let is_complete = self.rows == 1
            && self.parts.len() == ROW_MESSAGE_COUNT
            && self.command_completed
            && !self.row_discarded;
        if !is_complete || self.error.is_some() {
            return None;
        }
        Some(Row { bytes: self.bytes, parts: self.parts, value: self.value, binary: self.binary })
    }
}

/// Returns whether the body of a RowDescription describes exactly one column.
fn describes_one_column(body: &[u8]) -> bool {
    let column = body.strip_prefix(&[0, 1]).and_then(read_cstring);
    column.is_some_and(|(_name, description)| description.len() == COLUMN_DESCRIPTION_LEN)
}

impl ReportedState {
    /// Handles the body of a ParameterStatus. One that can't be parsed is ignored, and the response remains
    /// valid.
    fn record_parameter(&mut self, body: &[u8]) {
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

/// Encodes a short query that the router itself sends, such as a health check.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put_message(&mut out, b'Q', |out| put_cstring(out, text));
    out
}

/// Encodes the header of a query. Its text of `len` bytes and a terminating zero byte are written after it.
pub fn query_head(len: usize) -> [u8; HEADER_LEN] {
    let [a, b, c, d] = ((len + 5) as u32).to_be_bytes();
    [b'Q', a, b, c, d]
}

/// Returns the names and values of a load report such as `inflight=7,util=0.61`. Pairs that can't be parsed
/// are left out.
pub fn parse_load_report(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        value.is_finite().then_some((name.trim(), value))
    })
}
