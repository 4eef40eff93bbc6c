//! Errors of starting and controlling stand-ins and router processes.

use std::io;

/// An error of a stand-in, or of a router process that it controls.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// A system call on a socket, file or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A router process did not log the address that it listens on within [`crate::TIMEOUT`].
    #[error("router {name} did not log the address that it listens on within {:?}", crate::TIMEOUT)]
    NotListening {
        /// Name of the router.
        name: String,
    },
    /// A router process did not log the address of its fleet socket within [`crate::TIMEOUT`].
    #[error("router {index} did not log the address of its fleet socket within {:?}", crate::TIMEOUT)]
    NoFleetSocket {
        /// Index of the router in its harness.
        index: usize,
    },
    /// `kill` could not send a signal.
    #[error("can't send signal {signal} to process {pid}")]
    SignalNotDelivered {
        /// Name of the signal, without `SIG`.
        signal: String,
        /// Id of the process.
        pid: u32,
    },
    /// `basalthill fleet` exited with a failure.
    #[error("`basalthill fleet` failed: {stderr}")]
    StatusCommandFailed {
        /// Output of the command to standard error.
        stderr: String,
    },
}
