//! Routers that exchange messages with each other: which of them are alive, and limits that hold over all of
//! them while links fail. No clock and no I/O: datagrams come in with their time, datagrams go out.
//!
//! [`Fleet`] is one router's part and puts the modules together:
//!
//! - [`roster`] is the list of routers from the settings, [`limit`] what is limited, [`timing`] how long
//!   leases and loans are valid.
//! - [`packet`] and [`codec`] are the wire format, [`replay`] its replay protection, [`status`] the exchange
//!   with operators, [`hash`] what all routers must compute alike.
//! - [`swim`] says who is alive.
//! - [`lease`] says which router may use the quotas of each node, [`loan`] passes units on between two
//!   routers, [`ledger`] knows how many units there are until when. [`account`] puts them together for one
//!   limit; [`token_bucket`] and [`slots`] spend them.
//!
//! `docs/design/fleet.md` argues why the units in use never add up to more than a limit.

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
