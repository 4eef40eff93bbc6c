//! Counts for the log, since they were last read.

use basalthill_policy::api::Status;
use std::fmt;

/// What has happened since the last look.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Requests served.
    pub served: u32,
    /// Requests refused.
    pub rejected: u32,
    /// Requests failed.
    pub failed: u32,
    /// Statements that were none of ours.
    pub invalid: u32,
    /// Clients that left before their answer.
    pub abandoned: u32,
    /// Ends of attempts, by status.
    attempts: [u32; STATUSES.len()],
    /// Probes that ended.
    pub probes: u32,
    /// Probes among them that failed.
    pub probes_failed: u32,
}

const STATUSES: [(Status, &str); 9] = [
    (Status::Ok, "ok"),
    (Status::Misdirected, "miss"),
    (Status::Error, "error"),
    (Status::Overloaded, "full"),
    (Status::Timeout, "timeout"),
    (Status::ConnectFailed, "no connection"),
    (Status::Reset, "reset"),
    (Status::Cancelled, "cancelled"),
    (Status::NotSent, "moot"),
];

impl RequestCounters {
    /// An attempt has ended.
    pub fn record_attempt(&mut self, status: Status) {
        if let Some(n) = STATUSES.iter().position(|(s, _)| *s == status) {
            self.attempts[n] += 1;
        }
    }

    /// How many attempts have ended so.
    pub fn attempts(&self, status: Status) -> u32 {
        STATUSES.iter().zip(self.attempts).find(|((s, _), _)| *s == status).map_or(0, |(_, n)| n)
    }
}

impl fmt::Display for RequestCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestCounters { served, rejected, failed, invalid, abandoned, .. } = self;
        write!(f, "{served} served, {rejected} rejected, {failed} failed, {invalid} invalid, ")?;
        write!(f, "{abandoned} abandoned; attempts:")?;
        for ((_, name), n) in STATUSES.iter().zip(self.attempts).filter(|(_, n)| *n > 0) {
            write!(f, " {n} {name},")?;
        }
        let total: u32 = self.attempts.iter().sum();
        write!(f, " {total} in all; probes: {}, {} failed", self.probes, self.probes_failed)
    }
}
