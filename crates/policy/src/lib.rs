//! The routing decisions of basalthill, without I/O: feed events in, carry the actions out.
//!
//! [`Policy`] decides for one router; [`api`] is its interface. `docs/design.md` explains the decisions.

pub mod api;
mod policy;

pub use policy::Policy;
