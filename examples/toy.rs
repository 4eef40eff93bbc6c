//! A toy deployment to try the router with: one primary, two replicas and discovery on this machine.
//!
//!     cargo run --example toy -- serve [DISCOVERY [LAG]]
//!
//! It goes on until interrupted. Discovery's address is that of `examples/router.json` unless given; replicas
//! follow LAG milliseconds behind.

use basalthill_standin::discovery::{endpoint_list, Discovery};
use basalthill_standin::group::{Group, GroupBehavior, StaleRead};
use std::net::SocketAddr;
use std::process::ExitCode;

const DISCOVERY: &str = "127.0.0.1:6500";
const GROUP: u32 = 1;
/// How long a replica takes to apply what was written.
const LAG_MS: u64 = 5;

fn deployment(discovery: SocketAddr, lag_ms: u64) -> std::io::Result<()> {
    let manner = GroupBehavior {
        lag_ms,
        stale_reads: StaleRead::Reject,
        annotated: false,
        ..GroupBehavior::default()
    };
    let group = Group::start(GROUP, 3, manner)?;
    let members = group.members();
    for member in &members {
        let role = if member.rank == "source" { "primary" } else { "replica" };
        println!("{} at {}, {role}", member.id, member.addr);
    }
    let discovery = Discovery::start_at(discovery, endpoint_list(1, true, &members))?;
    println!("discovery at {}", discovery.addr);
    loop {
        std::thread::park();
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let address = |at: &str| at.parse().map_err(|e| std::io::Error::other(format!("{at}: {e}")));
    let done = match words[..] {
        ["serve"] => address(DISCOVERY).and_then(|discovery| deployment(discovery, LAG_MS)),
        ["serve", discovery] => address(discovery).and_then(|discovery| deployment(discovery, LAG_MS)),
        ["serve", discovery, lag] => {
            let lag = lag.parse().map_err(|e| std::io::Error::other(format!("{lag}: {e}")));
            lag.and_then(|lag| deployment(address(discovery)?, lag))
        }
        _ => Err(std::io::Error::other("usage: toy serve [DISCOVERY [LAG]]")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("toy: {e}");
            ExitCode::FAILURE
        }
    }
}
