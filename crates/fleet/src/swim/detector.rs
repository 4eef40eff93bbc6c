//! The failure detector: pings peers, suspects those that do not acknowledge, and declares suspects dead.

use super::probe::{Probe, RelayedPing};
use super::{PeerView, Swim, SwimOutput, ACK_TIMEOUT, INDIRECT_PROBES, PERIOD};
use crate::packet::{MembershipUpdate, Message, PeerState};
use crate::roster::NodeId;
use basalthill_policy::api::Time;

/// Shortest suspicion timeout in protocol periods, per decimal logarithm of the fleet's size. Fleets of fewer
/// than ten routers have the timeout of ten.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// Ratio of the longest suspicion timeout to the shortest.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Once in this many periods, the ping is sent to an inactive peer, which is neither alive nor suspected.
const INACTIVE_PROBE_PERIODS: u64 = 3;
/// Periods after which the acknowledgement of a ping on behalf of another router is no longer accepted.
const RELAYED_PING_PERIODS: f64 = 4.0;
/// A tick this long after its due time means that this process was suspended.
const SUSPENSION_THRESHOLD: Time = Time::ms(400);

impl Swim {
    /// Handles the acknowledgement of a ping: either this router's own ping or one on behalf of another
    /// router.
    pub(super) fn receive_ack(&mut self, from: NodeId, number: u32, outputs: &mut Vec<SwimOutput>) {
        self.complete_probe(number, from);
        if let Some(ping) = self.relayed.take_acknowledged(number, from) {
            let message = Message::IndirectAck { number: ping.requester_number, target: from };
            outputs.push(SwimOutput::Send { to: ping.requester, message });
        }
    }

    /// Completes the ping in flight if the acknowledgement from `node` matches it.
    pub(super) fn complete_probe(&mut self, number: u32, node: NodeId) {
        if self.probe.is_some_and(|probe| probe.is_acknowledged_by(number, node)) {
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
        let expires_at = now.plus(PERIOD.times(RELAYED_PING_PERIODS));
        self.relayed.push(RelayedPing { number, target, requester, requester_number, expires_at });
        outputs.push(SwimOutput::Send { to: target, message: Message::Ping { number } });
    }

    fn next_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns when [`Swim::tick`] is due.
    pub fn next_due(&self) -> Time {
        match self.probe {
            Some(probe) if !probe.indirect_sent => probe.indirect_at.min(self.next_period),
            _ => self.next_period,
        }
    }

    /// Returns the time for which a peer is suspected before it is declared dead. It shrinks with the number
    /// of routers that suspect the peer.
    fn suspicion_timeout(&self, suspecting_routers: usize) -> Time {
        let log_size = ((self.peers.len() + 1) as f64).log10().max(1.0);
        let min_periods = MIN_SUSPICION_PERIODS * log_size;
        let max_periods = min_periods * MAX_SUSPICION_FACTOR;
        let confirmed = (suspecting_routers as f64).ln_1p() / (INDIRECT_PROBES as f64 + 1.0).ln_1p();
        PERIOD.times((max_periods - (max_periods - min_periods) * confirmed).max(min_periods))
    }

    /// Runs the pings and timeouts that are due.
    pub fn tick(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        if now.since(self.next_due()) > SUSPENSION_THRESHOLD {
            self.resume_after_suspension(now);
            return;
        }
        self.send_indirect_pings(now, outputs);
        if now < self.next_period {
            return;
        }
        self.relayed.expire(now);
        if let Some(probe) = self.probe.take_if(|probe| now >= probe.times_out_at) {
            self.degrade_health();
            self.suspect(now, probe.target, outputs);
        }
        self.expire_suspicions(now, outputs);
        if self.probe.is_none() {
            self.start_probe(now, outputs);
        }
        self.next_period = now.plus(PERIOD);
    }

    /// Resumes after a suspension of this process. Acknowledgements may be waiting unread in the socket, so
    /// the ping in flight is dropped without suspecting its target, and running suspicions are extended by
    /// the length of the suspension.
    fn resume_after_suspension(&mut self, now: Time) {
        self.probe = None;
        self.degrade_health();
        let suspended_for = now.since(self.next_period);
        for view in self.peers.values_mut().filter(|view| view.state == Some(PeerState::Suspect)) {
            view.since = view.since.plus(suspended_for);
        }
        self.next_period = now.plus(PERIOD);
    }

    /// Requests other routers to ping the target whose acknowledgement is late.
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

    /// Declares suspects dead that have not refuted the suspicion within its timeout.
    fn expire_suspicions(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        let has_timed_out = |view: &PeerView| {
            let is_suspect = view.state == Some(PeerState::Suspect);
            is_suspect && now.since(view.since) >= self.suspicion_timeout(view.suspected_by.len())
        };
        let timed_out = self.peers.iter().filter(|(_, view)| has_timed_out(view));
        let updates: Vec<MembershipUpdate> =
            timed_out.map(|(id, view)| view.update(*id, PeerState::Dead, self.me)).collect();
        for update in updates {
            self.apply_update(now, update, outputs);
        }
    }

    /// Pings the next peer: an inactive peer if one is due, otherwise the next active peer.
    fn start_probe(&mut self, now: Time, outputs: &mut Vec<SwimOutput>) {
        self.periods += 1;
        if let Some(target) = self.choose_inactive_target() {
            // An acknowledgement marks the peer alive. A missing one changes nothing, so no probe is kept.
            let number = self.next_number();
            outputs.push(SwimOutput::Send { to: target, message: Message::Ping { number } });
            return;
        }
        if let Some(target) = self.next_target() {
            let number = self.next_number();
            let timeout_factor = f64::from(1 + self.health_score);
            self.probe = Some(Probe {
                number,
                target,
                indirect_at: now.plus(ACK_TIMEOUT.times(timeout_factor)),
                times_out_at: now.plus(PERIOD.times(timeout_factor)),
                indirect_sent: false,
            });
            outputs.push(SwimOutput::Send { to: target, message: Message::Ping { number } });
        }
    }

    /// Returns a random inactive peer if one is to be pinged in this period: once in `INACTIVE_PROBE_PERIODS`
    /// periods, and in every period if no peer is active.
    fn choose_inactive_target(&mut self) -> Option<NodeId> {
        let inactive: Vec<NodeId> =
            self.peers.iter().filter(|(_, view)| !view.is_active()).map(|(id, _)| *id).collect();
        let is_due = self.periods % INACTIVE_PROBE_PERIODS == 0 || inactive.len() == self.peers.len();
        if inactive.is_empty() || !is_due {
            return None;
        }
        Some(inactive[self.rng.usize(..inactive.len())])
    }

    /// Returns the next active peer. The order is shuffled for each pass over all peers.
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
