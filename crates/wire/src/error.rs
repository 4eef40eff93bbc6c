//! Errors in a stream of messages.

use thiserror::Error;

/// An error after which no further message of a stream can be decoded.
///
/// If a client's message causes the error, the router sends the error's text to the client in an
/// ErrorResponse. Those texts are part of the protocol between router and client and must not change. The
/// texts of errors in the messages of hosts and routers are only logged or printed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A message's length field is below its own length or above the limit. Carries the value of the field.
    #[error("a message of {0} bytes")]
    MessageLength(usize),
    /// The SQL text of a Query message does not end with a zero byte.
    #[error("a query that does not end with its zero byte")]
    UnterminatedQuery,
    /// A client's message has a type that the protocol does not define. Carries the type byte.
    #[error("message type {0} is unknown")]
    UnknownClientMessage(u8),
    /// A startup message is shorter or longer than allowed. Carries its length in bytes.
    #[error("a startup message of {0} bytes")]
    StartupLength(usize),
    /// A CancelRequest does not have the length that the protocol requires. Carries its length in bytes.
    #[error("a cancel request of {0} bytes")]
    CancelRequestLength(usize),
    /// A startup message has a parameter name without a value.
    #[error("a startup option has no value")]
    StartupOptionWithoutValue,
    /// The parameters of a startup message do not end with a zero byte.
    #[error("a startup message that does not end well")]
    UnterminatedStartup,
    /// The client requests an unsupported version of the protocol.
    #[error("protocol {major}.{minor} is not served")]
    UnsupportedVersion {
        /// The major version.
        major: u32,
        /// The minor version.
        minor: u32,
    },
    /// A host's message has a type that hosts do not send.
    #[error("host sent a message of an unknown type")]
    UnknownHostMessage,
    /// The body of a host's message has a length that is invalid for the message's type.
    #[error("body of message {:?} has an invalid length of {len} bytes", char::from(*.kind))]
    InvalidBodyLength {
        /// The message's type byte.
        kind: u8,
        /// The length of the body in bytes.
        len: usize,
    },
    /// A host requires authentication, which the router does not support. Carries the message's type byte.
    #[error("host requires authentication, which is not supported (message {:?})", char::from(*.0))]
    AuthenticationRequested(u8),
    /// A row does not have exactly one column. Carries the message's type byte.
    #[error("message {:?} is not a row of exactly one column", char::from(*.0))]
    ColumnCount(u8),
    /// The length of a row's value does not match the length of the message. Carries the message's type byte.
    #[error("value length in message {:?} does not match the length of the message", char::from(*.0))]
    ValueLength(u8),
    /// A host's message has a type that is not allowed in the current state of the exchange. Carries the
    /// message's type byte.
    #[error("message {:?} is not allowed in the current state of the exchange", char::from(*.0))]
    UnexpectedMessage(u8),
    /// A host's response is longer than the router's limit.
    #[error("response exceeds the length limit")]
    ResponseTooLong,
    /// A router's message is malformed or has an unknown type. Carries the message's type byte.
    #[error("message {:?} is malformed or of an unknown type", char::from(*.0))]
    MalformedMessage(u8),
}
