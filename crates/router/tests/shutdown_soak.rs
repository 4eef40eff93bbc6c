//! Soak test of the graceful shutdown: clients send requests until the platform may kill the router, a series
//! of signals arrives, and hosts hang. Some runs have many idle clients, some have system calls that fail
//! transiently. Every request must either get a complete reply in time, or have its connection closed without
//! a reply; in the second case, no host may have received the request.
//!
//! SOAK_SEEDS sets the number of runs, SOAK_FIRST the seed of the first one.

mod common;

use basalthill_standin::client::{query, startup, Client};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, Response};
use basalthill_standin::router_process::{write_unique_file, RouterOptions, RouterProcess};
use basalthill_standin::{unix_ms, SETTINGS};
use common::shim::program_with_failing_calls;
use fastrand::Rng;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The time from SIGTERM until the platform may kill the router: the longest deadline, limited to 3 s, plus
/// 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// The time after SIGTERM during which clients open new connections.
const CONNECT_PERIOD: Duration = Duration::from_millis(400);
/// A reply that arrives later than this after the deadline of its request counts as missing.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(550);
const CLIENTS: usize = 24;
const IDLE_CLIENTS: usize = 150;
const CONCURRENT_RUNS: usize = 5;
/// The greatest number of violations shown when runs fail.
const MAX_SHOWN_VIOLATIONS: usize = 20;
const DEADLINES_MS: [u64; 7] = [1, 20, 200, 480, 900, 3000, 6000];

fn random_ms(rng: &mut Rng, below: u64) -> Duration {
    Duration::from_millis(rng.u64(..below))
}

/// Starts a host that serves most statements after 1 ms and some later, and never responds to the rest.
fn host(rank: &'static str) -> Host {
    Host::start(move |text| {
        let report = vec![("rank", rank.into()), ("as_of", unix_ms().to_string())];
        let Some(id) = text.split_once("id=").and_then(|t| u64::from_str_radix(t.1.get(..4)?, 16).ok())
        else {
            return (Response::Row(format!("x0={}.0,x1=0", unix_ms() / 1000).into_bytes()), report);
        };
        std::thread::sleep(Duration::from_millis(if id % 7 == 0 { id % 90 } else { 1 }));
        (if id % 23 == 0 { Response::NoResponse } else { Response::Row(b"v".to_vec()) }, report)
    })
    .unwrap()
}

struct Request {
    id: String,
    text: String,
    timeout: Duration,
}

impl Request {
    fn random(rng: &mut Rng, client: usize, n: usize) -> Request {
        let id = format!("{:04x}{client:03x}{n:05x}", rng.u64(..1 << 16));
        let deadline_ms = *rng.choice(&DEADLINES_MS).unwrap();
        let text = match rng.u64(..3) {
            0 => format!("INSERT INTO records (k, v) VALUES ('k', '\\x9f') RETURNING v /* id={id},c=write"),
            _ => format!("SELECT v FROM records WHERE k = 'k' /* id={id},c=view"),
        };
        let text = format!("{text},t=acme,d={deadline_ms},cluster=2 */");
        Request { id, text, timeout: Duration::from_millis(deadline_ms) }
    }
}

/// The violations and lost requests that one client has observed.
#[derive(Default)]
struct ClientReport {
    /// Descriptions of replies that were late, or missing on an open connection.
    violations: Vec<String>,
    /// Ids of requests whose connection was closed before their reply.
    unanswered: Vec<String>,
}

/// A client that sends requests until the platform may kill the router.
struct SoakClient {
    router: SocketAddr,
    term_at: Instant,
    number: usize,
    requests: usize,
    rng: Rng,
    report: ClientReport,
}

impl SoakClient {
    fn run(mut self) -> ClientReport {
        while Instant::now() < self.term_at + CONNECT_PERIOD {
            let Ok(connection) = Client::connect_without_startup(self.router) else { break };
            self.use_connection(connection);
        }
        self.report
    }

    /// Sends requests until the connection is closed or the platform may kill the router.
    fn use_connection(&mut self, mut connection: Client) {
        connection.stream.set_read_timeout(Some(KILL_AFTER + LATENESS_TOLERANCE)).unwrap();
        let mut is_new = true;
        while Instant::now() < self.term_at + KILL_AFTER {
            std::thread::sleep(random_ms(&mut self.rng, 40));
            let requests = self.next_requests();
            let sent = self.send(&mut connection, &requests, is_new);
            is_new = false;
            if !self.read_replies(&mut connection, &requests, sent) {
                return;
            }
        }
    }

    /// Returns one request, or three for a pipeline.
    fn next_requests(&mut self) -> Vec<Request> {
        let count = if self.rng.u64(..4) == 0 { 3 } else { 1 };
        let first = self.requests;
        self.requests += count;
        (first..first + count).map(|n| Request::random(&mut self.rng, self.number, n)).collect()
    }

    /// Writes requests in one or two pieces; on a new connection, the startup message precedes them. Returns
    /// the time at which the last byte was written.
    fn send(&mut self, connection: &mut Client, requests: &[Request], is_new: bool) -> io::Result<Instant> {
        let mut bytes = if is_new { startup() } else { Vec::new() };
        bytes.extend(requests.iter().flat_map(|r| query(&r.text)));
        let cut = if self.rng.u64(..3) == 0 { self.rng.u64(..bytes.len() as u64) as usize } else { 0 };
        let first_piece = connection.stream.write_all(&bytes[..cut]);
        if cut > 0 {
            std::thread::sleep(random_ms(&mut self.rng, 25));
        }
        first_piece?;
        connection.stream.write_all(&bytes[cut..])?;
        let sent_at = Instant::now();
        if is_new {
            connection.read_until_ready()?;
        }
        Ok(sent_at)
    }

    /// Reads the replies. Returns whether the connection is still open.
    fn read_replies(
        &mut self,
        connection: &mut Client,
        requests: &[Request],
        sent: io::Result<Instant>,
    ) -> bool {
        for (position, request) in requests.iter().enumerate() {
            let reply = match &sent {
                Ok(sent_at) => connection.read_reply().map(|reply| (reply, sent_at.elapsed())),
                Err(e) => Err(e.kind().into()),
            };
            match reply {
                // The time that a command waits for earlier commands does not count.
                Ok((_, elapsed)) if position > 0 || elapsed <= request.timeout + LATENESS_TOLERANCE => {}
                Ok((reply, elapsed)) => {
                    self.report.violations.push(format!("{}: {reply:?} after {elapsed:?}", request.id));
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    self.report
                        .violations
                        .push(format!("{}: no reply, and the connection is still open", request.id));
                }
                Err(_) => {
                    let unanswered = requests[position..].iter().map(|r| r.id.clone());
                    self.report.unanswered.extend(unanswered);
                    return false;
                }
            }
        }
        true
    }
}

/// Returns the program to run. For every fourth seed, its system calls fail transiently.
fn program(seed: u64) -> PathBuf {
    match seed % 4 {
        0 => program_with_failing_calls(&[
            ("accept4", libc::ECONNABORTED, 2),
            ("recv", libc::EINTR, 5),
            ("send", libc::EINTR, 5),
            ("writev", libc::ENOBUFS, 9),
        ]),
        _ => env!("CARGO_BIN_EXE_basalthill").into(),
    }
}

/// Starts a router whose members are `hosts`; the first one is the primary.
fn start_router(seed: u64, hosts: &[Host; 3]) -> RouterProcess {
    let names = [("s-1", "source"), ("s-2", "copy"), ("s-3", "copy")];
    let endpoints = names.iter().zip(hosts);
    let endpoints: Vec<_> =
        endpoints.map(|((id, rank), host)| Endpoint::new(*id, host.addr, 2, "active", rank)).collect();
    let known = endpoint_list(1, true, &endpoints);
    let discovery = Discovery::start(known.clone()).unwrap();
    let limits = r#"{"sockets":192,"memory_mb":64}"#;
    let text = format!(r#"{{"seed":"{seed}","limits":{limits},"known":{known},"settings":{SETTINGS}}}"#);
    let config = write_unique_file(Path::new(env!("CARGO_TARGET_TMPDIR")), "soak.json", &text).unwrap();
    let options = RouterOptions { program: program(seed), config, settings: None, discovery: discovery.addr };
    let router = RouterProcess::start("n1", options).unwrap();
    assert!(Client::connect(router.addr).unwrap().query("").is_ok());
    router
}

/// Sends SIGTERM at `term_at`, and four further signals within three seconds.
fn send_signals(router: &RouterProcess, rng: &mut Rng, term_at: Instant) {
    let mut signals = vec![(Duration::ZERO, "TERM")];
    for _ in 0..4 {
        let after = random_ms(rng, 3000);
        signals.push((after, ["HUP", "TERM", "INT"][rng.usize(..3)]));
    }
    signals.sort();
    for (after, name) in signals {
        std::thread::sleep((term_at + after).saturating_duration_since(Instant::now()));
        // Sending a signal fails once the router has exited, which is not an error here.
        let _ = router.signal(name);
    }
}

/// Runs the test once with this seed, and returns the violations.
fn run_soak(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let hosts = [host("source"), host("copy"), host("copy")];
    let mut router = start_router(seed, &hosts);
    let idle_count = if seed % 3 == 0 { IDLE_CLIENTS } else { 0 };
    let idle_clients: Vec<_> = (0..idle_count).map(|_| TcpStream::connect(router.addr)).collect();
    let term_at = Instant::now() + Duration::from_millis(300) + random_ms(&mut rng, 300);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let rng = rng.fork();
        let report = ClientReport::default();
        let client = SoakClient { router: router.addr, term_at, number, requests: 0, rng, report };
        clients.push(std::thread::spawn(move || client.run()));
    }
    std::thread::sleep(term_at.saturating_duration_since(Instant::now()));
    send_signals(&router, &mut rng, term_at);
    let mut violations = Vec::new();
    let code = router.wait_for_exit().unwrap().code();
    if code != Some(0) || term_at.elapsed() > KILL_AFTER {
        violations.push(format!(
            "exited with {code:?} {:?} after SIGTERM, limit {KILL_AFTER:?}",
            term_at.elapsed()
        ));
    }
    let reports: Vec<ClientReport> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    drop(idle_clients);
    let statements = hosts.iter().flat_map(|h| h.record.lock().statements.clone());
    let received: Vec<String> = statements.map(|s| s.text).collect();
    for report in reports {
        violations.extend(report.violations);
        let was_forwarded = |id: &String| received.iter().any(|text| text.contains(&format!("id={id},")));
        let lost = report.unanswered.into_iter().filter(was_forwarded);
        violations.extend(lost.map(|id| format!("{id}: forwarded, but its client got no reply")));
    }
    violations.into_iter().map(|violation| format!("seed {seed}: {violation}")).collect()
}

#[test]
fn shutdown_loses_no_request_of_clients_that_send_until_the_kill() {
    let number = |name, default| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let first: u64 = number("SOAK_FIRST", 1);
    let count: u64 = number("SOAK_SEEDS", CONCURRENT_RUNS as u64);
    let seeds: Vec<u64> = (first..first + count).collect();
    for batch in seeds.chunks(CONCURRENT_RUNS) {
        let runs: Vec<_> = batch.iter().copied().map(|s| std::thread::spawn(move || run_soak(s))).collect();
        let violations: Vec<String> = runs.into_iter().flat_map(|run| run.join().unwrap()).collect();
        let shown = violations.len().min(MAX_SHOWN_VIOLATIONS);
        assert!(
            violations.is_empty(),
            "{} violations:\n{}",
            violations.len(),
            violations[..shown].join("\n")
        );
    }
}
