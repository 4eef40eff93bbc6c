//! Service discovery: long-lived HTTP/1.1 responses that carry the endpoint list and its changes.

mod list;
mod watch;

pub use list::{HostEntry, HostList, HostState};
pub use watch::{watch_request, WatchCodec, WatchMessage};

/// Why a response of service discovery can't be processed any further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiscoveryError {
    /// The list is not valid JSON of the expected form.
    #[error("invalid endpoint list: {0}")]
    InvalidList(String),
    /// The list exceeds the maximum length.
    #[error("endpoint list exceeds {} bytes", watch::MAX_LIST_LEN)]
    ListTooLong,
    /// The head of the HTTP response is malformed.
    #[error("invalid head of the HTTP response: {0}")]
    Http(httparse::Error),
    /// The head of the HTTP response exceeds the maximum length.
    #[error("head of the HTTP response exceeds {} bytes", watch::MAX_HEAD_LEN)]
    HeadTooLong,
    /// The status is not 200.
    #[error("HTTP status {0} instead of 200")]
    Status(u16),
    /// The content length is not a number.
    #[error("HTTP content-length is not a number")]
    ContentLength,
    /// A chunk size is not a hexadecimal number.
    #[error("HTTP chunk size is not a hexadecimal number")]
    ChunkSize,
    /// The line with a chunk size exceeds the maximum length.
    #[error("line with an HTTP chunk size exceeds {} bytes", watch::MAX_CHUNK_SIZE_LINE_LEN)]
    ChunkSizeTooLong,
    /// A chunk is not followed by a line break.
    #[error("HTTP chunk is not followed by a line break")]
    ChunkEnd,
}

impl DiscoveryError {
    fn invalid_list(error: &serde_json::Error) -> DiscoveryError {
        DiscoveryError::InvalidList(error.to_string())
    }
}
