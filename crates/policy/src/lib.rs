//! The routing decisions of basalthill, without I/O: the caller passes events in and executes the returned
//! actions.
//!
//! [`Policy`] makes the decisions of one router; [`api`] is its interface. `docs/design.md` explains them.

pub mod api;
mod policy;

pub use policy::Policy;
