//! The state that a router keeps about each peer.

use crate::packet::{MembershipUpdate, PeerState};
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeSet;

/// The order of updates on one peer; the larger one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    incarnation: u64,
    refutations: u32,
    state: Option<PeerState>,
}

impl Precedence {
    pub(super) fn of(update: &MembershipUpdate) -> Precedence {
        Precedence {
            incarnation: update.incarnation,
            refutations: update.refutations,
            state: Some(update.state),
        }
    }
}

/// A router's view of a peer, based on membership updates and on packets received from the peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerView {
    /// Its state; `None` if no packet from it and no update on it has been received.
    pub state: Option<PeerState>,
    /// Its incarnation.
    pub incarnation: u64,
    /// How often it has refuted a suspicion in this incarnation.
    pub refutations: u32,
    /// When it entered this state, by this router's clock. For a suspect, the time for which this router's
    /// process was suspended is added.
    pub since: Time,
    /// The router that reported the state first.
    pub reporter: NodeId,
    /// When the last packet from it was received.
    pub last_received_at: Option<Time>,
    /// When the peer was last notified that it is considered suspect, dead or left.
    pub(super) notified_at: Option<Time>,
    /// The routers that suspect it because it did not acknowledge their own pings.
    pub(super) suspected_by: BTreeSet<NodeId>,
}

impl PeerView {
    pub(super) fn unheard(now: Time, me: NodeId) -> PeerView {
        PeerView {
            state: None,
            incarnation: 0,
            refutations: 0,
            since: now,
            reporter: me,
            last_received_at: None,
            notified_at: None,
            suspected_by: BTreeSet::new(),
        }
    }

    pub(super) fn precedence(&self) -> Precedence {
        Precedence { incarnation: self.incarnation, refutations: self.refutations, state: self.state }
    }

    /// Returns whether the peer is alive, or suspected and not yet declared dead.
    pub(super) fn is_active(&self) -> bool {
        matches!(self.state, Some(PeerState::Alive | PeerState::Suspect))
    }

    /// Returns an update that reports this peer in `state`, with the incarnation and refutations that are
    /// known.
    pub(super) fn update(&self, node: NodeId, state: PeerState, reporter: NodeId) -> MembershipUpdate {
        MembershipUpdate {
            node,
            incarnation: self.incarnation,
            refutations: self.refutations,
            state,
            reporter,
        }
    }
}
