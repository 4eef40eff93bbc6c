//! The links to the peers: sequence numbers, replay protection, and whether a peer has the same
//! configuration.

use crate::replay::ReplayWindow;
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// A peer whose packets name a wrong incarnation is corrected no more often than this.
const CORRECTION_INTERVAL: Time = Time::ms(200);

/// What of a peer's configuration differs from this router's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigMismatch {
    /// The roster: neither votes nor units pass between the two.
    pub roster: bool,
    /// The limits: no units pass between the two.
    pub limits: bool,
}

impl ConfigMismatch {
    /// Whether anything differs.
    pub fn any(self) -> bool {
        self.roster || self.limits
    }
}

/// The link to one peer.
#[derive(Debug, Default)]
struct PeerLink {
    /// The sequence number of the last packet to the peer.
    last_sequence: u64,
    /// The incarnation of the peer that `received` is of.
    incarnation: u64,
    received: ReplayWindow,
    corrected_at: Option<Time>,
    mismatch: ConfigMismatch,
}

/// The links to all peers.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: BTreeMap<NodeId, PeerLink>,
}

impl PeerLinks {
    /// The sequence number for the next packet to a peer.
    pub fn next_sequence(&mut self, to: NodeId) -> u64 {
        let link = self.links.entry(to).or_default();
        link.last_sequence += 1;
        link.last_sequence
    }

    /// Records a packet of an incarnation of a peer. Returns whether it is the first with its sequence
    /// number.
    pub fn accept(&mut self, from: NodeId, incarnation: u64, sequence: u64) -> bool {
        let link = self.links.entry(from).or_default();
        if incarnation != link.incarnation {
            link.incarnation = incarnation;
            link.received = ReplayWindow::default();
        }
        link.received.accept(sequence)
    }

    /// Whether a peer may be sent a correction now; if so, the next one has to wait.
    pub fn may_correct(&mut self, now: Time, peer: NodeId) -> bool {
        let link = self.links.entry(peer).or_default();
        let is_due = link.corrected_at.is_none_or(|at| now.since(at) >= CORRECTION_INTERVAL);
        if is_due {
            link.corrected_at = Some(now);
        }
        is_due
    }

    /// Records what of a peer's configuration differs. Returns whether that has changed.
    pub fn set_mismatch(&mut self, peer: NodeId, mismatch: ConfigMismatch) -> bool {
        let link = self.links.entry(peer).or_default();
        std::mem::replace(&mut link.mismatch, mismatch) != mismatch
    }

    /// What of a peer's configuration differs, as of its last packet.
    pub fn mismatch(&self, peer: NodeId) -> ConfigMismatch {
        self.links.get(&peer).map_or_else(ConfigMismatch::default, |link| link.mismatch)
    }

    /// Forgets a peer that has left the roster.
    pub fn remove(&mut self, peer: NodeId) {
        self.links.remove(&peer);
    }
}
