//! What is out at other proxies: each lease ends exactly once, and each end is one [`Status`].

use basalthill_policy::api::{Attempt, MemberId, ReplicationState, RequestId, Status, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A lease, by a number that is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A stream of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// What a proxy tells of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The member has served it.
    Served,
    /// The member turned it away untouched: no primary, or too far behind.
    Misdirected,
    /// The member turned it away unseen.
    Rejected,
    /// The member answered with any other error.
    Error,
    /// No connection came up, or it broke before the last byte was written.
    ConnectFailed,
    /// It was not sent, and will not be.
    NotSent,
}

impl LeaseOutcome {
    /// What it means to the decisions.
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

/// One that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The stream that it was given to.
    pub stream: StreamId,
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: Attempt,
    /// The member.
    pub member: MemberId,
    /// When it was given.
    pub given: Time,
    /// When it counts as timed out.
    pub ends: Time,
}

/// How a lease has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Which it was.
    pub lease: Lease,
    /// What that means to the decisions.
    pub status: Status,
    /// What the member's answer says of it.
    pub replication: ReplicationState,
}

/// Reports that change nothing, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Strays {
    /// For leases that have ended, or never were.
    pub unknown: u64,
    /// For leases of another stream.
    pub others: u64,
}

/// All leases that are out.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    out: BTreeMap<LeaseId, Lease>,
    by_end: BTreeSet<(Time, LeaseId)>,
    by_stream: BTreeSet<(StreamId, LeaseId)>,
    next: u64,
    strays: Strays,
}

impl Leases {
    /// Gives a lease out.
    pub fn give(&mut self, lease: Lease) -> LeaseId {
        self.next += 1;
        let id = LeaseId(self.next);
        self.by_end.insert((lease.ends, id));
        self.by_stream.insert((lease.stream, id));
        self.out.insert(id, lease);
        id
    }

    fn take(&mut self, id: LeaseId) -> Option<Lease> {
        let lease = self.out.remove(&id)?;
        self.by_end.remove(&(lease.ends, id));
        self.by_stream.remove(&(lease.stream, id));
        Some(lease)
    }

    /// A proxy tells what came of a lease on the stream that has it. What is not its own, or is over, changes
    /// nothing; a lease whose end has come is over, told or not.
    pub fn told(
        &mut self,
        now: Time,
        stream: StreamId,
        id: LeaseId,
        told: LeaseOutcome,
        replication: ReplicationState,
    ) -> Option<Ended> {
        match self.out.get(&id) {
            Some(lease) if lease.ends <= now => return None,
            Some(lease) if lease.stream == stream => {}
            Some(_) => {
                self.strays.others += 1;
                return None;
            }
            None => {
                self.strays.unknown += 1;
                return None;
            }
        }
        let lease = self.take(id)?;
        Some(Ended { lease, status: told.status(), replication })
    }

    /// The decisions call a lease off: they wait for it no longer, and it may run all the same.
    pub fn call_off(&mut self, id: LeaseId) -> Option<Ended> {
        let lease = self.take(id)?;
        Some(Ended { lease, status: Status::Cancelled, replication: ReplicationState::default() })
    }

    /// A stream has ended with nothing more said: what it had may have been sent.
    pub fn stream_ended(&mut self, stream: StreamId) -> Vec<Ended> {
        let span = (stream, LeaseId(0))..=(stream, LeaseId(u64::MAX));
        let ids: Vec<LeaseId> = self.by_stream.range(span).map(|(_, id)| *id).collect();
        let leases = ids.into_iter().filter_map(|id| self.take(id));
        leases
            .map(|lease| Ended { lease, status: Status::Reset, replication: ReplicationState::default() })
            .collect()
    }

    /// Leases whose end has come.
    pub fn expire(&mut self, now: Time) -> Vec<Ended> {
        let mut over = Vec::new();
        while let Some((_, id)) = self.by_end.first().copied().filter(|(ends, _)| *ends <= now) {
            let lease = self.take(id);
            let timed_out =
                |lease| Ended { lease, status: Status::Timeout, replication: ReplicationState::default() };
            over.extend(lease.map(timed_out));
        }
        over
    }

    /// When the first lease ends.
    pub fn next_due(&self) -> Option<Time> {
        self.by_end.first().map(|(ends, _)| *ends)
    }

    /// How many are out.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    /// Reports that changed nothing.
    pub fn take_strays(&mut self) -> Strays {
        std::mem::take(&mut self.strays)
    }
}
