//! Membership: which routers of the roster are alive. The protocol is SWIM (Das, Gupta, Motivala 2002) with
//! the Lifeguard extensions for slow processes (Dadgar, Phillips, Currey 2018):
//!
//! - In each protocol period, one peer is pinged, in a shuffled order. If it does not acknowledge in time,
//!   three other routers are requested to ping it. If no acknowledgement arrives by the end of the period,
//!   the peer is suspected.
//! - Updates are piggybacked on all packets. Each is sent a number of times that grows with the logarithm of
//!   the fleet's size; the load on a router does not grow with the fleet.
//! - A router that learns that it is suspected refutes the suspicion. Otherwise it is declared dead after a
//!   timeout that shrinks with each further router whose own pings to it are not acknowledged.
//! - A router that misses acknowledgements, or has to refute a suspicion, assumes that it is slow itself and
//!   lengthens its timeouts. A router whose process was suspended suspects no peer for acknowledgements
//!   missed in that time.
//! - A router that receives a packet from a peer that it considers suspect, dead or left notifies the peer,
//!   so that the peer can refute this.
//!
//! The roster is configured: routers do not have to join, and dead ones are pinged periodically, so that
//! membership recovers after a partition heals.

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
/// If a ping is not acknowledged within this time, other routers are requested to ping the target.
const ACK_TIMEOUT: Time = Time::ms(90);
/// The number of routers that are requested to ping a target (SWIM's `k`). The suspicion timeout is at its
/// minimum when this number of further routers suspect the peer in addition to the first.
const INDIRECT_PROBES: usize = 3;
/// The largest value of Lifeguard's local health multiplier.
const MAX_HEALTH_SCORE: u32 = 8;
/// The most notifications that a router sends when it shuts down; gossip spreads the update further.
const LEAVE_REPORTS: usize = 2 * INDIRECT_PROBES;

/// An action that the caller has to perform, or a change that it has to apply, after an input.
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
        /// Whether the peer has restarted: its incarnation is a new one.
        restarted: bool,
        /// The router that reported the state first.
        reporter: NodeId,
    },
}

/// The membership of the fleet as one router sees it.
pub struct Swim {
    me: NodeId,
    incarnation: u64,
    refutations: u32,
    peers: BTreeMap<NodeId, PeerView>,
    /// The peers that have not yet been pinged in the current pass over all peers.
    probe_order: Vec<NodeId>,
    periods: u64,
    probe: Option<Probe>,
    relayed: RelayedPings,
    /// The number of the latest ping.
    last_number: u32,
    gossip: GossipQueue,
    /// Lifeguard's local health multiplier: zero for a router that receives acknowledgements in time.
    health_score: u32,
    /// When the next protocol period begins.
    next_period: Time,
    leaving: bool,
    rng: fastrand::Rng,
}

impl Swim {
    /// Creates the state of a router that has just started.
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
        // A random offset keeps routers that start together from pinging at the same time.
        swim.next_period = now.plus(PERIOD.times(swim.rng.f64()));
        swim.gossip.push(swim.own_update(PeerState::Alive));
        swim
    }

    /// Replaces the roster. Peers that are on both rosters keep their state.
    pub fn set_roster(&mut self, now: Time, roster: &Roster) {
        self.peers.retain(|id, _| roster.contains(*id));
        for id in roster.ids().filter(|id| *id != self.me) {
            self.peers.entry(id).or_insert_with(|| PeerView::unheard(now, self.me));
        }
        self.gossip.retain_roster(roster);
        self.probe_order.clear();
    }

    /// Returns the views of all peers, in ascending order of their ids.
    pub fn peers(&self) -> impl Iterator<Item = (NodeId, &PeerView)> {
        self.peers.iter().map(|(id, view)| (*id, view))
    }

    /// Returns the view of a peer; `None` if the router is not on the roster or is this router itself.
    pub fn peer(&self, id: NodeId) -> Option<&PeerView> {
        self.peers.get(&id)
    }

    /// Returns the incarnation of a peer; `None` if no packet from it and no update on it has been received.
    pub fn known_incarnation(&self, id: NodeId) -> Option<u64> {
        self.peers.get(&id).filter(|view| view.state.is_some()).map(|view| view.incarnation)
    }

    /// Returns this router and the peers that are alive or suspected.
    pub fn alive(&self) -> impl Iterator<Item = NodeId> + '_ {
        let me = (!self.leaving).then_some(self.me);
        let peers = self.peers.iter().filter(|(_, view)| view.is_active()).map(|(id, _)| *id);
        me.into_iter().chain(peers)
    }

    /// Returns whether a router is dead or has left.
    pub fn is_dead_or_left(&self, id: NodeId) -> bool {
        self.peers.get(&id).is_some_and(|view| matches!(view.state, Some(PeerState::Dead | PeerState::Left)))
    }

    /// Returns whether no packet from a peer and no update on it has ever been received.
    pub fn is_unheard(&self, id: NodeId) -> bool {
        self.peers.get(&id).is_some_and(|view| view.state.is_none())
    }

    /// Returns this router's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns Lifeguard's local health multiplier: ping timeouts are multiplied by one more than this.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    fn improve_health(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// Returns an update that reports this router in `state`.
    fn own_update(&self, state: PeerState) -> MembershipUpdate {
        MembershipUpdate {
            node: self.me,
            incarnation: self.incarnation,
            refutations: self.refutations,
            state,
            reporter: self.me,
        }
    }

    /// Changes to an incarnation later than `latest`, which a peer knows of this router. `latest` exceeds the
    /// current one if the system clock, from which incarnations are derived, was set back.
    pub fn supersede_incarnation(&mut self, latest: u64) {
        self.incarnation = self.incarnation.max(latest) + 1;
        self.refutations = 0;
        self.gossip.remove_node(self.me);
        self.gossip.push(self.own_update(PeerState::Alive));
    }

    /// Records that a packet was received from an incarnation of `from`. If this router considers the peer
    /// suspect, dead or left, notifies it.
    pub fn record_contact(
        &mut self,
        now: Time,
        from: NodeId,
        incarnation: u64,
        outputs: &mut Vec<SwimOutput>,
    ) {
        let me = self.me;
        let Some(view) = self.peers.get_mut(&from) else { return };
        view.last_received_at = Some(now);
        if view.state.is_none() || incarnation > view.incarnation {
            let state = PeerState::Alive;
            let update = MembershipUpdate { node: from, incarnation, refutations: 0, state, reporter: me };
            self.apply_update(now, update, outputs);
            return;
        }
        let notified_recently = view.notified_at.is_some_and(|at| now.since(at) < ACK_TIMEOUT);
        if view.state != Some(PeerState::Alive) && !notified_recently {
            // The notification lets the peer refute its state. It is sent at most once per `ACK_TIMEOUT`.
            view.notified_at = Some(now);
            let update = view.update(from, view.state.unwrap_or(PeerState::Dead), me);
            outputs.push(SwimOutput::Send { to: from, message: Message::Gossip(vec![update]) });
        }
    }

    /// Handles a SWIM message; ignores all others.
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

    /// Applies an update, and gossips it further if it takes precedence over the known state.
    pub fn apply_update(&mut self, now: Time, update: MembershipUpdate, outputs: &mut Vec<SwimOutput>) {
        if update.node == self.me {
            self.refute(update, outputs);
            return;
        }
        let Some(view) = self.peers.get_mut(&update.node) else { return };
        let known = view.precedence();
        let updated = Precedence::of(&update);
        if update.state == PeerState::Suspect && updated == known {
            let lowers_timeout = view.suspected_by.len() <= INDIRECT_PROBES;
            if lowers_timeout && view.suspected_by.insert(update.reporter) {
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

    /// Refutes an update that reports this router suspect, dead or left, unless this router is leaving.
    fn refute(&mut self, update: MembershipUpdate, outputs: &mut Vec<SwimOutput>) {
        let is_correct = update.state == PeerState::Alive || self.leaving;
        if update.incarnation != self.incarnation || is_correct {
            return;
        }
        if update.refutations >= self.refutations {
            self.refutations = update.refutations + 1;
            self.degrade_health();
        }
        // The reporter may not have received an earlier refutation, so it is sent one directly.
        let refutation = self.own_update(PeerState::Alive);
        self.gossip.push(refutation);
        outputs.push(SwimOutput::Send { to: update.reporter, message: Message::Gossip(vec![refutation]) });
    }

    /// Returns the updates for the next packet.
    pub fn next_gossip(&mut self) -> Vec<MembershipUpdate> {
        self.gossip.next_batch(self.peers.len())
    }

    /// Notifies random routers that this router shuts down: sends up to `LEAVE_REPORTS` notifications,
    /// several of which may have the same receiver. Gossip spreads the update further. Notifying all routers
    /// at once would cause a burst of packets in a large fleet.
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
