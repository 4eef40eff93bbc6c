//! Requests that have not completed, and their attempts.

use crate::api::*;

/// One attempt of a request.
pub(super) struct AttemptRecord {
    pub(super) member: MemberId,
    pub(super) sent_at: Time,
    /// How it ended; `None` while it is in flight.
    pub(super) status: Option<Status>,
    /// Whether it is overdue although its member has responded to other attempts since it was sent: its
    /// response was probably lost, so it no longer counts as in flight at the member.
    pub(super) presumed_lost: bool,
}

impl AttemptRecord {
    /// Creates the record of an attempt sent at `sent_at`.
    pub(super) fn new(member: MemberId, sent_at: Time) -> AttemptRecord {
        AttemptRecord { member, sent_at, status: None, presumed_lost: false }
    }

    /// Returns whether it has no outcome yet.
    pub(super) fn is_in_flight(&self) -> bool {
        self.status.is_none()
    }

    /// Returns whether its member may have executed the request.
    fn may_have_executed(&self) -> bool {
        self.status.is_none_or(|status| !status.proves_not_executed())
    }

    /// Returns whether the attempt may have reached its member.
    pub(super) fn may_have_reached_member(&self) -> bool {
        !matches!(self.status, Some(Status::ConnectFailed | Status::NotSent))
    }

    /// Returns whether the same member may get another attempt: it rejected this one only for lack of
    /// capacity.
    pub(super) fn allows_same_member(&self) -> bool {
        matches!(self.status, Some(Status::Overloaded | Status::ConnectFailed))
    }

    /// Returns its contribution to the member's number of attempts in flight: 0 if presumed lost, otherwise
    /// 1.
    pub(super) fn in_flight_count(&self) -> u32 {
        u32::from(!self.presumed_lost)
    }
}

/// Which members can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Workload {
    /// Reads that replicas may serve.
    ReplicaRead,
    /// Writes and strong reads, which only the primary serves.
    PrimaryOnly,
}

impl Workload {
    /// Returns the workload of a class.
    pub(super) fn of(class: &Class) -> Workload {
        match class.consistency {
            Consistency::Write | Consistency::Strong => Workload::PrimaryOnly,
            Consistency::Eventual | Consistency::BoundedStaleness(_) | Consistency::Session => {
                Workload::ReplicaRead
            }
        }
    }

    /// Returns its index in tables of both workloads.
    pub(super) fn index(self) -> usize {
        match self {
            Workload::ReplicaRead => 0,
            Workload::PrimaryOnly => 1,
        }
    }
}

/// A request that has not completed.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// The index of its class in [`Settings::classes`].
    pub(super) class: usize,
    /// The estimated time at which its client first sent it, from which its latency objective is counted.
    pub(super) client_sent_at: Time,
    /// If the request has reached no member by this time, it is rejected, so that its client can still use
    /// another router.
    pub(super) first_attempt_by: Time,
    /// The log position that a session or strong read requires; zero for no requirement.
    pub(super) min_position: Time,
    /// The priority weight of its class, reduced for a client's retry.
    pub(super) weight: f64,
    /// All attempts so far, indexed by their numbers.
    pub(super) attempts: Vec<AttemptRecord>,
}

impl PendingRequest {
    /// Returns the number of attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Returns the first attempt whose member may have executed the request.
    pub(super) fn first_possible_execution(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed())
    }

    /// Returns how much of a deduplication window is left at `now`. The window starts when the first attempt
    /// that may have been executed is sent; without such an attempt, the result is the maximum time.
    pub(super) fn window_left(&self, now: Time, window: Time) -> Time {
        match self.first_possible_execution() {
            Some(first) => first.sent_at.plus(window).since(now),
            None => Time(u64::MAX),
        }
    }

    /// Returns whether an attempt is in flight, or one ended with another status than
    /// [`Status::ConnectFailed`].
    pub(super) fn has_reached_member(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status != Some(Status::ConnectFailed))
    }
}
