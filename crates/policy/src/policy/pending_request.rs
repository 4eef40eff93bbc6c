//! A request without a final answer, and its attempts.

use crate::api::*;

/// One attempt of a request.
pub(super) struct AttemptRecord {
    pub(super) member: MemberId,
    pub(super) sent_at: Time,
    /// How it ended; `None` while it is out.
    pub(super) status: Option<Status>,
    /// It is overdue although its member goes on responding: it no longer counts as in flight there.
    pub(super) presumed_lost: bool,
}

impl AttemptRecord {
    /// An attempt that begins now.
    pub(super) fn new(member: MemberId, sent_at: Time) -> AttemptRecord {
        AttemptRecord { member, sent_at, status: None, presumed_lost: false }
    }

    /// Whether it has no outcome yet.
    pub(super) fn is_out(&self) -> bool {
        self.status.is_none()
    }

    /// Whether its member may have executed the request.
    fn may_have_executed(&self) -> bool {
        self.status.is_none_or(|status| !status.proves_not_executed())
    }

    /// Whether it may have reached its member at all.
    pub(super) fn may_have_reached_member(&self) -> bool {
        !matches!(self.status, Some(Status::ConnectFailed | Status::NotSent))
    }

    /// Whether the same member may be attempted again: it rejected the attempt only for want of capacity.
    pub(super) fn allows_same_member(&self) -> bool {
        matches!(self.status, Some(Status::Overloaded | Status::ConnectFailed))
    }

    /// What it contributes to its member's count of attempts in flight, 0 or 1.
    pub(super) fn in_flight_count(&self) -> u32 {
        u32::from(!self.presumed_lost)
    }
}

/// Which members can do the work of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Workload {
    /// Reads that replicas may serve.
    ReplicaRead,
    /// Writes and strong reads, which only the primary takes.
    PrimaryOnly,
}

impl Workload {
    /// The workload of a class.
    pub(super) fn of(class: &Class) -> Workload {
        match class.consistency {
            Consistency::Write | Consistency::Strong => Workload::PrimaryOnly,
            Consistency::Eventual | Consistency::BoundedStaleness(_) | Consistency::Session => {
                Workload::ReplicaRead
            }
        }
    }

    /// Its index in tables of both workloads.
    pub(super) fn index(self) -> usize {
        match self {
            Workload::ReplicaRead => 0,
            Workload::PrimaryOnly => 1,
        }
    }
}

/// A request without a final answer.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    /// The index of its class in the settings.
    pub(super) class: usize,
    /// When its client first sent it, as far as is known: its latency objective runs from then on.
    pub(super) arrived_at: Time,
    /// It is rejected if no member has had it by this time, while its client can still go elsewhere.
    pub(super) first_attempt_by: Time,
    /// The position that a session or strong read needs; zero if any will do.
    pub(super) min_position: Time,
    /// Its class's priority weight, less for a client's retry.
    pub(super) weight: f64,
    /// All attempts so far, in the order of their numbers.
    pub(super) attempts: Vec<AttemptRecord>,
}

impl PendingRequest {
    /// How many attempts are out.
    pub(super) fn attempts_out(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_out()).count()
    }

    /// The first attempt whose member may have executed the request.
    pub(super) fn first_possible_execution(&self) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|attempt| attempt.may_have_executed())
    }

    /// What is left at `now` of a deduplication window that began with the first possible execution; no end
    /// of time if there was none.
    pub(super) fn window_left(&self, now: Time, window: Time) -> Time {
        match self.first_possible_execution() {
            Some(first) => first.sent_at.plus(window).since(now),
            None => Time(u64::MAX),
        }
    }

    /// Whether a member has had an attempt, other than one that failed to connect.
    pub(super) fn has_reached_a_member(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status != Some(Status::ConnectFailed))
    }
}
