//! Calls to the router's own system that fail for a moment: interrupted by signals, short of buffers or of
//! descriptors. They are no end of a connection, no failure of a member, and no signal to stop.

use basalthill_standin::client::{Answer, Client};
use basalthill_standin::fleet::{file, World};
use basalthill_standin::group::Manner;
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// A script that starts the program after some lines of its own.
fn program(lines: &str) -> PathBuf {
    let text = format!("#!/bin/sh\n{lines}\nexec {} \"$@\"\n", env!("CARGO_BIN_EXE_basalthill"));
    let path = file(Path::new(FOLDER), "program.sh", &text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

/// The same with calls that fail: name, error, and one in how many.
fn failing(calls: &[(&str, i32, u32)]) -> PathBuf {
    let library = file(Path::new(FOLDER), "local_calls.so", "").unwrap();
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/local_calls.c");
    let mut build = Command::new("cc");
    build.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).arg("-ldl");
    assert!(build.status().unwrap().success(), "the library is built");
    let calls: String = calls.iter().map(|(name, error, every)| format!(" {name}={error}/{every}")).collect();
    program(&format!("export LOCAL_CALLS='{calls}' LD_PRELOAD={}", library.display()))
}

fn read(n: usize) -> String {
    format!("SELECT v FROM records WHERE k = 'a{n}' /* id=a{n},c=view,t=acme,d=900,cluster=2 */")
}

/// Clients ask one after the other and many at once, through a router whose calls fail; it reads its file
/// again, and stops in order.
fn serves_all(calls: &[(&str, i32, u32)]) {
    let mut world = World::start(&failing(calls), Path::new(FOLDER), 1, Manner::default(), None).unwrap();
    let addr = world.routers[0].addr;
    for n in 0..20 {
        let mut client = Client::connect(addr).unwrap();
        let asked = [10 * n, 10 * n + 1, 10 * n + 2].map(read);
        assert!(matches!(client.ask(&asked[0]), Ok(Answer::Row(_))), "{calls:?}, client {n}");
        asked[1..].iter().for_each(|text| client.send(text).unwrap());
        for _ in 1..asked.len() {
            assert!(matches!(client.answer(), Ok(Answer::Row(_))), "{calls:?}, client {n}, in a row");
        }
    }
    let router = &mut world.routers[0];
    router.signal("HUP").unwrap();
    assert!(router.said("configuration: read again").is_some(), "{calls:?}");
    assert!(matches!(Client::connect(addr).unwrap().ask(&read(900)), Ok(Answer::Row(_))), "{calls:?}");
    router.signal("TERM").unwrap();
    assert_eq!(router.exits().unwrap().code(), Some(0), "{calls:?}");
}

#[test]
fn calls_that_signals_interrupt_lose_no_request() {
    let calls = ["read", "recv", "send", "writev", "accept4"];
    serves_all(&calls.map(|name| (name, libc::EINTR, 3)));
}

#[test]
fn calls_that_want_for_buffers_lose_no_request() {
    let (memory, buffers) = (libc::ENOMEM, libc::ENOBUFS);
    serves_all(&[("recv", memory, 7), ("send", buffers, 7), ("writev", buffers, 7), ("accept4", memory, 3)]);
}

/// Its descriptors end before its own count of them does, as clients hold them; then they leave.
#[test]
fn a_want_of_descriptors_is_waited_out_and_no_failure_of_a_member() {
    let world =
        World::start(&program("ulimit -n 64"), Path::new(FOLDER), 1, Manner::default(), None).unwrap();
    let router = &world.routers[0];
    let (mut asking, mut other) =
        (Client::connect(router.addr).unwrap(), Client::connect(router.addr).unwrap());
    assert!(asking.ask("").is_ok());
    // More than fit: what idles towards members makes room for them.
    let crowd: Vec<_> = (0..80).map(|_| TcpStream::connect(router.addr).unwrap()).collect();
    // The router goes on serving meanwhile, as long as several attempts and probes would take.
    let mut serve_others = || {
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(300) {
            assert!(other.ask("").is_ok());
        }
    };
    serve_others();
    assert!(router.descriptors().unwrap() >= 64);
    let write = "INSERT INTO records (k, v) VALUES ('a', '\\x01') RETURNING v";
    asking.send(&format!("{write} /* id=a1,c=write,t=acme,d=1500,cluster=2 */")).unwrap();
    serve_others();
    drop(crowd);
    let answer = asking.answer();
    assert!(matches!(answer, Ok(Answer::Row(_))), "{answer:?}");
}
