//! Routing decisions for external proxies, handed out as leases. A proxy requests a decision and receives a
//! member and a lease. It sends the request to the member itself, and reports the outcome under the lease.
//! The crate has no clock and does no I/O: times are arguments, replies and events are results.
//!
//! - [`LeaseCoordinator`] is the state of one router's calls, from a proxy's call to its final reply.
//! - [`WriteRegistry`] records which non-idempotent writes have been assigned to a member, in bounded memory.
//! - [`LeaseTable`] holds the leases in use, and derives the status of an attempt from how its lease ended.
//! - [`InstanceOwners`] determines which of several instances decides a write.
//!
//! `docs/design/extproc.md` explains the design. No transport exists yet: nothing listens on sockets for such
//! proxies.

mod coordinator;
mod instance_owners;
mod lease_table;
mod messages;
mod write_id;
mod write_registry;

pub use coordinator::LeaseCoordinator;
pub use instance_owners::{InstanceList, InstanceOwners};
pub use lease_table::{EndedLease, IgnoredReports, Lease, LeaseId, LeaseOutcome, LeaseTable, StreamId};
pub use messages::{DecisionRequest, InvalidCallReason, LeaseUsage, Output, ProxyLimits, ProxyReply};
pub use write_id::WriteId;
pub use write_registry::{UnusableId, Verdict, WriteRegistry};
