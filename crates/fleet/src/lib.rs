//! A fleet of routers that exchange messages: membership, and limits that hold over all routers even when
//! links between them fail. The crate uses no clock and does no I/O: the caller passes in received datagrams
//! with their time, and sends the datagrams that the crate returns.
//!
//! [`Fleet`] is the state of one router of the fleet and combines the modules:
//!
//! - [`roster`] is the list of routers from the settings, [`limit`] defines the limits, and [`timing`] how
//!   long leases and loans are valid.
//! - [`packet`] and [`codec`] define the wire format, [`replay`] its replay protection, [`status`] the status
//!   request of operators, and [`hash`] the hash functions that all routers must compute alike.
//! - [`swim`] determines which routers are alive.
//! - [`lease`] decides which router may use the quota of each owner, [`loan`] transfers units between two
//!   routers, and [`ledger`] records how many units a router has, and until when. [`account`] combines them
//!   for one limit; [`token_bucket`] and [`slots`] spend the units.
//!
//! `docs/design/fleet.md` explains why the units in use never exceed a limit.

pub mod account;
pub mod codec;
pub mod fleet;
pub mod hash;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod loan;
pub mod packet;
pub mod replay;
pub mod roster;
pub mod slots;
pub mod status;
pub mod swim;
pub mod timing;
pub mod token_bucket;

pub use account::Availability;
pub use codec::{DatagramCodec, DropReason};
pub use fleet::{Effect, Fleet, FleetConfig};
pub use limit::{Bounds, Budget, Limit, LimitKey, Subject};
pub use roster::{NodeId, Peer, Roster, RosterError};
pub use timing::Timing;
