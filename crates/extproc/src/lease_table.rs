//! The leases in use by external proxies. Each lease ends exactly once, and each way in which it can end
//! corresponds to one [`Status`] of its attempt.

use basalthill_policy::api::{Attempt, MemberId, ReplicationState, RequestId, Status, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The number of a lease. Numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A stream of a proxy, with at most one open call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// The outcome of a lease, as its proxy reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The member has served the request.
    Served,
    /// The member rejected the request without executing it, because it is not a primary or its lag is too
    /// large.
    Misdirected,
    /// The member rejected the request without reading it, for lack of capacity.
    Rejected,
    /// The member responded with an error other than those of `Misdirected` and `Rejected`.
    Error,
    /// The connection was not established, or it broke before the last byte of the request was written.
    ConnectFailed,
    /// The proxy has not sent the request, and will not send it.
    NotSent,
}

impl LeaseOutcome {
    /// Returns the status of the attempt, for the decision module.
    pub fn status(self) -> Status {
        match self {
            LeaseOutcome::Served => Status::Ok,
            LeaseOutcome::Misdirected => Status::Misdirected,
            LeaseOutcome::Rejected => Status::Overloaded,
            LeaseOutcome::Error => Status::Error,
            LeaseOutcome::ConnectFailed => Status::ConnectFailed,
            LeaseOutcome::NotSent => Status::NotSent,
        }
    }
}

/// The assignment of an attempt of a request to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The stream that the lease was granted to.
    pub stream: StreamId,
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The member that the attempt is sent to.
    pub member: MemberId,
    /// The time at which the lease was granted.
    pub granted_at: Time,
    /// The time at which the lease expires and its attempt times out.
    pub expires_at: Time,
}

/// A lease that has ended, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedLease {
    /// The lease.
    pub lease: Lease,
    /// The status of the attempt.
    pub status: Status,
    /// The member's replication state, as reported in its response.
    pub replication: ReplicationState,
}

impl EndedLease {
    /// Creates an ended lease without a response from its member.
    pub fn without_response(lease: Lease, status: Status) -> EndedLease {
        EndedLease { lease, status, replication: ReplicationState::default() }
    }
}

/// Counts of ignored outcome reports, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredReports {
    /// Number of reports under leases that had ended or never existed.
    pub unknown_lease: u64,
    /// Number of reports under leases of another stream.
    pub other_stream: u64,
}

/// The table of the leases that have not ended.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, Lease>,
    by_expiry: BTreeSet<(Time, LeaseId)>,
    by_stream: BTreeSet<(StreamId, LeaseId)>,
    /// The number of the most recently granted lease.
    last_id: u64,
    ignored_reports: IgnoredReports,
}

impl LeaseTable {
    /// Grants a lease and returns its id.
    pub fn grant(&mut self, lease: Lease) -> LeaseId {
        self.last_id += 1;
        let id = LeaseId(self.last_id);
        self.by_expiry.insert((lease.expires_at, id));
        self.by_stream.insert((lease.stream, id));
        self.leases.insert(id, lease);
        id
    }

    /// Ends the lease whose outcome a proxy reports on a stream. Returns `None` if the lease belongs to
    /// another stream, has ended or has expired. Such a report does not end any lease.
    pub fn report(
        &mut self,
        now: Time,
        stream: StreamId,
        id: LeaseId,
        outcome: LeaseOutcome,
        replication: ReplicationState,
    ) -> Option<EndedLease> {
        let Some(lease) = self.leases.get(&id) else {
            self.ignored_reports.unknown_lease += 1;
            return None;
        };
        // The lease has expired, and the next call of `expire` ends it as timed out.
        if lease.expires_at <= now {
            return None;
        }
        if lease.stream != stream {
            self.ignored_reports.other_stream += 1;
            return None;
        }
        let lease = self.remove(id)?;
        Some(EndedLease { lease, status: outcome.status(), replication })
    }

    /// Ends a lease whose attempt the decision module has cancelled. The attempt may still execute.
    pub fn cancel(&mut self, id: LeaseId) -> Option<EndedLease> {
        let lease = self.remove(id)?;
        Some(EndedLease::without_response(lease, Status::Cancelled))
    }

    /// Ends the leases of a closed stream. Their requests may have been sent to the members.
    pub fn close_stream(&mut self, stream: StreamId) -> Vec<EndedLease> {
        let of_stream = (stream, LeaseId(0))..=(stream, LeaseId(u64::MAX));
        let ids: Vec<LeaseId> = self.by_stream.range(of_stream).map(|(_, id)| *id).collect();
        let leases = ids.into_iter().filter_map(|id| self.remove(id));
        leases.map(|lease| EndedLease::without_response(lease, Status::Reset)).collect()
    }

    /// Ends the leases that have expired, and returns them in the order of their expiry.
    pub fn expire(&mut self, now: Time) -> Vec<EndedLease> {
        let mut expired = Vec::new();
        while let Some(&(expires_at, id)) = self.by_expiry.first() {
            if expires_at > now {
                break;
            }
            let lease = self.remove(id);
            expired.extend(lease.map(|lease| EndedLease::without_response(lease, Status::Timeout)));
        }
        expired
    }

    /// Returns the time at which the next lease expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Returns the number of leases that have not ended.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether all leases have ended.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the counts of ignored reports since the last call.
    pub fn take_ignored_reports(&mut self) -> IgnoredReports {
        std::mem::take(&mut self.ignored_reports)
    }

    fn remove(&mut self, id: LeaseId) -> Option<Lease> {
        let lease = self.leases.remove(&id)?;
        self.by_expiry.remove(&(lease.expires_at, id));
        self.by_stream.remove(&(lease.stream, id));
        Some(lease)
    }
}
