//! The failure detector: pings, suspicions and verdicts.

use super::probe::{Probe, RelayedPing};
use super::{PeerView, Swim, SwimOutput, ACK_TIMEOUT, INDIRECT_PROBES, PERIOD};
use crate::packet::{MembershipUpdate, Message, PeerState};
use crate::roster::NodeId;
use basalthill_policy::api::Time;

/// The shortest suspicion, in periods and by the decimal logarithm of the fleet's size.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// The longest suspicion is this many times as long.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Every so many periods a peer is pinged that is not taken for alive.
const DEAD_PROBE_PERIODS: u64 = 3;
/// A ping on behalf of another router is open for so many periods.
const RELAY_PERIODS: f64 = 4.0;
/// A tick that comes later than this after it was due means that this router itself was suspended.
const SUSPENDED_AFTER: Time = Time::ms(400);

impl Swim {
    /// Receives an acknowledgement of a ping, this router's own or one on behalf of another.
    pub(super) fn receive_ack(&mut self, from: NodeId, number: u32, outputs: &mut Vec<SwimOutput>) {
        self.complete_probe(number, from);
        if let Some(ping) = self.relayed.take_answered(number, from) {
            let message = Message::IndirectAck { number: ping.requester_number, target: from };
            outputs.push(SwimOutput::Send { to: ping.requester, message });
        }
    }

    /// Ends the ping in flight if a router's acknowledgement answers it.
    pub(super) fn complete_probe(&mut self, number: u32, node: NodeId) {
        if self.probe.is_some_and(|probe| probe.is_answered_by(number, node)) {
            self.probe = None;
            self.improve_health();
        }
    }

    /// Pings a peer on behalf of another router.
    pub(super) fn relay_ping(
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
