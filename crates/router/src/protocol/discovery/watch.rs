//! A watch on the endpoint list: one HTTP/1.1 response, chunked or not, whose body is a sequence of JSON
//! objects separated by line breaks.

use super::{DiscoveryError, HostList};
use basalthill_wire::MessageBuffer;
use httparse::Status;

/// The longest accepted list, in bytes.
pub(super) const MAX_LIST_LEN: usize = 4 << 20;
/// The longest accepted head of a response, in bytes.
pub(super) const MAX_HEAD_LEN: usize = 16 * 1024;
/// The longest accepted line with a chunk size, in bytes.
pub(super) const MAX_CHUNK_SIZE_LINE_LEN: usize = 256;
/// The maximum number of headers of a response.
const MAX_HEADERS: usize = 32;

/// A message of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchMessage {
    /// An empty line: nothing has changed.
    KeepAlive,
    /// The complete list, or changes to it.
    List(HostList),
    /// The response has ended.
    End,
}

/// The part of the response that is expected next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Head,
    /// The line with a chunk's size.
    ChunkSize,
    /// The rest of a chunk, of this many bytes.
    Chunk(usize),
    /// The line break after a chunk.
    ChunkEnd,
    /// The rest of a body without chunks. It ends after this many bytes, or with the connection if its length
    /// is unknown.
    PlainBody(Option<usize>),
    /// Nothing: the response has ended.
    Finished,
}

/// The protocol state of one watch response.
#[derive(Debug, Default)]
pub struct WatchCodec {
    buffer: MessageBuffer,
    stage: Stage,
    /// The part of the body that has not been parsed as a message.
    body: Vec<u8>,
    /// The number of bytes in `body` that are complete lines of a list whose end has not been received.
    scanned: usize,
    rejected: bool,
}

impl WatchCodec {
    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend(bytes);
    }

    /// Returns the next message; `None` if more bytes are needed.
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

    /// Returns whether discovery rejected the call with status 429, or with 500 or above, usually because it
    /// lacks capacity. The endpoint list received before stays valid.
    pub fn was_rejected(&self) -> bool {
        self.rejected
    }

    /// Returns whether the head of the response has arrived.
    pub fn has_head(&self) -> bool {
        self.stage != Stage::Head
    }

    /// Handles the end of the connection. An incomplete message is discarded, unless the end of the
    /// connection is also the end of the body.
    pub fn on_close(&mut self) {
        if self.stage != Stage::PlainBody(None) {
            self.body.clear();
            self.scanned = 0;
        }
        self.stage = Stage::Finished;
    }

    /// Returns the next message; `None` if its last line is incomplete. A list may be indented and span many
    /// lines: while it is incomplete, further lines are appended, and it is parsed again after each line that
    /// may be its last.
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
                    Err(error) => return Err(DiscoveryError::invalid_list(&error)),
                },
            };
            self.body.drain(..end);
            self.scanned = 0;
            return Ok(Some(message));
        }
        Ok(None)
    }

    /// Returns the message after the last line break of a response that has ended.
    fn last_message(&mut self) -> Result<WatchMessage, DiscoveryError> {
        let rest = std::mem::take(&mut self.body);
        self.scanned = 0;
        match rest.trim_ascii() {
            [] => Ok(WatchMessage::End),
            text => HostList::parse(text).map(WatchMessage::List),
        }
    }

    /// Processes the next part of the buffer. Returns false if more bytes are needed or the response has
    /// ended.
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

    /// Moves at most `max` bytes from the buffer to the body. Returns how many were moved.
    fn take_body_bytes(&mut self, max: usize) -> usize {
        let unread = self.buffer.unread();
        let len = max.min(unread.len());
        self.body.extend_from_slice(&unread[..len]);
        self.buffer.consume(len);
        len
    }
}

/// Returns the stage after the head, given the headers. Chunked encoding takes precedence over a content
/// length.
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

/// Encodes a request for the changes since a version, or for the complete list followed by its changes if
/// `from` is `None`.
pub fn watch_request(host: &str, from: Option<u64>) -> Vec<u8> {
    let from = from.map(|version| format!("&from={version}")).unwrap_or_default();
    let request =
        format!("GET /discovery/hosts?watch=1{from} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n");
    request.into_bytes()
}
