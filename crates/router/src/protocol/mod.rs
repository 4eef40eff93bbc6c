//! The protocols as state machines without I/O: bytes in, messages out. They have no access to the clock or
//! to sockets.

pub mod client;
pub mod discovery;
pub mod host;
pub mod statement;
