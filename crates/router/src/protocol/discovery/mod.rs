//! Discovery: HTTP/1.1 responses that stay open, and the endpoint lists inside.

mod list;
mod watch;

pub use list::{HostEntry, HostList, HostState};
pub use watch::{watch_request, WatchCodec, WatchMessage};

/// Why a response of discovery cannot be read any further.
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

impl DiscoveryError {
    fn unreadable(error: &serde_json::Error) -> DiscoveryError {
        DiscoveryError::UnreadableList(error.to_string())
    }
}
