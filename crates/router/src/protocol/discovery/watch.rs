//! A watch on the endpoint list: one HTTP/1.1 response, chunked or not, with a JSON object per message.

use super::{DiscoveryError, HostList};
use basalthill_wire::MessageBuffer;
use httparse::Status;

/// Longest list in bytes that is taken.
const MAX_LIST_LEN: usize = 4 << 20;
/// Longest head of a response in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;
/// Longest line with a chunk's size in bytes.
const MAX_CHUNK_SIZE_LINE_LEN: usize = 256;
/// Most headers of a response.
const MAX_HEADERS: usize = 32;

/// What a watch has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchMessage {
    /// An empty line: nothing has changed.
    KeepAlive,
    /// A list or a change.
    List(HostList),
    /// The response has ended.
    End,
}

/// What comes next of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Head,
    /// The line with a chunk's size.
    ChunkSize,
    /// So many bytes of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// A body that is not chunked: it ends after so many bytes, or with its connection.
    PlainBody(Option<usize>),
    /// Nothing.
    Finished,
}

/// The protocol's state for one response of discovery.
#[derive(Debug, Default)]
pub struct WatchCodec {
    buffer: MessageBuffer,
    stage: Stage,
    /// The part of the body that has not become a message.
    body: Vec<u8>,
    /// So many of its bytes, in complete lines, are the beginning of a list that goes on.
    scanned: usize,
    rejected: bool,
}

impl WatchCodec {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// The next message, if one has arrived in full.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, DiscoveryError> {
        loop {
            if let Some(message) = self.next_line()? {
                return Ok(Some(message));
            }
            if self.body.len() > MAX_LIST_LEN {
                return Err(DiscoveryError::ListTooLong);
            }
            if self.stage == Stage::Finished {
                return self.last_message().map(Some);
            }
            if !self.advance()? {
                return Ok(None);
            }
        }
    }

    /// Whether discovery rejected the call, mostly for want of capacity: the endpoint list stays good.
    pub fn was_rejected(&self) -> bool {
        self.rejected
    }

    /// Whether the response's head has arrived.
    pub fn has_head(&self) -> bool {
        self.stage != Stage::Head
    }

    /// The connection has ended; what it has brought of an unfinished response is dropped.
    pub fn on_close(&mut self) {
        if self.stage != Stage::PlainBody(None) {
            self.body.clear();
            self.scanned = 0;
        }
        self.stage = Stage::Finished;
    }

    /// The message of the next complete line. A list may be indented, over many lines: one that is not over
    /// goes on with the next, and is parsed again where it may end.
    fn next_line(&mut self) -> Result<Option<WatchMessage>, DiscoveryError> {
        while let Some(line_len) = self.body[self.scanned..].iter().position(|b| *b == b'\n') {
            let is_first_line = self.scanned == 0;
            let end = self.scanned + line_len + 1;
            self.scanned = end;
            let text = self.body[..end].trim_ascii();
            if !(text.is_empty() || is_first_line || text.ends_with(b"}")) {
                continue;
            }
            let message = match text {
                [] => WatchMessage::KeepAlive,
                text => match serde_json::from_slice(text) {
                    Ok(list) => WatchMessage::List(list),
                    Err(error) if error.is_eof() => continue,
                    Err(error) => return Err(DiscoveryError::unreadable(&error)),
                },
            };
            self.body.drain(..end);
            self.scanned = 0;
            return Ok(Some(message));
        }
        Ok(None)
    }

    /// The message of what stands behind the last line end of a response that has ended.
    fn last_message(&mut self) -> Result<WatchMessage, DiscoveryError> {
        let rest = std::mem::take(&mut self.body);
        self.scanned = 0;
        match rest.trim_ascii() {
            [] => Ok(WatchMessage::End),
            text => HostList::parse(text).map(WatchMessage::List),
        }
    }

    /// Takes the next piece of the response off the buffer; whether there was enough of it.
    fn advance(&mut self) -> Result<bool, DiscoveryError> {
        match self.stage {
            Stage::Head => self.read_head(),
            Stage::ChunkSize => self.read_chunk_size(),
            Stage::Chunk(remaining) => Ok(self.read_chunk(remaining)),
            Stage::ChunkEnd => self.read_chunk_end(),
            Stage::PlainBody(remaining) => Ok(self.read_plain_body(remaining)),
            Stage::Finished => Ok(false),
        }
    }

    fn read_head(&mut self) -> Result<bool, DiscoveryError> {
        let unread = self.buffer.unread();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Status::Complete(head_len) = response.parse(unread).map_err(DiscoveryError::Http)? else {
            return match unread.len() > MAX_HEAD_LEN {
                true => Err(DiscoveryError::HeadTooLong),
                false => Ok(false),
            };
        };
        if response.code != Some(200) {
            self.rejected = matches!(response.code, Some(429 | 500..));
            return Err(DiscoveryError::Status(response.code.unwrap_or(0)));
        }
        self.stage = body_stage(response.headers)?;
        self.buffer.consume(head_len);
        Ok(true)
    }

    fn read_chunk_size(&mut self) -> Result<bool, DiscoveryError> {
        let unread = self.buffer.unread();
        match httparse::parse_chunk_size(unread) {
            Err(_) => Err(DiscoveryError::ChunkSize),
            Ok(Status::Partial) if unread.len() > MAX_CHUNK_SIZE_LINE_LEN => {
                Err(DiscoveryError::ChunkSizeTooLong)
            }
            Ok(Status::Partial) => Ok(false),
            Ok(Status::Complete((line_len, size))) => {
                self.stage = if size == 0 { Stage::Finished } else { Stage::Chunk(size as usize) };
                self.buffer.consume(line_len);
                Ok(true)
            }
        }
    }

    fn read_chunk(&mut self, remaining: usize) -> bool {
        let len = self.take_body_bytes(remaining);
        self.stage = if len == remaining { Stage::ChunkEnd } else { Stage::Chunk(remaining - len) };
        len > 0
    }

    fn read_chunk_end(&mut self) -> Result<bool, DiscoveryError> {
        match self.buffer.unread().first_chunk::<2>() {
            None => Ok(false),
            Some(b"\r\n") => {
                self.stage = Stage::ChunkSize;
                self.buffer.consume(2);
                Ok(true)
            }
            Some(_) => Err(DiscoveryError::ChunkEnd),
        }
    }

    fn read_plain_body(&mut self, remaining: Option<usize>) -> bool {
        let len = self.take_body_bytes(remaining.unwrap_or(usize::MAX));
        self.stage = match remaining.map(|remaining| remaining - len) {
            Some(0) => Stage::Finished,
            remaining => Stage::PlainBody(remaining),
        };
        len > 0 || self.stage == Stage::Finished
    }

    /// Moves so many bytes at most from the buffer to the body; returns how many there were.
    fn take_body_bytes(&mut self, max: usize) -> usize {
        let unread = self.buffer.unread();
        let len = max.min(unread.len());
        self.body.extend_from_slice(&unread[..len]);
        self.buffer.consume(len);
        len
    }
}

/// The stage after the head, by its headers. Chunks win over a length.
fn body_stage(headers: &[httparse::Header]) -> Result<Stage, DiscoveryError> {
    let mut stage = Stage::PlainBody(None);
    for header in headers {
        let value = header.value.trim_ascii();
        let is_chunked = value.eq_ignore_ascii_case(b"chunked");
        if header.name.eq_ignore_ascii_case("transfer-encoding") && is_chunked {
            stage = Stage::ChunkSize;
        } else if header.name.eq_ignore_ascii_case("content-length") && stage != Stage::ChunkSize {
            let len = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            stage = Stage::PlainBody(Some(len.ok_or(DiscoveryError::ContentLength)?));
        }
    }
    Ok(stage)
}

/// The request for the changes since a version, or for the full list and then its changes.
pub fn watch_request(host: &str, from: Option<u64>) -> Vec<u8> {
    let from = from.map(|version| format!("&from={version}")).unwrap_or_default();
    let request =
        format!("GET /discovery/hosts?watch=1{from} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n");
    request.into_bytes()
}
