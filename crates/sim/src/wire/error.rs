//! What is wrong with a frame.

use super::FRAME_HEADER_LEN;
use basalthill_config::ConfigError;
use std::io;

/// Why a frame can't be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The input ends inside a frame's length.
    #[error("input ends inside a frame's length")]
    TruncatedLength,
    /// The input ends inside a frame.
    #[error("input ends {missing} bytes short of a frame of {len}")]
    Truncated {
        /// Bytes that are missing.
        missing: usize,
        /// Length of the frame.
        len: usize,
    },
    /// A frame ends inside its header.
    #[error("a frame ends inside its header")]
    TruncatedHeader,
    /// A frame's length does not cover its header.
    #[error("frame length {0} is below its header's {FRAME_HEADER_LEN}")]
    LengthBelowHeader(usize),
    /// The count of records is out of range.
    #[error("record count overflows")]
    RecordCountOverflow,
    /// The records do not fit into the frame.
    #[error("frame of {frame_len} bytes can't hold {count} records")]
    RecordsExceedFrame {
        /// Bytes of the frame.
        frame_len: usize,
        /// How many records it is said to have.
        count: usize,
    },
    /// A record can't be read.
    #[error("record {index}: {source}")]
    Record {
        /// The record, counted from 0.
        index: usize,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It is shorter than its fields.
    #[error("a record ends early")]
    EndsEarly,
    /// It refers to bytes beyond the tail.
    #[error("{len} bytes at {start} run past the tail")]
    RangePastTail {
        /// Where they begin.
        start: usize,
        /// How many there are.
        len: usize,
    },
    /// It refers to an endpoint list beyond the tail.
    #[error("list of {count} entries at {start} runs past the tail")]
    ListPastTail {
        /// Where it begins.
        start: usize,
        /// How many entries it has.
        count: usize,
    },
    /// An event's code is none.
    #[error("event code {0} is unknown")]
    UnknownEvent(u8),
    /// An endpoint list's form is none.
    #[error("list form {0} is unknown")]
    UnknownListForm(u8),
    /// An endpoint list was never sent.
    #[error("list {0} was never sent")]
    UnknownList(u8),
    /// A member's state is none.
    #[error("member condition {0} is unknown")]
    UnknownMemberState(u8),
    /// An attempt's status is none.
    #[error("disposition {0} is unknown")]
    UnknownStatus(u16),
    /// The settings of an instance that starts are unsound.
    #[error(transparent)]
    Settings(#[from] ConfigError),
}
