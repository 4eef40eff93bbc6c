//! The figures of a session load.

use std::fmt;
use std::time::{Duration, Instant};

/// How many of the first stale answers are described.
const STALE_EXAMPLES: usize = 5;
/// A member that sends nothing for 250 ms is out of service for a second: an answer that takes longer than
/// this may be the sign of a machine that stalled.
const STALL: Duration = Duration::from_millis(200);
/// So long after a stall the primary may still serve what replicas could have.
const STALL_AFTERMATH: Duration = Duration::from_millis(1500);

/// A span of time in which somebody waited for an answer for longer than [`STALL`].
#[derive(Clone, Copy, Debug)]
struct Stall {
    from: Instant,
    until: Instant,
}

/// A session read that was served.
#[derive(Clone, Copy, Debug)]
struct ServedRead {
    sent_at: Instant,
    by_replica: bool,
}

/// How much replicas have served of a number of session reads.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaFraction {
    /// The session reads that count.
    pub reads: usize,
    /// The fraction of them that replicas served; 0 without any.
    pub fraction: f64,
}

/// What came of a session load.
#[derive(Clone, Debug, Default)]
pub struct SessionLoadReport {
    /// Session reads and fresh reads served.
    pub reads: usize,
    /// Of them, answers older than what had been written before the read was sent.
    pub stale: usize,
    /// Session reads served.
    pub session_reads: usize,
    /// Of them, reads that replicas served.
    pub replica_reads: usize,
    /// Writes that succeeded.
    pub writes: usize,
    /// Writes whose outcome the session does not know.
    pub unknown: usize,
    /// Requests rejected or failed, and connections that broke.
    pub not_served: usize,
    /// How long session reads took, in microseconds.
    pub latencies_us: Vec<u32>,
    /// Descriptions of the first stale answers.
    pub first_stale: Vec<String>,
    served_reads: Vec<ServedRead>,
    stalls: Vec<Stall>,
}

impl SessionLoadReport {
    /// Adds another's figures.
    pub fn add(&mut self, other: SessionLoadReport) {
        self.reads += other.reads;
        self.stale += other.stale;
        self.session_reads += other.session_reads;
        self.replica_reads += other.replica_reads;
        self.writes += other.writes;
        self.unknown += other.unknown;
        self.not_served += other.not_served;
        self.latencies_us.extend(other.latencies_us);
        self.first_stale.extend(other.first_stale);
        self.first_stale.truncate(STALE_EXAMPLES);
        self.served_reads.extend(other.served_reads);
        self.stalls.extend(other.stalls);
    }

    /// Notes how long an answer took, for [`Self::replica_fraction_without_stalls`].
    pub(super) fn record_wait(&mut self, from: Instant, until: Instant) {
        if until - from > STALL {
            self.stalls.push(Stall { from, until });
        }
    }

    /// Counts a session read that was served.
    pub(super) fn record_session_read(&mut self, sent_at: Instant, took: Duration, by_replica: bool) {
        self.session_reads += 1;
        self.replica_reads += usize::from(by_replica);
        self.latencies_us.push(took.as_micros() as u32);
        self.served_reads.push(ServedRead { sent_at, by_replica });
    }

    /// Counts a stale answer.
    pub(super) fn record_stale(&mut self, description: String) {
        self.stale += 1;
        self.first_stale.push(description);
        self.first_stale.truncate(STALE_EXAMPLES);
    }

    /// The time within which this fraction of the session reads was served, in microseconds; 0 without any.
    pub fn quantile_us(&self, fraction: f64) -> u32 {
        let mut latencies = self.latencies_us.clone();
        latencies.sort_unstable();
        let last = latencies.len().saturating_sub(1);
        let at = ((latencies.len() as f64 * fraction) as usize).min(last);
        latencies.get(at).copied().unwrap_or(0)
    }

    /// Of the session reads that were sent while the machine did not stall: how many, and the fraction of
    /// them that replicas served. On a machine that stalls, members answer too late and are out of service
    /// for a while, as they should be.
    pub fn replica_fraction_without_stalls(&self) -> ReplicaFraction {
        let counts = |read: &&ServedRead| !self.is_near_stall(read.sent_at);
        let (mut reads, mut by_replicas) = (0, 0);
        for read in self.served_reads.iter().filter(counts) {
            reads += 1;
            by_replicas += usize::from(read.by_replica);
        }
        ReplicaFraction { reads, fraction: by_replicas as f64 / reads.max(1) as f64 }
    }

    fn is_near_stall(&self, moment: Instant) -> bool {
        self.stalls.iter().any(|stall| stall.from <= moment && moment <= stall.until + STALL_AFTERMATH)
    }

    /// The fraction of the session reads that replicas served.
    pub fn replica_fraction(&self) -> f64 {
        self.replica_reads as f64 / self.session_reads.max(1) as f64
    }
}

impl fmt::Display for SessionLoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SessionLoadReport { reads, stale, writes, unknown, not_served, .. } = self;
        write!(f, "reads={reads} stale={stale} replica_share={:.4}", self.replica_fraction())?;
        write!(f, " p50_us={} p99_us={}", self.quantile_us(0.5), self.quantile_us(0.99))?;
        write!(f, " writes={writes} unknown={unknown} not_served={not_served}")
    }
}
