//! The router, in layers:
//!
//! - [`transport`] moves bytes: sockets, connections, timers;
//! - [`protocol`] parses and encodes them: PostgreSQL's messages, statements, discovery's lists;
//! - [`routing`] turns requests, answers and lists into the policy's events, and its actions into effects;
//! - [`program`] is the command line: it reads the configuration, starts the log, serves and stops.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
