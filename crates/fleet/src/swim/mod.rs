//! Membership: which routers of the roster are alive. The protocol is SWIM (Das, Gupta, Motivala 2002) with
//! what Lifeguard (Dadgar, Phillips, Currey 2018) adds for slow processes:
//!
//! - Once a period one peer is pinged, in a shuffled order. If it does not answer, three others are requested
//!   to ping it. If no answer arrives by the period's end, it is suspected.
//! - Updates ride on all packets, each a number of times that grows with the logarithm of the fleet's size:
//!   the cost for a router does not grow with the fleet.
//! - A router that learns that it is suspected refutes that. A suspicion becomes a verdict after a time that
//!   shrinks with each further router that suspects the peer from its own experience.
//! - A router that misses answers, or has to refute, takes itself for slow and gives others more time. One
//!   that was suspended blames nobody for it.
//! - A suspect learns of the suspicion with the next packet that is sent to it.
//!
//! The roster is given: no router has to join, and dead ones are pinged from time to time, so that a split
//! heals.

mod detector;
mod gossip;
mod peer_view;
mod probe;

use crate::packet::{MembershipUpdate, Message, PeerState};
use crate::roster::{NodeId, Roster};
use basalthill_policy::api::Time;
use gossip::GossipQueue;
use peer_view::Precedence;
use probe::{Probe, RelayedPings};
use std::collections::BTreeMap;

pub use peer_view::PeerView;

/// SWIM's protocol period: one peer is pinged in each.
pub const PERIOD: Time = Time::ms(250);
/// Without an answer for so long, other routers are requested to ping the target.
const ACK_TIMEOUT: Time = Time::ms(90);
/// How many others (SWIM's `k`), and how many further witnesses shorten a suspicion to its least.
const INDIRECT_PROBES: usize = 3;
/// The largest value of Lifeguard's local health multiplier.
const MAX_HEALTH_SCORE: u32 = 8;
/// A router that shuts down reports it to this many others; gossip spreads it from there.
const LEAVE_REPORTS: usize = 2 * INDIRECT_PROBES;

/// What SWIM wants done after an input.
#[derive(Clone, Debug, PartialEq)]
pub enum SwimOutput {
    /// Send a message.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// A peer's state has changed, or it has restarted.
    StateChanged {
        /// The peer.
        node: NodeId,
        /// Its state now.
        state: PeerState,
        /// Whether its incarnation is a new one.
        restarted: bool,
        /// The router that reported it first.
        reporter: NodeId,
    },
}

/// One router's view of who is alive.
pub struct Swim {
    me: NodeId,
    incarnation: u64,
    refutations: u32,
    peers: BTreeMap<NodeId, PeerView>,
    /// The peers that are still to be pinged in this pass over all of them.
    probe_order: Vec<NodeId>,
    periods: u64,
    probe: Option<Probe>,
    relayed: RelayedPings,
    /// The number of the latest ping.
    last_number: u32,
    gossip: GossipQueue,
    /// Lifeguard's local health multiplier: zero for a router that answers in time.
    health_score: u32,
    /// When the next period begins.
    next_period: Time,
    leaving: bool,
    rng: fastrand::Rng,
}

impl Swim {
    /// A router that has just started.
    pub fn new(now: Time, me: NodeId, incarnation: u64, roster: &Roster, seed: u64) -> Swim {
        let mut swim = Swim {
            me,
            incarnation,
            refutations: 0,
            peers: BTreeMap::new(),
            probe_order: Vec::new(),
            periods: 0,
            probe: None,
            relayed: RelayedPings::default(),
            last_number: 0,
            gossip: GossipQueue::default(),
            health_score: 0,
            next_period: now,
            leaving: false,
            rng: fastrand::Rng::with_seed(seed),
        };
        swim.set_roster(now, roster);
        // Routers that start together do not ping at the same time.
        swim.next_period = now.plus(PERIOD.times(swim.rng.f64()));
        swim.gossip.push(swim.own_update(PeerState::Alive));
        swim
    }

    /// Takes another roster.
    pub fn set_roster(&mut self, now: Time, roster: &Roster) {
        self.peers.retain(|id, _| roster.contains(*id));
        for id in roster.ids().filter(|id| *id != self.me) {
            self.peers.entry(id).or_insert_with(|| PeerView::unheard(now, self.me));
        }
        self.gossip.retain_roster(roster);
        self.probe_order.clear();
    }

    /// What is known of the peers, by id.
    pub fn peers(&self) -> impl Iterator<Item = (NodeId, &PeerView)> {
        self.peers.iter().map(|(id, view)| (*id, view))
    }

    /// What is known of a peer.
    pub fn peer(&self, id: NodeId) -> Option<&PeerView> {
        self.peers.get(&id)
    }

    /// The incarnation of a peer that has been heard of.
    pub fn known_incarnation(&self, id: NodeId) -> Option<u64> {
        self.peers.get(&id).filter(|view| view.state.is_some()).map(|view| view.incarnation)
    }

    /// This router and the peers that are alive or suspected.
    pub fn alive(&self) -> impl Iterator<Item = NodeId> + '_ {
        let me = (!self.leaving).then_some(self.me);
        let peers = self.peers.iter().filter(|(_, view)| view.is_active()).map(|(id, _)| *id);
        me.into_iter().chain(peers)
    }

    /// Whether a router is dead or has left.
    pub fn is_gone(&self, id: NodeId) -> bool {
        self.peers.get(&id).is_some_and(|view| matches!(view.state, Some(PeerState::Dead | PeerState::Left)))
    }

    /// Whether nothing was ever received from a peer or about it.
    pub fn is_unheard(&self, id: NodeId) -> bool {
        self.peers.get(&id).is_some_and(|view| view.state.is_none())
    }

    /// This router's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Lifeguard's local health multiplier: how many times slower than usual this router takes itself for.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    fn improve_health(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// The update on this router itself.
    fn own_update(&self, state: PeerState) -> MembershipUpdate {
        MembershipUpdate {
            node: self.me,
            incarnation: self.incarnation,
            refutations: self.refutations,
            state,
            reporter: self.me,
        }
    }

    /// Takes an incarnation after a later one of this router's that others know of: the system clock that
    /// incarnations are derived from was set back.
    pub fn supersede_incarnation(&mut self, latest: u64) {
        self.incarnation = self.incarnation.max(latest) + 1;
        self.refutations = 0;
        self.gossip.remove_node(self.me);
        self.gossip.push(self.own_update(PeerState::Alive));
    }

    /// Records that a packet was received from an incarnation of a peer.
    pub fn record_contact(
        &mut self,
        now: Time,
        from: NodeId,
        incarnation: u64,
        outputs: &mut Vec<SwimOutput>,
    ) {
        let me = self.me;
        let Some(view) = self.peers.get_mut(&from) else { return };
        view.heard_at = Some(now);
        if view.state.is_none() || incarnation > view.incarnation {
            let state = PeerState::Alive;
            let update = MembershipUpdate { node: from, incarnation, refutations: 0, state, reporter: me };
            self.apply_update(now, update, outputs);
            return;
        }
        let informed_recently = view.informed_at.is_some_and(|at| now.since(at) < ACK_TIMEOUT);
        if view.state != Some(PeerState::Alive) && !informed_recently {
            // It does not know how it is taken; it refutes that once it does.
            view.informed_at = Some(now);
            let update = view.update(from, view.state.unwrap_or(PeerState::Dead), me);
            outputs.push(SwimOutput::Send { to: from, message: Message::Gossip(vec![update]) });
        }
    }

    /// Handles a message of SWIM's; ignores others.
    pub fn receive(&mut self, now: Time, from: NodeId, message: &Message, outputs: &mut Vec<SwimOutput>) {
        match message {
            Message::Ping { number } => {
                outputs.push(SwimOutput::Send { to: from, message: Message::Ack { number: *number } });
            }
            Message::Ack { number } => self.receive_ack(from, *number, outputs),
            Message::PingRequest { number, target } => self.relay_ping(now, from, *number, *target, outputs),
            Message::IndirectAck { number, target } => self.complete_probe(*number, *target),
            Message::Gossip(updates) => {
                for update in updates {
                    self.apply_update(now, *update, outputs);
                }
            }
            _ => {}
        }
    }

    /// Applies an update. It is gossiped on if it says anything new.
    pub fn apply_update(&mut self, now: Time, update: MembershipUpdate, outputs: &mut Vec<SwimOutput>) {
        if update.node == self.me {
            self.refute(update, outputs);
            return;
        }
        let Some(view) = self.peers.get_mut(&update.node) else { return };
        let known = view.precedence();
        let updated = Precedence::of(&update);
        if update.state == PeerState::Suspect && updated == known {
            let is_wanted = view.suspected_by.len() <= INDIRECT_PROBES;
            if is_wanted && view.suspected_by.insert(update.reporter) {
                self.gossip.push(update);
            }
            return;
        }
        if updated <= known {
            return;
        }
        let restarted = view.state.is_some() && update.incarnation > view.incarnation;
        let changed = view.state != Some(update.state) || restarted;
        view.incarnation = update.incarnation;
        view.refutations = update.refutations;
        view.state = Some(update.state);
        view.reporter = update.reporter;
        view.since = now;
        view.suspected_by.clear();
        if update.state == PeerState::Suspect {
            view.suspected_by.insert(update.reporter);
        }
        self.gossip.push(update);
        if changed {
            outputs.push(SwimOutput::StateChanged {
                node: update.node,
                state: update.state,
                restarted,
                reporter: update.reporter,
            });
        }
    }

    /// Refutes an update on this router itself, unless it is right.
    fn refute(&mut self, update: MembershipUpdate, outputs: &mut Vec<SwimOutput>) {
        let is_right = update.state == PeerState::Alive || self.leaving;
        if update.incarnation != self.incarnation || is_right {
            return;
        }
        if update.refutations >= self.refutations {
            self.refutations = update.refutations + 1;
            self.degrade_health();
        }
        // A reporter that has not heard of an earlier refutation hears of it now.
        let refutation = self.own_update(PeerState::Alive);
        self.gossip.push(refutation);
        outputs.push(SwimOutput::Send { to: update.reporter, message: Message::Gossip(vec![refutation]) });
    }

    /// The updates for the next packet.
    pub fn next_gossip(&mut self) -> Vec<MembershipUpdate> {
        self.gossip.next_batch(self.peers.len())
    }

    /// Reports to some others that this router shuts down. To all at once it would be a burst in a large
    /// fleet; gossip spreads it.
    pub fn leave(&mut self, outputs: &mut Vec<SwimOutput>) {
        self.leaving = true;
        let update = self.own_update(PeerState::Left);
        let alive: Vec<NodeId> = self.alive().collect();
        for _ in 0..LEAVE_REPORTS.min(alive.len()) {
            let to = alive[self.rng.usize(..alive.len())];
            outputs.push(SwimOutput::Send { to, message: Message::Gossip(vec![update]) });
        }
    }
}
