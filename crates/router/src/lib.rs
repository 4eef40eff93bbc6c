//! The router, in layers: transport moves bytes, protocol understands them, routing maps them onto the
//! decisions' events, and program starts and stops it all.
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
