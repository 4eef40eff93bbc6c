//! What a router knows of each peer.

use crate::packet::{MembershipUpdate, PeerState};
use crate::roster::NodeId;
use basalthill_policy::api::Time;
use std::collections::BTreeSet;

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

    /// Whether it takes part: alive, or suspected and not yet dead.
    pub(super) fn is_active(&self) -> bool {
        matches!(self.state, Some(PeerState::Alive | PeerState::Suspect))
    }

    /// An update that reports this peer in another state, in the incarnation that is known.
    pub(super) fn update(&self, node: NodeId, state: PeerState, reporter: NodeId) -> MembershipUpdate {
        let (incarnation, refutations) = (self.incarnation, self.refutations);
        MembershipUpdate { node, incarnation, refutations, state, reporter }
    }
}
