//! What a router does with the datagrams that it receives.

use super::links::ConfigMismatch;
use super::{Effect, Fleet};
use crate::codec::DropReason;
use crate::lease::{NodeIncarnation, VoteRequest};
use crate::packet::{Message, Packet, Payload, PeerState};
use crate::roster::NodeId;
use crate::swim::SwimOutput;
use basalthill_policy::api::Time;

/// The sender of a packet, as far as its messages depend on it.
#[derive(Clone, Copy, Debug)]
struct Sender {
    id: NodeIncarnation,
    /// Whether it knows this router's incarnation.
    knows_receiver: bool,
    mismatch: ConfigMismatch,
}

impl Fleet {
    /// Receives a datagram.
    pub fn receive_datagram(&mut self, now: Time, datagram: &[u8], effects: &mut Vec<Effect>) {
        match self.codec.decode(datagram) {
            Ok(Payload::Packet(packet)) => self.receive_packet(now, packet, effects),
            Ok(Payload::Status(_)) => self.count_dropped(DropReason::Malformed, 1),
            Err(reason) => self.count_dropped(reason, 1),
        }
    }

    /// Receives a packet whose signature has been checked.
    pub fn receive_packet(&mut self, now: Time, packet: Packet, effects: &mut Vec<Effect>) {
        match self.accept_packet(now, &packet, effects) {
            Ok(sender) => self.handle_messages(now, &sender, &packet.messages, effects),
            Err(reason) => self.count_dropped(reason, 1),
        }
        self.flush(effects);
    }

    /// Checks whom a packet is from and for, and that it is no replay. A router that uses a wrong incarnation
    /// is corrected.
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
            // From the peer itself, or a recorded packet. Only the peer can take the answer for its own.
            self.correct(now, packet, Message::StaleIncarnation { latest }, effects);
            return Err(DropReason::OtherIncarnation);
        }
        let knows_receiver = packet.to_incarnation != 0;
        if knows_receiver && packet.to_incarnation != self.swim.incarnation() {
            // Any packet tells the peer this router's incarnation.
            self.correct(now, packet, Message::Ack { number: 0 }, effects);
            return Err(DropReason::OtherIncarnation);
        }
        if !self.links.accept(from, packet.incarnation, packet.sequence) {
            return Err(DropReason::Replayed);
        }
        self.counters.accepted += 1;
        let mismatch = self.compare_config(packet, effects);
        let id = NodeIncarnation { node: from, incarnation: packet.incarnation };
        Ok(Sender { id, knows_receiver, mismatch })
    }

    /// Answers a packet at once that names a wrong incarnation, unless its sender was answered so just
    /// before.
    fn correct(&mut self, now: Time, packet: &Packet, message: Message, effects: &mut Vec<Effect>) {
        if self.links.may_correct(now, packet.from) {
            self.send(packet.from, packet.incarnation, vec![message], effects);
        }
    }

    /// Compares a sender's configuration with this router's. A change is logged.
    fn compare_config(&mut self, packet: &Packet, effects: &mut Vec<Effect>) -> ConfigMismatch {
        let mismatch = ConfigMismatch {
            roster: packet.roster_digest != self.config.roster.digest(),
            limits: packet.limits_digest != self.limits_digest,
        };
        if self.links.set_mismatch(packet.from, mismatch) {
            let what = match mismatch {
                ConfigMismatch { roster: true, .. } => {
                    "has another list of names: neither votes nor units pass between us"
                }
                ConfigMismatch { limits: true, .. } => "has other limits: no units pass between us",
                _ => "has the same names and limits",
            };
            let name = self.config.roster.name(packet.from);
            effects.push(Effect::Log(format!("fleet: {name} {what}")));
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
                // A sender that does not know this incarnation may only ping it.
                _ if !sender.knows_receiver => {}
                Message::Ack { .. }
                | Message::PingRequest { .. }
                | Message::IndirectAck { .. }
                | Message::Gossip(_) => self.swim.receive(now, sender.id.node, message, &mut outputs),
                Message::StaleIncarnation { latest } => {
                    effects
                        .push(Effect::Log(format!("fleet: a later life {latest} of this router is known")));
                    self.swim.supersede_incarnation(*latest);
                }
                Message::VoteRequest { .. }
                | Message::VoteGranted { .. }
                | Message::VoteDenied { .. }
                | Message::LeaseReleased { .. } => self.handle_lease_message(now, sender, message, effects),
                Message::QuotaReport(_) | Message::QuotaReply(_) | Message::LoanReturned { .. } => {
                    self.handle_quota_message(now, sender, message);
                }
            }
        }
        self.apply_swim_outputs(now, outputs, effects);
    }

    /// Votes and releases. They pass only between routers with the same roster.
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
                if let Some(answer) = self.leases.decide_vote(now, &self.config, *owner, request) {
                    self.outbox.push(sender.id.node, answer);
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
            "fleet: this router has the lease on its own quota, by the votes of a majority".into()
        } else {
            format!("fleet: {} is gone; its share is held here", self.config.roster.name(owner))
        }));
    }

    /// Reports, replies and loans. They pass only between routers with the same configuration.
    fn handle_quota_message(&mut self, now: Time, sender: &Sender, message: &Message) {
        if sender.mismatch.any() {
            return;
        }
        let from = sender.id.node;
        match message {
            Message::QuotaReport(report) => {
                let account = self.accounts.settled_or_open(now, &self.config, report.key);
                if let Some(reply) = account.and_then(|a| a.receive_report(now, from, report)) {
                    self.outbox.push(from, Message::QuotaReply(reply));
                }
            }
            Message::QuotaReply(reply) => {
                if let Some(account) = self.accounts.settled_or_open(now, &self.config, reply.key) {
                    account.receive_reply(now, from, reply);
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

    /// Queues SWIM's messages, and takes note of peers whose state has changed.
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
                    let what = describe_change(state, restarted);
                    let name = roster.name(node);
                    let reporter = roster.name(reporter);
                    effects.push(Effect::Log(format!("fleet: {name} {what}, says {reporter}")));
                }
            }
        }
    }
}

/// What the log says of a change of a peer's state.
fn describe_change(state: PeerState, restarted: bool) -> &'static str {
    match state {
        PeerState::Alive if restarted => "has started again",
        PeerState::Alive => "is alive",
        PeerState::Suspect => "does not answer",
        PeerState::Dead => "is dead",
        PeerState::Left => "has left",
    }
}
