//! Loads from many clients: clients of the library, naive clients, and clients that never retry.

mod naive;
mod with_library;

use basalthill_standin::{connect_recorder, Rng};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The number of a client is multiplied by this prime number to derive the client's random seed.
const SEED_STRIDE: u64 = 7919;
/// Stack size of a naive client's thread, in bytes. Each naive client has its own thread.
const NAIVE_STACK_BYTES: usize = 128 * 1024;

/// What clients do when a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// The client library retries the request within its retry budget.
    Library,
    /// Clients retry the request immediately after any error, up to three times. If their connection closes,
    /// they connect to the next router immediately.
    Naive,
    /// Clients do not retry the request. They replace closed connections as [`ClientKind::Naive`] does.
    NoRetries,
}

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    /// The kind of its clients.
    pub kind: ClientKind,
    /// The number of clients.
    pub clients: usize,
    /// Requests per second of each client, on average, at random times.
    pub per_s: f64,
    /// The interval of writes among the requests of each client: with 3, every third request is a write; with
    /// 0, all requests are reads.
    pub write_every: u64,
    /// The duration of the load.
    pub duration: Duration,
    /// The timeout of each request.
    pub timeout: Duration,
    /// The seed of the random number generators.
    pub seed: u64,
}

impl ClientLoad {
    fn client_seed(&self, client: usize) -> u64 {
        self.seed ^ (client as u64 * SEED_STRIDE + 1)
    }
}

/// A request that has completed, served or not.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// The time at which the request completed.
    pub at: Instant,
    /// Whether the request was served before its deadline.
    pub served: bool,
}

/// What the clients of a load recorded.
#[derive(Debug, Default)]
pub struct ClientRecord {
    /// The times at which connection attempts began.
    pub connects: Vec<Instant>,
    /// The requests that have completed.
    pub completed: Vec<CompletedRequest>,
    /// The number of attempts of all requests.
    pub attempts: u64,
}

impl ClientRecord {
    /// Returns the number of requests that were served before their deadlines.
    pub fn served(&self) -> usize {
        self.completed.iter().filter(|request| request.served).count()
    }

    /// Returns the mean number of attempts per request.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.completed.len().max(1) as f64
    }

    fn add(&mut self, mut other: ClientRecord) {
        self.connects.append(&mut other.connects);
        self.completed.append(&mut other.completed);
        self.attempts += other.attempts;
    }
}

/// A load that is running.
struct LoadRun<'a> {
    load: &'a ClientLoad,
    routers: &'a [SocketAddr],
    /// The time from which the deadlines in keys are counted.
    epoch: Instant,
    end: Instant,
    record: Mutex<ClientRecord>,
}

impl LoadRun<'_> {
    /// Adds the record of one client.
    fn add(&self, record: ClientRecord) {
        self.record.lock().unwrap_or_else(PoisonError::into_inner).add(record);
    }
}

/// Runs a load. `side_task` runs concurrently on a separate thread. `epoch` is the time from which the
/// deadlines in keys are counted.
pub fn run_clients(
    routers: &[SocketAddr],
    load: &ClientLoad,
    epoch: Instant,
    side_task: impl FnOnce() + Send,
) -> anyhow::Result<ClientRecord> {
    connect_recorder::start();
    let end = Instant::now() + load.duration;
    let load_run = LoadRun { load, routers, epoch, end, record: Mutex::default() };
    std::thread::scope(|scope| {
        scope.spawn(side_task);
        match load.kind {
            ClientKind::Library => with_library::run(&load_run),
            ClientKind::Naive | ClientKind::NoRetries => {
                for n in 0..load.clients {
                    let load_run = &load_run;
                    let thread = std::thread::Builder::new().stack_size(NAIVE_STACK_BYTES);
                    thread.spawn_scoped(scope, move || naive::run(load_run, n))?;
                }
                Ok(())
            }
        }
    })?;
    let mut record = load_run.record.into_inner().unwrap_or_else(PoisonError::into_inner);
    record.connects.append(&mut connect_recorder::take());
    Ok(record)
}

/// The next request of a client.
struct NextRequest {
    /// The key, which is unique and contains the deadline of the request.
    key: String,
    is_write: bool,
}

/// Generates the requests of one client and the times at which they are sent.
struct RequestSchedule {
    rng: Rng,
    next_at: Instant,
    mean_gap_s: f64,
    sequence: u64,
    write_every: u64,
    client: usize,
}

impl RequestSchedule {
    fn new(load: &ClientLoad, client: usize, from: Instant) -> RequestSchedule {
        let mut schedule = RequestSchedule {
            rng: Rng::with_seed(load.client_seed(client)),
            next_at: from,
            mean_gap_s: 1.0 / load.per_s,
            sequence: 0,
            write_every: load.write_every,
            client,
        };
        schedule.advance();
        schedule
    }

    /// Advances to the time of the next request. The intervals are exponentially distributed, like those
    /// between independent requests.
    fn advance(&mut self) {
        // `uniform` is in (0, 1], so that its logarithm is finite.
        let uniform = 1.0 - self.rng.f64();
        self.next_at += Duration::from_secs_f64(-uniform.ln() * self.mean_gap_s);
    }

    /// Returns the next request. Its key contains the deadline in microseconds since `epoch`.
    fn next_request(&mut self, epoch: Instant, deadline: Instant) -> NextRequest {
        self.sequence += 1;
        let is_write = self.write_every > 0 && self.sequence % self.write_every == 0;
        let deadline_us = deadline.duration_since(epoch).as_micros();
        NextRequest { key: format!("{}-{}-{deadline_us}", self.client, self.sequence), is_write }
    }
}

/// Returns the maximum number of `times` in any window of length `window` in the range `within`.
pub fn peak_in_window(times: &[Instant], within: Range<Instant>, window: Duration) -> usize {
    let mut sorted: Vec<Instant> = times.iter().copied().filter(|time| within.contains(time)).collect();
    sorted.sort();
    let mut first = 0;
    let mut max = 0;
    for (n, time) in sorted.iter().enumerate() {
        while *time - sorted[first] > window {
            first += 1;
        }
        max = max.max(n + 1 - first);
    }
    max
}
