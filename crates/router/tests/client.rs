//! The client library against the program itself: killed routers, lost answers, requests dropped at random.

use basalthill_client::{
    AttemptOutcome, Client, Config, Idempotency, Request, RequestOutcome, Runtime, Session,
};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use futures_lite::future::{self, block_on};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const OWN: &str =
    "clients {\n farewell #true\n}\nsessions floor=\"nothing\" {\n tokens with=\"writes\" early=#true {\n \
                   key 1 \"00112233445566778899aabbccddeeff\" signs=#true\n }\n}\n";

fn world(routers: usize, manner: GroupBehavior) -> Deployment {
    let program = Path::new(env!("CARGO_BIN_EXE_basalthill"));
    Deployment::start(program, Path::new(env!("CARGO_TARGET_TMPDIR")), routers, manner, Some(OWN)).unwrap()
}

fn addrs(world: &Deployment) -> Vec<SocketAddr> {
    world.routers.iter().map(|r| r.addr).collect()
}

fn write(key: &str, value: &str) -> Request {
    Request::write("write", 2, key, value.as_bytes()).tenant("acme").timeout(900 * MS)
}

/// The value of a served read, without the stand-in's marks.
fn value(end: &RequestOutcome) -> String {
    let RequestOutcome::Served(Some(value)) = end else { panic!("{end:?}") };
    String::from_utf8_lossy(value).split('@').next().unwrap_or_default().to_string()
}

#[test]
fn session_reads_its_own_writes_through_any_router() {
    let world = world(2, GroupBehavior { lag_ms: 300, ..GroupBehavior::default() });
    let client = Client::start(Config::new(addrs(&world))).unwrap();
    let session = Session::new("anne").unwrap();
    for n in 0..5 {
        let report = client.execute_blocking(write("k", &n.to_string()).session(&session));
        assert_eq!(value(&report.outcome), n.to_string(), "{report:?}");
        let read = Request::read("own", 2, "k").tenant("acme").session(&session);
        assert_eq!(value(&client.execute_blocking(read).outcome), n.to_string());
    }
    // Another process goes on with it.
    let again = Session::import(&session.export()).unwrap();
    let other = Client::start(Config::new(addrs(&world))).unwrap();
    let read = Request::read("own", 2, "k").tenant("acme").session(&again);
    assert_eq!(value(&other.execute_blocking(read).outcome), "4");
    let wrong = other.execute_blocking(Request::read("nothing", 2, "k"));
    assert!(matches!(&wrong.outcome, RequestOutcome::Invalid(i) if i.code == "22023"), "{wrong:?}");
}

#[test]
fn no_write_runs_twice_and_outcomes_are_true_while_routers_restart() {
    let slow = [3 * MS, 3 * MS];
    let mut world = world(3, GroupBehavior { write_delays: slow, ..GroupBehavior::default() });
    let runtime = Runtime::start().unwrap();
    let (clients, group, addrs) = (30u64, world.group.clone(), addrs(&world));
    let ended = std::sync::Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for n in 0..clients {
            let client = runtime.client(Config { seed: n, ..Config::new(addrs.clone()) });
            let ended = &ended;
            scope.spawn(move || {
                let mut rng = fastrand::Rng::with_seed(n);
                for i in 0..150 {
                    // Keys that only this client writes to; each value once.
                    let (key, text) = (format!("c{n}"), format!("{n}-{i}"));
                    let (end, dropped) = match rng.u64(..10) {
                        0 => {
                            // Given up at some moment.
                            let wait = Duration::from_micros(rng.u64(..9000));
                            let ask = client.execute(write(&key, &text));
                            let late = async {
                                async_io::Timer::after(wait).await;
                                None
                            };
                            let report = block_on(future::or(async { Some(ask.await) }, late));
                            (report.map(|r| r.outcome), true)
                        }
                        _ => (Some(client.execute_blocking(write(&key, &text)).outcome), false),
                    };
                    ended.lock().unwrap().insert((key, text), (end, dropped));
                }
            });
        }
        for n in 0..20 {
            std::thread::sleep(50 * MS);
            match n % 7 {
                0 => world.routers[1].stop_and_restart().unwrap(),
                k => world.routers[k % 3].kill_and_restart().unwrap(),
            }
        }
    });
    // What hosts still work on is done by then.
    std::thread::sleep(100 * MS);
    let ended = ended.into_inner().unwrap();
    let mut by_end: BTreeMap<String, u32> = BTreeMap::new();
    for ((key, text), (end, dropped)) in &ended {
        let times = group.committed_values(key).iter().filter(|v| *v == text).count();
        let name = end.as_ref().map_or("given up".into(), |e| format!("{e:?}"));
        *by_end.entry(name.split('(').next().unwrap_or_default().to_string()).or_default() += 1;
        assert!(times <= 1, "{text} ran {times} times: {end:?}");
        match end {
            Some(RequestOutcome::Served(_)) => assert_eq!(times, 1, "{text}"),
            Some(RequestOutcome::MayHaveRun) | None => {}
            Some(other) => assert_eq!(times, 0, "{text}: {other:?}, dropped: {dropped}"),
        }
    }
    println!("{by_end:?}");
    assert!(by_end["Served"] > 1000 && by_end.contains_key("MayHaveRun"), "{by_end:?}");
}

#[test]
fn cancelled_requests_leave_no_state_behind() {
    let world = world(2, GroupBehavior { read_delay: 5 * MS, ..GroupBehavior::default() });
    let client =
        Client::start(Config { max_connections_per_router: 64, ..Config::new(addrs(&world)) }).unwrap();
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..4 {
        let asks: Vec<_> = (0..1000)
            .map(|n| {
                client.execute(Request::read("own", 2, &format!("k{n}")).tenant("acme").timeout(800 * MS))
            })
            .collect();
        for ask in asks {
            match rng.u64(..3) {
                0 => drop(ask),
                1 => {
                    let wait = Duration::from_micros(rng.u64(..500));
                    let late = async {
                        async_io::Timer::after(wait).await;
                    };
                    block_on(future::or(async { drop(ask.await) }, late));
                }
                _ => drop(block_on(ask)),
            }
        }
    }
    let (jobs, conns, timers) = block_on(client.books());
    assert!(
        jobs == 0 && conns <= 128 && timers <= conns,
        "{jobs} requests, {conns} connections, {timers} timers"
    );
    // Idle connections go before the router's own limit.
    let from = Instant::now();
    while block_on(client.books()).1 > 0 {
        assert!(from.elapsed() < 4000 * MS, "connections stay: {:?}", block_on(client.books()));
        std::thread::sleep(20 * MS);
    }
    assert_eq!(block_on(client.books()), (0, 0, 0));
    let served = client.execute_blocking(Request::read("own", 2, "k").tenant("acme"));
    assert!(matches!(served.outcome, RequestOutcome::Served(_)), "and it goes on: {served:?}");
}

#[test]
fn outcome_arrives_by_the_deadline_whatever_the_routers_do() {
    // A member that does not answer in time, a router that nobody reaches, a port where nobody listens.
    let world = world(1, GroupBehavior { read_delay: 2000 * MS, ..GroupBehavior::default() });
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    for addr in [world.routers[0].addr, silent.local_addr().unwrap(), dead] {
        let client = Client::start(Config::new([addr])).unwrap();
        for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
            let from = Instant::now();
            let request = Request::read("own", 2, "k")
                .tenant("acme")
                .idempotency(idempotency)
                .deadline(from + 300 * MS);
            let report = client.execute_blocking(request);
            let took = from.elapsed();
            assert!(!matches!(report.outcome, RequestOutcome::Served(_)), "{report:?}");
            assert!(took < 400 * MS, "{addr}, {idempotency:?}: {took:?}");
        }
    }
}

#[test]
fn close_notice_proves_that_a_write_was_not_read() {
    // A router that closes each connection after one answer, as one that drains does: said, and not said.
    use std::io::{Read, Write};
    for farewell in [true, false] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for (n, stream) in listener.incoming().flatten().enumerate() {
                let mut stream = stream;
                let mut bytes = [0; 4096];
                let _ = stream.read(&mut bytes);
                let _ = stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I");
                let _ = stream.read(&mut bytes);
                if n == 0 {
                    // The statement is there, and this router has not read it, for all it says.
                    if farewell {
                        let _ = stream.write_all(b"E\0\0\0\x1dSFATAL\0VFATAL\0C57P01\0Mx\0\0");
                    }
                    continue;
                }
                let row = b"T\0\0\0\x06\0\x01D\0\0\0\x0b\0\x01\0\0\0\x01vC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I";
                let _ = stream.write_all(row);
                std::mem::forget(stream);
            }
        });
        let client = Client::start(Config::new([addr])).unwrap();
        let report = client.execute_blocking(write("k", "v"));
        match farewell {
            true => {
                assert_eq!(report.outcome, RequestOutcome::Served(Some(b"v".to_vec())), "{report:?}");
                assert_eq!(report.attempts[0].end, AttemptOutcome::CloseNotice);
            }
            false => assert_eq!(report.outcome, RequestOutcome::MayHaveRun, "{report:?}"),
        }
    }
}

#[test]
fn router_sends_close_notice_between_requests_where_enabled() {
    use basalthill_standin::client::Client as Raw;
    let world = world(1, GroupBehavior::default());
    let mut raw = Raw::connect(world.routers[0].addr).unwrap();
    assert!(raw.query("").is_ok());
    world.routers[0].signal("TERM").unwrap();
    let basalthill_standin::client::Message { kind, body } = raw.read_message().unwrap();
    assert_eq!(kind, b'E');
    assert!(String::from_utf8_lossy(&body).contains("C57P01"));
    assert!(raw.is_closed());
}
