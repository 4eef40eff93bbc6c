//! One request of a session, from its arrival to its end.

use crate::group_floors::GroupFloors;
use crate::token::SessionIdentity;
use basalthill_policy::api::{GroupId, SessionKey, Time};

/// What a request says about its session.
#[derive(Clone, Copy, Debug)]
pub struct SessionRequest<'a> {
    /// The session.
    pub identity: SessionIdentity<'a>,
    /// The group that the request goes to.
    pub group: GroupId,
    /// The position that the client itself says the read must see.
    pub after: Option<Time>,
    /// The tokens sent with the request; the floors of all of them apply.
    pub tokens: &'a [&'a [u8]],
    /// When the request's connection was accepted.
    pub accepted_at: Time,
}

/// The position that a session read must see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadFloor {
    /// The position that its answer must have seen; zero if any will do.
    pub position: Time,
    /// How far the floor may be ahead of a replica's position for the read to wait for that replica.
    pub lead: Time,
    /// Whether the floor is sent to the host, because it differs from what the client's statement says.
    pub send_to_hosts: bool,
}

/// The session state of one request while it is open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrackedRequest {
    /// The session.
    pub key: SessionKey,
    /// What the session's reads must see, by the tokens sent with the request and by its answer.
    pub floors: GroupFloors,
    /// Whether the request is a write.
    pub is_write: bool,
    /// Whether it counts as an unsettled write until it ends.
    pub(crate) counted_unsettled: bool,
    /// Whether an attempt may have executed although none was answered.
    pub outcome_unknown: bool,
}
