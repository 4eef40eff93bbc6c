//! Routers that talk to each other: who is there, and limits that hold over all of them while links fail.
//! No clock and no I/O: datagrams come in with their time, datagrams go out.
//!
//! [`Fleet`] belongs to one router and puts the parts together. [`names`] is the list of routers that the
//! settings give, [`seal`] and [`packet`] are what goes over the wire, [`swim`] says who is alive. Rights
//! to a limit: [`lease`] says whose the share of each name is, [`loan`] passes rights on between two
//! routers, [`ledger`] knows how many are there until when, [`account`] puts them together for one limit,
//! and [`meter`] spends them. `docs/design/fleet.md` argues why they never add up to more than the limit.
pub mod account;
pub mod fleet;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod loan;
pub mod meter;
pub mod names;
pub mod packet;
pub mod seal;
pub mod status;
pub mod swim;
pub mod times;

pub use fleet::{Availability, Effect, Fleet, FleetConfig};
pub use limit::{Bounds, Budget, Limit, LimitKey, Subject};
pub use names::{NodeId, Peer, Roster, RosterError};
pub use seal::{DatagramCodec, DropReason};
pub use times::Timing;
