//! Decisions for other proxies, as leases: a proxy requests a decision, gets a member and a lease, sends the
//! request itself and reports the outcome. The crate has no clock and does no I/O: times are arguments,
//! replies and events are results.
//!
//! - [`LeaseCoordinator`] is the state of one router, from a proxy's call to its final reply.
//! - [`WriteRegistry`] knows which non-idempotent writes have had their decision, in bounded memory.
//! - [`LeaseTable`] has the leases in use, and knows what each way of ending one proves.
//! - [`InstanceOwners`] says which of several instances decides a write.
//!
//! `docs/design/extproc.md` argues why. Nothing listens on sockets for such proxies yet.

mod coordinator;
mod instance_owners;
mod lease_table;
mod messages;
mod write_id;
mod write_registry;

pub use coordinator::LeaseCoordinator;
pub use instance_owners::{InstanceList, InstanceOwners};
pub use lease_table::{EndedLease, Lease, LeaseId, LeaseOutcome, LeaseTable, StrayReports, StreamId};
pub use messages::{DecisionRequest, LeaseUsage, Output, ProxyLimits, ProxyReply, RejectReason};
pub use write_id::WriteId;
pub use write_registry::{UnusableId, Verdict, WriteRegistry};
