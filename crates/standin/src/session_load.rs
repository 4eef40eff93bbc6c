//! A load of sessions that write and read through routers. Each read is checked against the oracle of the
//! group.

mod report;
mod session;

pub use report::{ReplicaFraction, SessionLoadReport};

use crate::group::Group;
use session::Session;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// The time between two calls of the progress callback.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(5);
/// Difference between the session seeds of two loads with consecutive seeds: a prime larger than any number
/// of sessions, so that the sessions of both loads have different seeds.
const SEED_STRIDE: u64 = 1_000_003;

/// How sessions connect to routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionMode {
    /// Each session has one connection, which it closes before it switches to another router.
    OneAtATime,
    /// Sessions share pooled connections to all routers.
    Pooled,
    /// Like [`Self::Pooled`], but each session also sends the last session token that it has received with
    /// its next request.
    PooledTokens,
    /// Each session uses one router, over pooled connections.
    OneRouter,
}

/// Configuration of a load.
#[derive(Clone, Debug)]
pub struct SessionLoad {
    /// How sessions connect to routers.
    pub mode: ConnectionMode,
    /// Number of concurrent sessions, each of which runs on its own thread.
    pub sessions: usize,
    /// Number of served reads, over all sessions, after which the load stops.
    pub reads: usize,
    /// One in this many reads, at random, has the class `status`, which must see the writes of all sessions;
    /// none if 0.
    pub status_every: u64,
    /// Longest pause before a read, in microseconds. Half of the reads have no pause.
    pub max_think_time_us: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl SessionLoad {
    fn session_seed(&self, session: usize) -> u64 {
        self.seed.wrapping_mul(SEED_STRIDE).wrapping_add(session as u64)
    }
}

/// Runs a load against routers until [`SessionLoad::reads`] reads have been served. Every 5 ms, calls
/// `on_progress` with the fraction of the reads that have been served.
pub fn run_load(
    group: &Group,
    routers: &[SocketAddr],
    load: &SessionLoad,
    mut on_progress: impl FnMut(f64),
) -> SessionLoadReport {
    let served_reads = AtomicUsize::new(0);
    let stopped = AtomicBool::new(false);
    let pools: Vec<_> = routers.iter().map(|_| session::Pool::default()).collect();
    let run_session = |number: usize| {
        let mut session = Session::new(number, routers, &pools, load);
        while !stopped.load(Ordering::Relaxed) {
            let served = session.run_round(group);
            if served_reads.fetch_add(served, Ordering::Relaxed) + served >= load.reads {
                stopped.store(true, Ordering::Relaxed);
            }
        }
        session.into_report()
    };
    let run_session = &run_session;
    let mut report = SessionLoadReport::default();
    std::thread::scope(|scope| {
        let sessions: Vec<_> =
            (0..load.sessions).map(|number| scope.spawn(move || run_session(number))).collect();
        while !stopped.load(Ordering::Relaxed) {
            on_progress(served_reads.load(Ordering::Relaxed) as f64 / load.reads.max(1) as f64);
            std::thread::sleep(PROGRESS_INTERVAL);
        }
        for session in sessions {
            if let Ok(session_report) = session.join() {
                report.add(session_report);
            }
        }
    });
    report
}
