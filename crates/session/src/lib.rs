//! Read-your-writes guarantees for client sessions: what a router knows of a session, turned into the *floor*
//! of each of its reads. A floor is the position that the read's answer must have seen at least; it goes to
//! the decisions with the request. The crate has no clock and does no I/O: times are arguments, floors and
//! tokens are results.
//!
//! Positions are commit times: Unix times in nanoseconds, as database hosts report them. So a moment is a
//! position too: everything that committed before it has a lower position, up to the skew between clocks.
//! `docs/design/sessions.md` argues why each floor is sound.
//!
//! - [`Sessions`] is the state of one router.
//! - [`GroupFloors`] are the floors of one session, by group.
//! - [`token`] encodes them, signed, for clients to carry between routers.
//! - [`FloorTable`] remembers them in bounded memory.
//! - [`snapshot`] saves that table over a restart.

mod config;
mod counts;
mod floor_table;
mod group_floors;
mod key;
mod request;
mod sessions;
pub mod snapshot;
pub mod token;

pub use config::{DefaultFloor, PlatformFloors, SessionConfig, TokenDelivery};
pub use counts::SessionCounts;
pub use floor_table::{FloorEntry, FloorTable, BUCKET_BYTES};
pub use group_floors::{GroupFloors, MAX_GROUPS};
pub use request::{ReadFloor, SessionRequest, TrackedRequest};
pub use sessions::Sessions;
