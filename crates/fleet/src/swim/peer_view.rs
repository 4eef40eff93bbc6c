//! What a router knows of each peer.

use crate::packet::{MembershipUpdate, PeerState};
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeSet;

/// The order of updates on one peer: the larger one wins.
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

/// What is known of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerView {
    /// Its state; `None` if nothing was ever received from it or about it.
    pub state: Option<PeerState>,
    /// Its incarnation.
    pub incarnation: u64,
    /// How often it has refuted a suspicion in this incarnation.
    pub refutations: u32,
    /// Since when it is in this state.
    pub since: Time,
    /// The router that reported the state first.
    pub reporter: NodeId,
    /// When a packet was last received from it.
    pub heard_at: Option<Time>,
    /// When the peer was last informed that it is not taken for alive.
    pub(super) informed_at: Option<Time>,
    /// The routers that suspect it from their own experience.
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
            heard_at: None,
            informed_at: None,
            suspected_by: BTreeSet::new(),
        }
    }

    pub(super) fn precedence(&self) -> Precedence {
        Precedence { incarnation: self.incarnation, refutations: self.refutations, state: self.state }
    }

    /// Whether it takes part: alive, or suspected and not yet dead.
    pub(super) fn is_active(&self) -> bool {
        matches!(self.state, Some(PeerState::Alive | PeerState::Suspect))
    }

    /// An update that reports this peer in another state, in the incarnation that is known.
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
