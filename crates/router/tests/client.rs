//! The client library against router processes: restarted routers, lost replies, cancelled requests.

use basalthill_client::{
    AttemptOutcome, Client, Config, Idempotency, Request, RequestOutcome, Runtime, Session,
};
use basalthill_standin::client::{Client as PlainClient, Message};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use futures_lite::future::{self, block_on};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Local settings of the routers, which enable close notices and session tokens.
const SETTINGS: &str = r#"clients {
    farewell #true
}
sessions floor="nothing" {
    tokens with="writes" early=#true {
        key 1 "00112233445566778899aabbccddeeff" signs=#true
    }
}
"#;

fn deployment(routers: usize, behavior: GroupBehavior) -> Deployment {
    let program = Path::new(env!("CARGO_BIN_EXE_basalthill"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    Deployment::start(program, directory, routers, behavior, Some(SETTINGS)).unwrap()
}

fn router_addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.routers.iter().map(|router| router.addr).collect()
}

fn write(key: &str, value: &str) -> Request {
    Request::write("write", 2, key, value.as_bytes()).tenant("acme").timeout(900 * MS)
}

fn read(key: &str) -> Request {
    Request::read("own", 2, key).tenant("acme")
}

/// Returns the value of a served request without the suffix that the stand-in appends to it.
fn value(outcome: &RequestOutcome) -> String {
    let RequestOutcome::Served(Some(value)) = outcome else { panic!("{outcome:?}") };
    String::from_utf8_lossy(value).split('@').next().unwrap_or_default().to_string()
}

/// Waits for a future until `limit` has elapsed; then drops the future and returns `None`.
fn wait_or_drop<T>(future: impl Future<Output = T>, limit: Duration) -> Option<T> {
    let timeout = async {
        async_io::Timer::after(limit).await;
        None
    };
    block_on(future::or(async { Some(future.await) }, timeout))
}

#[test]
fn session_reads_its_own_writes_through_any_router() {
    let deployment = deployment(2, GroupBehavior { lag_ms: 300, ..GroupBehavior::default() });
    let client = Client::start(Config::new(router_addresses(&deployment))).unwrap();
    let session = Session::new("anne").unwrap();
    for n in 0..5 {
        let written = client.execute_blocking(write("k", &n.to_string()).session(&session));
        assert_eq!(value(&written.outcome), n.to_string(), "{written:?}");
        let seen = client.execute_blocking(read("k").session(&session));
        assert_eq!(value(&seen.outcome), n.to_string());
    }
    // A second client imports the session, as another process would.
    let imported = Session::import(&session.export()).unwrap();
    let other = Client::start(Config::new(router_addresses(&deployment))).unwrap();
    let seen = other.execute_blocking(read("k").session(&imported));
    assert_eq!(value(&seen.outcome), "4");
    let unknown_class = other.execute_blocking(Request::read("nothing", 2, "k"));
    let outcome = &unknown_class.outcome;
    assert!(matches!(outcome, RequestOutcome::Invalid(error) if error.code() == "22023"), "{outcome:?}");
}

/// A write of the restart test.
#[derive(Debug)]
struct WriteResult {
    key: String,
    value: String,
    /// `None` if the write was cancelled before its outcome was known.
    outcome: Option<RequestOutcome>,
}

/// Writes 150 distinct values to a key that no other client writes to. One write in ten, at random, is
/// cancelled if it has no outcome after a random time of less than 9 ms.
fn write_values(client: &Client, number: u64) -> Vec<WriteResult> {
    let mut rng = fastrand::Rng::with_seed(number);
    let key = format!("c{number}");
    let write_value = |n| {
        let value = format!("{number}-{n}");
        let request = write(&key, &value);
        let outcome = if rng.u64(..10) == 0 {
            let limit = Duration::from_micros(rng.u64(..9000));
            wait_or_drop(client.execute(request), limit).map(|report| report.outcome)
        } else {
            Some(client.execute_blocking(request).outcome)
        };
        WriteResult { key: key.clone(), value, outcome }
    };
    (0..150).map(write_value).collect()
}

#[test]
fn no_write_runs_twice_and_reported_outcomes_are_correct_while_routers_restart() {
    let behavior = GroupBehavior { write_delays: [3 * MS, 3 * MS], ..GroupBehavior::default() };
    let mut deployment = deployment(3, behavior);
    let runtime = Runtime::start().unwrap();
    let addresses = router_addresses(&deployment);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for number in 0..30 {
            let client = runtime.client(Config { seed: number, ..Config::new(addresses.clone()) });
            let results = &results;
            scope.spawn(move || {
                let written = write_values(&client, number);
                results.lock().unwrap().extend(written);
            });
        }
        for n in 0..20 {
            std::thread::sleep(50 * MS);
            match n % 7 {
                0 => deployment.routers[1].stop_and_restart().unwrap(),
                k => deployment.routers[k % 3].kill_and_restart().unwrap(),
            }
        }
    });
    // The hosts need some time to complete the writes in progress.
    std::thread::sleep(100 * MS);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for result in results.into_inner().unwrap() {
        let committed = deployment.group.committed_values(&result.key);
        let runs = committed.iter().filter(|value| **value == result.value).count();
        assert!(runs <= 1, "ran {runs} times: {result:?}");
        match &result.outcome {
            Some(RequestOutcome::Served(_)) => assert_eq!(runs, 1, "{result:?}"),
            Some(RequestOutcome::MayHaveRun) | None => {}
            Some(_) => assert_eq!(runs, 0, "{result:?}"),
        }
        let name = result.outcome.map_or("cancelled".into(), |outcome| format!("{outcome:?}"));
        let variant = name.split('(').next().unwrap_or_default();
        *counts.entry(variant.to_string()).or_default() += 1;
    }
    println!("{counts:?}");
    assert!(counts["Served"] > 1000 && counts.contains_key("MayHaveRun"), "{counts:?}");
}

#[test]
fn cancelled_requests_leave_no_state_in_the_client() {
    let deployment = deployment(2, GroupBehavior { read_delay: 5 * MS, ..GroupBehavior::default() });
    let config = Config { max_connections_per_router: 64, ..Config::new(router_addresses(&deployment)) };
    let client = Client::start(config).unwrap();
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..4 {
        let request = |n| read(&format!("k{n}")).timeout(800 * MS);
        let in_flight: Vec<_> = (0..1000).map(|n| client.execute(request(n))).collect();
        for execution in in_flight {
            match rng.u64(..3) {
                0 => drop(execution),
                1 => drop(wait_or_drop(execution, Duration::from_micros(rng.u64(..500)))),
                _ => drop(block_on(execution)),
            }
        }
    }
    let sizes = block_on(client.table_sizes());
    assert_eq!(sizes.requests, 0);
    assert!(sizes.connections <= 128 && sizes.timeouts <= sizes.connections, "{sizes:?}");
    // The client closes idle connections before the router's idle timeout would.
    let started_at = Instant::now();
    loop {
        let sizes = block_on(client.table_sizes());
        if sizes.connections == 0 {
            assert_eq!((sizes.requests, sizes.timeouts), (0, 0));
            break;
        }
        assert!(started_at.elapsed() < 4000 * MS, "idle connections are still open after 4 s: {sizes:?}");
        std::thread::sleep(20 * MS);
    }
    let report = client.execute_blocking(read("k"));
    assert!(matches!(report.outcome, RequestOutcome::Served(_)), "the client still works: {report:?}");
}

/// Calls `call`. Returns its result, and the longest time by which another thread of this process slept too
/// long during the call. That time is a measure of how long the machine delayed the process.
fn measure_oversleep<T>(call: impl FnOnce() -> T) -> (T, Duration) {
    const SLEEP: Duration = Duration::from_millis(5);
    let ended_at = OnceLock::new();
    std::thread::scope(|scope| {
        let sleeper = scope.spawn(|| {
            let mut longest = Duration::ZERO;
            while ended_at.get().is_none() {
                let started_at = Instant::now();
                std::thread::sleep(SLEEP);
                let now = Instant::now();
                let slept =
                    ended_at.get().map_or(now, |end| now.min(*end)).saturating_duration_since(started_at);
                longest = longest.max(slept.saturating_sub(SLEEP));
            }
            longest
        });
        let result = call();
        ended_at.get_or_init(Instant::now);
        (result, sleeper.join().unwrap())
    })
}

#[test]
fn outcome_arrives_by_the_deadline_if_the_router_is_slow_hangs_or_is_unreachable() {
    let deployment = deployment(1, GroupBehavior { read_delay: 2000 * MS, ..GroupBehavior::default() });
    let router_of_slow_members = deployment.routers[0].addr;
    let never_accepting = TcpListener::bind("127.0.0.1:0").unwrap();
    let not_listening = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    const TIMEOUT: Duration = Duration::from_millis(300);
    const MAX_DURATION: Duration = Duration::from_millis(400);
    for address in [router_of_slow_members, never_accepting.local_addr().unwrap(), not_listening] {
        let client = Client::start(Config::new([address])).unwrap();
        for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
            let ((report, elapsed), oversleep) = measure_oversleep(|| {
                let started_at = Instant::now();
                let request = read("k").idempotency(idempotency).deadline(started_at + TIMEOUT);
                let report = client.execute_blocking(request);
                (report, started_at.elapsed())
            });
            assert!(!matches!(report.outcome, RequestOutcome::Served(_)), "{report:?}");
            assert!(
                elapsed < MAX_DURATION + oversleep,
                "{address}, {idempotency:?}: {elapsed:?}, limit {MAX_DURATION:?} and {oversleep:?} of delay"
            );
        }
    }
}

/// Completes the startup of a connection and reads one statement from it.
fn accept_statement(stream: &mut TcpStream) {
    let mut bytes = [0; 4096];
    let _ = stream.read(&mut bytes);
    let _ = stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I");
    let _ = stream.read(&mut bytes);
}

/// Starts an emulated router that closes its first connection when a statement arrives, like a router that
/// shuts down without having read the statement, and serves statements on all further connections. If
/// `sends_close_notice`, it sends a close notice (SQLSTATE 57P01) before it closes the first connection.
/// Returns the router's address.
fn start_draining_router(sends_close_notice: bool) -> SocketAddr {
    const CLOSE_NOTICE: &[u8] = b"E\0\0\0\x1dSFATAL\0VFATAL\0C57P01\0Mx\0\0";
    const ROW: &[u8] = b"T\0\0\0\x06\0\x01D\0\0\0\x0b\0\x01\0\0\0\x01vC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for (n, mut stream) in listener.incoming().flatten().enumerate() {
            accept_statement(&mut stream);
            if n > 0 {
                let _ = stream.write_all(ROW);
                open.push(stream);
            } else if sends_close_notice {
                let _ = stream.write_all(CLOSE_NOTICE);
            }
        }
    });
    address
}

#[test]
fn close_notice_proves_that_a_write_was_not_read() {
    let client = Client::start(Config::new([start_draining_router(true)])).unwrap();
    let report = client.execute_blocking(write("k", "v"));
    assert_eq!(report.outcome, RequestOutcome::Served(Some(b"v".to_vec())), "{report:?}");
    assert_eq!(report.attempts[0].outcome, AttemptOutcome::CloseNotice);
}

#[test]
fn connection_closed_without_notice_leaves_a_write_uncertain() {
    let client = Client::start(Config::new([start_draining_router(false)])).unwrap();
    let report = client.execute_blocking(write("k", "v"));
    assert_eq!(report.outcome, RequestOutcome::MayHaveRun, "{report:?}");
}

#[test]
fn router_sends_close_notice_between_requests_where_enabled() {
    let deployment = deployment(1, GroupBehavior::default());
    let mut client = PlainClient::connect(deployment.routers[0].addr).unwrap();
    assert!(client.query("").is_ok());
    deployment.routers[0].signal("TERM").unwrap();
    let Message { kind, body } = client.read_message().unwrap();
    assert_eq!(kind, b'E');
    assert!(String::from_utf8_lossy(&body).contains("C57P01"));
    assert!(client.wait_for_close());
}
