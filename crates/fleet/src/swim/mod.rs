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

mod gossip;
mod peer_view;
mod probe;

use crate::packet::{MembershipUpdate, Message, PeerState};
use crate::roster::{NodeId, Roster};
use basalthill_policy::api::Time;
use gossip::GossipQueue;
use probe::{Probe, RelayedPing, RelayedPings};
use std::collections::BTreeMap;

pub use peer_view::PeerView;

/// SWIM's protocol period: one peer is pinged in each.
pub const PERIOD: Time = Time::ms(250);
/// Without an answer for so long, other routers are requested to ping the target.
const ACK_TIMEOUT: Time = Time::ms(90);
/// How many others (SWIM's `k`), and how many further witnesses shorten a suspicion to its least.
const INDIRECT_PROBES: usize = 3;
/// Every so many periods a peer is pinged that is not taken for alive.
const DEAD_PROBE_PERIODS: u64 = 3;
/// A ping on behalf of another router is open for so many periods.
const RELAY_PERIODS: f64 = 4.0;
/// The shortest suspicion, in periods and by the decimal logarithm of the fleet's size.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// The longest suspicion is this many times as long.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// The largest value of Lifeguard's local health multiplier.
const MAX_HEALTH_SCORE: u32 = 8;
/// A tick that comes later than this after it was due means that this router itself was suspended.
const SUSPENDED_AFTER: Time = Time::ms(400);
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

    fn receive_ack(&mut self, from: NodeId, number: u32, outputs: &mut Vec<SwimOutput>) {
        self.complete_probe(number, from);
        if let Some(ping) = self.relayed.take_answered(number, from) {
            let message = Message::IndirectAck { number: ping.requester_number, target: from };
            outputs.push(SwimOutput::Send { to: ping.requester, message });
        }
    }

    /// Ends the ping in flight if a router's acknowledgement answers it.
    fn complete_probe(&mut self, number: u32, node: NodeId) {
        if self.probe.is_some_and(|probe| probe.is_answered_by(number, node)) {
            self.probe = None;
            self.improve_health();
        }
    }

    fn relay_ping(
        &mut self,
        now: Time,
        requester: NodeId,
        requester_number: u32,
        target: NodeId,
        outputs: &mut Vec<SwimOutput>,
    ) {
        if !self.peers.contains_key(&target) || self.relayed.is_full() {
            return;
        }
        let number = self.next_number();
        let expires_at = now.plus(PERIOD.times(RELAY_PERIODS));
        self.relayed.push(RelayedPing { number, target, requester, requester_number, expires_at });
        outputs.push(SwimOutput::Send { to: target, message: Message::Ping { number } });
    }

    fn next_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    /// Applies an update. It is gossiped on if it says anything new.
    pub fn apply_update(&mut self, now: Time, update: MembershipUpdate, outputs: &mut Vec<SwimOutput>) {
        if update.node == self.me {
            self.refute(update, outputs);
            return;
        }
        let Some(view) = self.peers.get_mut(&update.node) else { return };
        let known = (view.incarnation, view.refutations, view.state);
        let updated = (update.incarnation, update.refutations, Some(update.state));
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

    /// When [`Swim::tick`] is due.
    pub fn next_due(&self) -> Time {
        match self.probe {
            Some(probe) if !probe.indirect_sent => probe.indirect_at.min(self.next_period),
            _ => self.next_period,
        }
    }

    /// How long a peer is suspected before it is dead, with so many routers that suspect it.
    fn suspicion_timeout(&self, witnesses: usize) -> Time {
        let log_size = ((self.peers.len() + 1) as f64).log10().max(1.0);
        let min_periods = MIN_SUSPICION_PERIODS * log_size;
        let max_periods = min_periods * MAX_SUSPICION_FACTOR;
        let confirmed = (witnesses as f64).ln_1p() / (INDIRECT_PROBES as f64 + 1.0).ln_1p();
        PERIOD.times((max_periods - (max_periods - min_periods) * confirmed).max(min_periods))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        if now.since(self.next_due()) > SUSPENDED_AFTER {
            self.resume_after_suspension(now);
            return;
        }
        self.send_indirect_pings(now, outputs);
        if now < self.next_period {
            return;
        }
        self.relayed.expire(now);
        if let Some(probe) = self.probe.take_if(|probe| now >= probe.ends_at) {
            self.degrade_health();
            self.suspect(now, probe.target, outputs);
        }
        self.expire_suspicions(now, outputs);
        if self.probe.is_none() {
            self.start_probe(now, outputs);
        }
        self.next_period = now.plus(PERIOD);
    }

    /// This router was suspended. Answers may lie unread, so no peer is blamed, and suspicions have not run
    /// meanwhile.
    fn resume_after_suspension(&mut self, now: Time) {
        self.probe = None;
        self.degrade_health();
        let suspended_for = now.since(self.next_period);
        for view in self.peers.values_mut().filter(|view| view.state == Some(PeerState::Suspect)) {
            view.since = view.since.plus(suspended_for);
        }
        self.next_period = now.plus(PERIOD);
    }

    /// Requests others to ping the target of a ping that is not acknowledged in time.
    fn send_indirect_pings(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        let Some(probe) = self.probe.as_mut().filter(|p| now >= p.indirect_at && !p.indirect_sent) else {
            return;
        };
        probe.indirect_sent = true;
        let Probe { number, target, .. } = *probe;
        let mut others: Vec<NodeId> = self.alive().filter(|id| *id != self.me && *id != target).collect();
        for _ in 0..INDIRECT_PROBES.min(others.len()) {
            let index = self.rng.usize(..others.len());
            let message = Message::PingRequest { number, target };
            outputs.push(SwimOutput::Send { to: others.swap_remove(index), message });
        }
    }

    fn suspect(&mut self, now: Time, target: NodeId, outputs: &mut Vec<SwimOutput>) {
        let Some(view) = self.peers.get(&target).filter(|view| view.is_active()) else { return };
        let update = view.update(target, PeerState::Suspect, self.me);
        self.apply_update(now, update, outputs);
    }

    /// Declares suspects dead whose time to refute is over.
    fn expire_suspicions(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        let is_over = |view: &PeerView| {
            let is_suspect = view.state == Some(PeerState::Suspect);
            is_suspect && now.since(view.since) >= self.suspicion_timeout(view.suspected_by.len())
        };
        let overdue = self.peers.iter().filter(|(_, view)| is_over(view));
        let verdicts: Vec<MembershipUpdate> =
            overdue.map(|(id, view)| view.update(*id, PeerState::Dead, self.me)).collect();
        for update in verdicts {
            self.apply_update(now, update, outputs);
        }
    }

    /// Pings the next peer: now and then one that is not taken for alive, else one of the others in turn.
    fn start_probe(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        self.periods += 1;
        if let Some(target) = self.choose_inactive_target() {
            // An answer makes it alive; silence changes nothing, so no probe is kept in flight.
            let number = self.next_number();
            outputs.push(SwimOutput::Send { to: target, message: Message::Ping { number } });
            return;
        }
        if let Some(target) = self.next_target() {
            let number = self.next_number();
            let patience = f64::from(1 + self.health_score);
            self.probe = Some(Probe {
                number,
                target,
                indirect_at: now.plus(ACK_TIMEOUT.times(patience)),
                ends_at: now.plus(PERIOD.times(patience)),
                indirect_sent: false,
            });
            outputs.push(SwimOutput::Send { to: target, message: Message::Ping { number } });
        }
    }

    /// A peer that is not taken for alive, if it is the turn of one.
    fn choose_inactive_target(&mut self) -> Option<NodeId> {
        let inactive: Vec<NodeId> =
            self.peers.iter().filter(|(_, view)| !view.is_active()).map(|(id, _)| *id).collect();
        let is_turn = self.periods % DEAD_PROBE_PERIODS == 0 || inactive.len() == self.peers.len();
        if inactive.is_empty() || !is_turn {
            return None;
        }
        Some(inactive[self.rng.usize(..inactive.len())])
    }

    /// The next active peer, in an order that is shuffled for each pass over all of them.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.peers.keys().copied().collect();
            self.rng.shuffle(&mut self.probe_order);
        }
        while let Some(target) = self.probe_order.pop() {
            if self.peers.get(&target).is_some_and(PeerView::is_active) {
                return Some(target);
            }
        }
        None
    }
}
