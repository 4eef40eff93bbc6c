//! System calls that fail transiently, because a signal interrupts them or because buffers, memory or
//! descriptors are exhausted. Such a failure must not close a connection, count as a fault of a member or
//! stop the router. Also covers the system clock, which may be set while the router runs.

mod common;

use basalthill_standin::client::{Client, Reply};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::group::GroupBehavior;
use basalthill_standin::host::{Host, Response};
use basalthill_standin::router_process::{write_unique_file, RouterOptions, RouterProcess};
use basalthill_standin::{unix_ms, SETTINGS, TIMEOUT};
use common::shim::{build_library, program_with_failing_calls, wrapper_script, TEST_DIR};
use std::fs::OpenOptions;
use std::net::TcpStream;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn read_statement(n: usize) -> String {
    format!("SELECT v FROM records WHERE k = 'a{n}' /* id=a{n},c=view,t=acme,d=900,cluster=2 */")
}

/// Asserts that requests, sent one by one and pipelined, are served by a router whose system calls fail, and
/// that the router then reloads its configuration and shuts down gracefully.
fn assert_all_requests_are_served(calls: &[(&str, i32, u32)]) {
    let mut deployment = Deployment::start(
        &program_with_failing_calls(calls),
        Path::new(TEST_DIR),
        1,
        GroupBehavior::default(),
        None,
    )
    .unwrap();
    let addr = deployment.routers[0].addr;
    for n in 0..20 {
        let mut client = Client::connect(addr).unwrap();
        let statements = [10 * n, 10 * n + 1, 10 * n + 2].map(read_statement);
        assert!(matches!(client.query(&statements[0]), Ok(Reply::Row(_))), "{calls:?}, client {n}");
        statements[1..].iter().for_each(|text| client.send(text).unwrap());
        for _ in 1..statements.len() {
            assert!(matches!(client.read_reply(), Ok(Reply::Row(_))), "{calls:?}, client {n}, pipelined");
        }
    }
    let router = &mut deployment.routers[0];
    router.signal("HUP").unwrap();
    assert!(router.wait_for_log("configuration: read again").is_some(), "{calls:?}");
    assert!(
        matches!(Client::connect(addr).unwrap().query(&read_statement(900)), Ok(Reply::Row(_))),
        "{calls:?}"
    );
    router.signal("TERM").unwrap();
    assert_eq!(router.wait_for_exit().unwrap().code(), Some(0), "{calls:?}");
}

#[test]
fn interrupted_system_calls_lose_no_request() {
    let calls = ["read", "recv", "send", "writev", "accept4"];
    assert_all_requests_are_served(&calls.map(|name| (name, libc::EINTR, 3)));
}

#[test]
fn system_calls_that_lack_memory_or_buffers_lose_no_request() {
    let (memory, buffers) = (libc::ENOMEM, libc::ENOBUFS);
    assert_all_requests_are_served(&[
        ("recv", memory, 7),
        ("send", buffers, 7),
        ("writev", buffers, 7),
        ("accept4", memory, 3),
    ]);
}

/// Clients occupy descriptors until the process reaches the system's limit, which is below the descriptor
/// budget that the router is configured with; then the clients disconnect.
#[test]
fn descriptor_exhaustion_delays_a_request_and_is_no_fault_of_a_member() {
    let deployment = Deployment::start(
        &wrapper_script("ulimit -n 64"),
        Path::new(TEST_DIR),
        1,
        GroupBehavior::default(),
        None,
    )
    .unwrap();
    let router = &deployment.routers[0];
    let (mut waiting, mut other) =
        (Client::connect(router.addr).unwrap(), Client::connect(router.addr).unwrap());
    assert!(waiting.query("").is_ok());
    // More connections than the limit: the router closes idle connections to members to accept them.
    let idle_clients: Vec<_> = (0..80).map(|_| TcpStream::connect(router.addr).unwrap()).collect();
    // The router serves another client for 300 ms, which is as long as several attempts and health checks
    // would take.
    let mut serve_others = || {
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(300) {
            assert!(other.query("").is_ok());
        }
    };
    serve_others();
    assert!(router.descriptors().unwrap() >= 64, "the router has not reached the limit of 64 descriptors");
    let write = "INSERT INTO records (k, v) VALUES ('a', '\\x01') RETURNING v";
    waiting.send(&format!("{write} /* id=a1,c=write,t=acme,d=1500,cluster=2 */")).unwrap();
    serve_others();
    drop(idle_clients);
    let reply = waiting.read_reply();
    assert!(matches!(reply, Ok(Reply::Row(_))), "{reply:?}");
}

/// Sets the clock of a running router, which has mapped the file at `clock_offset`, ahead by `ahead_ms`. The
/// file is overwritten in place: `std::fs::write` would truncate it first, and the router would be killed by
/// SIGBUS if it read its clock while the file is empty.
fn set_clock_ahead(clock_offset: &Path, ahead_ms: i64) {
    let file = OpenOptions::new().write(true).open(clock_offset).unwrap();
    file.write_all_at(&ahead_ms.to_ne_bytes(), 0).unwrap();
}

/// Starts a router while the system clock is ahead by `ahead_ms` (behind if negative), and then corrects the
/// clock. Asserts that a replica that lags by 0.8 s serves no reads with a staleness bound of 0.5 s until it
/// has caught up. (The replica is not ejected, since that requires a lag of 1 s.)
fn assert_reads_stay_fresh_after_clock_set(ahead_ms: i64) {
    let clock_offset = write_unique_file(Path::new(TEST_DIR), "clock-ahead", "").unwrap();
    std::fs::write(&clock_offset, ahead_ms.to_ne_bytes()).unwrap();
    let commands = format!(
        "export CLOCK_AHEAD_FILE={} LD_PRELOAD={}",
        clock_offset.display(),
        build_library().display()
    );
    let lag = Arc::new(AtomicU64::new(800));
    let host = |name: &'static str, rank: &'static str, lag: Arc<AtomicU64>| {
        let respond = move |text: &str| {
            let as_of = unix_ms() - lag.load(Ordering::SeqCst);
            let vitals = format!("x0={},x1={}", as_of as f64 / 1000.0, u8::from(rank == "source"));
            let value = if text == "SHOW vitals" { vitals } else { name.into() };
            (Response::Row(value.into_bytes()), vec![("rank", rank.into()), ("as_of", as_of.to_string())])
        };
        Host::start(respond).unwrap()
    };
    let (first, second) = (host("first", "source", Arc::default()), host("second", "copy", Arc::clone(&lag)));
    let known = endpoint_list(
        1,
        true,
        &[
            Endpoint::new("s-1", first.addr, 2, "active", "source"),
            Endpoint::new("s-2", second.addr, 2, "active", "copy"),
        ],
    );
    let discovery = Discovery::start(known.clone()).unwrap();
    let settings = SETTINGS.replace("\"await\"", "\"none\"").replace("[3000000000", "[500000000");
    let text = format!(r#"{{"seed":"1","known":{known},"settings":{settings}}}"#);
    let options = RouterOptions {
        program: wrapper_script(&commands),
        config: write_unique_file(Path::new(TEST_DIR), "router.json", &text).unwrap(),
        settings: None,
        discovery: discovery.addr,
    };
    let router = RouterProcess::start("n1", options).unwrap();
    let mut client = Client::connect(router.addr).unwrap();
    assert!(matches!(client.query(&read_statement(0)), Ok(Reply::Row(_))));
    set_clock_ahead(&clock_offset, 0);
    for n in 1..40 {
        assert_eq!(
            client.query(&read_statement(n)).unwrap(),
            Reply::Row(b"first".to_vec()),
            "read {n}, clock ahead by {ahead_ms} ms before"
        );
    }
    // The replica has caught up, which a health check detects.
    lag.store(0, Ordering::SeqCst);
    let until = Instant::now() + TIMEOUT;
    for n in 100.. {
        match client.query(&read_statement(n)).unwrap() {
            Reply::Row(value) if value == b"second" => break,
            other => assert!(Instant::now() < until, "{other:?}"),
        }
    }
}

#[test]
fn reads_keep_their_staleness_bound_after_a_clock_that_was_behind_is_corrected() {
    assert_reads_stay_fresh_after_clock_set(-10_000);
}

#[test]
fn replicas_serve_again_after_a_clock_that_was_ahead_is_corrected() {
    assert_reads_stay_fresh_after_clock_set(10_000);
}
