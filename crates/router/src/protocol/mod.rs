//! The protocols as state machines: bytes in, messages out. No clock, no socket.

pub mod client;
pub mod discovery;
pub mod host;
pub mod statement;
