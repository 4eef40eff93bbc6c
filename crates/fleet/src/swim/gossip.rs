//! Dissemination of membership updates, piggybacked on the packets that are sent anyway.

use crate::packet::{MembershipUpdate, PeerState};
use crate::roster::{NodeId, Roster};

/// The number of packets that carry an update, per decimal logarithm of the fleet's size.
const TRANSMISSION_FACTOR: f64 = 4.0;
/// The number of additional packets that carry an update, because many packets are sent to the same few
/// peers.
const EXTRA_TRANSMISSIONS: u32 = 4;
/// The most updates in one packet.
const MAX_UPDATES_PER_PACKET: usize = 20;

#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: MembershipUpdate,
    /// How many packets have carried it.
    transmissions: u32,
}

/// Updates that have not yet been sent often enough.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    updates: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Queues an update. It replaces earlier updates on the same node, except that suspicions by different
    /// reporters are kept side by side, because each of them shortens the suspicion timeout.
    pub fn push(&mut self, update: MembershipUpdate) {
        let is_other_suspicion = |queued: &MembershipUpdate| {
            let both_suspect = queued.state == PeerState::Suspect && update.state == PeerState::Suspect;
            both_suspect && queued.reporter != update.reporter
        };
        self.updates.retain(|queued| queued.update.node != update.node || is_other_suspicion(&queued.update));
        self.updates.push(QueuedUpdate { update, transmissions: 0 });
    }

    /// Removes all updates on a node.
    pub fn remove_node(&mut self, node: NodeId) {
        self.updates.retain(|queued| queued.update.node != node);
    }

    /// Removes updates on nodes that are not on the roster.
    pub fn retain_roster(&mut self, roster: &Roster) {
        self.updates.retain(|queued| roster.contains(queued.update.node));
    }

    /// Returns the updates for the next packet of a router with `peers` peers: those that have been sent in
    /// the fewest packets.
    pub fn next_batch(&mut self, peers: usize) -> Vec<MembershipUpdate> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        // One more than the fleet's size: the logarithm of a fleet of one router would be zero.
        let scaled_size = (peers + 2) as f64;
        let max_transmissions =
            (TRANSMISSION_FACTOR * scaled_size.log10()).ceil() as u32 + EXTRA_TRANSMISSIONS;
        self.updates.sort_by_key(|queued| queued.transmissions);
        let mut batch = Vec::new();
        for queued in self.updates.iter_mut().take(MAX_UPDATES_PER_PACKET) {
            batch.push(queued.update);
            queued.transmissions += 1;
        }
        self.updates.retain(|queued| queued.transmissions < max_transmissions);
        batch
    }
}
