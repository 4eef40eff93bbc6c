//! The bench adapter of basalthill: frames in, decisions, frames out.
pub mod wire;
