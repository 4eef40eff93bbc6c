//! A client that has closed its connection with requests unread has gone: none of them is sent to a host.

mod common;

use basalthill_standin::client::{query, Client};
use basalthill_standin::host::{Host, Response};
use common::router_process::{start_router_for, RouterLimits};
use common::router_thread::{primary_host, row, RouterThread};
use common::statement_text;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time that the host takes for each statement.
const STATEMENT_TIME: Duration = Duration::from_millis(120);
/// The time after a client's disconnect from which on nothing may be sent to a host for it, with the slack of
/// 50 ms that every time limit has.
const DISCONNECT_GRACE: Duration = Duration::from_millis(150);
/// The number of clients in a crowd, and how often each of them connects.
const CROWD: usize = 80;
const ROUNDS: usize = 3;
/// How long a departed client's requests are watched for.
const WATCH_TIME: Duration = Duration::from_millis(1500);

/// What a client sends at once before it closes its connection.
#[derive(Clone, Copy, Debug)]
struct Pipeline {
    /// The class of the requests.
    class: &'static str,
    /// The number of requests.
    count: usize,
    /// The length of the value of each write, in bytes.
    value_len: usize,
    /// The number of replies that the client waits for before it closes.
    awaited: usize,
}

impl Pipeline {
    /// Returns the statements, whose ids are `name` and their numbers.
    fn statements(self, name: &str) -> Vec<String> {
        let value = "9f".repeat(self.value_len);
        let statement = |n: usize| {
            statement_text(self.class, "")
                .replace("id=9b1f03aa5c7e2d41", &format!("id={name}-{n:04}"))
                .replace("d=480", "d=2900")
                .replace("9f03", &value)
        };
        (0..self.count).map(statement).collect()
    }
}

fn start_host() -> Host {
    primary_host(|_| {
        std::thread::sleep(STATEMENT_TIME);
        Response::Row(b"x".to_vec())
    })
}

/// Sends all statements, as far as the system accepts them, and closes the connection. Returns when.
fn send_and_close(addr: SocketAddr, pipeline: Pipeline, statements: &[String]) -> Instant {
    let mut client = Client::connect(addr).unwrap();
    let commands: Vec<u8> = statements.iter().flat_map(|statement| query(statement)).collect();
    client.stream.set_write_timeout(Some(Duration::from_millis(30))).unwrap();
    let _ = client.stream.write_all(&commands);
    for _ in 0..pipeline.awaited {
        assert_eq!(client.read_reply().unwrap(), row(b"x"), "{pipeline:?}");
    }
    drop(client);
    Instant::now()
}

/// Guards against a router that forwards the requests of a client that has left, which it finds in its
/// buffers or in the socket before it finds the end of the connection.
#[test]
fn unread_requests_of_a_client_that_closed_are_not_sent() {
    let pipeline = |class, count, value_len, awaited| Pipeline { class, count, value_len, awaited };
    for case in [
        pipeline("write", 40, 1, 0),
        pipeline("write", 12, 65_536, 0),
        pipeline("write", 12, 65_536, 2),
        pipeline("write", 100, 10_000, 1),
        pipeline("view", 60, 0, 0),
        pipeline("view", 6_000, 0, 0),
        pipeline("view", 6_000, 0, 3),
    ] {
        let host = start_host();
        let router = RouterThread::with_primary(&host);
        let closed_at = send_and_close(router.addr, case, &case.statements("gone"));
        std::thread::sleep(WATCH_TIME);
        let record = host.record.lock();
        let of_client = record.statements.iter().filter(|statement| statement.text.contains("id=gone"));
        let late = of_client.filter(|statement| statement.received_at > closed_at + DISCONNECT_GRACE);
        assert_eq!(late.count(), 0, "{case:?}: statements sent more than 150 ms after the close");
    }
}

/// Guards against a request that runs twice: once for a client that has left, and once for the same client on
/// its next connection.
#[test]
fn a_request_that_its_client_sends_again_after_it_left_runs_once() {
    for (count, value_len) in [(40, 1), (12, 65_536)] {
        let host = start_host();
        let router = RouterThread::with_primary(&host);
        let case = Pipeline { class: "write", count, value_len, awaited: 0 };
        let statements = case.statements("again");
        send_and_close(router.addr, case, &statements);
        let mut client = router.client();
        let last = statements.last().unwrap();
        assert_eq!(client.query(last).unwrap(), row(b"x"), "{case:?}");
        std::thread::sleep(WATCH_TIME);
        let id = format!("id=again-{:04}", count - 1);
        assert_eq!(host.statement_count(&id), 1, "{case:?}: runs of a request sent on two connections");
    }
}

/// Guards against a router that forwards requests of clients that have left while the requests wait in its
/// queue: the end of the connection is behind more bytes than the socket takes.
#[test]
fn requests_of_a_crowd_that_left_are_not_sent() {
    let limits = RouterLimits { memory_mb: 12, sockets: 512 };
    let host = start_host();
    let router = start_router_for(&host, limits);
    let addr = router.addr;
    let clients: Vec<_> = (0..CROWD)
        .map(|n| {
            std::thread::spawn(move || {
                let case = Pipeline { class: "write", count: 8, value_len: 65_536, awaited: 0 };
                (0..ROUNDS)
                    .map(|round| {
                        let name = format!("left{n:02}.{round}");
                        (name.clone(), send_and_close(addr, case, &case.statements(&name)))
                    })
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let closed: BTreeMap<String, Instant> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    std::thread::sleep(WATCH_TIME);
    let record = host.record.lock();
    let mut delays = Vec::new();
    for statement in &record.statements {
        let Some(name) = statement.text.split("id=left").nth(1).map(|rest| format!("left{}", &rest[..4]))
        else {
            continue;
        };
        delays.push(statement.received_at.saturating_duration_since(closed[&name]));
    }
    delays.retain(|delay| *delay > DISCONNECT_GRACE);
    assert!(delays.is_empty(), "statements sent after their clients had closed for this long: {delays:?}");
}
