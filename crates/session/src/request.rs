//! The session state of a single request, from its arrival to its completion.

use crate::group_floors::GroupFloors;
use crate::token::SessionIdentity;
use basalthill_policy::api::{GroupId, SessionKey, Time};

/// The session parameters of a request.
#[derive(Clone, Copy, Debug)]
pub struct SessionRequest<'a> {
    /// The identity of the session.
    pub identity: SessionIdentity<'a>,
    /// The group that the request is routed to.
    pub group: GroupId,
    /// The position that the client names as the floor of the read, in the `after` parameter.
    pub after: Option<Time>,
    /// The tokens sent with the request. The floors of all valid ones apply.
    pub tokens: &'a [&'a [u8]],
    /// The time at which the request's connection was accepted.
    pub accepted_at: Time,
}

/// The floor of a session read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFloor {
    /// The log position that a member must have applied to serve the read; zero if the read has no floor.
    pub position: Time,
    /// The read waits for a replica whose expected position is below the floor by at most this time.
    pub lead: Time,
    /// Whether the floor is sent to the host, because it may differ from the floor in the client's statement.
    pub send_to_hosts: bool,
}

/// The session state of one request while it is open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrackedRequest {
    /// The key of the session.
    pub key: SessionKey,
    /// The session's floors, from the tokens sent with the request, the default floor and the host's
    /// response.
    pub floors: GroupFloors,
    /// Whether the request is a write.
    pub is_write: bool,
    /// Whether the request counts as an unsettled write until it completes.
    pub(crate) counted_unsettled: bool,
    /// Whether an attempt may have executed although no host responded.
    pub outcome_unknown: bool,
}
