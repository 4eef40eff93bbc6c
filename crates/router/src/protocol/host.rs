//! The side towards database hosts: bytes in, answers out.

use basalthill_wire::{
    error_code, put_cstring, put_message, read_cstring, ByteRange, MessageBuffer, MessageHeader,
    ProtocolError,
};

/// Longest message body taken from a host: a value of 64 KiB and its heads.
pub const LONGEST: usize = 80 * 1024;
/// Most bytes that one answer may have in all.
const LONGEST_ANSWER: usize = 128 * 1024;

/// Longest messages other than rows.
const LONGEST_DESCRIPTION: usize = 1024;
const LONGEST_TAG: usize = 64;
const LONGEST_WORDS: usize = 8 * 1024;

/// Positions from here on, in milliseconds of Unix time, are out of range: nanoseconds would not hold them.
const LATEST_MS: u64 = 1 << 44;

/// What a host's ParameterStatus messages have said before a ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedState {
    /// Whether it called itself the primary.
    pub primary: Option<bool>,
    /// Its position, a Unix time in milliseconds.
    pub position_ms: Option<u64>,
    /// Its load report as it stood.
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

/// A row, held whole where it was received.
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

/// What a host has said.
#[derive(Clone, Debug, PartialEq)]
pub enum HostMessage {
    /// It has welcomed us.
    Ready,
    /// It won't have us: an ErrorResponse during startup.
    Rejected(String),
    /// A query has ended, and what the host said of itself.
    QueryEnded(QueryOutcome, ReportedState),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Starting,
    Idle,
    Busy(Progress),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Progress {
    bytes: Vec<u8>,
    parts: Vec<ByteRange>,
    value: Option<ByteRange>,
    rows: usize,
    binary: bool,
    complete: bool,
    error: Option<String>,
}

/// The protocol's state for one connection to a host.
#[derive(Debug, Default)]
pub struct HostCodec {
    inbox: MessageBuffer,
    stage: Stage,
    telling: ReportedState,
}

impl HostCodec {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.extend(bytes);
    }

    /// Whether a query may be written.
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle && self.inbox.is_empty()
    }

    /// A query is about to be written.
    pub fn begin_query(&mut self) {
        self.stage = Stage::Busy(Progress::default());
        self.telling = ReportedState::default();
    }

    /// Whether an answer has begun and its end has not come.
    pub fn answer_started(&self) -> bool {
        match &self.stage {
            Stage::Busy(p) => !p.parts.is_empty() || p.error.is_some() || !self.inbox.is_empty(),
            _ => false,
        }
    }

    /// The connection has ended: how the query did, if its row is whole or an error had come that ends
    /// connections.
    pub fn on_close(&mut self) -> Option<(QueryOutcome, ReportedState)> {
        match std::mem::take(&mut self.stage) {
            Stage::Busy(Progress { error: Some(code), .. }) => {
                Some((QueryOutcome::Error(code), std::mem::take(&mut self.telling)))
            }
            Stage::Busy(p) => p.row().map(|row| (QueryOutcome::Row(row), ReportedState::default())),
            _ => None,
        }
    }

    /// What follows can't be read, or never comes: the row, if it is whole. What the host has told of itself
    /// is not believed.
    pub fn take_complete_row(&mut self) -> Option<Row> {
        match std::mem::take(&mut self.stage) {
            Stage::Busy(p) => p.row(),
            _ => None,
        }
    }

    /// The next thing the host has said, if it has come whole.
    pub fn next_message(&mut self) -> Result<Option<HostMessage>, ProtocolError> {
        loop {
            self.fits()?;
            let Some(MessageHeader { kind, body_len: len }) = self.inbox.message_header(LONGEST)? else {
                return Ok(None);
            };
            let out = self.message(kind, len)?;
            self.inbox.consume(5 + len);
            if out.is_some() {
                return Ok(out);
            }
        }
    }

    /// Judges the next message by its head, before its body has come: one that can't be right would be waited
    /// for in vain.
    fn fits(&self) -> Result<(), ProtocolError> {
        let Some(head) = self.inbox.unread().first_chunk::<5>() else {
            return match self.inbox.unread().first().is_none_or(|kind| b"SNARKvEZITDC".contains(kind)) {
                true => Ok(()),
                false => Err(ProtocolError::UnknownHostMessage),
            };
        };
        let len = (u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize).saturating_sub(4);
        let right = match head[0] {
            b'D' => match self.inbox.unread().get(5..11) {
                Some(&[0, 1, a, b, c, d]) => match i32::from_be_bytes([a, b, c, d]) {
                    -1 => len == 6,
                    size => usize::try_from(size).is_ok_and(|size| len == size.saturating_add(6)),
                },
                Some(_) => false,
                None => (6..=LONGEST).contains(&len),
            },
            b'Z' => len == 1,
            b'I' => len == 0,
            b'T' => len <= LONGEST_DESCRIPTION,
            b'C' => len <= LONGEST_TAG,
            b'S' | b'N' | b'A' | b'R' | b'K' | b'v' | b'E' => len <= LONGEST_WORDS,
            _ => false,
        };
        match right {
            true => Ok(()),
            false => Err(ProtocolError::ImplausibleLength { kind: head[0], len }),
        }
    }

    fn message(&mut self, kind: u8, len: usize) -> Result<Option<HostMessage>, ProtocolError> {
        let (whole, body) = (&self.inbox.unread()[..5 + len], &self.inbox.unread()[5..5 + len]);
        match (kind, &mut self.stage) {
            (b'S', _) => {
                // One that can't be read tells nothing; the answer is no worse for it.
                if let Some((name, (value, _))) =
                    read_cstring(body).and_then(|(n, rest)| Some((n, read_cstring(rest)?)))
                {
                    tell(&mut self.telling, name, value);
                }
            }
            (b'N' | b'A', _) => {}
            (b'R', Stage::Starting) if body == [0; 4] => {}
            (b'R', Stage::Starting) => return Err(ProtocolError::AuthenticationRequested(kind)),
            (b'K' | b'v', Stage::Starting) => {}
            (b'E', Stage::Starting) => {
                let code = error_code(body).map(|c| String::from_utf8_lossy(c).into_owned());
                return Ok(Some(HostMessage::Rejected(code.unwrap_or_default())));
            }
            (b'Z', stage @ Stage::Starting) => {
                *stage = Stage::Idle;
                return Ok(Some(HostMessage::Ready));
            }
            (b'Z', stage @ Stage::Busy(_)) => {
                let Stage::Busy(p) = std::mem::replace(stage, Stage::Idle) else { return Ok(None) };
                let ending = match p.error {
                    Some(code) => QueryOutcome::Error(code),
                    None => p.row().map_or(QueryOutcome::Empty, QueryOutcome::Row),
                };
                return Ok(Some(HostMessage::QueryEnded(ending, std::mem::take(&mut self.telling))));
            }
            (b'E', Stage::Busy(p)) => {
                let code = error_code(body).map(|c| String::from_utf8_lossy(c).into_owned());
                p.error = Some(code.unwrap_or_default());
            }
            (b'I', Stage::Busy(_)) => {}
            (b'T', Stage::Busy(p)) if p.parts.is_empty() && describes(body) => {
                p.binary = body.ends_with(&[0, 1]);
                keep(p, whole)?;
            }
            (b'D', Stage::Busy(p)) if p.parts.len() == 1 && !p.complete => {
                let Some((&[0, 1, a, b, c, d], value)) = body.split_first_chunk::<6>() else {
                    return Err(ProtocolError::RowShape(kind));
                };
                let size = i32::from_be_bytes([a, b, c, d]);
                if size >= 0 && size as usize != value.len() || size < -1 {
                    return Err(ProtocolError::ValueLength(kind));
                }
                p.rows += 1;
                keep(p, whole)?;
                p.value = (size >= 0).then(|| p.bytes.len() - size as usize..p.bytes.len());
            }
            (b'C', Stage::Busy(p)) if p.parts.len() < 3 && !p.complete && body.ends_with(&[0]) => {
                p.complete = true;
                keep(p, whole)?;
            }
            _ => return Err(ProtocolError::OutOfOrder(kind)),
        }
        Ok(None)
    }
}

impl Progress {
    /// The row, if one has come whole with all that belongs to it.
    fn row(self) -> Option<Row> {
        let whole = self.rows == 1 && self.parts.len() == 3 && self.complete && self.error.is_none();
        whole.then_some(Row { bytes: self.bytes, parts: self.parts, value: self.value, binary: self.binary })
    }
}

/// Whether this is the body of a description of one column.
fn describes(body: &[u8]) -> bool {
    let column = body.strip_prefix(&[0, 1]).and_then(read_cstring);
    column.is_some_and(|(_, rest)| rest.len() == 18)
}

fn keep(p: &mut Progress, whole: &[u8]) -> Result<(), ProtocolError> {
    let start = p.bytes.len();
    if start + whole.len() > LONGEST_ANSWER {
        return Err(ProtocolError::AnswerTooLong);
    }
    p.bytes.extend_from_slice(whole);
    p.parts.push(start..p.bytes.len());
    Ok(())
}

/// Takes a note of what a host tells of itself; a word that can't be read says nothing.
fn tell(telling: &mut ReportedState, name: &[u8], value: &[u8]) {
    let word = std::str::from_utf8(value).unwrap_or_default().trim();
    match (name, word) {
        (b"rank", "source") => telling.primary = Some(true),
        (b"rank", "copy") => telling.primary = Some(false),
        (b"as_of", _) => telling.position_ms = word.parse().ok().filter(|p| *p < LATEST_MS),
        (b"vitals", _) => telling.load_report = Some(word.to_string()),
        _ => {}
    }
}

/// The startup message to a host.
pub fn startup() -> Vec<u8> {
    let mut body = Vec::with_capacity(48);
    body.extend(0x0003_0000u32.to_be_bytes());
    for word in ["user", "svc", "database", "main"] {
        put_cstring(&mut body, word);
    }
    body.push(0);
    let mut out = ((body.len() + 4) as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A short query of our own.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put_message(&mut out, b'Q', |out| put_cstring(out, text));
    out
}

/// The head of a query whose text of `len` bytes and closing zero are written after it.
pub fn query_head(len: usize) -> [u8; 5] {
    let [a, b, c, d] = ((len + 5) as u32).to_be_bytes();
    [b'Q', a, b, c, d]
}

/// The figures of a load report: `inflight=7,util=0.61`.
pub fn parse_load_report(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((name.trim(), value.trim().parse().ok().filter(|v: &f64| v.is_finite())?))
    })
}
