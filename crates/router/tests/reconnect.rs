//! Many clients lose their router at the same time. They spread their reconnects to the other router over up
//! to half of their requests' remaining time, no write reaches a host after its deadline, and no write runs
//! twice.

use basalthill_client::{Client, Config, Request, RequestOutcome, Runtime};
use basalthill_standin::connect_recorder;
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const CLIENTS: u64 = 160;

/// Returns a write with a unique key that contains the write's deadline, in microseconds from `epoch`.
fn write(client: u64, n: u64, epoch: Instant) -> Request {
    let deadline = Instant::now() + 900 * MS;
    let key = format!("{client}-{n}-{}", (deadline - epoch).as_micros());
    Request::write("write", 2, &key, b"1").tenant("acme").deadline(deadline)
}

#[test]
fn clients_that_lose_a_router_reconnect_spread_over_their_slack() {
    connect_recorder::start();
    let program = Path::new(env!("CARGO_BIN_EXE_basalthill"));
    let test_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment = Deployment::start(program, test_dir, 2, GroupBehavior::default(), None).unwrap();
    let addrs: Vec<_> = deployment.routers.iter().map(|r| r.addr).collect();
    let runtime = Runtime::start().unwrap();
    let client = |n| runtime.client(Config { seed: n, ..Config::new(addrs.clone()) });
    let clients: Vec<Client> = (0..CLIENTS).map(client).collect();
    let epoch = Instant::now();
    let round = |n: u64, max_delay: Duration| {
        let clients = &clients;
        std::thread::scope(|scope| {
            let requests = (0..CLIENTS).map(|c| {
                scope.spawn(move || {
                    std::thread::sleep(
                        max_delay.mul_f64(fastrand::Rng::with_seed(c).u64(..1000) as f64 / 1000.0),
                    );
                    clients[c as usize].execute_blocking(write(c, n, epoch)).outcome
                })
            });
            let requests: Vec<_> = requests.collect();
            requests.into_iter().map(|request| request.join().unwrap()).collect::<Vec<RequestOutcome>>()
        })
    };
    // All clients have a connection. About half of them lose their connection at the same time, and all
    // clients send a request directly afterwards.
    let served = |outcomes: &[RequestOutcome]| {
        outcomes.iter().filter(|outcome| matches!(outcome, RequestOutcome::Served(_))).count()
    };
    assert_eq!(served(&round(0, 100 * MS)), CLIENTS as usize);
    deployment.routers[0].kill().unwrap();
    let killed_at = Instant::now();
    let outcomes = round(1, Duration::ZERO);
    let connects_since = |from: Instant| -> Vec<Duration> {
        let connects = connect_recorder::since(from);
        let mut all: Vec<Duration> = connects.iter().map(|c| *c - from).collect();
        all.sort();
        all
    };
    let connects = connects_since(killed_at);
    let within = |from: u32, to: u32| connects.iter().filter(|c| **c >= from * MS && **c < to * MS).count();
    println!(
        "{} connects, {:?}",
        connects.len(),
        (0..6).map(|n| within(n * 100, n * 100 + 100)).collect::<Vec<_>>()
    );
    // The outcome of a request is unknown if its client wrote the request to the old connection before the
    // close of that connection was detected. All other requests are served.
    let unknown = outcomes.iter().filter(|outcome| **outcome == RequestOutcome::MayHaveRun).count();
    assert_eq!(
        served(&outcomes) + unknown,
        CLIENTS as usize,
        "{} served, {unknown} unknown",
        served(&outcomes)
    );
    assert!(unknown < 16, "{unknown} unknown outcomes, expected fewer than 16");
    assert!(
        connects.len() > 40,
        "{} connects, expected more than 40 as about half the clients reconnect",
        connects.len()
    );
    let max_in_50_ms = (0..60).map(|n| within(n * 10, n * 10 + 50)).max().unwrap();
    assert!(
        max_in_50_ms * 3 < connects.len(),
        "{max_in_50_ms} of {} connects within 50 ms, expected less than a third",
        connects.len()
    );
    // The router recovers. The clients must not all reconnect to it at once.
    deployment.routers[0].restart().unwrap();
    let restarted_at = Instant::now();
    assert_eq!(served(&round(2, 300 * MS)), CLIENTS as usize);
    assert!(
        connects_since(restarted_at).len() < 20,
        "20 or more connects after the restart: {:?}",
        connects_since(restarted_at)
    );
    for host in &deployment.group.hosts {
        let record = host.record.lock();
        for statement in &record.statements {
            let (text, at) = (&statement.text, &statement.received_at);
            let Some(key) = text.split('\'').nth(1) else { continue };
            let deadline: u64 = key.rsplit('-').next().unwrap().parse().unwrap();
            assert!(*at <= epoch + Duration::from_micros(deadline), "received after its deadline: {text}");
            assert!(deployment.group.committed_values(key).len() <= 1, "committed more than once: {text}");
        }
    }
}
