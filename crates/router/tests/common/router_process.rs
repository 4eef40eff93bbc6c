//! Router processes with given limits.

use basalthill_standin::discovery::Discovery;
use basalthill_standin::host::Host;
use basalthill_standin::router_process::{write_unique_file, RouterOptions, RouterProcess};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::router_thread::primary_list;
use super::SETTINGS;

/// The limits of a router.
#[derive(Clone, Copy, Debug)]
pub struct RouterLimits {
    /// The memory that it may use, in MiB.
    pub memory_mb: u64,
    /// The number of file descriptors that it may use.
    pub sockets: usize,
}

/// Writes a configuration file and returns its path. `known` is the last known endpoint list or `null`.
pub fn write_router_config(
    known: &str,
    discovery: SocketAddr,
    limits: RouterLimits,
    settings: &str,
) -> PathBuf {
    let RouterLimits { memory_mb, sockets } = limits;
    let limits = format!(r#"{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}}"#);
    let text = format!(
        r#"{{"seed":"1","discovery":"{discovery}","limits":{limits},"known":{known},"settings":{settings}}}"#
    );
    write_unique_file(Path::new(env!("CARGO_TARGET_TMPDIR")), "router.json", &text).unwrap()
}

/// Starts a router with this configuration file.
pub fn start_router_process(name: &str, config: PathBuf, discovery: SocketAddr) -> RouterProcess {
    let program = env!("CARGO_BIN_EXE_basalthill").into();
    RouterProcess::start(name, RouterOptions { program, config, settings: None, discovery }).unwrap()
}

/// Starts a router with one primary, which discovery also lists.
pub fn start_router_for(host: &Host, limits: RouterLimits) -> RouterProcess {
    let known = primary_list(1, host.addr);
    let discovery = Discovery::start(known.clone()).unwrap();
    let config = write_router_config(&known, discovery.addr, limits, SETTINGS);
    start_router_process("n1", config, discovery.addr)
}
