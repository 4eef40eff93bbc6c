//! The router, in layers:
//!
//! - [`transport`] moves bytes: sockets, connections, timers;
//! - [`protocol`] parses and encodes messages: PostgreSQL's messages, statements, endpoint lists of service
//!   discovery;
//! - [`routing`] turns requests, responses and endpoint lists into the policy's events, and the policy's
//!   actions into effects;
//! - [`program`] is the command line: it reads the configuration, sets up logging, and runs the router until
//!   a signal stops it.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
