//! The state of one router of the fleet. Its inputs are datagrams, ticks and queries of the limits; its
//! outputs are datagrams and log lines.
//!
//! [`Fleet`] dispatches each input to the module that owns the state: `links` has the sequence numbers of
//! each peer, `quota_leases` the votes and claims, `accounts` the quota accounts, `outbox` the messages to be
//! sent, and [`crate::swim`] the membership.

mod accounts;
mod admission;
mod config;
mod counters;
mod links;
mod outbox;
mod quota_leases;
mod receive;
mod status_lines;

use crate::codec::{DatagramCodec, DropReason};
use crate::hash::mix_bits;
use crate::limit::Limit;
use crate::packet::{Message, Packet, Payload, StatusMessage};
use crate::roster::NodeId;
use crate::status;
use crate::swim::Swim;
use accounts::AccountTable;
use basalthill_policy::api::Time;
use links::PeerLinks;
use outbox::{Outbox, PackedMessages};
use quota_leases::{QuotaLeases, RoundContext};
use std::net::SocketAddr;

pub use config::FleetConfig;
pub use counters::Counters;

/// An action that the caller has to perform after an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The receiver's UDP address.
        to: SocketAddr,
        /// The encoded and authenticated datagram.
        datagram: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}

/// The number of steps that a period is divided into. The first round of a router is delayed by a number of
/// steps derived from its seed and id, so that the rounds of different routers do not coincide.
const ROUND_OFFSET_STEPS: u64 = 1000;

/// The state of one router of the fleet.
pub struct Fleet {
    me: NodeId,
    config: FleetConfig,
    limits_digest: u32,
    codec: DatagramCodec,
    started_at: Time,
    swim: Swim,
    leases: QuotaLeases,
    accounts: AccountTable,
    links: PeerLinks,
    outbox: Outbox,
    next_round: Time,
    /// Increases whenever a peer's state or the configuration changes. While it is the same, coordinators and
    /// successors are not computed again.
    membership_version: u64,
    counters: Counters,
}

impl Fleet {
    /// Creates the state of a router that has just started. Its incarnation must be larger than those of its
    /// earlier starts; a Unix time in milliseconds is suitable. The seed determines all random choices.
    pub fn new(
        now: Time,
        name: &str,
        incarnation: u64,
        config: FleetConfig,
        codec: DatagramCodec,
        seed: u64,
    ) -> Fleet {
        let me = NodeId::of(name);
        let node_seed = seed ^ me.0;
        let offset_steps = mix_bits(node_seed) % ROUND_OFFSET_STEPS;
        let offset = config.timing.period.times(offset_steps as f64 / ROUND_OFFSET_STEPS as f64);
        let mut accounts = AccountTable::new(now, me);
        accounts.open_missing(now, &config);
        Fleet {
            me,
            limits_digest: config.limits_digest(),
            codec,
            started_at: now,
            swim: Swim::new(now, me, incarnation, &config.roster, node_seed),
            leases: QuotaLeases::new(now, me, &config),
            accounts,
            links: PeerLinks::default(),
            outbox: Outbox::default(),
            next_round: now.plus(offset),
            membership_version: 0,
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the limits of the current configuration.
    pub fn limits(&self) -> &[Limit] {
        &self.config.limits
    }

    /// Returns the membership as this router sees it.
    pub fn swim(&self) -> &Swim {
        &self.swim
    }

    /// Returns the counters of datagrams.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts datagrams that the caller has dropped without passing them to the fleet.
    pub fn count_dropped(&mut self, reason: DropReason, count: u64) {
        self.counters.count_dropped(reason, count);
    }

    /// Replaces the list of members that limits are counted at.
    pub fn set_members(&mut self, now: Time, members: Vec<String>) {
        if self.accounts.set_members(members) {
            self.accounts.open_missing(now, &self.config);
            self.apply_leases(now);
            self.accounts.close_unlisted(now, &self.config);
        }
    }

    /// Replaces the settings. Leases count under the new settings only after the units that were lent out
    /// under the old ones have expired.
    pub fn reload(
        &mut self,
        now: Time,
        config: FleetConfig,
        codec: DatagramCodec,
        effects: &mut Vec<Effect>,
    ) {
        self.codec = codec;
        if config == self.config {
            return;
        }
        let deposit_span = self.config.timing.lender_span(self.config.timing.deposit_span);
        let leases_from = now.plus(deposit_span.max(self.config.max_use));
        let old = std::mem::replace(&mut self.config, config);
        self.membership_version += 1;
        self.limits_digest = self.config.limits_digest();
        self.leases.forget_voters();
        if old.roster != self.config.roster {
            self.swim.set_roster(now, &self.config.roster);
            for peer in old.roster.ids().filter(|id| !self.config.roster.contains(*id)) {
                self.links.remove(peer);
                self.accounts.all_mut().for_each(|account| account.forget_peer(peer));
            }
        }
        if old.roster.digest() != self.config.roster.digest() {
            self.leases.restart_claims(&self.config.roster);
        }
        self.accounts.close_changed(&old, &self.config, leases_from);
        effects.push(Effect::Log(format!(
            "fleet: settings reloaded: {} routers, {} limits; changed quotas count after {} ms",
            self.config.roster.len(),
            self.config.limits.len(),
            leases_from.since(now).0 / 1_000_000
        )));
        self.accounts.open_missing(now, &self.config);
        self.apply_leases(now);
    }

    /// Adds the quotas on which this router has a lease to every account.
    fn apply_leases(&mut self, now: Time) {
        self.accounts.apply_leases(now, &self.config, self.leases.valid(now));
    }

    /// Returns when [`Fleet::tick`] is due.
    pub fn next_due(&self) -> Time {
        self.next_round.min(self.swim.next_due())
    }

    /// Runs the protocol steps that are due.
    pub fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now >= self.swim.next_due() {
            let mut outputs = Vec::new();
            self.swim.tick(now, &mut outputs);
            self.apply_swim_outputs(now, outputs, effects);
        }
        if now >= self.next_round {
            self.run_round(now, effects);
            let due = self.next_round.plus(self.config.timing.period);
            // Missed rounds are skipped.
            self.next_round = if due > now { due } else { now.plus(self.config.timing.period) };
        }
        self.flush(effects);
    }

    /// Runs a round: requests and releases leases, and reports demand to the coordinators.
    fn run_round(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let context = RoundContext {
            now,
            started_at: self.started_at,
            config: &self.config,
            swim: &self.swim,
            membership_version: self.membership_version,
        };
        self.leases.run_round(&context, &mut self.accounts, &mut self.outbox, effects);
        self.accounts.apply_leases(now, &self.config, self.leases.valid(now));
        self.accounts.run_round(now, &self.swim, self.membership_version, &mut self.outbox);
    }

    /// Shuts down: notifies some peers, and releases the leases that no loan and no unit in use depends on.
    pub fn leave(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.swim.leave(&mut outputs);
        self.apply_swim_outputs(now, outputs, effects);
        let incarnation = self.swim.incarnation();
        self.leases.release_all(now, incarnation, &mut self.accounts, &mut self.outbox);
        self.flush(effects);
    }

    /// Sends the messages in the outbox, with gossip added for peers whose incarnation is known.
    fn flush(&mut self, effects: &mut Vec<Effect>) {
        for (to, messages) in self.outbox.take() {
            let incarnation = self.swim.known_incarnation(to).unwrap_or(0);
            let mut packed = PackedMessages::pack(messages);
            let updates = if incarnation != 0 { self.swim.next_gossip() } else { Vec::new() };
            if !updates.is_empty() {
                packed.push_if_fits(Message::Gossip(updates));
            }
            for messages in packed.full {
                self.send(to, incarnation, messages, effects);
            }
            self.send(to, incarnation, packed.last, effects);
        }
    }

    /// Sends a packet to an incarnation of a peer. Zero stands for an unknown incarnation.
    fn send(&mut self, to: NodeId, to_incarnation: u64, messages: Vec<Message>, effects: &mut Vec<Effect>) {
        let Some(peer) = self.config.roster.get(to) else { return };
        let packet = Packet {
            from: self.me,
            incarnation: self.swim.incarnation(),
            to,
            to_incarnation,
            sequence: self.links.next_sequence(to),
            roster_digest: self.config.roster.digest(),
            limits_digest: self.limits_digest,
            messages,
        };
        let datagram = self.codec.encode(&Payload::Packet(packet));
        self.counters.count_sent(datagram.len());
        effects.push(Effect::Send { to: peer.addr, datagram });
    }

    /// Returns the datagram with the response to an operator's status request; `None` for any other message.
    pub fn status_response(&self, now: Time, request: &StatusMessage) -> Option<Vec<u8>> {
        let response = status::response(request, || self.status_lines(now))?;
        Some(self.codec.encode(&response))
    }
}
