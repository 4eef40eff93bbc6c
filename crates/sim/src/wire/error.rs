//! Errors of reading and decoding frames.

use super::FRAME_HEADER_LEN;
use basalthill_config::ConfigError;
use std::io;

/// Why a frame can't be read or decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The input ends inside the length field of a frame.
    #[error("input ends inside the length field of a frame")]
    TruncatedLength,
    /// The input ends inside a frame.
    #[error("input ends inside a frame: {missing} of its {len} bytes are missing")]
    Truncated {
        /// The number of bytes that are missing.
        missing: usize,
        /// The length of the frame in bytes, according to its header.
        len: usize,
    },
    /// A frame ends inside its header.
    #[error("frame ends inside its header of {FRAME_HEADER_LEN} bytes")]
    TruncatedHeader,
    /// The length of a frame is less than the length of a header.
    #[error("frame length {0} is less than the {FRAME_HEADER_LEN} bytes of a header")]
    LengthBelowHeader(usize),
    /// The number of records is so large that their total length overflows.
    #[error("record count is too large: the length of the records overflows")]
    RecordCountOverflow,
    /// The records do not fit into the frame, or the length of the frame differs from the one in its header.
    #[error("frame of {frame_len} bytes can't hold {count} records")]
    RecordsExceedFrame {
        /// The length of the frame in bytes.
        frame_len: usize,
        /// The number of records according to the header.
        count: usize,
    },
    /// A record can't be decoded.
    #[error("record {index}: {source}")]
    Record {
        /// The index of the record, from 0.
        index: usize,
        /// The problem with the record.
        source: RecordError,
    },
}

/// Why a record can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record ends before its last field.
    #[error("record ends before its last field")]
    EndsEarly,
    /// The record refers to bytes beyond the end of the tail.
    #[error("range of {len} bytes at offset {start} extends past the tail")]
    RangePastTail {
        /// The offset of the bytes in the tail.
        start: usize,
        /// The number of bytes.
        len: usize,
    },
    /// The record refers to an endpoint list that extends beyond the end of the tail.
    #[error("endpoint list of {count} entries at offset {start} extends past the tail")]
    ListPastTail {
        /// The offset of the list in the tail.
        start: usize,
        /// The number of entries.
        count: usize,
    },
    /// The code of an event is unknown.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// The kind of an endpoint list is unknown.
    #[error("unknown kind of endpoint list {0}")]
    UnknownListKind(u8),
    /// An event refers to an endpoint list that has not been received.
    #[error("endpoint list {0} has not been received")]
    UnknownList(u8),
    /// The state of a member is unknown.
    #[error("unknown member state {0}")]
    UnknownMemberState(u8),
    /// The status of an attempt is unknown.
    #[error("unknown status {0}")]
    UnknownStatus(u16),
    /// The settings of an instance that starts are invalid.
    #[error(transparent)]
    Settings(#[from] ConfigError),
}
