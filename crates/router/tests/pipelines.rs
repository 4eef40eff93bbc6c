//! Pipelining through router processes: clients write many commands before they read a reply. Each command
//! gets its reply, complete and in order, also during evictions, shutdowns and changes of discovery.

mod common;

use basalthill_config::router::shutdown_timeout;
use basalthill_standin::client::{query, startup, Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint, ResponseMode};
use basalthill_standin::host::{Host, Response};
use basalthill_standin::router_process::RouterProcess;
use basalthill_standin::TIMEOUT;
use common::router_process::{start_router_for, start_router_process, write_router_config, RouterLimits};
use common::router_thread::{error_code, primary_list, unreachable_address};
use common::{deployment_settings, statement_text, SETTINGS};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns a value that repeats the id of its request, up to `bytes` bytes but at least once.
fn value(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes.max(id.len())).collect()
}

fn id_of(text: &str) -> &str {
    text.split("id=").nth(1).map_or("", |rest| &rest[..16])
}

/// Starts a primary whose rows contain the id of their request; a row of a read has `bytes` bytes.
fn primary(bytes: usize) -> Host {
    let report = || vec![("rank", "source".into()), ("as_of", basalthill_standin::unix_ms().to_string())];
    let respond = move |text: &str| match text {
        "SHOW vitals" => {
            Response::Row(format!("x0={}.0,x1=1", basalthill_standin::unix_ms() / 1000).into_bytes())
        }
        text if text.contains("INSERT") => Response::Row(id_of(text).as_bytes().to_vec()),
        text => Response::Row(value(id_of(text), bytes)),
    };
    Host::start(move |text| (respond(text), report())).unwrap()
}

/// Returns a statement with a unique id and a timeout of one minute.
fn statement(class: &str, client_number: u32, n: usize) -> String {
    let id = format!("{client_number:08x}{n:08x}");
    statement_text(class, "").replace("9b1f03aa5c7e2d41", &id).replace("d=480", "d=60000")
}

/// Returns the limits of a router with this number of descriptors.
fn limits(sockets: usize) -> RouterLimits {
    RouterLimits { memory_mb: 64, sockets }
}

fn start_router(
    name: &str,
    known: &str,
    discovery: SocketAddr,
    sockets: usize,
    settings: &str,
) -> RouterProcess {
    let config = write_router_config(known, discovery, limits(sockets), settings);
    start_router_process(name, config, discovery)
}

/// Reads the reply to command `n`. Returns the SQLSTATE if it is an error and `None` if it is the row of its
/// own request; any other row fails the test.
fn read_row_or_error(client: &mut Client, class: &str, client_number: u32, n: usize) -> Option<String> {
    match client
        .read_reply()
        .unwrap_or_else(|e| panic!("client {client_number}: no reply to command {n}: {e}"))
    {
        Reply::Row(row) => {
            let id = format!("{client_number:08x}{n:08x}");
            assert!(row.starts_with(id.as_bytes()), "{class}: command {n} got the reply to another command");
            assert!(row == value(&id, row.len()), "{class}: the reply to command {n} is incomplete");
            None
        }
        error => Some(error_code(&error).to_owned()),
    }
}

/// Reads `count` replies, each the row of its own request or a rejection. Returns the number of rows.
fn read_in_order(client: &mut Client, class: &str, client_number: u32, count: usize) -> usize {
    let mut rows = 0;
    for n in 0..count {
        match read_row_or_error(client, class, client_number, n) {
            None => rows += 1,
            Some(code) => assert_eq!(code, "53300", "{class}, command {n}"),
        }
    }
    rows
}

/// Starts a client that sends requests one by one while `is_active` is true. Its thread returns the highest
/// latency.
fn spawn_ordinary_client(addr: SocketAddr, is_active: &Arc<AtomicBool>) -> std::thread::JoinHandle<Duration> {
    let is_active = Arc::clone(is_active);
    std::thread::spawn(move || {
        let (mut max_latency, mut n) = (Duration::ZERO, 0);
        let mut client = Client::connect(addr).unwrap();
        while is_active.load(Ordering::Relaxed) || n == 0 {
            let started_at = Instant::now();
            assert!(matches!(client.query(&statement("write", 99, n)).unwrap(), Reply::Row(_)));
            max_latency = max_latency.max(started_at.elapsed());
            n += 1;
        }
        max_latency
    })
}

/// Waits until a condition is true, for [`TIMEOUT`] at most.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn hundreds_of_pipelined_commands_are_answered_without_delaying_other_clients() {
    let host = primary(40_000);
    let router = start_router_for(&host, limits(256));
    drop(Client::connect(router.addr).unwrap());
    let (descriptors, memory) = (router.descriptors().unwrap(), router.resident_kib().unwrap());
    let is_active = Arc::new(AtomicBool::new(true));
    let others = spawn_ordinary_client(router.addr, &is_active);
    let addr = router.addr;
    let pipelines = [("report", 1, 0), ("write", 2, 20_000)].map(|(class, client_number, bytes)| {
        std::thread::spawn(move || {
            // The router closes a connection whose first request does not arrive in time, so the client
            // encodes its commands before it connects.
            let large = "9f".repeat(bytes.max(1));
            let commands: Vec<u8> = (0..500)
                .flat_map(|n| query(&statement(class, client_number, n).replace("9f03", &large)))
                .collect();
            let mut client = Client::connect(addr).unwrap();
            client.stream.write_all(&commands).unwrap();
            read_in_order(&mut client, class, client_number, 500)
        })
    });
    // This client reads one byte at a time.
    let slow_reader = std::thread::spawn(move || {
        let commands: Vec<u8> = (0..20).flat_map(|n| query(&statement("write", 3, n))).collect();
        let mut client = Client::connect(addr).unwrap();
        client.stream.write_all(&commands).unwrap();
        let (mut received, mut byte) = (Vec::new(), [0]);
        while received.windows(6).filter(|w| w == b"Z\0\0\0\x05I").count() < 20 {
            client.stream.read_exact(&mut byte).unwrap();
            received.push(byte[0]);
        }
        (0..20).all(|n| {
            let id = format!("{:08x}{n:08x}", 3);
            received.windows(16).any(|w| w == id.as_bytes())
        })
    });
    let rows = pipelines.map(|p| p.join().unwrap());
    assert!(
        rows.iter().all(|rows| *rows > 400),
        "{rows:?} of 500 commands were served, expected more than 400 of each pipeline"
    );
    assert!(slow_reader.join().unwrap(), "the slow reader did not get the rows of all its 20 commands");
    is_active.store(false, Ordering::Relaxed);
    let max_latency = others.join().unwrap();
    assert!(max_latency < Duration::from_secs(1), "a request of another client took {max_latency:?}");
    wait_until("descriptors are released", || router.descriptors().unwrap() <= descriptors + 24);
    let grown = router.resident_kib().unwrap().saturating_sub(memory);
    assert!(grown < 16 * 1024, "{grown} KiB are not released, limit 16384 KiB");
}

#[test]
fn complete_requests_before_shutdown_are_answered_to_slow_readers() {
    let host = primary(20_000);
    let mut router = start_router_for(&host, limits(256));
    let pipelines = [0, 1, 2, 3].map(|client_number| -> Vec<u8> {
        (0..60).flat_map(|n| query(&statement("write", client_number, n))).collect()
    });
    let mut clients: Vec<Client> = pipelines.iter().map(|_| Client::connect(router.addr).unwrap()).collect();
    for (client, commands) in clients.iter_mut().zip(&pipelines) {
        client.stream.write_all(commands).unwrap();
    }
    for client_number in 0..4 {
        host.wait_for_statement(&format!("id={client_number:08x}")).unwrap();
    }
    router.signal("TERM").unwrap();
    for (client_number, client) in (0..).zip(&mut clients) {
        read_in_order(client, "write", client_number, 60);
        assert!(client.wait_for_close());
    }
    assert!(router.wait_for_exit().unwrap().success());
}

#[test]
fn a_pipeline_beyond_the_buffer_limit_is_answered_completely_over_a_shutdown() {
    let host = Host::start(|text| match text {
        "SHOW vitals" => (Response::Row(b"x1=1".to_vec()), Vec::new()),
        text => {
            std::thread::sleep(Duration::from_millis(4)); // the host's processing time
            (Response::Row(id_of(text).as_bytes().to_vec()), vec![("rank", "source".into())])
        }
    })
    .unwrap();
    let mut router = start_router_for(&host, limits(256));
    let commands: Vec<u8> = (0..400).flat_map(|n| query(&statement("write", 6, n))).collect();
    let mut client = Client::connect(router.addr).unwrap();
    client.stream.write_all(&commands).unwrap();
    host.wait_for_statement("INSERT").unwrap();
    let signalled_at = Instant::now();
    router.signal("TERM").unwrap();
    let replies: Vec<(Option<String>, Duration)> =
        (0..400).map(|n| (read_row_or_error(&mut client, "write", 6, n), signalled_at.elapsed())).collect();
    assert!(client.wait_for_close());
    assert!(router.wait_for_exit().unwrap().success());
    // Once its connections are closed, the host has recorded every statement that the router sent.
    let closed = host.record.wait(|record| (record.open == 0).then_some(()));
    assert!(closed.is_some(), "{} connections of the host are still open", host.record.lock().open);
    // The shutdown has a time limit, which on a slow machine expires before all commands are served: the
    // outcome of the request in flight is then unknown, and the commands that wait are rejected.
    let limit = Duration::from_nanos(shutdown_timeout(&deployment_settings()).0);
    let first_error = replies.iter().position(|(error, _)| error.is_some()).unwrap_or(replies.len());
    for (n, (error, replied_after)) in replies.iter().enumerate().skip(first_error) {
        let received = host.statement_count(&format!("id={:08x}{n:08x}", 6));
        match error.as_deref() {
            Some("58000") if n == first_error => {
                assert!(received <= 1, "command {n}: 58000, but the host has received it {received} times");
                assert!(
                    *replied_after >= limit,
                    "command {n}: 58000 after {replied_after:?}, limit {limit:?}"
                );
            }
            Some("53300") => {
                assert_eq!(received, 0, "command {n}: 53300, but the host has received it {received} times");
            }
            Some(code) => panic!("command {n}: {code}, after the first error at command {first_error}"),
            None => panic!("command {n}: a row, although command {first_error} got an error"),
        }
    }
}

#[test]
fn a_pipeline_continues_during_evictions_and_a_discovery_change() {
    let (one, two) = (primary(2_000), primary(2_000));
    let known = primary_list(1, one.addr);
    let drained = endpoint_list(
        5,
        true,
        &[
            Endpoint::new("s-1", one.addr, 2, "leaving", "copy"),
            Endpoint::new("s-2", two.addr, 2, "active", "source"),
        ],
    );
    let (old, new) = (Discovery::start(known.clone()).unwrap(), Discovery::start(drained).unwrap());
    let router = start_router("n1", &known, old.addr, 64, SETTINGS);
    let commands = |from: usize, to: usize| -> Vec<u8> {
        (from..to).flat_map(|n| query(&statement("write", 7, n))).collect()
    };
    let (before_change, after_change) = (commands(0, 200), commands(200, 400));
    let mut client = Client::connect(router.addr).unwrap();
    client.stream.write_all(&before_change).unwrap();
    // Clients may use 20 of the 64 descriptors. The router evicts idle clients, but not the one with the
    // pipeline.
    let idle_clients: Vec<Client> =
        (0..60).filter_map(|_| Client::connect_without_startup(router.addr).ok()).collect();
    let path = write_router_config(&known, new.addr, limits(64), SETTINGS);
    std::fs::copy(path, router.config()).unwrap();
    router.signal("HUP").unwrap();
    router.wait_for_log("discovery has moved").unwrap();
    client.stream.write_all(&after_change).unwrap();
    assert!(read_in_order(&mut client, "write", 7, 400) > 300);
    drop(idle_clients);
    wait_until("requests are sent to the new primary", || {
        let mut client = Client::connect(router.addr).unwrap();
        let before = two.statement_count("INSERT");
        matches!(client.query(&statement("write", 8, 0)), Ok(Reply::Row(_)))
            && two.statement_count("INSERT") > before
    });
}

/// The outcomes of the requests that a client wrote completely on accepted connections.
#[derive(Default)]
struct PipelineCounts {
    /// The number of replies, whether in time or late.
    answered: usize,
    /// The number of connections that were closed before their last reply.
    closed: usize,
    /// The number of replies that arrived more than 1.5 s after the deadline.
    late: usize,
}

/// Writes pipelines to a router that is killed and restarted, on one connection after another.
fn run_pipelines(addr: SocketAddr, client_number: u32, is_active: &AtomicBool) -> PipelineCounts {
    let mut counts = PipelineCounts::default();
    let mut n = 0;
    while is_active.load(Ordering::Relaxed) {
        // The commands are written together with the startup message, as the protocol allows.
        let timeout = Duration::from_millis(700);
        let commands: Vec<u8> = (n..n + 12)
            .flat_map(|n| {
                let class = if n % 3 == 0 { "write" } else { "status" };
                query(&statement(class, client_number, n).replace("d=60000", "d=700"))
            })
            .collect();
        let Ok(mut client) = Client::connect_without_startup(addr) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let started_at = Instant::now();
        if client.stream.write_all(&[startup(), commands].concat()).is_err()
            || client.read_until_ready().is_err()
        {
            continue;
        }
        for _ in 0..12 {
            match client.read_reply() {
                Ok(_) => counts.answered += 1,
                Err(_) => {
                    counts.closed += 1;
                    break;
                }
            }
            // A reply half a second after the deadline counts as lost; another second allows for a busy
            // machine.
            counts.late += usize::from(started_at.elapsed() > timeout + Duration::from_millis(1500));
        }
        n += 12;
    }
    counts
}

#[test]
fn ten_routers_killed_under_pipelines_answer_every_request_in_time() {
    let host = primary(500);
    let current = primary_list(1, host.addr);
    let outdated = endpoint_list(
        1,
        true,
        &[
            Endpoint::new("s-1", host.addr, 2, "active", "source"),
            Endpoint::new("s-2", unreachable_address(), 2, "active", "copy"),
        ],
    );
    let known = [current.as_str(), outdated.as_str(), "null"];
    let mut routers: Vec<RouterProcess> = (0..10)
        .map(|n| start_router(&format!("n{n}"), known[n % 3], unreachable_address(), 256, SETTINGS))
        .collect();
    let is_active = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..)
        .zip(&routers)
        .map(|(client_number, router)| {
            let (addr, is_active) = (router.addr, Arc::clone(&is_active));
            std::thread::spawn(move || run_pipelines(addr, client_number, &is_active))
        })
        .collect();
    host.wait_for_statement("INSERT").unwrap();
    routers.iter_mut().for_each(|r| r.kill().unwrap());
    let started_at = Instant::now();
    routers.iter_mut().for_each(|r| r.restart().unwrap());
    let ready: Vec<Duration> = routers
        .iter()
        .map(|r| {
            let mut client = Client::connect(r.addr).unwrap();
            assert_eq!(client.query("").unwrap(), Reply::Empty);
            started_at.elapsed()
        })
        .collect();
    assert!(ready.iter().filter(|t| **t < Duration::from_secs(10)).count() >= 9, "{ready:?}");
    is_active.store(false, Ordering::Relaxed);
    let counts: Vec<PipelineCounts> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let sum = |count: fn(&PipelineCounts) -> usize| counts.iter().map(count).sum::<usize>();
    assert_eq!(sum(|c| c.late), 0, "late replies of {}", sum(|c| c.answered));
    assert!(
        counts.iter().all(|c| c.answered > 0 && c.closed <= 2),
        "a client got no reply, or lost more than two connections to the kill"
    );
}

#[test]
fn thirty_routers_with_warming_up_hosts_serve_after_restart_and_reload() {
    let host = primary(100);
    let now = basalthill_standin::unix_ms();
    let just_started = |text: String| text.replace("\"started_ms\":0", &format!("\"started_ms\":{now}"));
    let known = just_started(primary_list(1, host.addr));
    let discovery = Discovery::start(known.clone()).unwrap();
    let settings = SETTINGS.replace("\"balancers\": 2", "\"balancers\": 30");
    let mut routers: Vec<RouterProcess> =
        (0..30).map(|n| start_router(&format!("n{n}"), &known, discovery.addr, 64, &settings)).collect();
    let all_serve = |routers: &[RouterProcess], what: &str| {
        let started_at = Instant::now();
        std::thread::scope(|s| {
            for (client_number, router) in (0..).zip(routers) {
                s.spawn(move || {
                    let mut client = Client::connect(router.addr).unwrap();
                    let mut n = 0;
                    loop {
                        let write = statement("write", client_number, n).replace("d=60000", "d=900");
                        if matches!(client.query(&write), Ok(Reply::Row(_))) {
                            return;
                        }
                        assert!(
                            started_at.elapsed() < Duration::from_secs(10),
                            "{what}: n{client_number} has served no request in 10 s"
                        );
                        n += 1;
                    }
                });
            }
        });
    };
    all_serve(&routers, "at the start");
    discovery.state.change(|state| state.withhold_responses = true);
    routers.iter_mut().for_each(|r| r.kill().unwrap());
    routers.iter_mut().for_each(|r| r.restart().unwrap());
    all_serve(&routers, "after a restart without a response from discovery");
    discovery.state.change(|state| state.withhold_responses = false);
    let moved = Discovery::start(just_started(endpoint_list(
        9,
        true,
        &[Endpoint::new("s-1", host.addr, 2, "active", "source")],
    )))
    .unwrap();
    for router in &routers {
        std::fs::copy(write_router_config(&known, moved.addr, limits(64), &settings), router.config())
            .unwrap();
        router.signal("HUP").unwrap();
    }
    all_serve(&routers, "after a reload");
    routers.iter().for_each(|r| drop(r.wait_for_log("discovery has moved").unwrap()));
    all_serve(&routers, "with the full list");
}

/// The numbers of hosts and routers have no fixed bound. The list has 1024 hosts and is indented over many
/// lines, and the settings give the number of routers as 1024.
#[test]
fn a_list_of_1024_hosts_is_accepted_and_uses_little_memory_when_idle() {
    let host = primary(100);
    let names: Vec<String> = (0..1024).map(|n| format!("s-{n:08x}")).collect();
    let members: Vec<_> = (0u32..)
        .zip(&names)
        .map(|(n, name)| match n {
            1023 => Endpoint::new(name.as_str(), host.addr, 2, "active", "source"),
            n => Endpoint::new(
                name.as_str(),
                unreachable_address(),
                3 + n / 3,
                "active",
                if n % 3 == 0 { "source" } else { "copy" },
            ),
        })
        .collect();
    let discovery = Discovery::start(endpoint_list(1, true, &members)).unwrap();
    discovery.state.change(|state| state.next_responses.extend([ResponseMode::Indented; 8]));
    let settings = SETTINGS.replace("\"balancers\": 2", "\"balancers\": 1024");
    let router = start_router("n1", "null", discovery.addr, 256, &settings);
    let mut client = Client::connect(router.addr).unwrap();
    assert_eq!(client.query("").unwrap(), Reply::Empty);
    let mut n = 0;
    wait_until("the last host of the list serves", || {
        n += 1;
        matches!(client.query(&statement("write", 5, n)).unwrap(), Reply::Row(_))
    });
    router.wait_for_log("1024 members").unwrap();
    let (memory, descriptors) = (router.resident_kib().unwrap(), router.descriptors().unwrap());
    println!("idle with 1024 hosts: {memory} KiB, {descriptors} descriptors");
    // The bound is for a debug build with its symbols; the list takes a few hundred bytes per host.
    assert!(memory < 32 * 1024 && descriptors < 64, "{memory} KiB, {descriptors} descriptors");
}
