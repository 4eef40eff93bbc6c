//! Counters of requests, attempts and health checks. [`Router`](super::Router) increments them; transport
//! reads and resets them for the periodic log line.

use basalthill_policy::api::Status;
use std::fmt;

/// Counters since the last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were rejected.
    pub rejected: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that are invalid at this deployment, or for whose statement a host returned an error.
    pub invalid: u32,
    /// Requests whose client disconnected or cancelled them before they had a reply.
    pub abandoned: u32,
    /// Attempts that have ended, by their status in the order of [`STATUS_NAMES`].
    attempts: [u32; STATUS_NAMES.len()],
    /// Health checks that have ended.
    pub probes: u32,
    /// Health checks that have failed; they are included in `probes`.
    pub probes_failed: u32,
}

/// The statuses of attempts and their names in the log.
const STATUS_NAMES: [(Status, &str); 10] = [
    (Status::Ok, "ok"),
    (Status::Discarded, "discarded"),
    (Status::Misdirected, "misdirected"),
    (Status::Error, "error"),
    (Status::Overloaded, "overloaded"),
    (Status::Timeout, "timeout"),
    (Status::ConnectFailed, "connect failed"),
    (Status::Reset, "reset"),
    (Status::Cancelled, "cancelled"),
    (Status::NotSent, "not sent"),
];

impl RequestCounters {
    /// Counts an attempt that has ended with this status.
    pub fn record_attempt(&mut self, status: Status) {
        if let Some(index) = index_of(status) {
            self.attempts[index] += 1;
        }
    }

    /// Returns the number of attempts that have ended with this status.
    pub fn attempts(&self, status: Status) -> u32 {
        index_of(status).map_or(0, |index| self.attempts[index])
    }
}

fn index_of(status: Status) -> Option<usize> {
    STATUS_NAMES.iter().position(|(named, _)| *named == status)
}

impl fmt::Display for RequestCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestCounters { served, rejected, failed, invalid, abandoned, .. } = self;
        write!(f, "{served} served, {rejected} rejected, {failed} failed, {invalid} invalid, ")?;
        write!(f, "{abandoned} abandoned; attempts:")?;
        for ((_, name), count) in STATUS_NAMES.iter().zip(self.attempts) {
            if count > 0 {
                write!(f, " {count} {name},")?;
            }
        }
        let total: u32 = self.attempts.iter().sum();
        write!(f, " {total} in all; probes: {}, {} failed", self.probes, self.probes_failed)
    }
}
