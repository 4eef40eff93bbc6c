//! Counts of the statements that the hosts of a deployment received from a client load.

use basalthill_standin::deployment::Deployment;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Counts over all hosts of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct HostCounts {
    /// Statements received.
    pub statements: usize,
    /// Written keys that were committed more than once.
    pub repeated_writes: usize,
    /// Statements received after the deadline in their key.
    pub late_statements: usize,
}

/// Counts the statements in the records of all hosts. The key of each statement ends with `-` and the
/// deadline of its request, in microseconds since `epoch`.
pub fn count_at_hosts(deployment: &Deployment, epoch: Instant) -> HostCounts {
    let mut statements = 0;
    let mut late_statements = 0;
    let mut written_keys = BTreeSet::new();
    for host in &deployment.group.hosts {
        let record = host.record.lock();
        for statement in &record.statements {
            let Some(key) = statement.text.split('\'').nth(1) else { continue };
            statements += 1;
            let deadline = key.rsplit('-').next().and_then(|d| d.parse().ok()).map(Duration::from_micros);
            late_statements += usize::from(deadline.is_some_and(|d| statement.received_at > epoch + d));
            if statement.text.starts_with("INSERT") {
                written_keys.insert(key.to_string());
            }
        }
    }
    let is_repeated = |key: &&String| deployment.group.committed_values(key).len() > 1;
    let repeated_writes = written_keys.iter().filter(is_repeated).count();
    HostCounts { statements, repeated_writes, late_statements }
}
