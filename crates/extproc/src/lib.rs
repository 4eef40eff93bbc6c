//! Decisions as leases for other proxies. No clock and no I/O: times come in, verdicts go out.
//!
//! [`decided`] knows which unsafe writes have had their decision, in bounded memory and by the ids' own
//! times; [`lease`] keeps what is out, and says what each end of it proves; [`owner`] says which of several
//! instances decides an id. `docs/design/extproc.md` argues why. The front on sockets is still to come.
pub mod decided;
pub mod desk;
pub mod id;
pub mod lease;
pub mod owner;

pub use decided::{Decided, Verdict};
pub use desk::{
    DecisionRequest, LeaseCoordinator, LeaseUsage, Output, ProxyLimits, ProxyReply, RejectReason,
};
pub use id::WriteId;
pub use lease::{LeaseId, LeaseOutcome, Leases, StreamId};
pub use owner::{Owners, Roster};
