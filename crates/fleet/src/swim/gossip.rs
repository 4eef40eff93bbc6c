//! Dissemination: membership updates that ride on whatever packets are sent.

use crate::packet::{MembershipUpdate, PeerState};
use crate::roster::{NodeId, Roster};

/// An update is sent this many times the decimal logarithm of the fleet's size,
const SPREAD_FACTOR: f64 = 4.0;
/// and this many times more: many packets go to the same few peers.
const SPREAD_EXTRA: u32 = 4;
/// The most updates in one packet.
const MAX_UPDATES_PER_PACKET: usize = 20;

#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: MembershipUpdate,
    /// How often it has been sent.
    sent: u32,
}

/// Updates that are still to be sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    updates: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Queues an update. It replaces earlier ones on the same node, except that suspicions by different
    /// reporters are sent side by side: each of them counts.
    pub fn push(&mut self, update: MembershipUpdate) {
        let is_other_witness = |queued: &MembershipUpdate| {
            let both_suspect = queued.state == PeerState::Suspect && update.state == PeerState::Suspect;
            both_suspect && queued.reporter != update.reporter
        };
        self.updates.retain(|queued| queued.update.node != update.node || is_other_witness(&queued.update));
        self.updates.push(QueuedUpdate { update, sent: 0 });
    }

    /// Drops all updates on a node.
    pub fn remove_node(&mut self, node: NodeId) {
        self.updates.retain(|queued| queued.update.node != node);
    }

    /// Drops updates on nodes that are not on the roster.
    pub fn retain_roster(&mut self, roster: &Roster) {
        self.updates.retain(|queued| roster.contains(queued.update.node));
    }

    /// The updates for the next packet of a router with so many peers, those that were sent least often
    /// first.
    pub fn next_batch(&mut self, peers: usize) -> Vec<MembershipUpdate> {
        if self.updates.is_empty() {
            return Vec::new();
        }
        let fleet_size = (peers + 2) as f64;
        let max_sent = (SPREAD_FACTOR * fleet_size.log10()).ceil() as u32 + SPREAD_EXTRA;
        self.updates.sort_by_key(|queued| queued.sent);
        let mut batch = Vec::new();
        for queued in self.updates.iter_mut().take(MAX_UPDATES_PER_PACKET) {
            batch.push(queued.update);
            queued.sent += 1;
        }
        self.updates.retain(|queued| queued.sent < max_sent);
        batch
    }
}
