//! The routing decisions of basalthill, free of I/O: feed events in, carry the actions out.
pub mod api;
mod policy;
pub use policy::Policy;
