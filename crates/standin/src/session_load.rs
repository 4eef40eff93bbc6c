//! A load of sessions that write and read through routers, each answer checked against the group's oracle.

mod report;
mod session;

pub use report::{ReplicaFraction, SessionLoadReport};

use crate::group::Group;
use session::Session;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Between two calls of what runs beside a load.
const MEANWHILE_INTERVAL: Duration = Duration::from_millis(5);
/// Spreads the seed of a load over its sessions: a prime larger than any count of sessions.
const SEED_STRIDE: u64 = 1_000_003;

/// How sessions connect to routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionMode {
    /// Each session has one connection at a time, and closes it before it moves to another router.
    OneAtATime,
    /// Sessions use pooled connections to all routers.
    Pooled,
    /// As `Pooled`, and the session token that a router hands out is given back to the next one.
    PooledTokens,
    /// Each session stays with one router, over pooled connections.
    OneRouter,
}

/// What sessions do.
#[derive(Clone, Debug)]
pub struct SessionLoad {
    /// How they connect.
    pub mode: ConnectionMode,
    /// How many run at a time, a thread each.
    pub sessions: usize,
    /// They stop after so many reads together.
    pub reads: usize,
    /// One in so many reads, at random, goes to the class `status`, which sees all writes; none if 0.
    pub status_every: u64,
    /// The longest pause before a read, in microseconds; half of the reads come without one.
    pub max_think_time_us: u64,
    /// For random numbers.
    pub seed: u64,
}

impl SessionLoad {
    fn session_seed(&self, session: usize) -> u64 {
        self.seed.wrapping_mul(SEED_STRIDE).wrapping_add(session as u64)
    }
}

/// Runs a load against routers until it has had its reads. `meanwhile` is called again and again beside it,
/// with the fraction of the reads that are done.
pub fn run_load(
    group: &Group,
    routers: &[SocketAddr],
    load: &SessionLoad,
    mut meanwhile: impl FnMut(f64),
) -> SessionLoadReport {
    let reads_done = AtomicUsize::new(0);
    let is_over = AtomicBool::new(false);
    let pools: Vec<_> = routers.iter().map(|_| session::Pool::default()).collect();
    let run_session = |number: usize| {
        let mut session = Session::new(number, routers, &pools, load);
        while !is_over.load(Ordering::Relaxed) {
            let served = session.run_round(group);
            if reads_done.fetch_add(served, Ordering::Relaxed) + served >= load.reads {
                is_over.store(true, Ordering::Relaxed);
            }
        }
        session.into_report()
    };
    let run_session = &run_session;
    let mut report = SessionLoadReport::default();
    std::thread::scope(|scope| {
        let sessions: Vec<_> =
            (0..load.sessions).map(|number| scope.spawn(move || run_session(number))).collect();
        while !is_over.load(Ordering::Relaxed) {
            meanwhile(reads_done.load(Ordering::Relaxed) as f64 / load.reads.max(1) as f64);
            std::thread::sleep(MEANWHILE_INTERVAL);
        }
        for session in sessions {
            if let Ok(of_session) = session.join() {
                report.add(of_session);
            }
        }
    });
    report
}
