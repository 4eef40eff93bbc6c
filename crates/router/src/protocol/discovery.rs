//! Discovery: HTTP/1.1 answers in chunks, and the lists of members inside.

use basalthill_wire::MessageBuffer;
use serde::Deserialize;

/// Longest line of a list that is taken.
const LONGEST_LINE: usize = 4 << 20;
const LONGEST_HEAD: usize = 16 * 1024;

/// A list of members, or a change to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostList {
    /// Its version.
    pub version: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub full: bool,
    /// The members in it.
    #[serde(default)]
    pub servers: Vec<HostEntry>,
}

/// A member in a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostEntry {
    /// Its id, the same at every router.
    pub id: String,
    /// Where it listens.
    pub addr: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its group.
    pub cell: u32,
    /// Its state.
    pub state: HostState,
    /// Its weight.
    #[serde(default)]
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 for long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// Its role, where the list shows it.
    #[serde(default)]
    pub rank: Option<String>,
}

/// A member's state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Active,
    /// Finishing what it has.
    Leaving,
    /// Removed.
    Left,
}

impl HostList {
    /// Reads a list from JSON text.
    pub fn parse(text: &[u8]) -> Result<HostList, DiscoveryError> {
        serde_json::from_slice(text).map_err(|e| unreadable(&e))
    }
}

fn unreadable(e: &serde_json::Error) -> DiscoveryError {
    DiscoveryError::UnreadableList(e.to_string())
}

/// Why an answer of discovery cannot be read any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiscoveryError {
    /// The list is not the JSON that discovery speaks.
    #[error("a list that can't be read: {0}")]
    UnreadableList(String),
    /// The list exceeds the limit.
    #[error("a list that is too long")]
    ListTooLong,
    /// The head of the HTTP response is malformed.
    #[error("HTTP: {0}")]
    Http(httparse::Error),
    /// The head of the HTTP response exceeds the limit.
    #[error("HTTP: a head that is too long")]
    HeadTooLong,
    /// The status is not 200.
    #[error("HTTP: status {0}")]
    Status(u16),
    /// The content length is no number.
    #[error("HTTP: bad content-length")]
    ContentLength,
    /// A chunk's size is no hexadecimal number.
    #[error("HTTP: a bad chunk size")]
    ChunkSize,
    /// The line with a chunk's size does not end.
    #[error("HTTP: a chunk size that is too long")]
    ChunkSizeTooLong,
    /// A chunk is not followed by a line end.
    #[error("HTTP: a chunk that does not end well")]
    ChunkEnd,
}

/// What a watch has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchMessage {
    /// An empty line: nothing has changed.
    KeepAlive,
    /// A list or a change.
    List(HostList),
    /// The answer has ended.
    End,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Head,
    /// The size line of a chunk.
    Size,
    /// Bytes left of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// A body that ends with its connection, or after so many bytes.
    Plain(Option<usize>),
    Over,
}

/// The protocol's state for one answer of discovery.
#[derive(Debug, Default)]
pub struct WatchCodec {
    inbox: MessageBuffer,
    stage: Stage,
    line: Vec<u8>,
    /// So much of it, in whole lines, is part of a list that goes on.
    seen: usize,
    turned_away: bool,
}

impl WatchCodec {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.extend(bytes);
    }

    /// The next message, if one has come whole.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, DiscoveryError> {
        loop {
            if let Some(message) = self.line()? {
                return Ok(Some(message));
            }
            if self.line.len() > LONGEST_LINE {
                return Err(DiscoveryError::ListTooLong);
            }
            if self.stage == Stage::Over {
                let rest = std::mem::take(&mut self.line);
                self.seen = 0;
                return match rest.trim_ascii() {
                    [] => Ok(Some(WatchMessage::End)),
                    text => HostList::parse(text).map(|list| Some(WatchMessage::List(list))),
                };
            }
            if !self.step()? {
                return Ok(None);
            }
        }
    }

    /// Whether the call was turned away, for want of capacity above all: what is known stays good.
    pub fn was_rejected(&self) -> bool {
        self.turned_away
    }

    /// Whether the answer's head has come.
    pub fn has_head(&self) -> bool {
        self.stage != Stage::Head
    }

    /// The next line that is whole. A list may be indented, over many lines: one that is not over goes on
    /// with the next, and is looked at again where it may end.
    fn line(&mut self) -> Result<Option<WatchMessage>, DiscoveryError> {
        while let Some(end) = self.line[self.seen..].iter().position(|b| *b == b'\n') {
            let (first, end) = (self.seen == 0, self.seen + end + 1);
            self.seen = end;
            let text = self.line[..end].trim_ascii();
            if !(text.is_empty() || first || text.ends_with(b"}")) {
                continue;
            }
            let message = match text {
                [] => WatchMessage::KeepAlive,
                text => match serde_json::from_slice(text) {
                    Ok(list) => WatchMessage::List(list),
                    Err(e) if e.is_eof() => continue,
                    Err(e) => return Err(unreadable(&e)),
                },
            };
            self.line.drain(..end);
            self.seen = 0;
            return Ok(Some(message));
        }
        Ok(None)
    }

    /// The connection has ended; what it has brought without its end is dropped.
    pub fn on_close(&mut self) {
        if !matches!(self.stage, Stage::Plain(None)) {
            self.line.clear();
            self.seen = 0;
        }
        self.stage = Stage::Over;
    }

    /// Uses some of what waits; whether there was enough of it.
    fn step(&mut self) -> Result<bool, DiscoveryError> {
        let rest = self.inbox.unread();
        match self.stage {
            Stage::Head => {
                let mut headers = [httparse::EMPTY_HEADER; 32];
                let mut response = httparse::Response::new(&mut headers);
                let parsed = response.parse(rest).map_err(DiscoveryError::Http)?;
                let httparse::Status::Complete(used) = parsed else {
                    if rest.len() > LONGEST_HEAD {
                        return Err(DiscoveryError::HeadTooLong);
                    }
                    return Ok(false);
                };
                if response.code != Some(200) {
                    self.turned_away = matches!(response.code, Some(429 | 500..));
                    return Err(DiscoveryError::Status(response.code.unwrap_or(0)));
                }
                let mut next = Stage::Plain(None);
                for h in response.headers.iter() {
                    let value = h.value.trim_ascii();
                    if h.name.eq_ignore_ascii_case("transfer-encoding")
                        && value.eq_ignore_ascii_case(b"chunked")
                    {
                        next = Stage::Size;
                    } else if h.name.eq_ignore_ascii_case("content-length") && next != Stage::Size {
                        let len = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
                        next = Stage::Plain(Some(len.ok_or(DiscoveryError::ContentLength)?));
                    }
                }
                self.stage = next;
                self.inbox.consume(used);
            }
            Stage::Size => match httparse::parse_chunk_size(rest) {
                Err(_) => return Err(DiscoveryError::ChunkSize),
                Ok(httparse::Status::Partial) if rest.len() > 256 => {
                    return Err(DiscoveryError::ChunkSizeTooLong)
                }
                Ok(httparse::Status::Partial) => return Ok(false),
                Ok(httparse::Status::Complete((used, size))) => {
                    self.stage = if size == 0 { Stage::Over } else { Stage::Chunk(size as usize) };
                    self.inbox.consume(used);
                }
            },
            Stage::Chunk(left) => {
                let n = left.min(rest.len());
                self.line.extend_from_slice(&rest[..n]);
                self.stage = if n == left { Stage::ChunkEnd } else { Stage::Chunk(left - n) };
                self.inbox.consume(n);
                return Ok(n > 0);
            }
            Stage::ChunkEnd => {
                let Some(end) = rest.first_chunk::<2>() else { return Ok(false) };
                if end != b"\r\n" {
                    return Err(DiscoveryError::ChunkEnd);
                }
                self.stage = Stage::Size;
                self.inbox.consume(2);
            }
            Stage::Plain(left) => {
                let n = left.unwrap_or(usize::MAX).min(rest.len());
                self.line.extend_from_slice(&rest[..n]);
                self.inbox.consume(n);
                self.stage = match left.map(|l| l - n) {
                    Some(0) => Stage::Over,
                    left => Stage::Plain(left),
                };
                return Ok(n > 0 || self.stage == Stage::Over);
            }
            Stage::Over => return Ok(false),
        }
        Ok(true)
    }
}

/// The request for the changes since a version, or for the whole list and then its changes.
pub fn watch_request(host: &str, from: Option<u64>) -> Vec<u8> {
    let from = from.map(|v| format!("&from={v}")).unwrap_or_default();
    let line = format!("GET /discovery/hosts?watch=1{from} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n");
    line.into_bytes()
}
