//! What can be wrong with a stream of messages, on either side.

use thiserror::Error;

/// Why a stream of messages cannot be read any further.
///
/// A router sends the text to its client, in an ErrorResponse: it is a part of the protocol between them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A message's length field is below its own size or above the limit.
    #[error("a message of {0} bytes")]
    MessageLength(usize),
    /// A query's text does not end with a zero byte.
    #[error("a query that does not end with its zero byte")]
    UnterminatedQuery,
    /// A client's message is of a type that the protocol does not have.
    #[error("message type {0} is unknown")]
    UnknownClientMessage(u8),
    /// A startup message is too short or too long.
    #[error("a startup message of {0} bytes")]
    StartupLength(usize),
    /// A cancel request is of another length than the protocol's.
    #[error("a cancel request of {0} bytes")]
    CancelRequestLength(usize),
    /// A startup option has a name and no value.
    #[error("a startup option has no value")]
    StartupOptionWithoutValue,
    /// A startup message's options do not end with a zero byte.
    #[error("a startup message that does not end well")]
    UnterminatedStartup,
    /// The client speaks a version of the protocol that is not served.
    #[error("protocol {major}.{minor} is not served")]
    UnsupportedVersion {
        /// The major version.
        major: u32,
        /// The minor version.
        minor: u32,
    },
    /// A host's message is of a type that hosts do not send.
    #[error("a message of an unknown type")]
    UnknownHostMessage,
    /// A host's message has a length that no message of its type has.
    #[error("a message {:?} of {len} bytes", char::from(*.kind))]
    InvalidBodyLength {
        /// The message's type.
        kind: u8,
        /// The length of its body.
        len: usize,
    },
    /// A host wants a password.
    #[error("a host that wants a password (message {:?})", char::from(*.0))]
    AuthenticationRequested(u8),
    /// A row has another number of columns than one.
    #[error("a row of another shape (message {:?})", char::from(*.0))]
    ColumnCount(u8),
    /// A value's length is not what its row says.
    #[error("a value of another length (message {:?})", char::from(*.0))]
    ValueLength(u8),
    /// A message that does not belong there.
    #[error("a message out of order (message {:?})", char::from(*.0))]
    UnexpectedMessage(u8),
    /// A host's answer is longer than the router takes.
    #[error("an answer that is too long")]
    ResponseTooLong,
    /// A router's message cannot be read.
    #[error("message {:?} can't be read", char::from(*.0))]
    MalformedMessage(u8),
}
