//! Client of basalthill's routers. Deadlines are kept over all tries, writes never run twice, refusals are
//! honoured, retries stay within a budget, and reconnects spread.
//!
//! ```no_run
//! use basalthill_client::{Client, Config, RequestOutcome, Request};
//! use std::time::Duration;
//!
//! let client = Client::start(Config::new(["127.0.0.1:6432".parse()?]))?;
//! let deadline = Duration::from_millis(900);
//! let write = Request::write("log-write", 1, "s1", b"hello").tenant("demo").timeout(deadline);
//! match client.execute_blocking(write).outcome {
//!     RequestOutcome::Served(value) => println!("stored {value:?}"),
//!     RequestOutcome::Rejected(after) => println!("not done; worth another try after {after:?}"),
//!     RequestOutcome::MayHaveRun => println!("unknown: read before you write again"),
//!     other => println!("not done: {other:?}"),
//! }
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! [`core`] decides and does no I/O; [`Client`] drives it on a thread of its own. `docs/design/client.md`
//! argues the choices, `docs/operate/client.md` is for a gateway's author.
pub mod core;
mod driver;
mod request;
mod session;
mod wire;

pub use driver::{Client, Runtime};
pub use request::{
    AttemptOutcome, AttemptRecord, Config, Idempotency, InvalidRequest, Operation, Priority, Request,
    RequestOutcome, RequestReport, WriteProgress,
};
pub use session::{InvalidSession, Session};
