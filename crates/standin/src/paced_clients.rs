//! Clients that send reads to routers at a given rate and count the replies.

use crate::client::{Client, Reply};
use crate::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits for a reply before it opens a new connection.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1800);
/// Maximum time between two checks of a client's rate, and the pause of a client whose connection has failed.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// After a slow reply, a client sends only the overdue requests that were due within this time, to avoid a
/// burst.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);
/// Number of units of a stored rate that are equal to one request per second. Rates are stored as integers.
const RATE_UNITS_PER_REQUEST: f64 = 1000.0;
/// Intervals between requests are random multiples of a millionth of the mean interval, up to twice the mean.
const INTERVAL_STEPS_PER_MEAN: u64 = 1_000_000;
/// Number of bits in a request id.
const ID_BITS: u32 = 63;

/// Numbers of replies that the clients of all routers have received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTotals {
    /// Replies that are a row: the request was served.
    pub served: u64,
    /// Replies by which the router rejected the request.
    pub rejected: u64,
    /// Other replies, and requests without a reply.
    pub failed: u64,
}

/// Numbers of replies that the clients of one router have received.
#[derive(Debug, Default)]
pub struct ClientCounts {
    /// Replies that are a row: the request was served.
    pub served: AtomicU64,
    /// Replies by which the router rejected the request.
    pub rejected: AtomicU64,
    /// Other replies, and requests without a reply.
    pub failed: AtomicU64,
    /// Latencies of the served requests, in microseconds.
    pub latencies_us: Mutex<Vec<u32>>,
}

/// Clients that send reads at given rates, each to one router over one connection and on its own thread.
/// Dropping a `PacedClients` stops its clients.
pub struct PacedClients {
    /// Numbers of replies, by router.
    pub counts: Vec<Arc<ClientCounts>>,
    /// Rate of all clients of each router together. [`RATE_UNITS_PER_REQUEST`] units are equal to one request
    /// per second.
    rates: Vec<Arc<AtomicU64>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl PacedClients {
    /// Starts `connections` clients for each router, at rate zero. `comment` is added to the comment of each
    /// statement, after the request id.
    pub fn start(addrs: &[SocketAddr], connections: usize, comment: &str, seed: u64) -> PacedClients {
        let stopped = Arc::new(AtomicBool::new(false));
        let (mut counts, mut rates, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        for (router, addr) in addrs.iter().enumerate() {
            let router_counts = Arc::new(ClientCounts::default());
            let rate = Arc::new(AtomicU64::new(0));
            for connection in 0..connections {
                let client = PacedClient {
                    addr: *addr,
                    counts: Arc::clone(&router_counts),
                    rate: Arc::clone(&rate),
                    clients_of_router: connections as f64,
                    stopped: Arc::clone(&stopped),
                    comment: comment.into(),
                    rng: Rng::with_seed(seed ^ (router as u64) << 32 ^ (connection as u64) << 16),
                    connection: None,
                };
                threads.push(std::thread::spawn(move || client.run()));
            }
            counts.push(router_counts);
            rates.push(rate);
        }
        PacedClients { counts, rates, stopped, threads }
    }

    /// Sets the rate at which all clients of a router together send requests, in requests per second.
    pub fn set_rate(&self, router: usize, per_s: f64) {
        self.rates[router].store((per_s * RATE_UNITS_PER_REQUEST) as u64, Ordering::Relaxed);
    }

    /// Returns the numbers of replies over all routers.
    pub fn totals(&self) -> ClientTotals {
        let sum = |count: fn(&ClientCounts) -> &AtomicU64| {
            self.counts.iter().map(|counts| count(counts).load(Ordering::Relaxed)).sum()
        };
        ClientTotals {
            served: sum(|c| &c.served),
            rejected: sum(|c| &c.rejected),
            failed: sum(|c| &c.failed),
        }
    }
}

impl Drop for PacedClients {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// A client with one connection to a router.
struct PacedClient {
    addr: SocketAddr,
    counts: Arc<ClientCounts>,
    rate: Arc<AtomicU64>,
    /// Number of clients of the router, between which its rate is divided.
    clients_of_router: f64,
    stopped: Arc<AtomicBool>,
    comment: String,
    rng: Rng,
    connection: Option<Client>,
}

impl PacedClient {
    fn run(mut self) {
        let mut next_at = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            let per_s = self.per_s();
            if per_s <= 0.0 {
                std::thread::sleep(IDLE_INTERVAL);
                next_at = Instant::now();
                continue;
            }
            let now = Instant::now();
            if now < next_at {
                std::thread::sleep((next_at - now).min(IDLE_INTERVAL));
                continue;
            }
            next_at = next_at.max(now - MAX_CATCH_UP) + self.interval(per_s);
            self.send_request();
        }
    }

    /// Returns the rate of this client, in requests per second.
    fn per_s(&self) -> f64 {
        self.rate.load(Ordering::Relaxed) as f64 / RATE_UNITS_PER_REQUEST / self.clients_of_router
    }

    /// Returns the time from the next request to the one after it, uniformly distributed between 0 and twice
    /// the mean.
    fn interval(&mut self, per_s: f64) -> Duration {
        let steps = self.rng.u64(..=2 * INTERVAL_STEPS_PER_MEAN);
        Duration::from_secs_f64(steps as f64 / INTERVAL_STEPS_PER_MEAN as f64 / per_s)
    }

    /// Sends a read and counts its reply.
    fn send_request(&mut self) {
        if self.connection.is_none() {
            let client = Client::connect(self.addr).ok();
            self.connection = client.filter(|c| c.stream.set_read_timeout(Some(REPLY_TIMEOUT)).is_ok());
        }
        let id = self.rng.u64(..1 << ID_BITS);
        let comment = &self.comment;
        let text = format!("SELECT v FROM records WHERE k = 'x' /* id={id:016x},{comment} */");
        let sent_at = Instant::now();
        let reply = self.connection.as_mut().and_then(|c| c.query(&text).ok());
        match reply {
            Some(Reply::Row(_)) => {
                self.counts.served.fetch_add(1, Ordering::Relaxed);
                let latency_us = sent_at.elapsed().as_micros() as u32;
                let mut latencies = self.counts.latencies_us.lock().unwrap_or_else(PoisonError::into_inner);
                latencies.push(latency_us);
            }
            Some(reply) if reply.is_rejection() => {
                self.counts.rejected.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {
                self.counts.failed.fetch_add(1, Ordering::Relaxed);
            }
            None => {
                self.counts.failed.fetch_add(1, Ordering::Relaxed);
                self.connection = None;
                std::thread::sleep(IDLE_INTERVAL);
            }
        }
    }
}
