//! The failure detector's pings in flight.

use crate::roster::NodeId;
use basalthill_policy::api::Time;

/// The most pings on behalf of other routers that are in flight at a time.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping of this router that has not been acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The ping's number.
    pub number: u32,
    /// The router that is pinged.
    pub target: NodeId,
    /// When other routers are requested to ping the target as well.
    pub indirect_at: Time,
    /// When the target is suspected if it has not acknowledged the ping.
    pub times_out_at: Time,
    /// Whether other routers have been requested to ping the target.
    pub indirect_sent: bool,
}

impl Probe {
    /// Returns whether an acknowledgement from `node` with this number belongs to this ping.
    pub fn is_acknowledged_by(&self, number: u32, node: NodeId) -> bool {
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
    /// The router that requested the ping.
    pub requester: NodeId,
    /// The number of the requester's ping-req.
    pub requester_number: u32,
    /// The time from which an acknowledgement of the ping is no longer accepted.
    pub expires_at: Time,
}

/// Pings that are sent on behalf of other routers.
#[derive(Clone, Debug, Default)]
pub struct RelayedPings {
    pings: Vec<RelayedPing>,
}

impl RelayedPings {
    /// Returns whether the limit on relayed pings in flight is reached.
    pub fn is_full(&self) -> bool {
        self.pings.len() >= MAX_RELAYED_PINGS
    }

    /// Adds a ping.
    pub fn push(&mut self, ping: RelayedPing) {
        self.pings.push(ping);
    }

    /// Removes and returns the ping that an acknowledgement from `node` with this number belongs to.
    pub fn take_acknowledged(&mut self, number: u32, node: NodeId) -> Option<RelayedPing> {
        let position = self.pings.iter().position(|ping| ping.number == number && ping.target == node)?;
        Some(self.pings.swap_remove(position))
    }

    /// Removes the pings that have expired.
    pub fn expire(&mut self, now: Time) {
        self.pings.retain(|ping| now < ping.expires_at);
    }
}
