//! A toy deployment to try the router with: a primary, two replicas and discovery on this machine.
//!
//!     cargo run --example toy -- serve [DISCOVERY [LAG]]
//!
//! It runs until interrupted. DISCOVERY is the address that discovery listens on; the default is the one in
//! `examples/router.json`. LAG is the lag of the replicas in milliseconds; the default is 5.

use basalthill_standin::discovery::{endpoint_list, Discovery};
use basalthill_standin::group::{Group, GroupBehavior, StaleRead};
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::process::ExitCode;

/// Address of discovery in `examples/router.json`.
const DEFAULT_DISCOVERY: &str = "127.0.0.1:6500";
/// Number of the group, as given in statements (`cluster=1`).
const GROUP: u32 = 1;
/// Number of members: the primary and its replicas.
const MEMBERS: usize = 3;
/// Default lag of the replicas: the time from a commit at the primary until a replica applies it, in
/// milliseconds.
const DEFAULT_LAG_MS: u64 = 5;

/// An error that prevented the deployment from starting.
#[derive(Debug, thiserror::Error)]
enum ToyError {
    #[error("usage: toy serve [DISCOVERY [LAG]]")]
    Usage,
    #[error("invalid address {text:?} of discovery: {error}")]
    Address { text: String, error: AddrParseError },
    #[error("invalid lag {text:?} in milliseconds: {error}")]
    Lag { text: String, error: ParseIntError },
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// The command-line arguments, with defaults for those that were not given.
struct Arguments {
    discovery: SocketAddr,
    lag_ms: u64,
}

impl Arguments {
    fn parse(words: &[String]) -> Result<Arguments, ToyError> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (discovery, lag_ms) = match words[..] {
            ["serve"] => (DEFAULT_DISCOVERY, DEFAULT_LAG_MS),
            ["serve", discovery] => (discovery, DEFAULT_LAG_MS),
            ["serve", discovery, lag] => (discovery, parse_lag(lag)?),
            _ => return Err(ToyError::Usage),
        };
        Ok(Arguments { discovery: parse_address(discovery)?, lag_ms })
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, ToyError> {
    text.parse().map_err(|error| ToyError::Address { text: text.into(), error })
}

fn parse_lag(text: &str) -> Result<u64, ToyError> {
    text.parse().map_err(|error| ToyError::Lag { text: text.into(), error })
}

/// Starts the deployment, prints the addresses of its members and of discovery, and keeps it running.
fn serve(arguments: &Arguments) -> Result<(), ToyError> {
    let behavior = GroupBehavior {
        lag_ms: arguments.lag_ms,
        stale_reads: StaleRead::Reject,
        annotated: false,
        ..GroupBehavior::default()
    };
    let group = Group::start(GROUP, MEMBERS, behavior)?;
    let members = group.members();
    for member in &members {
        let role = if member.rank == "source" { "primary" } else { "replica" };
        println!("{} at {}, {role}", member.id, member.addr);
    }
    let discovery = Discovery::start_at(arguments.discovery, endpoint_list(1, true, &members))?;
    println!("discovery at {}", discovery.addr);
    loop {
        std::thread::park();
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match Arguments::parse(&words).and_then(|arguments| serve(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("toy: {e}");
            ExitCode::FAILURE
        }
    }
}
