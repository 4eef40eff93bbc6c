//! Clients that send reads to routers at a given rate, and count the answers.

use crate::client::{Client, Reply};
use crate::Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits for an answer before it connects anew.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1800);
/// How often a client that has nothing to send looks at its rate, and its pause after a broken connection.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// A client that a slow router has held up sends no burst to catch up: only requests that were due within
/// this time are sent late.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);
/// Rates are shared as thousandths of a request a second.
const RATE_UNITS_PER_REQUEST: f64 = 1000.0;
/// Gaps between requests are drawn as multiples of the mean, in steps of a millionth up to twice the mean.
const GAP_STEPS_PER_MEAN: u64 = 1_000_000;
/// Request ids have so many bits.
const ID_BITS: u32 = 63;

/// Answers that clients have received, over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTotals {
    /// Values.
    pub served: u64,
    /// Rejections.
    pub rejected: u64,
    /// Anything else, and connections that broke.
    pub failed: u64,
}

/// Answers that the clients of one router have received.
#[derive(Debug, Default)]
pub struct ClientCounts {
    /// Values.
    pub served: AtomicU64,
    /// Rejections.
    pub rejected: AtomicU64,
    /// Anything else, and connections that broke.
    pub failed: AtomicU64,
    /// How long values took, in microseconds.
    pub latencies_us: Mutex<Vec<u32>>,
}

/// Clients that send reads at given rates, each to one router over one connection, on a thread of its own.
/// They end when dropped.
pub struct PacedClients {
    /// What they have received, by router.
    pub counts: Vec<Arc<ClientCounts>>,
    /// The rate for each router, in [`RATE_UNITS_PER_REQUEST`].
    rates: Vec<Arc<AtomicU64>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl PacedClients {
    /// Starts so many clients for each router, at rate zero. `comment` goes into each statement.
    pub fn start(addrs: &[SocketAddr], connections: usize, comment: &str, seed: u64) -> PacedClients {
        let is_over = Arc::new(AtomicBool::new(false));
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
                    is_over: Arc::clone(&is_over),
                    comment: comment.into(),
                    rng: Rng::with_seed(seed ^ (router as u64) << 32 ^ (connection as u64) << 16),
                    connection: None,
                };
                threads.push(std::thread::spawn(move || client.run()));
            }
            counts.push(router_counts);
            rates.push(rate);
        }
        PacedClients { counts, rates, is_over, threads }
    }

    /// Sets the rate at which all clients of a router together send, in requests a second.
    pub fn set_rate(&self, router: usize, per_s: f64) {
        self.rates[router].store((per_s * RATE_UNITS_PER_REQUEST) as u64, Ordering::Relaxed);
    }

    /// What has been received from all routers.
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
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// One client.
struct PacedClient {
    addr: SocketAddr,
    counts: Arc<ClientCounts>,
    rate: Arc<AtomicU64>,
    /// How many clients the rate is divided between.
    clients_of_router: f64,
    is_over: Arc<AtomicBool>,
    comment: String,
    rng: Rng,
    connection: Option<Client>,
}

impl PacedClient {
    fn run(mut self) {
        let mut next_at = Instant::now();
        while !self.is_over.load(Ordering::Relaxed) {
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
            next_at = next_at.max(now - MAX_CATCH_UP) + self.gap(per_s);
            self.send_request();
        }
    }

    /// Its own rate, in requests a second.
    fn per_s(&self) -> f64 {
        self.rate.load(Ordering::Relaxed) as f64 / RATE_UNITS_PER_REQUEST / self.clients_of_router
    }

    /// The time to the request after the next one: evenly distributed between 0 and twice the mean.
    fn gap(&mut self, per_s: f64) -> Duration {
        let steps = self.rng.u64(..=2 * GAP_STEPS_PER_MEAN);
        Duration::from_secs_f64(steps as f64 / GAP_STEPS_PER_MEAN as f64 / per_s)
    }

    /// Sends one read and counts its answer.
    fn send_request(&mut self) {
        if self.connection.is_none() {
            let fresh = Client::connect(self.addr).ok();
            self.connection = fresh.filter(|c| c.stream.set_read_timeout(Some(ANSWER_TIMEOUT)).is_ok());
        }
        let id = self.rng.u64(..1 << ID_BITS);
        let comment = &self.comment;
        let text = format!("SELECT v FROM records WHERE k = 'x' /* id={id:016x},{comment} */");
        let sent_at = Instant::now();
        let answer = self.connection.as_mut().and_then(|c| c.query(&text).ok());
        match answer {
            Some(Reply::Row(_)) => {
                self.counts.served.fetch_add(1, Ordering::Relaxed);
                let took_us = sent_at.elapsed().as_micros() as u32;
                let mut latencies = self.counts.latencies_us.lock().unwrap_or_else(PoisonError::into_inner);
                latencies.push(took_us);
            }
            Some(answer) if answer.is_rejection() => {
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
