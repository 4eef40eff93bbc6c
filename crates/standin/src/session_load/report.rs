//! The results of a session load.

use std::fmt;
use std::time::{Duration, Instant};

/// Maximum number of stale reads that are described.
const STALE_EXAMPLES: usize = 5;
/// A wait for a reply that is longer than this counts as a stall of the machine. Routers take a member that
/// has sent nothing for 250 ms out of service for a second, so a stall may change which members serve reads.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after a stall during which the primary may still serve reads that replicas would otherwise serve.
const STALL_AFTERMATH: Duration = Duration::from_millis(1500);

/// A time span in which a session waited for a reply for longer than [`STALL_THRESHOLD`].
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

/// The fraction of session reads that replicas served.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaFraction {
    /// Number of session reads that were counted.
    pub reads: usize,
    /// Fraction of the counted reads that replicas served; 0 if no read was counted.
    pub fraction: f64,
}

/// The results of a session load.
#[derive(Clone, Debug, Default)]
pub struct SessionLoadReport {
    /// Served reads of the classes `own` (session reads) and `status`.
    pub reads: usize,
    /// Served reads that returned an older value than the last one committed before the read was sent.
    pub stale: usize,
    /// Served session reads.
    pub session_reads: usize,
    /// Served session reads that replicas served.
    pub replica_reads: usize,
    /// Writes whose reply was a row.
    pub writes: usize,
    /// Writes that may or may not have been executed: there was no reply, or an error other than a rejection.
    pub unknown: usize,
    /// Requests that were rejected or failed, or whose connection failed.
    pub not_served: usize,
    /// Latencies of the session reads, in microseconds.
    pub latencies_us: Vec<u32>,
    /// Descriptions of the first stale reads, at most five.
    pub first_stale: Vec<String>,
    served_reads: Vec<ServedRead>,
    stalls: Vec<Stall>,
}

impl SessionLoadReport {
    /// Adds the results of another report.
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

    /// Records the time span of a request, for [`Self::replica_fraction_without_stalls`].
    pub(super) fn record_wait(&mut self, from: Instant, until: Instant) {
        if until - from > STALL_THRESHOLD {
            self.stalls.push(Stall { from, until });
        }
    }

    /// Counts a served session read.
    pub(super) fn record_session_read(&mut self, sent_at: Instant, elapsed: Duration, by_replica: bool) {
        self.session_reads += 1;
        self.replica_reads += usize::from(by_replica);
        self.latencies_us.push(elapsed.as_micros() as u32);
        self.served_reads.push(ServedRead { sent_at, by_replica });
    }

    /// Counts a stale read.
    pub(super) fn record_stale(&mut self, description: String) {
        self.stale += 1;
        self.first_stale.push(description);
        self.first_stale.truncate(STALE_EXAMPLES);
    }

    /// Returns the latency within which this fraction of the session reads was served, in microseconds; 0 if
    /// there were none.
    pub fn quantile_us(&self, fraction: f64) -> u32 {
        let mut latencies = self.latencies_us.clone();
        latencies.sort_unstable();
        let last = latencies.len().saturating_sub(1);
        let index = ((latencies.len() as f64 * fraction) as usize).min(last);
        latencies.get(index).copied().unwrap_or(0)
    }

    /// Returns how many session reads were sent neither during a stall nor shortly after it, and the fraction
    /// of them that replicas served. When the machine stalls, responses of members are late and routers take
    /// these members out of service for some time, which is the intended behavior.
    pub fn replica_fraction_without_stalls(&self) -> ReplicaFraction {
        let is_counted = |read: &&ServedRead| !self.is_near_stall(read.sent_at);
        let (mut reads, mut by_replicas) = (0, 0);
        for read in self.served_reads.iter().filter(is_counted) {
            reads += 1;
            by_replicas += usize::from(read.by_replica);
        }
        ReplicaFraction { reads, fraction: by_replicas as f64 / reads.max(1) as f64 }
    }

    /// Returns whether `at` is within a stall or within [`STALL_AFTERMATH`] after one.
    fn is_near_stall(&self, at: Instant) -> bool {
        self.stalls.iter().any(|stall| stall.from <= at && at <= stall.until + STALL_AFTERMATH)
    }

    /// Returns the fraction of the session reads that replicas served.
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
