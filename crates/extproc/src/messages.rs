//! What goes in and out of the coordinator: calls of proxies, replies to them, events for the decisions.

use crate::lease_table::{LeaseId, StreamId};
use crate::write_id::WriteId;
use crate::write_registry::UnusableId;
use basalthill_policy::api::{ClassId, Event, GroupId, MemberId, TenantId, Time};

/// The bounds of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyLimits {
    /// Calls that may be open at a time.
    pub max_open_calls: usize,
    /// Ids of writes that are registered at a time.
    pub max_remembered_writes: usize,
    /// How long an id of a write is accepted after its creation.
    pub id_window: Time,
    /// How far the clocks of those who create ids may be apart from this one.
    pub skew: Time,
    /// A proxy begins to send within this time after the reply, or not at all.
    pub send_within: Time,
}

/// How much a coordinator has in use at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseUsage {
    /// Calls that are open.
    pub open_calls: usize,
    /// Leases that have not ended.
    pub leases: usize,
    /// Ids of writes that are registered.
    pub remembered_writes: usize,
}

/// A proxy's call for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionRequest {
    /// The id of its request, if it has one of version 7.
    pub id: Option<WriteId>,
    /// The class of requests.
    pub class: ClassId,
    /// The tenant.
    pub tenant: TenantId,
    /// The group.
    pub group: GroupId,
    /// How long the proxy's client waits.
    pub deadline: Time,
    /// The position that a session read must see.
    pub floor: Time,
    /// How far the floor may be ahead of a replica's position for the read to wait for that replica.
    pub lead: Time,
    /// Whether the proxy's client says that it is a retry.
    pub client_retry: bool,
}

/// A reply to a proxy on one of its streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyReply {
    /// The proxy sends the request to this member, and reports the outcome under this lease.
    Member {
        /// The lease that the outcome is reported under.
        lease: LeaseId,
        /// Where the request is sent.
        member: MemberId,
        /// The proxy begins to send before this, or not at all.
        send_by: Time,
    },
    /// The request is rejected, and nothing has executed.
    Rejected {
        /// When to retry, if that is known.
        retry_after: Option<Time>,
    },
    /// The request has failed, and may have executed.
    Failed,
    /// Another call got the decision for this write, which may execute or has executed.
    AlreadyDecided,
    /// The call is invalid.
    Invalid(RejectReason),
}

/// Why a call is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// There is no such class.
    UnknownClass,
    /// A non-idempotent write needs an id of version 7.
    MissingId,
    /// Its stream has an open call already.
    StreamBusy,
    /// Its deadline has passed.
    DeadlinePassed,
    /// Nothing is known of a write with this id.
    UnusableId(UnusableId),
}

/// A result of the coordinator.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send this to the proxy on a stream.
    Reply(StreamId, ProxyReply),
    /// Hand this to the decisions.
    Event(Event),
}
