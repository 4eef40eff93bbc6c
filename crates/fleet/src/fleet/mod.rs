//! One router's part in the fleet. Datagrams and ticks come in, datagrams and log lines go out, and limits
//! report what is open.
//!
//! [`Fleet`] passes each input to what owns the state for it: `links` keeps the links to the peers,
//! `quota_leases` the votes and claims, `accounts` the quota accounts, `outbox` the messages to be sent.
//! Membership is [`crate::swim`]'s.

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

/// What is to be done after an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The address.
        to: SocketAddr,
        /// The bytes.
        datagram: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}

/// The first round of each router is put off by a part of a period, in so many steps: rounds of different
/// routers fall at different times.
const ROUND_OFFSET_STEPS: u64 = 1000;

/// One router's part in the fleet.
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
    /// Rises whenever a peer's state or the configuration changes. Until then coordinators and stewards stay.
    membership_version: u64,
    counters: Counters,
}

impl Fleet {
    /// A router that has just started. Its incarnation must be later than its earlier ones: a Unix time will
    /// do. The same seed gives the same choices at random.
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

    /// The limits in force.
    pub fn limits(&self) -> &[Limit] {
        &self.config.limits
    }

    /// Who is alive, as this router sees it.
    pub fn swim(&self) -> &Swim {
        &self.swim
    }

    /// The counters of datagrams.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts datagrams that were dropped before they were passed on to here.
    pub fn count_dropped(&mut self, reason: DropReason, count: u64) {
        self.counters.count_dropped(reason, count);
    }

    /// Takes the names of the members that limits are counted at.
    pub fn set_members(&mut self, now: Time, members: Vec<String>) {
        if self.accounts.set_members(members) {
            self.accounts.open_missing(now, &self.config);
            self.apply_leases(now);
            self.accounts.close_unlisted(now, &self.config);
        }
    }

    /// Takes other settings. What is lent out under the old settings expires before leases count under the
    /// new ones.
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
        let deposit = self.config.timing.lender_span(self.config.timing.deposit);
        let leases_from = now.plus(deposit.max(self.config.max_use));
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
            "fleet: {} names, {} limits from now on; quotas that have changed count after {} ms",
            self.config.roster.len(),
            self.config.limits.len(),
            leases_from.since(now).0 / 1_000_000
        )));
        self.accounts.open_missing(now, &self.config);
        self.apply_leases(now);
    }

    /// Has every account count the quotas that this router has leases on.
    fn apply_leases(&mut self, now: Time) {
        self.accounts.apply_leases(now, &self.config, self.leases.valid(now));
    }

    /// When [`Fleet::tick`] is due.
    pub fn next_due(&self) -> Time {
        self.next_round.min(self.swim.next_due())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now >= self.swim.next_due() {
            let mut outputs = Vec::new();
            self.swim.tick(now, &mut outputs);
            self.apply_swim_outputs(now, outputs, effects);
        }
        if now >= self.next_round {
            self.run_round(now, effects);
            let due = self.next_round.plus(self.config.timing.period);
            // Rounds that were missed are not made up for.
            self.next_round = if due > now { due } else { now.plus(self.config.timing.period) };
        }
        self.flush(effects);
    }

    /// Runs a round: claims leases, and reports demand.
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

    /// Shuts down: reports so to some peers and releases the leases on which nothing relies.
    pub fn leave(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.swim.leave(&mut outputs);
        self.apply_swim_outputs(now, outputs, effects);
        let incarnation = self.swim.incarnation();
        self.leases.release_all(now, incarnation, &mut self.accounts, &mut self.outbox);
        self.flush(effects);
    }

    /// Sends the messages in the outbox, with gossip to peers whose incarnation is known.
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

    /// Sends a packet to an incarnation of a peer; zero stands for one that is not known.
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

    /// The response to an operator's request for the status, as a datagram; `None` to anything else.
    pub fn status_response(&self, now: Time, request: &StatusMessage) -> Option<Vec<u8>> {
        let response = status::response(request, || self.status_lines(now))?;
        Some(self.codec.encode(&response))
    }
}
