//! What can go wrong when stand-ins and router processes are started and controlled.

use std::io;

/// A failure of a stand-in or of a router process that it controls.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// A socket, file or process call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A router process did not log the address that it listens on within [`crate::TIMEOUT`].
    #[error("router {name} does not listen")]
    NotListening {
        /// The router's name.
        name: String,
    },
    /// A router process did not log the address of its fleet socket within [`crate::TIMEOUT`].
    #[error("router {index} has no socket for its fleet")]
    NoFleetSocket {
        /// The router's index in its harness.
        index: usize,
    },
    /// `kill` could not deliver a signal.
    #[error("signal {signal} did not reach process {pid}")]
    SignalNotDelivered {
        /// The signal's name without `SIG`.
        signal: String,
        /// The process's id.
        pid: u32,
    },
    /// `basalthill fleet` ended with a failure.
    #[error("`basalthill fleet` failed: {stderr}")]
    StatusCommandFailed {
        /// What it wrote to standard error.
        stderr: String,
    },
}
