//! The leases in use by other proxies: each ends exactly once, and each way to end is one [`Status`].

use basalthill_policy::api::{Attempt, MemberId, ReplicationState, RequestId, Status, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A lease's number, which is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A stream of a proxy, which has one call at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// The outcome of a lease, as its proxy reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The member has served the request.
    Served,
    /// The member rejected it unexecuted: it is no primary, or too far behind.
    Misdirected,
    /// The member rejected it unread, for lack of capacity.
    Rejected,
    /// The member answered with any other error.
    Error,
    /// No connection was established, or it broke before the last byte was written.
    ConnectFailed,
    /// The proxy has not sent it, and will not.
    NotSent,
}

impl LeaseOutcome {
    /// The status of the attempt, for the decisions.
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

/// One attempt of a request, assigned to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The stream that it was granted to.
    pub stream: StreamId,
    /// The request.
    pub request: RequestId,
    /// The attempt of the request.
    pub attempt: Attempt,
    /// The member.
    pub member: MemberId,
    /// When it was granted.
    pub granted_at: Time,
    /// When it times out.
    pub expires_at: Time,
}

/// How a lease has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedLease {
    /// The lease.
    pub lease: Lease,
    /// The status of its attempt.
    pub status: Status,
    /// What the member's answer says of its replication.
    pub replication: ReplicationState,
}

impl EndedLease {
    /// A lease that ended without an answer of its member.
    pub fn unanswered(lease: Lease, status: Status) -> EndedLease {
        EndedLease { lease, status, replication: ReplicationState::default() }
    }
}

/// Reports of outcomes that were ignored, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StrayReports {
    /// Reports under leases that had ended, or never existed.
    pub unknown_lease: u64,
    /// Reports under leases of another stream.
    pub other_stream: u64,
}

/// The leases that have not ended.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<LeaseId, Lease>,
    by_expiry: BTreeSet<(Time, LeaseId)>,
    by_stream: BTreeSet<(StreamId, LeaseId)>,
    /// The number granted last.
    last_id: u64,
    stray_reports: StrayReports,
}

impl LeaseTable {
    /// Grants a lease.
    pub fn grant(&mut self, lease: Lease) -> LeaseId {
        self.last_id += 1;
        let id = LeaseId(self.last_id);
        self.by_expiry.insert((lease.expires_at, id));
        self.by_stream.insert((lease.stream, id));
        self.leases.insert(id, lease);
        id
    }

    /// Ends the lease whose outcome a proxy reports on a stream. None if the lease is not the stream's, has
    /// ended, or has expired: such reports change nothing.
    pub fn report(
        &mut self,
        now: Time,
        stream: StreamId,
        id: LeaseId,
        outcome: LeaseOutcome,
        replication: ReplicationState,
    ) -> Option<EndedLease> {
        let Some(lease) = self.leases.get(&id) else {
            self.stray_reports.unknown_lease += 1;
            return None;
        };
        // It times out, even if that is yet to be noticed.
        if lease.expires_at <= now {
            return None;
        }
        if lease.stream != stream {
            self.stray_reports.other_stream += 1;
            return None;
        }
        let lease = self.remove(id)?;
        Some(EndedLease { lease, status: outcome.status(), replication })
    }

    /// Ends a lease that the decisions cancel. Its attempt may execute all the same.
    pub fn cancel(&mut self, id: LeaseId) -> Option<EndedLease> {
        let lease = self.remove(id)?;
        Some(EndedLease::unanswered(lease, Status::Cancelled))
    }

    /// Ends the leases of a closed stream. Their requests may have been sent.
    pub fn close_stream(&mut self, stream: StreamId) -> Vec<EndedLease> {
        let of_stream = (stream, LeaseId(0))..=(stream, LeaseId(u64::MAX));
        let ids: Vec<LeaseId> = self.by_stream.range(of_stream).map(|(_, id)| *id).collect();
        let leases = ids.into_iter().filter_map(|id| self.remove(id));
        leases.map(|lease| EndedLease::unanswered(lease, Status::Reset)).collect()
    }

    /// Ends the leases that have expired, in the order of their expiry.
    pub fn expire(&mut self, now: Time) -> Vec<EndedLease> {
        let mut expired = Vec::new();
        while let Some(&(expires_at, id)) = self.by_expiry.first() {
            if expires_at > now {
                break;
            }
            let lease = self.remove(id);
            expired.extend(lease.map(|lease| EndedLease::unanswered(lease, Status::Timeout)));
        }
        expired
    }

    /// When the next lease expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// How many leases have not ended.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether all leases have ended.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Reports that were ignored, since this was last called.
    pub fn take_stray_reports(&mut self) -> StrayReports {
        std::mem::take(&mut self.stray_reports)
    }

    fn remove(&mut self, id: LeaseId) -> Option<Lease> {
        let lease = self.leases.remove(&id)?;
        self.by_expiry.remove(&(lease.expires_at, id));
        self.by_stream.remove(&(lease.stream, id));
        Some(lease)
    }
}
