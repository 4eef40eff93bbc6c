//! Loads by many clients, of the library's kind and of the naive kind, and what hosts have seen of them.

use basalthill_client::{Config, Idempotency, Priority, Request, RequestOutcome, Runtime};
use basalthill_standin::client::{Answer, Client as Raw};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// What clients do when a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The library.
    Library,
    /// At once again, up to three more times, whatever it was; at once to the next router when a connection
    /// ends.
    Naive,
    /// Nothing.
    Once,
}

/// A load.
#[derive(Clone, Debug)]
pub struct Load {
    /// What clients do.
    pub kind: Kind,
    /// How many there are.
    pub clients: usize,
    /// Requests a second of each, at random moments.
    pub per_s: f64,
    /// One in so many is a write; none if 0.
    pub write_every: u64,
    /// How long it goes on.
    pub lasts: Duration,
    /// The clients' patience.
    pub deadline: Duration,
    /// For random numbers.
    pub seed: u64,
}

/// What clients have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// When connections were begun.
    pub connects: Vec<Instant>,
    /// When requests ended, and whether they were served.
    pub ends: Vec<(Instant, bool)>,
    /// Tries in all.
    pub tries: u64,
}

static CONNECTS: OnceLock<Mutex<Vec<Instant>>> = OnceLock::new();

fn connects() -> &'static Mutex<Vec<Instant>> {
    CONNECTS.get_or_init(Mutex::default)
}

/// Notes the moment of each connect that the library counts.
struct Recorder;

struct Connect;

impl metrics::CounterFn for Connect {
    fn increment(&self, _: u64) {
        connects().lock().unwrap_or_else(|e| e.into_inner()).push(Instant::now());
    }
    fn absolute(&self, _: u64) {}
}

impl metrics::Recorder for Recorder {
    fn describe_counter(&self, _: metrics::KeyName, _: Option<metrics::Unit>, _: metrics::SharedString) {}
    fn describe_gauge(&self, _: metrics::KeyName, _: Option<metrics::Unit>, _: metrics::SharedString) {}
    fn describe_histogram(&self, _: metrics::KeyName, _: Option<metrics::Unit>, _: metrics::SharedString) {}
    fn register_counter(&self, key: &metrics::Key, _: &metrics::Metadata<'_>) -> metrics::Counter {
        match key.name() == "basalthill_client_connects_total" {
            true => metrics::Counter::from_arc(Arc::new(Connect)),
            false => metrics::Counter::noop(),
        }
    }
    fn register_gauge(&self, _: &metrics::Key, _: &metrics::Metadata<'_>) -> metrics::Gauge {
        metrics::Gauge::noop()
    }
    fn register_histogram(&self, _: &metrics::Key, _: &metrics::Metadata<'_>) -> metrics::Histogram {
        metrics::Histogram::noop()
    }
}

/// One client's load: the moments of its requests, and what they are.
struct Requests {
    rng: Rng,
    next: Instant,
    gap: f64,
    number: u64,
    write_every: u64,
    client: usize,
}

impl Requests {
    fn new(load: &Load, client: usize, from: Instant) -> Requests {
        let rng = Rng::with_seed(load.seed ^ (client as u64 * 7919 + 1));
        let gap = 1.0 / load.per_s;
        let mut all = Requests { rng, next: from, gap, number: 0, write_every: load.write_every, client };
        all.advance();
        all
    }

    fn advance(&mut self) {
        let u = (self.rng.u64(..1 << 30) as f64 + 1.0) / (1u64 << 30) as f64;
        self.next += Duration::from_secs_f64(-u.ln() * self.gap);
    }

    /// The key of the next request, which holds its deadline, and whether it writes.
    fn take(&mut self, zero: Instant, deadline: Instant) -> (String, bool) {
        self.number += 1;
        let write = self.write_every > 0 && self.number % self.write_every == 0;
        let micros = deadline.duration_since(zero).as_micros();
        (format!("{}-{}-{micros}", self.client, self.number), write)
    }
}

/// Plays a load; `meanwhile` runs beside it.
pub fn play(
    routers: &[SocketAddr],
    load: &Load,
    zero: Instant,
    meanwhile: impl FnOnce() + Send,
) -> std::io::Result<Seen> {
    drop(metrics::set_global_recorder(Recorder));
    connects().lock().unwrap_or_else(|e| e.into_inner()).clear();
    let from = Instant::now();
    let until = from + load.lasts;
    let seen = Mutex::new(Seen::default());
    std::thread::scope(|scope| {
        scope.spawn(meanwhile);
        match load.kind {
            Kind::Library => library(load, routers, zero, until, &seen),
            Kind::Naive | Kind::Once => {
                for n in 0..load.clients {
                    let seen = &seen;
                    let thread = std::thread::Builder::new().stack_size(128 * 1024);
                    thread.spawn_scoped(scope, move || naive(load, n, routers, zero, until, seen))?;
                }
                Ok(())
            }
        }
    })?;
    let mut seen = seen.into_inner().unwrap_or_else(|e| e.into_inner());
    seen.connects.append(&mut connects().lock().unwrap_or_else(|e| e.into_inner()));
    Ok(seen)
}

fn library(
    load: &Load,
    routers: &[SocketAddr],
    zero: Instant,
    until: Instant,
    seen: &Mutex<Seen>,
) -> std::io::Result<()> {
    let runtime = Runtime::start()?;
    let executor = async_executor::LocalExecutor::new();
    let from = Instant::now();
    let tasks: Vec<_> = (0..load.clients)
        .map(|n| {
            let client = runtime.client(Config { seed: load.seed + n as u64, ..Config::new(routers) });
            let mut requests = Requests::new(load, n, from);
            executor.spawn(async move {
                while requests.next < until {
                    async_io::Timer::at(requests.next).await;
                    let deadline = Instant::now() + load.deadline;
                    let (key, write) = requests.take(zero, deadline);
                    let request = match write {
                        true => Request::write("write", 2, &key, b"1"),
                        false => Request::read("view", 2, &key).idempotency(Idempotency::Idempotent),
                    };
                    let request = request.tenant("acme").deadline(deadline).priority(Priority::Normal);
                    // One at a time, as the naive ones.
                    let report = client.execute(request).await;
                    let mut seen = seen.lock().unwrap_or_else(|e| e.into_inner());
                    seen.tries += report.attempts.len() as u64;
                    seen.ends.push((Instant::now(), matches!(report.outcome, RequestOutcome::Served(_))));
                    drop(seen);
                    requests.advance();
                }
            })
        })
        .collect();
    futures_lite::future::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    Ok(())
}

/// A client as small teams write it: one connection, one request at a time.
fn naive(load: &Load, n: usize, routers: &[SocketAddr], zero: Instant, until: Instant, seen: &Mutex<Seen>) {
    let mut requests = Requests::new(load, n, Instant::now());
    let (mut at, mut conn): (usize, Option<Raw>) = (n % routers.len(), None);
    let (mut mine, mut tries_at) = (Seen::default(), 0u64);
    while requests.next < until {
        rest(&mut conn, requests.next, &mut at, routers, &mut mine.connects);
        let deadline = Instant::now() + load.deadline;
        let (key, write) = requests.take(zero, deadline);
        requests.advance();
        let most = if load.kind == Kind::Naive { 4 } else { 1 };
        let mut served = false;
        for _ in 0..most {
            if conn.is_none() {
                mine.connects.push(Instant::now());
                conn = Raw::connect(routers[at]).ok();
            }
            mine.tries += 1;
            tries_at += 1;
            let (id, ms) = (format!("{n:06x}{tries_at:010x}"), load.deadline.as_millis());
            let (what, class) = match write {
                true => (format!("INSERT INTO records (k, v) VALUES ('{key}', '1') RETURNING v"), "write"),
                false => (format!("SELECT v FROM records WHERE k = '{key}'"), "view"),
            };
            let text = format!("{what} /* id={id},c={class},t=acme,d={ms},cluster=2 */");
            match conn.as_mut().map(|c| c.query(&text)) {
                Some(Ok(Answer::Row(_))) => {
                    served = Instant::now() <= deadline;
                    break;
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => {
                    (conn, at) = (None, (at + 1) % routers.len());
                }
            }
        }
        mine.ends.push((Instant::now(), served));
    }
    let mut seen = seen.lock().unwrap_or_else(|e| e.into_inner());
    seen.connects.append(&mut mine.connects);
    seen.ends.append(&mut mine.ends);
    seen.tries += mine.tries;
}

/// Waits for the next request's moment. A connection that ends meanwhile is opened anew at once, at the next
/// router, as pools of standing connections do.
fn rest(
    conn: &mut Option<Raw>,
    until: Instant,
    at: &mut usize,
    routers: &[SocketAddr],
    connects: &mut Vec<Instant>,
) {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let Some(raw) = conn.as_ref().filter(|_| left > Duration::from_millis(1)) else {
            return std::thread::sleep(left);
        };
        let _ = raw.stream.set_read_timeout(Some(left));
        let ended = match raw.stream.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        };
        let _ = raw.stream.set_read_timeout(Some(Duration::from_secs(5)));
        if !ended {
            continue;
        }
        *at = (*at + 1) % routers.len();
        connects.push(Instant::now());
        *conn = Raw::connect(routers[*at]).ok();
    }
}

/// What hosts have seen: statements in all, writes committed more than once, and statements that came after
/// the deadline that their key holds.
pub fn at_hosts(world: &Deployment, zero: Instant) -> (usize, usize, usize) {
    let (mut all, mut late) = (0, 0);
    let mut writes: BTreeMap<String, usize> = BTreeMap::new();
    for host in &world.group.hosts {
        let seen = host.seen.lock();
        for statement in &seen.statements {
            let (text, at) = (&statement.text, &statement.received_at);
            let Some(key) = text.split('\'').nth(1) else { continue };
            all += 1;
            let deadline = key.rsplit('-').next().and_then(|d| d.parse().ok()).map(Duration::from_micros);
            late += usize::from(deadline.is_some_and(|d| *at > zero + d));
            if text.starts_with("INSERT") {
                writes.entry(key.to_string()).or_default();
            }
        }
    }
    for (key, times) in &mut writes {
        *times = world.group.committed_values(key).len();
    }
    (all, writes.values().filter(|n| **n > 1).count(), late)
}

/// The most of these moments that lie within any span, from one moment to another.
pub fn peak(moments: &[Instant], from: Instant, to: Instant, span: Duration) -> usize {
    let mut all: Vec<Instant> = moments.iter().copied().filter(|m| *m >= from && *m < to).collect();
    all.sort();
    let mut first = 0;
    let counts = (0..all.len()).map(|n| {
        while all[n] - all[first] > span {
            first += 1;
        }
        n + 1 - first
    });
    counts.max().unwrap_or(0)
}
