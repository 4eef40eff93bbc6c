//! What is known of a session, turned into the floor that goes to the decisions with each of its reads: the
//! position that the answer must see at least. No clock and no I/O: times come in, floors and tokens go out.
//!
//! [`Sessions`] belongs to one router. [`floors`] holds positions by group, [`token`] carries them through a
//! client's hands, [`book`] remembers them in bounded memory, [`snapshot`] carries the book over a restart.
//! Positions are commit times: Unix times in nanoseconds, as hosts tell them. `docs/design/sessions.md`
//! argues why each floor is sound.
pub mod book;
pub mod counts;
pub mod floors;
pub mod sessions;
pub mod snapshot;
pub mod token;

pub use book::{FloorEntry, FloorTable, BUCKET_BYTES};
pub use counts::SessionCounts;
pub use floors::GroupFloors;
pub use sessions::{
    DefaultFloor, PlatformFloors, ReadFloor, SessionConfig, SessionRequest, Sessions, TokenDelivery,
    TrackedRequest,
};
