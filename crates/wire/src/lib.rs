//! Version 3 of PostgreSQL's protocol, as far as the router and the client library share it: framing of the
//! byte stream, encoding of a few messages, and names of SQLSTATEs. Both ends of a connection use it.

mod buffer;
mod error;
mod message;
pub mod sqlstate;
mod startup;

pub use buffer::{message_header, MessageBuffer, MessageHeader, HEADER_LEN};
pub use error::ProtocolError;
pub use message::{
    error_code, error_fields, put_cstring, put_error_response, put_message, read_cstring, ByteRange,
    Severity, READY_FOR_QUERY,
};
pub use startup::startup_message;
