//! Read-your-writes guarantees for client sessions. The crate computes the *floor* of each session read: the
//! log position that a member must have applied to serve the read. The router passes the floor to the
//! decision module with the request. The crate has no clock and does no I/O: times are arguments, floors and
//! tokens are results.
//!
//! Log positions are commit times: Unix times in nanoseconds, as database hosts report them. A point in time
//! is therefore also a position: each write that committed before that time has a lower position, up to the
//! clock skew. `docs/design/sessions.md` explains why each floor is sound.
//!
//! - [`Sessions`] is the session state of one router.
//! - [`GroupFloors`] holds the floors of one session, by group.
//! - [`token`] encodes and signs these floors, so that clients can carry them between routers.
//! - [`RequestProgress`] tells how long a request is tracked: until its last attempt has ended.
//! - [`FloorTable`] stores floors by group and session in bounded memory.
//! - [`snapshot`] saves that table across a restart.

mod config;
mod counts;
mod floor_table;
mod group_floors;
mod key;
mod request;
mod request_progress;
mod sessions;
pub mod snapshot;
pub mod token;

pub use config::{DefaultFloor, PlatformFloors, SessionConfig, TokenDelivery};
pub use counts::SessionCounts;
pub use floor_table::{FloorEntry, FloorTable, BUCKET_BYTES};
pub use group_floors::{GroupFloors, MAX_GROUPS};
pub use request::{ReadFloor, SessionRequest, TrackedRequest};
pub use request_progress::RequestProgress;
pub use sessions::Sessions;
