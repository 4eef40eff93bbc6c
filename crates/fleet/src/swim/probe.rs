//! The failure detector's pings in flight.

use crate::roster::NodeId;
use basalthill_policy::api::Time;

/// The most pings on behalf of other routers that are open at a time.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping of this router's own that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The ping's number.
    pub number: u32,
    /// The router that is pinged.
    pub target: NodeId,
    /// When other routers are to ping the target, too.
    pub indirect_at: Time,
    /// When the target is suspected.
    pub ends_at: Time,
    /// Whether other routers have been requested to ping the target.
    pub indirect_sent: bool,
}

impl Probe {
    /// Whether an acknowledgement from a router answers this ping.
    pub fn is_answered_by(&self, number: u32, node: NodeId) -> bool {
        self.number == number && self.target == node
    }
}

/// A ping that is sent on behalf of another router.
#[derive(Clone, Copy, Debug)]
pub struct RelayedPing {
    /// The ping's number.
    pub number: u32,
    /// The router that is pinged.
    pub target: NodeId,
    /// The router that has requested it.
    pub requester: NodeId,
    /// The requester's number for it.
    pub requester_number: u32,
    /// When its acknowledgement counts no longer.
    pub expires_at: Time,
}

/// Pings that are sent on behalf of other routers.
#[derive(Clone, Debug, Default)]
pub struct RelayedPings {
    pings: Vec<RelayedPing>,
}

impl RelayedPings {
    /// Whether no more of them may be open.
    pub fn is_full(&self) -> bool {
        self.pings.len() >= MAX_RELAYED_PINGS
    }

    /// Adds one.
    pub fn push(&mut self, ping: RelayedPing) {
        self.pings.push(ping);
    }

    /// Removes the one that an acknowledgement answers.
    pub fn take_answered(&mut self, number: u32, node: NodeId) -> Option<RelayedPing> {
        let position = self.pings.iter().position(|ping| ping.number == number && ping.target == node)?;
        Some(self.pings.swap_remove(position))
    }

    /// Removes those whose time is over.
    pub fn expire(&mut self, now: Time) {
        self.pings.retain(|ping| now < ping.expires_at);
    }
}
