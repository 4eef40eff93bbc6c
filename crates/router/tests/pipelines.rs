//! Pipelining through the real program: clients write many commands before they read an answer. Each command
//! has its answer, complete and in order, whatever happens to the router meanwhile.

mod common;

use basalthill_standin::client::{query, startup, Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint, ResponseMode};
use basalthill_standin::host::{Host, Response};
use basalthill_standin::router_process::{write_unique_file, RouterOptions, RouterProcess};
use basalthill_standin::TIMEOUT;
use common::served::{error_code, primary_list, unreachable_address};
use common::{statement_text, SETTINGS};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A value of `bytes` bytes that names the request that it belongs to.
fn value(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes.max(id.len())).collect()
}

fn id_of(text: &str) -> &str {
    text.split("id=").nth(1).map_or("", |rest| &rest[..16])
}

/// A primary whose answers name their requests, of `bytes` bytes for reads.
fn primary(bytes: usize) -> Host {
    let report = || vec![("rank", "source".into()), ("as_of", basalthill_standin::unix_ms().to_string())];
    let answer = move |text: &str| match text {
        "SHOW vitals" => {
            Response::Row(format!("x0={}.0,x1=1", basalthill_standin::unix_ms() / 1000).into_bytes())
        }
        text if text.contains("INSERT") => Response::Row(id_of(text).as_bytes().to_vec()),
        text => Response::Row(value(id_of(text), bytes)),
    };
    Host::start(move |text| (answer(text), report())).unwrap()
}

/// A statement with its own id and a deadline of a minute.
fn statement(class: &str, who: u32, n: usize) -> String {
    let id = format!("{who:08x}{n:08x}");
    statement_text(class, "").replace("9b1f03aa5c7e2d41", &id).replace("d=480", "d=60000")
}

fn config(known: &str, discovery: SocketAddr, sockets: usize, settings: &str) -> PathBuf {
    let limits = format!(r#"{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}}"#);
    let text = format!(
        r#"{{"seed":"1","discovery":"{discovery}","limits":{limits},"known":{known},"settings":{settings}}}"#
    );
    write_unique_file(Path::new(env!("CARGO_TARGET_TMPDIR")), "pipelines.json", &text).unwrap()
}

fn router(name: &str, known: &str, discovery: SocketAddr, sockets: usize, settings: &str) -> RouterProcess {
    let config = config(known, discovery, sockets, settings);
    let program = env!("CARGO_BIN_EXE_basalthill").into();
    RouterProcess::start(name, RouterOptions { program, config, settings: None, discovery }).unwrap()
}

/// A router with one primary, which discovery also lists.
fn router_of(host: &Host, sockets: usize) -> RouterProcess {
    let known = primary_list(1, host.addr);
    let discovery = Discovery::start(known.clone()).unwrap();
    router("n1", &known, discovery.addr, sockets, SETTINGS)
}

/// Reads `count` answers, each the row of its own request or a rejection; how many were rows.
fn read_in_order(client: &mut Client, class: &str, who: u32, count: usize) -> usize {
    let mut rows = 0;
    for n in 0..count {
        match client.read_reply().unwrap_or_else(|e| panic!("{who}: no answer to command {n}: {e}")) {
            Reply::Row(row) => {
                let id = format!("{who:08x}{n:08x}");
                assert!(row.starts_with(id.as_bytes()), "{class}: {n} has another's answer");
                assert!(row == value(&id, row.len()), "{class}: {n} is incomplete");
                rows += 1;
            }
            rejection => assert_eq!(error_code(&rejection), "53300", "{class}, {n}"),
        }
    }
    rows
}

/// Sends requests one by one while `busy` is set; the longest time that one took.
fn spawn_ordinary_client(addr: SocketAddr, busy: &Arc<AtomicBool>) -> std::thread::JoinHandle<Duration> {
    let busy = Arc::clone(busy);
    std::thread::spawn(move || {
        let (mut longest, mut n) = (Duration::ZERO, 0);
        let mut client = Client::connect(addr).unwrap();
        while busy.load(Ordering::Relaxed) || n == 0 {
            let began = Instant::now();
            assert!(matches!(client.query(&statement("write", 99, n)).unwrap(), Reply::Row(_)));
            longest = longest.max(began.elapsed());
            n += 1;
        }
        longest
    })
}

/// Waits until a condition is true.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn hundreds_of_pipelined_commands_are_answered_without_delaying_other_clients() {
    let host = primary(40_000);
    let router = router_of(&host, 256);
    drop(Client::connect(router.addr).unwrap());
    let (descriptors, memory) = (router.descriptors().unwrap(), router.resident_kib().unwrap());
    let busy = Arc::new(AtomicBool::new(true));
    let others = spawn_ordinary_client(router.addr, &busy);
    let addr = router.addr;
    let pipelines = [("report", 1, 0), ("write", 2, 20_000)].map(|(class, who, bytes)| {
        std::thread::spawn(move || {
            let mut client = Client::connect(addr).unwrap();
            let large = "9f".repeat(bytes.max(1));
            let commands: Vec<u8> =
                (0..500).flat_map(|n| query(&statement(class, who, n).replace("9f03", &large))).collect();
            client.stream.write_all(&commands).unwrap();
            read_in_order(&mut client, class, who, 500)
        })
    });
    // One that reads a byte at a time.
    let slow = std::thread::spawn(move || {
        let mut client = Client::connect(addr).unwrap();
        let commands: Vec<u8> = (0..20).flat_map(|n| query(&statement("write", 3, n))).collect();
        client.stream.write_all(&commands).unwrap();
        let (mut taken, mut byte) = (Vec::new(), [0]);
        while taken.windows(6).filter(|w| w == b"Z\0\0\0\x05I").count() < 20 {
            client.stream.read_exact(&mut byte).unwrap();
            taken.push(byte[0]);
        }
        (0..20).all(|n| {
            let id = format!("{:08x}{n:08x}", 3);
            taken.windows(16).any(|w| w == id.as_bytes())
        })
    });
    let rows = pipelines.map(|p| p.join().unwrap());
    assert!(rows.iter().all(|rows| *rows > 400), "{rows:?} of 500 are served");
    assert!(slow.join().unwrap());
    busy.store(false, Ordering::Relaxed);
    let longest = others.join().unwrap();
    assert!(longest < Duration::from_secs(1), "others wait for {longest:?}");
    wait_until("descriptors return", || router.descriptors().unwrap() <= descriptors + 24);
    let grown = router.resident_kib().unwrap().saturating_sub(memory);
    assert!(grown < 16 * 1024, "{grown} KiB are not released");
}

#[test]
fn complete_requests_before_shutdown_are_answered_to_slow_readers() {
    let host = primary(20_000);
    let mut router = router_of(&host, 256);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(router.addr).unwrap()).collect();
    for (who, client) in (0..).zip(&mut clients) {
        let commands: Vec<u8> = (0..60).flat_map(|n| query(&statement("write", who, n))).collect();
        client.stream.write_all(&commands).unwrap();
    }
    for who in 0..4 {
        host.wait_for_statement(&format!("id={who:08x}")).unwrap();
    }
    router.signal("TERM").unwrap();
    for (who, client) in (0..).zip(&mut clients) {
        read_in_order(client, "write", who, 60);
        assert!(client.wait_for_close());
    }
    assert!(router.wait_for_exit().unwrap().success());
}

#[test]
fn a_pipeline_beyond_the_buffer_limit_is_answered_completely_over_a_shutdown() {
    let host = Host::start(|text| match text {
        "SHOW vitals" => (Response::Row(b"x1=1".to_vec()), Vec::new()),
        text => {
            std::thread::sleep(Duration::from_millis(4)); // processing time
            (Response::Row(id_of(text).as_bytes().to_vec()), vec![("rank", "source".into())])
        }
    })
    .unwrap();
    let mut router = router_of(&host, 256);
    let mut client = Client::connect(router.addr).unwrap();
    let commands: Vec<u8> = (0..400).flat_map(|n| query(&statement("write", 6, n))).collect();
    client.stream.write_all(&commands).unwrap();
    host.wait_for_statement("INSERT").unwrap();
    router.signal("TERM").unwrap();
    read_in_order(&mut client, "write", 6, 400);
    assert!(client.wait_for_close());
    assert!(router.wait_for_exit().unwrap().success());
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
    let router = router("n1", &known, old.addr, 64, SETTINGS);
    let mut client = Client::connect(router.addr).unwrap();
    let send = |client: &mut Client, from: usize, to: usize| {
        let commands: Vec<u8> = (from..to).flat_map(|n| query(&statement("write", 7, n))).collect();
        client.stream.write_all(&commands).unwrap();
    };
    send(&mut client, 0, 200);
    // Twenty may connect; all but the busy one are evicted.
    let crowd: Vec<Client> =
        (0..60).filter_map(|_| Client::connect_without_startup(router.addr).ok()).collect();
    let path = config(&known, new.addr, 64, SETTINGS);
    std::fs::copy(path, router.config()).unwrap();
    router.signal("HUP").unwrap();
    router.wait_for_log("discovery has moved").unwrap();
    send(&mut client, 200, 400);
    assert!(read_in_order(&mut client, "write", 7, 400) > 300);
    drop(crowd);
    wait_until("requests go to the new primary", || {
        let mut client = Client::connect(router.addr).unwrap();
        let before = two.statement_count("INSERT");
        matches!(client.query(&statement("write", 8, 0)), Ok(Reply::Row(_)))
            && two.statement_count("INSERT") > before
    });
}

/// The outcomes of requests that a client wrote completely on accepted connections.
#[derive(Default)]
struct PipelineCounts {
    answered: usize,
    closed: usize,
    late: usize,
}

/// Writes pipelines to a router that is killed and restarted, on one connection after the other.
fn pipelines(addr: SocketAddr, who: u32, busy: &AtomicBool) -> PipelineCounts {
    let mut counts = PipelineCounts::default();
    let mut n = 0;
    while busy.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect_without_startup(addr) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        // In the same write as the startup message, as the protocol allows.
        let timeout = Duration::from_millis(700);
        let commands: Vec<u8> = (n..n + 12)
            .flat_map(|n| {
                let class = if n % 3 == 0 { "write" } else { "status" };
                query(&statement(class, who, n).replace("d=60000", "d=700"))
            })
            .collect();
        let began = Instant::now();
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
            // An answer half a second after the deadline is lost; the machine may be busy for another second.
            counts.late += usize::from(began.elapsed() > timeout + Duration::from_millis(1500));
        }
        n += 12;
    }
    counts
}

#[test]
fn ten_routers_killed_under_pipelines_answer_every_request_in_time() {
    let host = primary(500);
    let good = primary_list(1, host.addr);
    let old = endpoint_list(
        1,
        true,
        &[
            Endpoint::new("s-1", host.addr, 2, "active", "source"),
            Endpoint::new("s-2", unreachable_address(), 2, "active", "copy"),
        ],
    );
    let known = [good.as_str(), old.as_str(), "null"];
    let mut routers: Vec<RouterProcess> = (0..10)
        .map(|n| router(&format!("n{n}"), known[n % 3], unreachable_address(), 256, SETTINGS))
        .collect();
    let busy = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..)
        .zip(&routers)
        .map(|(who, router)| {
            let (addr, busy) = (router.addr, Arc::clone(&busy));
            std::thread::spawn(move || pipelines(addr, who, &busy))
        })
        .collect();
    host.wait_for_statement("INSERT").unwrap();
    routers.iter_mut().for_each(|r| r.kill().unwrap());
    let began = Instant::now();
    routers.iter_mut().for_each(|r| r.restart().unwrap());
    let ready: Vec<Duration> = routers
        .iter()
        .map(|r| {
            let mut client = Client::connect(r.addr).unwrap();
            assert_eq!(client.query("").unwrap(), Reply::Empty);
            began.elapsed()
        })
        .collect();
    assert!(ready.iter().filter(|t| **t < Duration::from_secs(10)).count() >= 9, "{ready:?}");
    busy.store(false, Ordering::Relaxed);
    let counts: Vec<PipelineCounts> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let sum = |f: fn(&PipelineCounts) -> usize| counts.iter().map(f).sum::<usize>();
    assert_eq!(sum(|f| f.late), 0, "of {} answered", sum(|f| f.answered));
    assert!(counts.iter().all(|f| f.answered > 0 && f.closed <= 2), "one connection ends with each kill");
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
        (0..30).map(|n| router(&format!("n{n}"), &known, discovery.addr, 64, &settings)).collect();
    let all_serve = |routers: &[RouterProcess], what: &str| {
        let began = Instant::now();
        std::thread::scope(|s| {
            for (who, router) in (0..).zip(routers) {
                s.spawn(move || {
                    let mut client = Client::connect(router.addr).unwrap();
                    let mut n = 0;
                    loop {
                        let write = statement("write", who, n).replace("d=60000", "d=900");
                        if matches!(client.query(&write), Ok(Reply::Row(_))) {
                            return;
                        }
                        assert!(began.elapsed() < Duration::from_secs(10), "{what}: n{who} serves nobody");
                        n += 1;
                    }
                });
            }
        });
    };
    all_serve(&routers, "at the start");
    discovery.state.change(|t| t.withhold_responses = true);
    routers.iter_mut().for_each(|r| r.kill().unwrap());
    routers.iter_mut().for_each(|r| r.restart().unwrap());
    all_serve(&routers, "restarted, and the list silent");
    discovery.state.change(|t| t.withhold_responses = false);
    let moved = Discovery::start(just_started(endpoint_list(
        9,
        true,
        &[Endpoint::new("s-1", host.addr, 2, "active", "source")],
    )))
    .unwrap();
    for router in &routers {
        std::fs::copy(config(&known, moved.addr, 64, &settings), router.config()).unwrap();
        router.signal("HUP").unwrap();
    }
    all_serve(&routers, "after a reload");
    routers.iter().for_each(|r| drop(r.wait_for_log("discovery has moved").unwrap()));
    all_serve(&routers, "with the full list");
}

/// No list is bounded by a fixed number: 1024 hosts, indented over many lines, and as many routers.
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
    discovery.state.change(|t| t.next_responses.extend([ResponseMode::Indented; 8]));
    let settings = SETTINGS.replace("\"balancers\": 2", "\"balancers\": 1024");
    let router = router("n1", "null", discovery.addr, 256, &settings);
    let mut client = Client::connect(router.addr).unwrap();
    assert_eq!(client.query("").unwrap(), Reply::Empty);
    let mut n = 0;
    wait_until("the last of them serves", || {
        n += 1;
        matches!(client.query(&statement("write", 5, n)).unwrap(), Reply::Row(_))
    });
    router.wait_for_log("1024 members").unwrap();
    let (memory, descriptors) = (router.resident_kib().unwrap(), router.descriptors().unwrap());
    println!("at rest with 1024 hosts: {memory} KiB, {descriptors} descriptors");
    // A debug build with its symbols; the list itself takes some hundred bytes a host.
    assert!(memory < 32 * 1024 && descriptors < 64, "{memory} KiB, {descriptors} descriptors");
}
