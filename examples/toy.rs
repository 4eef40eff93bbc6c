//! A toy deployment to try the router with: one primary, two replicas and discovery on this machine, and a
//! client.
//!
//!     cargo run --example toy -- serve [DISCOVERY]         the deployment, until interrupted
//!     cargo run --example toy -- ask STATEMENT [ROUTER]    one statement to the router
//!
//! The addresses are those of `examples/router.json` unless given.

use basalthill_standin::client::{Answer, Client};
use basalthill_standin::discovery::{list, Discovery};
use basalthill_standin::host::{Host, Reply, Telling};
use basalthill_standin::unix_ms;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

const ROUTER: &str = "127.0.0.1:6432";
const DISCOVERY: &str = "127.0.0.1:6500";
const GROUP: u32 = 1;
/// How long a replica takes to apply what was written.
const LAG_MS: u64 = 5;

type Log = Arc<Mutex<BTreeMap<String, Vec<(u64, Vec<u8>)>>>>;

/// The literals of a statement, without their quotes.
fn literals(statement: &str) -> Vec<&str> {
    let before = statement.split("/*").next().unwrap_or_default();
    before.split('\'').skip(1).step_by(2).collect()
}

fn bytes(literal: &str) -> Vec<u8> {
    let Some(hex) = literal.strip_prefix("\\x") else { return literal.as_bytes().to_vec() };
    (0..hex.len() / 2).filter_map(|i| u8::from_str_radix(hex.get(2 * i..2 * i + 2)?, 16).ok()).collect()
}

fn serve(log: &Log, primary: bool, statement: &str) -> (Reply, Telling) {
    let now = unix_ms();
    let position = if primary { now } else { now - LAG_MS };
    let rank = if primary { "source" } else { "copy" };
    let telling = vec![("rank", rank.to_string()), ("as_of", position.to_string())];
    let Ok(mut log) = log.lock() else { return (Reply::Error("XX000"), telling) };
    let reply = match (statement, &literals(statement)[..]) {
        ("SHOW vitals", _) => {
            let seconds = position as f64 / 1000.0;
            Reply::Row(format!("x0={seconds:.3},x1={}", u8::from(primary)).into_bytes())
        }
        (_, [key, value]) if primary => {
            let value = bytes(value);
            log.entry(key.to_string()).or_default().push((now, value.clone()));
            Reply::Row(value)
        }
        (_, [_, _]) => Reply::Error("25006"),
        (_, [key]) => {
            let known = log.get(*key).into_iter().flatten().rev().find(|(written, _)| *written <= position);
            Reply::Row(known.map(|(_, value)| value.clone()).unwrap_or_default())
        }
        _ => Reply::Error("08P01"),
    };
    (reply, telling)
}

fn deployment(discovery: SocketAddr) -> std::io::Result<()> {
    let log = Log::default();
    let mut members = Vec::new();
    for (n, name) in ["toy-a", "toy-b", "toy-c"].into_iter().enumerate() {
        let (primary, log) = (n == 0, Arc::clone(&log));
        let addr = Host::start(move |statement| serve(&log, primary, statement))?.addr;
        members.push((name, addr, GROUP, "active", if primary { "source" } else { "copy" }));
        println!("{name} at {addr}, {}", if primary { "primary" } else { "replica" });
    }
    let discovery = Discovery::start_at(discovery, list(1, true, &members))?;
    println!("discovery at {}", discovery.addr);
    loop {
        std::thread::park();
    }
}

fn ask(statement: &str, router: SocketAddr) -> std::io::Result<()> {
    match Client::connect(router)?.ask(statement)? {
        Answer::Row(value) => println!("served: {}", String::from_utf8_lossy(&value)),
        Answer::Empty => println!("ready"),
        Answer::Error(code, None) => println!("error {code}"),
        Answer::Error(code, Some(detail)) => println!("error {code}, come back in {detail} ms"),
    }
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let address = |at: &str| at.parse().map_err(|e| std::io::Error::other(format!("{at}: {e}")));
    let done = match words[..] {
        ["serve"] => address(DISCOVERY).and_then(deployment),
        ["serve", discovery] => address(discovery).and_then(deployment),
        ["ask", statement] => address(ROUTER).and_then(|router| ask(statement, router)),
        ["ask", statement, router] => address(router).and_then(|router| ask(statement, router)),
        _ => Err(std::io::Error::other("usage: toy serve [DISCOVERY] | ask STATEMENT [ROUTER]")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("toy: {e}");
            ExitCode::FAILURE
        }
    }
}
