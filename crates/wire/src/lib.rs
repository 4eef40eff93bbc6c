//! Messages of version 3 of PostgreSQL's protocol: the framing of a byte stream, the few messages that are
//! written here, and the names of SQLSTATEs. The router and the client library both use it, for either side
//! of a connection.

mod buffer;
mod error;
mod message;
pub mod sqlstate;
mod startup;

pub use buffer::{MessageBuffer, MessageHeader, HEADER_LEN};
pub use error::ProtocolError;
pub use message::{
    error_code, error_fields, put_cstring, put_error_response, put_message, read_cstring, ByteRange,
    Severity, READY_FOR_QUERY,
};
pub use startup::startup_message;
