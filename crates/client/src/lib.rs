//! Client library for basalthill's routers.
//!
//! The library observes a request's deadline over all its attempts, never runs a non-idempotent request
//! twice, honours Retry-After times, keeps retries within a budget, and delays reconnects randomly.
//!
//! ```no_run
//! use basalthill_client::{Client, Config, Request, RequestOutcome};
//! use std::time::Duration;
//!
//! let client = Client::start(Config::new(["127.0.0.1:6432".parse()?]))?;
//! let timeout = Duration::from_millis(900);
//! let write = Request::write("log-write", 1, "s1", b"hello").tenant("demo").timeout(timeout);
//! match client.execute_blocking(write).outcome {
//!     RequestOutcome::Served(value) => println!("stored {value:?}"),
//!     RequestOutcome::Rejected(retry_after) => println!("not run; retry after {retry_after:?}"),
//!     RequestOutcome::MayHaveRun => println!("may have run; read the key before writing again"),
//!     other => println!("not run: {other:?}"),
//! }
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! [`core`] is a state machine without I/O; [`Client`] is a handle to a thread that drives it.
//! `docs/design/client.md` explains the design, `docs/operate/client.md` is the guide for authors of
//! gateways.

mod client;
mod config;
pub mod core;
mod driver;
mod outcome;
mod protocol;
mod request;
mod session;

pub use client::{Client, Runtime};
pub use config::Config;
pub use outcome::{AttemptOutcome, AttemptRecord, RequestOutcome, RequestReport, WriteProgress};
pub use request::{Idempotency, InvalidRequest, Operation, Priority, Request, MAX_VALUE_BYTES};
pub use session::{InvalidSession, Session};
