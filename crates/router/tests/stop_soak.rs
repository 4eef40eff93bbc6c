//! A stop under clients that use their connections up to the kill: signals in series, hosts that hang, some
//! plays with a crowd of idle clients, some with calls to the system that fail for a moment.
//! What the protocol page says is the oracle: a request is answered whole and in its time, or its connection
//! is closed without it and no host has had it.
//!
//! SOAK_SEEDS sets how many plays there are, SOAK_FIRST with which seed they begin.

mod common;

use basalthill_standin::client::{query, startup, Client};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, Reply};
use basalthill_standin::router_process::{write_unique_file, RouterOptions, RouterProcess};
use basalthill_standin::{unix_ms, SETTINGS};
use common::shim::failing;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// From SIGTERM to the earliest kill: the longest deadline, counted as three seconds, and 0.7 s.
const KILL: Duration = Duration::from_millis(3700);
/// New connections go on coming for so long at the most.
const DEALS: Duration = Duration::from_millis(400);
/// An answer that comes later than this behind its request's time is none.
const LATE: Duration = Duration::from_millis(550);
const CLIENTS: usize = 24;
const AT_ONCE: usize = 5;

fn ms(rng: &mut fastrand::Rng, below: u64) -> Duration {
    Duration::from_millis(rng.u64(..below))
}

/// Serves most at once, some late, and hangs at some.
fn host(rank: &'static str) -> Host {
    Host::start(move |text| {
        let telling = vec![("rank", rank.into()), ("as_of", unix_ms().to_string())];
        let Some(id) = text.split_once("id=").and_then(|t| u64::from_str_radix(t.1.get(..4)?, 16).ok())
        else {
            return (Reply::Row(format!("x0={}.0,x1=0", unix_ms() / 1000).into_bytes()), telling);
        };
        std::thread::sleep(Duration::from_millis(if id % 7 == 0 { id % 90 } else { 1 }));
        (if id % 23 == 0 { Reply::NoAnswer } else { Reply::Row(b"v".to_vec()) }, telling)
    })
    .unwrap()
}

struct Request {
    id: String,
    text: String,
    patience: Duration,
}

fn request(rng: &mut fastrand::Rng, client: usize, n: usize) -> Request {
    let id = format!("{:04x}{client:03x}{n:05x}", rng.u64(..1 << 16));
    let d = [1, 20, 200, 480, 900, 3000, 6000][rng.u64(..7) as usize];
    let text = match rng.u64(..3) {
        0 => format!("INSERT INTO records (k, v) VALUES ('k', '\\x9f') RETURNING v /* id={id},c=write"),
        _ => format!("SELECT v FROM records WHERE k = 'k' /* id={id},c=view"),
    };
    let text = format!("{text},t=acme,d={d},cluster=2 */");
    Request { id, text, patience: Duration::from_millis(d) }
}

/// One client up to the kill; what it saw that the page forbids, and ids whose connection ended before their
/// answer.
fn client(
    router: std::net::SocketAddr,
    term: Instant,
    number: usize,
    mut rng: fastrand::Rng,
) -> (Vec<String>, Vec<String>) {
    let (mut wrong, mut unanswered, mut n) = (Vec::new(), Vec::new(), 0);
    'connections: while Instant::now() < term + DEALS {
        let Ok(mut connection) = Client::connect_without_startup(router) else { break };
        connection.stream.set_read_timeout(Some(KILL + LATE)).unwrap();
        let (mut new, mut welcome) = (true, startup());
        while Instant::now() < term + KILL {
            std::thread::sleep(ms(&mut rng, 40));
            let count = if rng.u64(..4) == 0 { 3 } else { 1 };
            let asked: Vec<Request> = (n..n + count).map(|n| request(&mut rng, number, n)).collect();
            n += count;
            let bytes: Vec<u8> = asked.iter().flat_map(|r| query(&r.text)).collect();
            let bytes = [std::mem::take(&mut welcome), bytes].concat();
            // Whole or in two pieces.
            let cut = if rng.u64(..3) == 0 { rng.u64(..bytes.len() as u64) as usize } else { 0 };
            let first = connection.stream.write_all(&bytes[..cut]);
            if cut > 0 {
                std::thread::sleep(ms(&mut rng, 25));
            }
            let sent = first.and_then(|()| connection.stream.write_all(&bytes[cut..]));
            let since = Instant::now();
            let sent = sent.and_then(|()| if new { connection.read_until_ready() } else { Ok(()) });
            new = false;
            for (place, request) in asked.iter().enumerate() {
                match sent.as_ref().map_err(|e| e.kind()).and(connection.read_answer().map_err(|e| e.kind()))
                {
                    // The time spent behind others does not count.
                    Ok(_) if place > 0 || since.elapsed() <= request.patience + LATE => {}
                    Ok(answer) => {
                        wrong.push(format!("{}: {answer:?} after {:?}", request.id, since.elapsed()))
                    }
                    Err(ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                        wrong.push(format!("{}: no answer and no end", request.id));
                    }
                    Err(_) => {
                        unanswered.extend(asked[place..].iter().map(|r| r.id.clone()));
                        continue 'connections;
                    }
                }
            }
        }
    }
    (wrong, unanswered)
}

fn play(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let hosts = [host("source"), host("copy"), host("copy")];
    let named: Vec<_> =
        [("s-1", "source"), ("s-2", "copy"), ("s-3", "copy")].into_iter().zip(&hosts).collect();
    let members: Vec<_> =
        named.iter().map(|((id, rank), h)| Endpoint::new(*id, h.addr, 2, "active", rank)).collect();
    let known = endpoint_list(1, true, &members);
    let discovery = Discovery::start(known.clone()).unwrap();
    let limits = r#"{"sockets":192,"memory_mb":64}"#;
    let text = format!(r#"{{"seed":"{seed}","limits":{limits},"known":{known},"settings":{SETTINGS}}}"#);
    let config = write_unique_file(Path::new(env!("CARGO_TARGET_TMPDIR")), "soak.json", &text).unwrap();
    let program = match seed % 4 {
        0 => failing(&[
            ("accept4", libc::ECONNABORTED, 2),
            ("recv", libc::EINTR, 5),
            ("send", libc::EINTR, 5),
            ("writev", libc::ENOBUFS, 9),
        ]),
        _ => env!("CARGO_BIN_EXE_basalthill").into(),
    };
    let start = RouterOptions { program, config, settings: None, discovery: discovery.addr };
    let mut router = RouterProcess::start("n1", start).unwrap();
    assert!(Client::connect(router.addr).unwrap().query("").is_ok());
    let crowd = if seed % 3 == 0 { 150 } else { 0 };
    let crowd: Vec<_> = (0..crowd).map(|_| TcpStream::connect(router.addr)).collect();
    let (addr, term) = (router.addr, Instant::now() + Duration::from_millis(300) + ms(&mut rng, 300));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| (n, fastrand::Rng::with_seed(rng.u64(..u64::MAX - 1) | 1)))
        .map(|(n, rng)| std::thread::spawn(move || client(addr, term, n, rng)))
        .collect();
    std::thread::sleep(term.saturating_duration_since(Instant::now()));
    let mut signals = vec![(Duration::ZERO, "TERM")];
    signals.extend((0..4).map(|_| (ms(&mut rng, 3000), ["HUP", "TERM", "INT"][rng.u64(..3) as usize])));
    signals.sort();
    let mut wrong = Vec::new();
    for (after, name) in signals {
        std::thread::sleep((term + after).saturating_duration_since(Instant::now()));
        // One that has ended by then hears nothing more.
        let _ = router.signal(name);
    }
    let code = router.wait_for_exit().unwrap().code();
    if code != Some(0) || term.elapsed() > KILL {
        wrong.push(format!("ended with {code:?} after {:?}", term.elapsed()));
    }
    let ends: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    drop(crowd);
    let had: Vec<String> =
        hosts.iter().flat_map(|h| h.seen.lock().statements.clone()).map(|s| s.text).collect();
    for (saw, unanswered) in ends {
        wrong.extend(saw);
        let forwarded = |id: &String| had.iter().any(|text| text.contains(&format!("id={id},")));
        wrong.extend(
            unanswered.into_iter().filter(forwarded).map(|id| format!("{id}: sent on, never answered")),
        );
    }
    wrong.into_iter().map(|w| format!("seed {seed}: {w}")).collect()
}

#[test]
fn shutdown_loses_no_request_of_clients_that_go_on_until_the_kill() {
    let number = |name, or| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (first, count): (u64, u64) = (number("SOAK_FIRST", 1), number("SOAK_SEEDS", AT_ONCE as u64));
    let seeds: Vec<u64> = (first..first + count).collect();
    for some in seeds.chunks(AT_ONCE) {
        let plays: Vec<_> = some.iter().copied().map(|s| std::thread::spawn(move || play(s))).collect();
        let wrong: Vec<String> = plays.into_iter().flat_map(|p| p.join().unwrap()).collect();
        assert!(wrong.is_empty(), "{}:\n{}", wrong.len(), wrong[..wrong.len().min(20)].join("\n"));
    }
}
