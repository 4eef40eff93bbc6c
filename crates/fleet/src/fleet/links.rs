//! The state kept for each peer about the packets exchanged with it: sequence numbers, replay protection, and
//! whether its configuration is the same as this router's.

use crate::replay::ReplayWindow;
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// The shortest time between two corrections to a peer whose packets name a wrong incarnation.
const CORRECTION_INTERVAL: Time = Time::ms(200);

/// Which parts of a peer's configuration differ from this router's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigMismatch {
    /// Whether the roster differs. If so, no votes and no units are exchanged with the peer.
    pub roster: bool,
    /// Whether the limits differ. If so, no units are exchanged with the peer.
    pub limits: bool,
}

impl ConfigMismatch {
    /// Returns whether the roster or the limits differ.
    pub fn any(self) -> bool {
        self.roster || self.limits
    }
}

/// The link to one peer.
#[derive(Debug, Default)]
struct PeerLink {
    /// The sequence number of the last packet sent to the peer.
    last_sequence: u64,
    /// The incarnation of the peer whose packets are recorded in `received`.
    incarnation: u64,
    received: ReplayWindow,
    /// When the last correction was sent to the peer.
    corrected_at: Option<Time>,
    mismatch: ConfigMismatch,
}

/// The links to all peers.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: BTreeMap<NodeId, PeerLink>,
}

impl PeerLinks {
    /// Returns the sequence number for the next packet to a peer.
    pub fn next_sequence(&mut self, to: NodeId) -> u64 {
        let link = self.links.entry(to).or_default();
        link.last_sequence += 1;
        link.last_sequence
    }

    /// Records a packet from an incarnation of a peer. Returns whether its sequence number is new; a number
    /// below the replay window counts as not new.
    pub fn accept(&mut self, from: NodeId, incarnation: u64, sequence: u64) -> bool {
        let link = self.links.entry(from).or_default();
        if incarnation != link.incarnation {
            link.incarnation = incarnation;
            link.received = ReplayWindow::default();
        }
        link.received.accept(sequence)
    }

    /// Returns whether a correction may be sent to a peer now, and if so, records that it is sent.
    pub fn may_correct(&mut self, now: Time, peer: NodeId) -> bool {
        let link = self.links.entry(peer).or_default();
        let is_due = link.corrected_at.is_none_or(|at| now.since(at) >= CORRECTION_INTERVAL);
        if is_due {
            link.corrected_at = Some(now);
        }
        is_due
    }

    /// Records which parts of a peer's configuration differ. Returns whether this has changed.
    pub fn set_mismatch(&mut self, peer: NodeId, mismatch: ConfigMismatch) -> bool {
        let link = self.links.entry(peer).or_default();
        std::mem::replace(&mut link.mismatch, mismatch) != mismatch
    }

    /// Returns which parts of a peer's configuration differ, as of its last packet.
    pub fn mismatch(&self, peer: NodeId) -> ConfigMismatch {
        self.links.get(&peer).map_or_else(ConfigMismatch::default, |link| link.mismatch)
    }

    /// Removes a peer that is no longer on the roster.
    pub fn remove(&mut self, peer: NodeId) {
        self.links.remove(&peer);
    }
}
