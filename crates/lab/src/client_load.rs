//! Loads by many clients: of the library's kind, of the naive kind, and of the kind that never retries.

mod naive;
mod with_library;

use basalthill_standin::{connect_recorder, Rng};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Spreads the seed of a load over its clients.
const SEED_STRIDE: u64 = 7919;
/// Naive clients have a thread each, whose stack has so many bytes.
const NAIVE_STACK_BYTES: usize = 128 * 1024;

/// What clients do when a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// What the library does.
    Library,
    /// They retry at once, up to three times, whatever the error was, and connect to the next router at once
    /// when a connection ends.
    Naive,
    /// Nothing.
    NoRetries,
}

/// A load.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    /// What clients do when a request is not served.
    pub kind: ClientKind,
    /// How many there are.
    pub clients: usize,
    /// Requests a second of each, at random moments.
    pub per_s: f64,
    /// One in so many requests is a write; none if 0.
    pub write_every: u64,
    /// How long it goes on.
    pub duration: Duration,
    /// The time that each request has.
    pub timeout: Duration,
    /// For random numbers.
    pub seed: u64,
}

impl ClientLoad {
    fn client_seed(&self, client: usize) -> u64 {
        self.seed ^ (client as u64 * SEED_STRIDE + 1)
    }
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// When it ended.
    pub at: Instant,
    /// Whether it was served in time.
    pub served: bool,
}

/// What clients have seen.
#[derive(Debug, Default)]
pub struct ClientRecord {
    /// When connects were begun.
    pub connects: Vec<Instant>,
    /// Requests that have ended.
    pub completed: Vec<CompletedRequest>,
    /// Attempts in all.
    pub attempts: u64,
}

impl ClientRecord {
    /// How many requests were served in time.
    pub fn served(&self) -> usize {
        self.completed.iter().filter(|request| request.served).count()
    }

    /// Attempts for each request, on average.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.completed.len().max(1) as f64
    }

    fn add(&mut self, mut other: ClientRecord) {
        self.connects.append(&mut other.connects);
        self.completed.append(&mut other.completed);
        self.attempts += other.attempts;
    }
}

/// A load that runs.
struct LoadRun<'a> {
    load: &'a ClientLoad,
    routers: &'a [SocketAddr],
    /// The moment from which deadlines in keys count.
    epoch: Instant,
    end: Instant,
    record: Mutex<ClientRecord>,
}

impl LoadRun<'_> {
    /// Adds what a client has seen.
    fn add(&self, record: ClientRecord) {
        self.record.lock().unwrap_or_else(PoisonError::into_inner).add(record);
    }
}

/// Runs a load; `meanwhile` runs beside it, on a thread of its own.
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

/// A request that a client sends next.
struct NextRequest {
    /// Its key, which no other request has and which contains its deadline.
    key: String,
    is_write: bool,
}

/// The requests of one client: their moments, and what they are.
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

    /// Goes on to the next request's moment: gaps are distributed exponentially, as between independent
    /// requests.
    fn advance(&mut self) {
        // In (0, 1], so that its logarithm is finite.
        let uniform = 1.0 - self.rng.f64();
        self.next_at += Duration::from_secs_f64(-uniform.ln() * self.mean_gap_s);
    }

    /// The next request, whose deadline counts from `zero`.
    fn next_request(&mut self, epoch: Instant, deadline: Instant) -> NextRequest {
        self.sequence += 1;
        let is_write = self.write_every > 0 && self.sequence % self.write_every == 0;
        let deadline_us = deadline.duration_since(epoch).as_micros();
        NextRequest { key: format!("{}-{}-{deadline_us}", self.client, self.sequence), is_write }
    }
}

/// The most of these moments that lie within any `window` of a span of time.
pub fn peak_in_window(times: &[Instant], within: Range<Instant>, window: Duration) -> usize {
    let mut sorted: Vec<Instant> = times.iter().copied().filter(|m| within.contains(m)).collect();
    sorted.sort();
    let mut first = 0;
    let mut max = 0;
    for (n, moment) in sorted.iter().enumerate() {
        while *moment - sorted[first] > window {
            first += 1;
        }
        max = max.max(n + 1 - first);
    }
    max
}
