//! The inputs and outputs of the coordinator: calls of proxies, replies to them and events for the decision
//! module.

use crate::lease_table::{LeaseId, StreamId};
use crate::write_id::WriteId;
use crate::write_registry::UnusableId;
use basalthill_policy::api::{ClassId, Event, GroupId, MemberId, TenantId, Time};

/// The limits of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyLimits {
    /// Maximum number of open calls.
    pub max_open_calls: usize,
    /// Maximum number of registered write ids.
    pub max_registered_writes: usize,
    /// Time after the creation of a write id during which the id is accepted.
    pub id_window: Time,
    /// Maximum difference between this router's clock and the clocks of the creators of write ids.
    pub skew: Time,
    /// Time after the reply with the member within which the proxy must begin to send the request. After this
    /// time, the proxy must not send it.
    pub send_within: Time,
}

/// The current resource usage of a coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseUsage {
    /// Number of open calls.
    pub open_calls: usize,
    /// Number of leases in use.
    pub leases: usize,
    /// Number of registered write ids.
    pub registered_writes: usize,
}

/// A proxy's call for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionRequest {
    /// The id of the proxy's request, if it has one that is a UUID of version 7.
    pub id: Option<WriteId>,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request.
    pub tenant: TenantId,
    /// The group that the request is routed to.
    pub group: GroupId,
    /// The time until which the proxy's client waits for the reply.
    pub deadline: Time,
    /// The read floor: the log position that a member must have applied to serve a session read.
    pub floor: Time,
    /// The read waits for a replica whose expected position is below the floor by at most this time.
    pub lead: Time,
    /// Whether the proxy's client has marked the request as a retry.
    pub client_retry: bool,
}

/// A reply to a proxy on one of its streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyReply {
    /// The proxy is to send the request to a member, and to report the outcome under a lease.
    Member {
        /// The lease that the outcome is reported under.
        lease: LeaseId,
        /// The member to send the request to.
        member: MemberId,
        /// The time before which the proxy must begin to send the request. From this time on, the proxy must
        /// not send it.
        send_by: Time,
    },
    /// The request is rejected, and no attempt of it has executed.
    Rejected {
        /// The time to wait before a retry, if it is known.
        retry_after: Option<Time>,
    },
    /// The request has failed, and an attempt of it may have executed.
    Failed,
    /// Another call has been assigned a member for this write, so the write has executed or may execute.
    AlreadyDecided,
    /// The call is invalid.
    Invalid(InvalidCallReason),
}

/// The reason why a call is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidCallReason {
    /// The settings contain no class with this id.
    UnknownClass,
    /// The call is for a non-idempotent write and has no id, which must be a UUID of version 7.
    MissingId,
    /// The stream already has an open call.
    StreamBusy,
    /// The deadline of the call has passed.
    DeadlinePassed,
    /// The registry cannot tell whether the write with this id has been decided.
    UnusableId(UnusableId),
}

/// An output of the coordinator.
#[derive(Clone, Debug)]
pub enum Output {
    /// A reply to send to the proxy on a stream.
    Reply(StreamId, ProxyReply),
    /// An event for the decision module.
    Event(Event),
}
