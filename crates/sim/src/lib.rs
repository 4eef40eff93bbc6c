//! Adapter that runs basalthill's routing policy in a simulator. It reads binary frames of events and replies
//! to each with the resulting actions.

pub mod adapter;
pub mod router;
pub mod wire;
