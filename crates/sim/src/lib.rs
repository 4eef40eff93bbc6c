//! Adapter that runs basalthill's routing policy in a simulator. It reads binary frames of events and answers
//! each with a frame of actions.

pub mod adapter;
mod router;
pub mod wire;
