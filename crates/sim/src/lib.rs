//! The simulator's adapter of basalthill: frames in, decisions, frames out.

pub mod adapter;
mod router;
pub mod wire;
