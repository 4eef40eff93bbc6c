//! Handling of received datagrams.

use super::links::ConfigMismatch;
use super::{Effect, Fleet};
use crate::codec::DropReason;
use crate::lease::{NodeIncarnation, VoteRequest};
use crate::packet::{Message, Packet, Payload, PeerState};
use crate::roster::NodeId;
use crate::swim::SwimOutput;
use basalthill_policy::api::Time;

/// The sender of a packet, and the properties that determine which of its messages are accepted.
#[derive(Clone, Copy, Debug)]
struct Sender {
    id: NodeIncarnation,
    /// Whether the packet names this router's incarnation.
    knows_receiver_incarnation: bool,
    mismatch: ConfigMismatch,
}

impl Fleet {
    /// Handles a received datagram. A datagram that does not pass the checks is dropped and counted.
    pub fn receive_datagram(&mut self, now: Time, datagram: &[u8], effects: &mut Vec<Effect>) {
        match self.codec.decode(datagram) {
            Ok(Payload::Packet(packet)) => self.receive_packet(now, packet, effects),
            Ok(Payload::Status(_)) => self.count_dropped(DropReason::Malformed, 1),
            Err(reason) => self.count_dropped(reason, 1),
        }
    }

    /// Handles a packet whose authentication code has been verified.
    pub fn receive_packet(&mut self, now: Time, packet: Packet, effects: &mut Vec<Effect>) {
        match self.accept_packet(now, &packet, effects) {
            Ok(sender) => self.handle_messages(now, &sender, &packet.messages, effects),
            Err(reason) => self.count_dropped(reason, 1),
        }
        self.flush(effects);
    }

    /// Checks the sender, the receiver and the sequence number of a packet. A peer that uses an outdated
    /// incarnation of itself or of this router is sent a correction.
    fn accept_packet(
        &mut self,
        now: Time,
        packet: &Packet,
        effects: &mut Vec<Effect>,
    ) -> Result<Sender, DropReason> {
        let from = packet.from;
        if packet.to != self.me || from == self.me || !self.config.roster.contains(from) {
            return Err(DropReason::UnknownPeer);
        }
        let latest = self.swim.peer(from).map_or(0, |view| view.incarnation);
        if packet.incarnation < latest {
            // The packet comes from the peer itself or is a replay. The peer accepts the correction only if
            // it is addressed to its current incarnation.
            self.correct(now, packet, Message::StaleIncarnation { latest }, effects);
            return Err(DropReason::OtherIncarnation);
        }
        let knows_receiver_incarnation = packet.to_incarnation != 0;
        if knows_receiver_incarnation && packet.to_incarnation != self.swim.incarnation() {
            // The packet itself tells the sender this router's incarnation, so the content of the message
            // does not matter.
            self.correct(now, packet, Message::Ack { number: 0 }, effects);
            return Err(DropReason::OtherIncarnation);
        }
        if !self.links.accept(from, packet.incarnation, packet.sequence) {
            return Err(DropReason::Replayed);
        }
        self.counters.accepted += 1;
        let mismatch = self.compare_config(packet, effects);
        let id = NodeIncarnation { node: from, incarnation: packet.incarnation };
        Ok(Sender { id, knows_receiver_incarnation, mismatch })
    }

    /// Sends a correction to the sender of a packet that names a wrong incarnation, unless one was sent
    /// within the last `CORRECTION_INTERVAL`.
    fn correct(&mut self, now: Time, packet: &Packet, message: Message, effects: &mut Vec<Effect>) {
        if self.links.may_correct(now, packet.from) {
            self.send(packet.from, packet.incarnation, vec![message], effects);
        }
    }

    /// Compares a sender's configuration with this router's, and logs a change of the result.
    fn compare_config(&mut self, packet: &Packet, effects: &mut Vec<Effect>) -> ConfigMismatch {
        let mismatch = ConfigMismatch {
            roster: packet.roster_digest != self.config.roster.digest(),
            limits: packet.limits_digest != self.limits_digest,
        };
        if self.links.set_mismatch(packet.from, mismatch) {
            let description = match mismatch {
                ConfigMismatch { roster: true, .. } => {
                    "has a different list of routers: no votes or units are exchanged with it"
                }
                ConfigMismatch { limits: true, .. } => "has different limits: no units are exchanged with it",
                _ => "has the same list of routers and the same limits",
            };
            let name = self.config.roster.name(packet.from);
            effects.push(Effect::Log(format!("fleet: {name} {description}")));
        }
        mismatch
    }

    fn handle_messages(
        &mut self,
        now: Time,
        sender: &Sender,
        messages: &[Message],
        effects: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.swim.record_contact(now, sender.id.node, sender.id.incarnation, &mut outputs);
        for message in messages {
            match message {
                Message::Ping { .. } => self.swim.receive(now, sender.id.node, message, &mut outputs),
                // Only pings are accepted from a sender that does not know this router's incarnation.
                _ if !sender.knows_receiver_incarnation => {}
                Message::Ack { .. }
                | Message::PingRequest { .. }
                | Message::IndirectAck { .. }
                | Message::Gossip(_) => self.swim.receive(now, sender.id.node, message, &mut outputs),
                Message::StaleIncarnation { latest } => {
                    let name = self.config.roster.name(sender.id.node);
                    effects.push(Effect::Log(format!(
                        "fleet: {name} knows a later incarnation {latest} of this router; taking a newer one"
                    )));
                    self.swim.supersede_incarnation(*latest);
                }
                Message::VoteRequest { .. }
                | Message::VoteGranted { .. }
                | Message::VoteDenied { .. }
                | Message::LeaseReleased { .. } => self.handle_lease_message(now, sender, message, effects),
                Message::QuotaReport(_) | Message::QuotaResponse(_) | Message::LoanReturned { .. } => {
                    self.handle_quota_message(now, sender, message);
                }
            }
        }
        self.apply_swim_outputs(now, outputs, effects);
    }

    /// Handles votes and releases. They are exchanged only between routers with the same roster.
    fn handle_lease_message(
        &mut self,
        now: Time,
        sender: &Sender,
        message: &Message,
        effects: &mut Vec<Effect>,
    ) {
        if sender.mismatch.roster {
            return;
        }
        match message {
            Message::VoteRequest { owner, number, span_ms } => {
                let span = Time::ms(u64::from(*span_ms));
                let request = VoteRequest { candidate: sender.id, number: *number, span };
                if let Some(response) = self.leases.decide_vote(now, &self.config, *owner, request) {
                    self.outbox.push(sender.id.node, response);
                }
            }
            Message::VoteGranted { owner, number } => {
                if let Some(previous_expiry) = self.leases.record_vote(*owner, sender.id.node, *number) {
                    if previous_expiry <= now {
                        self.log_new_lease(*owner, effects);
                    }
                    self.apply_leases(now);
                }
            }
            Message::LeaseReleased { owner, number } => {
                self.leases.receive_release(*owner, sender.id, *number);
            }
            _ => {}
        }
    }

    fn log_new_lease(&self, owner: NodeId, effects: &mut Vec<Effect>) {
        effects.push(Effect::Log(if owner == self.me {
            "fleet: a majority of the voters granted the lease on this router's own quota".into()
        } else {
            format!(
                "fleet: {} is unavailable; this router holds the lease on its quota",
                self.config.roster.name(owner)
            )
        }));
    }

    /// Handles reports, responses and loans. They are exchanged only between routers with the same roster and
    /// limits.
    fn handle_quota_message(&mut self, now: Time, sender: &Sender, message: &Message) {
        if sender.mismatch.any() {
            return;
        }
        let from = sender.id.node;
        match message {
            Message::QuotaReport(report) => {
                let account = self.accounts.settled_or_open(now, &self.config, report.key);
                if let Some(response) = account.and_then(|a| a.receive_report(now, from, report)) {
                    self.outbox.push(from, Message::QuotaResponse(response));
                }
            }
            Message::QuotaResponse(response) => {
                if let Some(account) = self.accounts.settled_or_open(now, &self.config, response.key) {
                    account.receive_response(now, from, response);
                }
            }
            Message::LoanReturned { key, request } => {
                if let Some(account) = self.accounts.settled_or_open(now, &self.config, *key) {
                    account.receive_return(now, from, *request);
                }
            }
            _ => {}
        }
    }

    /// Queues SWIM's messages, and logs and applies changes of peers' states.
    pub(super) fn apply_swim_outputs(
        &mut self,
        now: Time,
        outputs: Vec<SwimOutput>,
        effects: &mut Vec<Effect>,
    ) {
        for output in outputs {
            match output {
                SwimOutput::Send { to, message } => self.outbox.push(to, message),
                SwimOutput::StateChanged { node, state, restarted, reporter } => {
                    self.membership_version += 1;
                    if restarted {
                        for account in self.accounts.all_mut() {
                            account.settle(now);
                            account.forget_peer(node);
                        }
                    }
                    let roster = &self.config.roster;
                    let description = describe_change(state, restarted);
                    let name = roster.name(node);
                    let reporter = roster.name(reporter);
                    effects.push(Effect::Log(format!("fleet: {name} {description}, reported by {reporter}")));
                }
            }
        }
    }
}

/// Returns the log text for a change of a peer's state.
fn describe_change(state: PeerState, restarted: bool) -> &'static str {
    match state {
        PeerState::Alive if restarted => "has restarted",
        PeerState::Alive => "is alive",
        PeerState::Suspect => "is suspected: a ping was not acknowledged",
        PeerState::Dead => "is dead",
        PeerState::Left => "has left",
    }
}
