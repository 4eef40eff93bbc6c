//! One router's part in the fleet: datagrams and ticks come in, datagrams go out, and limits say what is
//! open.

use crate::account::QuotaAccount;
use crate::lease::{LeaseClaim, NodeIncarnation, VoteRequest, Voter};
use crate::limit::{Bounds, Budget, Limit, LimitKey, Subject};
use crate::loan::LoanRequest;
use crate::names::{mix_bits, NodeId, Roster};
use crate::packet::{encoded_len, Message, Packet, Payload, PeerState, PAYLOAD_CAPACITY};
use crate::seal::{DatagramCodec, DropReason, Window};
use crate::swim::{self, Swim};
use crate::times::Timing;
use crate::{account, status};
use basalthill_policy::api::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the settings say of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The routers, this one among them.
    pub roster: Roster,
    /// The limits.
    pub limits: Vec<Limit>,
    /// How long loans count.
    pub timing: Timing,
    /// What an earlier life had in use may be so for this long.
    pub max_use: Time,
    /// Votes that an earlier life gave may count for this long, whatever its limits were.
    pub vote_quarantine: Time,
}

impl FleetConfig {
    fn digest(&self) -> u32 {
        let order = |h, l: &Limit| mix_bits(h ^ l.digest());
        let times = [self.timing.drift.to_bits(), self.timing.lease.0];
        times.iter().fold(self.limits.iter().fold(0, order), |h, t| mix_bits(h ^ t)) as u32
    }
}

/// What comes of an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes.
        datagram: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}

/// How much of what limits a request is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Availability {
    /// How full the tokens stand, as a share, by the limit that has least: zero where there is none, one
    /// where nothing limits it.
    pub fraction: f64,
    /// If it is refused, there will be a token for it after so long.
    pub retry_after: Time,
}

/// One who is told its life is an earlier one, or which life this is, is not told again so soon.
const CORRECT_EVERY: Time = Time::ms(200);
/// Accounts of members that others speak of but this router has not been told of.
const STRANGE_ACCOUNTS: usize = 4096;
/// A share that is held is claimed again every so many rounds; one that is not, in each.
const CLAIM_ROUNDS: u64 = 3;

#[derive(Debug, Default)]
struct Link {
    sent: u64,
    life: u64,
    window: Window,
    corrected: Option<Time>,
    other_names: bool,
    other_limits: bool,
}

/// What has been counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them.
    pub sent_bytes: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams dropped, by why.
    pub dropped: BTreeMap<DropReason, u64>,
}

/// One router's part in the fleet.
pub struct Fleet {
    me: NodeId,
    plan: FleetConfig,
    digest: u32,
    seal: DatagramCodec,
    started: Time,
    swim: Swim,
    voter: Voter,
    /// Names whose shares were asked about, and whether this router watches over them.
    guards: BTreeMap<NodeId, bool>,
    claims: BTreeMap<NodeId, LeaseClaim>,
    accounts: BTreeMap<LimitKey, QuotaAccount>,
    /// Accounts opened by a change of the settings hold no shares before their time.
    opens: BTreeMap<LimitKey, Time>,
    members: Vec<String>,
    links: BTreeMap<NodeId, Link>,
    say: BTreeMap<NodeId, Vec<Message>>,
    next_round: Time,
    rounds: u64,
    /// Questions for votes, over all shares and claims of this life.
    questions: u32,
    /// Rises whenever who is alive changes: until then coordinators and the lost stay who they are.
    epoch: u64,
    coordinators: BTreeMap<LimitKey, (u64, NodeId)>,
    scanned: Option<(u64, bool)>,
    counts: Counters,
}

impl Fleet {
    /// A router that has just started. Its life has to be later than its earlier ones': a Unix time will do.
    pub fn new(now: Time, name: &str, life: u64, plan: FleetConfig, seal: DatagramCodec, seed: u64) -> Fleet {
        let me = NodeId::of(name);
        let mut fleet = Fleet {
            me,
            digest: plan.digest(),
            seal,
            started: now,
            swim: Swim::new(now, me, life, &plan.roster, seed ^ me.0),
            voter: Voter::new(now, plan.vote_quarantine),
            guards: BTreeMap::new(),
            claims: BTreeMap::new(),
            accounts: BTreeMap::new(),
            opens: BTreeMap::new(),
            members: Vec::new(),
            links: BTreeMap::new(),
            say: BTreeMap::new(),
            // Rounds of different routers fall at different times.
            next_round: now.plus(plan.timing.period.times((mix_bits(seed ^ me.0) % 1000) as f64 / 1000.0)),
            rounds: 0,
            questions: 0,
            epoch: 0,
            coordinators: BTreeMap::new(),
            scanned: None,
            counts: Counters::default(),
            plan,
        };
        fleet.claims.insert(me, LeaseClaim::new(fleet.plan.roster.voters(me)));
        fleet.open_accounts(now);
        fleet
    }

    /// This router, in short.
    pub fn me(&self) -> NodeId {
        self.me
    }

    /// The limits in force.
    pub fn limits(&self) -> &[Limit] {
        &self.plan.limits
    }

    /// Who is alive, as this router has it.
    pub fn swim(&self) -> &Swim {
        &self.swim
    }

    /// What has been counted.
    pub fn counters(&self) -> &Counters {
        &self.counts
    }

    /// So many datagrams were dropped before they came here.
    pub fn count_dropped(&mut self, why: DropReason, count: u64) {
        *self.counts.dropped.entry(why).or_default() += count;
    }

    fn open_accounts(&mut self, now: Time) {
        for limit in &self.plan.limits {
            let keys: Vec<LimitKey> = match limit.subject {
                Subject::EachMember => {
                    self.members.iter().map(|m| LimitKey::at_member(&limit.name, m)).collect()
                }
                _ => vec![LimitKey::global(&limit.name)],
            };
            for key in keys {
                if !self.accounts.contains_key(&key) {
                    // At a start, and after a change, what was in use before may still be.
                    let before = self.started == now || self.opens.contains_key(&key);
                    let settled = if before { now.plus(self.plan.max_use) } else { now };
                    let account = account_of(now, &self.plan, limit, key, self.me, settled);
                    let account = account.numbering_from(now.since(self.started));
                    self.accounts.insert(key, account);
                }
            }
        }
        self.hold_shares(now);
    }

    /// The members that limits are counted at.
    pub fn set_members(&mut self, now: Time, members: Vec<String>) {
        if members == self.members {
            return;
        }
        self.members = members;
        self.open_accounts(now);
        // Those of members that are gone go once nothing hangs on them.
        let limits = &self.plan.limits;
        let listed: Vec<LimitKey> = limits
            .iter()
            .filter(|l| l.subject == Subject::EachMember)
            .flat_map(|l| self.members.iter().map(|m| LimitKey::at_member(&l.name, m)))
            .collect();
        self.accounts.retain(|key, a| key.member == 0 || listed.contains(key) || !a.is_idle(now));
    }

    /// Takes other settings over. Rights under the old ones that are lent out lapse before shares under
    /// the new ones count.
    pub fn reload(&mut self, now: Time, plan: FleetConfig, seal: DatagramCodec, out: &mut Vec<Effect>) {
        self.seal = seal;
        if plan == self.plan {
            return;
        }
        let lapsed = now.plus(self.plan.timing.lender_span(self.plan.timing.deposit).max(self.plan.max_use));
        let old = std::mem::replace(&mut self.plan, plan);
        self.epoch += 1;
        self.guards.clear();
        self.digest = self.plan.digest();
        if old.roster != self.plan.roster {
            self.swim.list(now, &self.plan.roster);
            for tag in old.roster.ids().filter(|t| self.plan.roster.get(*t).is_none()) {
                self.links.remove(&tag);
                self.accounts.values_mut().for_each(|a| a.forget_peer(tag));
            }
        }
        if old.roster.digest() != self.plan.roster.digest() {
            // Claims begin anew with the new guardians; shares that are held under the old ones lapse.
            self.claims = [(self.me, LeaseClaim::new(self.plan.roster.voters(self.me)))].into();
        }
        let names = old.roster.digest() != self.plan.roster.digest();
        let same = |key: &LimitKey| {
            let of = |plan: &FleetConfig| {
                plan.limits.iter().find(|l| LimitKey::global(&l.name).limit == key.limit).cloned()
            };
            let times = old.timing != self.plan.timing;
            of(&old) == of(&self.plan) && of(&old).is_some() && !names && !times
        };
        let gone: Vec<LimitKey> = self.accounts.keys().filter(|key| !same(key)).copied().collect();
        for key in gone {
            self.accounts.remove(&key);
            self.opens.insert(key, lapsed);
        }
        out.push(Effect::Log(format!(
            "fleet: {} names, {} limits from now on; shares that have changed count after {} ms",
            self.plan.roster.len(),
            self.plan.limits.len(),
            lapsed.since(now).0 / 1_000_000
        )));
        self.open_accounts(now);
    }

    /// Has every account hold the shares that this router holds.
    fn hold_shares(&mut self, now: Time) {
        self.opens.retain(|_, at| now < *at);
        for (slot, claim) in &self.claims {
            let until = claim.expires_at();
            if until <= now {
                continue;
            }
            for (key, account) in self.accounts.iter_mut().filter(|(key, _)| !self.opens.contains_key(key)) {
                let Some(limit) =
                    self.plan.limits.iter().find(|l| LimitKey::global(&l.name).limit == key.limit)
                else {
                    continue;
                };
                account.settle(now);
                let units = account.quota_units(*slot);
                let units = units.unwrap_or_else(|| parts(&self.plan.roster, limit, *key, *slot).1);
                account.lease_quota(*slot, units, until);
            }
        }
    }

    /// A datagram has come.
    pub fn receive_datagram(&mut self, now: Time, bytes: &[u8], out: &mut Vec<Effect>) {
        match self.seal.decode(bytes) {
            Ok(Payload::Packet(packet)) => self.receive_packet(now, packet, out),
            Ok(Payload::Status(_)) | Err(DropReason::Malformed) => {
                self.count_dropped(DropReason::Malformed, 1)
            }
            Err(why) => self.count_dropped(why, 1),
        }
    }

    /// A packet has come whose seal is right.
    pub fn receive_packet(&mut self, now: Time, packet: Packet, out: &mut Vec<Effect>) {
        if let Err(why) = self.take(now, packet, out) {
            self.count_dropped(why, 1);
        }
        self.flush(out);
    }

    fn take(&mut self, now: Time, packet: Packet, out: &mut Vec<Effect>) -> Result<(), DropReason> {
        let from = packet.from;
        if packet.to != self.me || from == self.me || self.plan.roster.get(from).is_none() {
            return Err(DropReason::Stranger);
        }
        let known = self.swim.peer(from).map_or(0, |k| k.life);
        if packet.life < known {
            // It, or one who repeats what it once said. Only it can take the answer for its own.
            if self.may_correct(now, from) {
                self.send_to(from, packet.life, vec![Message::StaleIncarnation(known)], out);
            }
            return Err(DropReason::OtherLife);
        }
        if packet.to_life != 0 && packet.to_life != self.swim.life() {
            if self.may_correct(now, from) {
                self.send_to(from, packet.life, vec![Message::Ack(0)], out);
            }
            return Err(DropReason::OtherLife);
        }
        let link = self.links.entry(from).or_default();
        if packet.life != link.life {
            (link.life, link.window) = (packet.life, Window::default());
        }
        if !link.window.take(packet.sequence) {
            return Err(DropReason::Repeated);
        }
        self.counts.taken += 1;
        let (names, limits) = (self.plan.roster.digest() != packet.names, self.digest != packet.limits);
        if (link.other_names, link.other_limits) != (names, limits) {
            (link.other_names, link.other_limits) = (names, limits);
            let what = match (names, limits) {
                (true, _) => "has another list of names: neither votes nor rights pass between us",
                (false, true) => "has other limits: no rights pass between us",
                (false, false) => "has the same names and limits",
            };
            out.push(Effect::Log(format!("fleet: {} {what}", self.plan.roster.name(from))));
        }
        let mut said = Vec::new();
        self.swim.heard(now, from, packet.life, &mut said);
        for message in &packet.messages {
            match message {
                // One who does not know this life may ask whether it is there, no more.
                Message::Ping(_) => self.swim.take(now, from, message, &mut said),
                _ if packet.to_life == 0 => {}
                Message::StaleIncarnation(life) => {
                    out.push(Effect::Log(format!("fleet: a later life {life} of this router is known")));
                    self.swim.live_after(*life);
                }
                Message::VoteRequest(..)
                | Message::VoteGranted(..)
                | Message::VoteDenied(..)
                | Message::LeaseReleased(..) => {
                    if !names {
                        self.of_shares(
                            now,
                            NodeIncarnation { router: from, life: packet.life },
                            message,
                            out,
                        );
                    }
                }
                Message::Report(report) if !(names || limits) => {
                    if let Some(account) = self.account(now, report.key) {
                        if let Some(reply) = account.receive_report(now, from, report) {
                            self.say.entry(from).or_default().push(Message::Reply(reply));
                        }
                    }
                }
                Message::Reply(reply) if !(names || limits) => {
                    if let Some(account) = self.account(now, reply.key) {
                        account.receive_reply(now, from, reply);
                    }
                }
                Message::LoanReturned(key, number, keep) if !(names || limits) => {
                    if let Some(account) = self.account(now, *key) {
                        account.receive_return(now, from, LoanRequest { number: *number, keep: *keep });
                    }
                }
                Message::Report(_) | Message::Reply(_) | Message::LoanReturned(..) => {}
                _ => self.swim.take(now, from, message, &mut said),
            }
        }
        self.swim_says(now, said, out);
        Ok(())
    }

    fn may_correct(&mut self, now: Time, from: NodeId) -> bool {
        let link = self.links.entry(from).or_default();
        let may = link.corrected.is_none_or(|at| now.since(at) >= CORRECT_EVERY);
        if may {
            link.corrected = Some(now);
        }
        may
    }

    /// The account of a key, settled. One of a member that is not known here is opened, if its limit is.
    fn account(&mut self, now: Time, key: LimitKey) -> Option<&mut QuotaAccount> {
        if !self.accounts.contains_key(&key) {
            let limit = self.plan.limits.iter().find(|l| LimitKey::global(&l.name).limit == key.limit)?;
            let strange = limit.subject != Subject::EachMember || key.member == 0;
            if strange || self.accounts.len() >= STRANGE_ACCOUNTS + self.members.len() {
                return None;
            }
            let settled = self.started.plus(self.plan.max_use);
            let account = account_of(now, &self.plan, limit, key, self.me, settled);
            let account = account.numbering_from(now.since(self.started));
            self.accounts.insert(key, account);
        }
        let account = self.accounts.get_mut(&key)?;
        account.settle(now);
        Some(account)
    }

    /// What is said of shares.
    fn of_shares(&mut self, now: Time, from: NodeIncarnation, message: &Message, out: &mut Vec<Effect>) {
        match message {
            Message::VoteRequest(slot, number, span) => {
                let (names, me) = (&self.plan.roster, self.me);
                if names.get(*slot).is_none() {
                    return;
                }
                if !*self.guards.entry(*slot).or_insert_with(|| names.voters(*slot).contains(&me)) {
                    return;
                }
                let request = VoteRequest { life: from, number: *number, span: Time::ms(u64::from(*span)) };
                let answer = match self.voter.request_vote(now, &self.plan.timing, *slot, request) {
                    Ok(()) => Message::VoteGranted(*slot, *number),
                    Err(by) => Message::VoteDenied(*slot, by.map(|l| (l.router, l.life))),
                };
                self.say.entry(from.router).or_default().push(answer);
            }
            Message::VoteGranted(slot, number) => {
                let Some(claim) = self.claims.get_mut(slot) else { return };
                let before = claim.expires_at();
                claim.record_vote(from.router, *number);
                if claim.expires_at() > before {
                    self.held(now, *slot, before, out);
                }
            }
            Message::LeaseReleased(slot, number) => self.voter.release(*slot, from, *number),
            _ => {}
        }
    }

    fn held(&mut self, now: Time, slot: NodeId, before: Time, out: &mut Vec<Effect>) {
        if before <= now {
            let whose = self.plan.roster.name(slot);
            out.push(Effect::Log(match slot == self.me {
                true => "fleet: this router's own share is held, with most of its guardians' votes".into(),
                false => format!("fleet: {whose} is gone; its share is held here"),
            }));
        }
        self.hold_shares(now);
    }

    fn swim_says(&mut self, now: Time, said: Vec<swim::Out>, out: &mut Vec<Effect>) {
        for one in said {
            match one {
                swim::Out::Say(to, message) => self.say.entry(to).or_default().push(message),
                swim::Out::Changed { of, word, restarted, by } => {
                    self.epoch += 1;
                    if restarted {
                        for account in self.accounts.values_mut() {
                            account.settle(now);
                            account.forget_peer(of);
                        }
                    }
                    let what = match word {
                        PeerState::Alive if restarted => "has started again",
                        PeerState::Alive => "is alive",
                        PeerState::Suspect => "does not answer",
                        PeerState::Dead => "is dead",
                        PeerState::Left => "has left",
                    };
                    let (of, by) = (self.plan.roster.name(of), self.plan.roster.name(by));
                    out.push(Effect::Log(format!("fleet: {of} {what}, says {by}")));
                }
            }
        }
    }

    /// When something is to be done next.
    pub fn next_due(&self) -> Time {
        self.next_round.min(self.swim.next_due())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now >= self.swim.next_due() {
            let mut said = Vec::new();
            self.swim.tick(now, &mut said);
            self.swim_says(now, said, out);
        }
        if now >= self.next_round {
            self.round(now, out);
            let due = self.next_round.plus(self.plan.timing.period);
            self.next_round = if due > now { due } else { now.plus(self.plan.timing.period) };
        }
        self.flush(out);
    }

    /// A round of talk about rights.
    fn round(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.rounds += 1;
        self.voter.expire(now);
        self.claim(now, out);
        self.hold_shares(now);
        let (me, epoch) = (self.me, self.epoch);
        self.coordinators.retain(|key, _| self.accounts.contains_key(key));
        for (key, account) in &mut self.accounts {
            account.settle(now);
            let known = self.coordinators.get(key).filter(|d| d.0 == epoch);
            let coordinator = known.map(|d| d.1).unwrap_or_else(|| {
                let number = key.number();
                let best =
                    self.swim.living().max_by_key(|t| (crate::names::rendezvous_weight(*t, number), *t));
                best.unwrap_or(me)
            });
            self.coordinators.insert(*key, (epoch, coordinator));
            if let Some(report) = account.round(now, me, coordinator) {
                self.say.entry(coordinator).or_default().push(Message::Report(report));
            }
            if coordinator != me {
                for (to, back) in account.surplus_returns(now, coordinator) {
                    self.say.entry(to).or_default().push(Message::LoanReturned(*key, back.number, back.keep));
                }
            }
        }
    }

    /// Claims this router's own share, and those of routers that are gone where it fits best; gives up
    /// those of routers that are back.
    fn claim(&mut self, now: Time, out: &mut Vec<Effect>) {
        let unheard = now.since(self.started) > self.plan.timing.lease;
        let gone = |swim: &Swim, slot| {
            swim.gone(slot) || (unheard && swim.peer(slot).is_some_and(|k| k.word.is_none()))
        };
        if self.scanned != Some((self.epoch, unheard)) {
            self.scanned = Some((self.epoch, unheard));
            let living: Vec<NodeId> = self.swim.living().collect();
            let lost: Vec<NodeId> =
                self.plan.roster.ids().filter(|t| *t != self.me && gone(&self.swim, *t)).collect();
            for slot in lost {
                let best =
                    living.iter().copied().max_by_key(|t| (crate::names::rendezvous_weight(*t, slot.0), *t));
                if best == Some(self.me) && !self.claims.contains_key(&slot) {
                    self.claims.insert(slot, LeaseClaim::new(self.plan.roster.voters(slot)));
                }
            }
        }
        let back: Vec<NodeId> = self.claims.keys().copied().filter(|s| !self.claimed(*s, &gone)).collect();
        for slot in back {
            self.accounts.values_mut().for_each(|a| a.set_ending(slot, true));
            if self.release(now, slot) {
                let whose = self.plan.roster.name(slot);
                out.push(Effect::Log(format!("fleet: the share of {whose} is given up")));
            }
        }
        let me = NodeIncarnation { router: self.me, life: self.swim.life() };
        for (slot, claim) in &mut self.claims {
            let wanted = *slot == self.me || gone(&self.swim, *slot);
            let again = self.rounds % CLAIM_ROUNDS == slot.0 % CLAIM_ROUNDS || claim.expires_at() <= now;
            if !wanted {
                continue;
            }
            if *slot != self.me {
                self.accounts.values_mut().for_each(|a| a.set_ending(*slot, false));
            }
            if !again {
                continue;
            }
            self.questions += 1;
            let number = self.questions;
            let span = self.plan.timing.lease;
            claim.begin_round(now, number, span);
            let request = VoteRequest { life: me, number, span };
            if self.voter.request_vote(now, &self.plan.timing, *slot, request).is_ok() {
                claim.record_vote(self.me, number);
            }
            for guardian in claim.voters().iter().filter(|g| **g != self.me) {
                self.say.entry(*guardian).or_default().push(Message::VoteRequest(
                    *slot,
                    number,
                    millis(span),
                ));
            }
        }
    }

    /// Gives a share back to its guardians, if nothing rests on it.
    fn release(&mut self, now: Time, slot: NodeId) -> bool {
        self.accounts.values_mut().for_each(|a| a.settle(now));
        let Some(claim) = self.claims.get(&slot) else { return false };
        if claim.expires_at() > now && !self.accounts.values().all(|a| a.can_release(now, slot)) {
            return false;
        }
        self.accounts.values_mut().for_each(|a| a.release_quota(slot));
        for guardian in claim.voters().iter().filter(|g| **g != self.me) {
            self.say.entry(*guardian).or_default().push(Message::LeaseReleased(slot, claim.number()));
        }
        self.voter.release(slot, NodeIncarnation { router: self.me, life: self.swim.life() }, claim.number());
        self.claims.remove(&slot).is_some()
    }

    fn claimed(&self, slot: NodeId, gone: &impl Fn(&Swim, NodeId) -> bool) -> bool {
        slot == self.me || gone(&self.swim, slot)
    }

    /// Whether a request that these limits count may be admitted: by the one that has least.
    pub fn availability(&mut self, now: Time, keys: &[LimitKey]) -> Availability {
        let mut open = Availability { fraction: 1.0, retry_after: Time(0) };
        for key in keys {
            let Some(account) = self.accounts.get_mut(key) else { continue };
            account.settle(now);
            let (share, back) = account.check(now);
            open =
                Availability { fraction: open.fraction.min(share), retry_after: open.retry_after.max(back) };
        }
        open
    }

    /// A request that these limits count has been admitted.
    pub fn spend(&mut self, keys: &[LimitKey]) {
        for key in keys {
            self.accounts.get_mut(key).into_iter().for_each(QuotaAccount::spend);
        }
    }

    /// A request that these limits count has been refused: the next is told to come back later.
    pub fn record_rejection(&mut self, keys: &[LimitKey]) {
        for key in keys {
            self.accounts.get_mut(key).into_iter().for_each(QuotaAccount::record_rejection);
        }
    }

    /// The key of a budget, if there is one.
    pub fn budget_key(&self, budget: Budget) -> Option<LimitKey> {
        let limit = self.plan.limits.iter().find(|l| l.subject == Subject::Budget(budget));
        limit.map(|l| LimitKey::global(&l.name))
    }

    /// How many more may be spent of a budget now.
    pub fn tokens_left(&mut self, now: Time, key: LimitKey) -> u32 {
        self.accounts.get_mut(&key).map_or(0, |account| {
            account.settle(now);
            account.tokens_left()
        })
    }

    /// One more was wanted of a budget that is spent.
    pub fn record_missing_token(&mut self, key: LimitKey) {
        self.accounts.get_mut(&key).into_iter().for_each(QuotaAccount::record_missing_token);
    }

    /// One is wanted of a budget; it is spent if it is there.
    pub fn take_token(&mut self, now: Time, key: LimitKey) -> bool {
        let Some(account) = self.accounts.get_mut(&key) else { return true };
        account.settle(now);
        account.take_token(now)
    }

    /// How many more may be out at a time under a key, each for so long at most; all if it has no account.
    pub fn free_slots(&mut self, now: Time, key: LimitKey, span: Time) -> u64 {
        self.accounts.get_mut(&key).map_or(u64::MAX, |account| {
            account.settle(now);
            account.free_slots(now, span)
        })
    }

    /// One more is out, until a time at the latest.
    pub fn occupy_slot(&mut self, now: Time, key: LimitKey, number: u64, until: Time) {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.settle(now);
            account.occupy_slot(number, until);
        }
    }

    /// One is no longer out.
    pub fn release_slot(&mut self, now: Time, key: LimitKey, number: u64) {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.settle(now);
            account.release_slot(number);
        }
    }

    /// One more was wanted under a key, and there was no room.
    pub fn record_missing_slot(&mut self, key: LimitKey) {
        self.accounts.get_mut(&key).into_iter().for_each(QuotaAccount::record_missing_slot);
    }

    /// What is known of an account.
    pub fn account_stats(&self, now: Time, key: LimitKey) -> Option<account::AccountStats> {
        self.accounts.get(&key).map(|a| a.stats(now))
    }

    /// This router goes: it says so, and gives back the shares on which nothing hangs.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut said = Vec::new();
        self.swim.leave(&mut said);
        self.swim_says(now, said, out);
        let slots: Vec<NodeId> = self.claims.keys().copied().collect();
        for slot in slots {
            self.release(now, slot);
        }
        self.flush(out);
    }

    /// Sends what is to be said, with news.
    fn flush(&mut self, out: &mut Vec<Effect>) {
        for (to, messages) in std::mem::take(&mut self.say) {
            let life = self.swim.peer(to).filter(|k| k.word.is_some()).map_or(0, |k| k.life);
            let mut packet = Vec::new();
            let mut left = PAYLOAD_CAPACITY;
            for message in messages {
                let size = encoded_len(&message);
                if size > left {
                    self.send_to(to, life, std::mem::take(&mut packet), out);
                    left = PAYLOAD_CAPACITY;
                }
                left = left.saturating_sub(size);
                packet.push(message);
            }
            let news = if life != 0 { self.swim.news() } else { Vec::new() };
            if !news.is_empty() {
                let news = Message::Gossip(news);
                if encoded_len(&news) <= left {
                    packet.push(news);
                }
            }
            self.send_to(to, life, packet, out);
        }
    }

    fn send_to(&mut self, to: NodeId, to_life: u64, messages: Vec<Message>, out: &mut Vec<Effect>) {
        let Some(peer) = self.plan.roster.get(to) else { return };
        let addr = peer.addr;
        let link = self.links.entry(to).or_default();
        link.sent += 1;
        let packet = Packet {
            from: self.me,
            life: self.swim.life(),
            to,
            to_life,
            sequence: link.sent,
            names: self.plan.roster.digest(),
            limits: self.digest,
            messages,
        };
        let bytes = self.seal.encode(&Payload::Packet(packet));
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Send { to: addr, datagram: bytes });
    }

    /// An operator request for the status.
    pub fn status_response(&self, now: Time, asked: &crate::packet::StatusMessage) -> Option<Vec<u8>> {
        status::answer(asked, || self.status_lines(now)).map(|content| self.seal.encode(&content))
    }

    /// The status, for people: members, shares, limits, and why something is withheld.
    pub fn status_lines(&self, now: Time) -> Vec<String> {
        let names = &self.plan.roster;
        let ago = |at: Time| format!("{:.1} s", now.since(at).secs());
        let mut lines = vec![format!(
            "router {} life {} names {} alive {} slow {}",
            names.name(self.me),
            self.swim.life(),
            names.len(),
            self.swim.living().count(),
            self.swim.slow()
        )];
        for (tag, known) in self.swim.peers() {
            let word = known.word.map_or("unheard".into(), |w| format!("{w:?}").to_lowercase());
            let heard = known.heard.map_or("never".into(), ago);
            let link = self.links.get(&tag);
            let other = match link.map(|l| (l.other_names, l.other_limits)) {
                Some((true, _)) => " withheld: another list of names",
                Some((false, true)) => " withheld: other limits",
                _ => "",
            };
            lines.push(format!(
                "member {} {word} for {} says {} heard {heard} life {}{other}",
                names.name(tag),
                ago(known.since),
                names.name(known.by),
                known.life
            ));
        }
        for (slot, claim) in &self.claims {
            let left = claim.expires_at().since(now);
            let state = match left > Time(0) {
                true => format!("held for {:.1} s more", left.secs()),
                false => "withheld: most of its guardians have not given their votes".into(),
            };
            lines.push(format!("share of {} {state}", names.name(*slot)));
        }
        for (key, account) in &self.accounts {
            let limit = self.plan.limits.iter().find(|l| LimitKey::global(&l.name).limit == key.limit);
            let name = limit.map_or("?", |l| l.name.as_str());
            let member =
                self.members.iter().find(|m| key.member != 0 && LimitKey::at_member(name, m) == *key);
            let at = member.map(|m| format!(" at {m}")).unwrap_or_default();
            let f = account.stats(now);
            let lapsing = f.lapses.map(|at| format!(" next lapse in {:.1} s", at.since(now).secs()));
            let lapses = lapsing.unwrap_or_default();
            let why = match self.opens.get(key) {
                Some(at) => format!(" withheld: it has changed, and counts in {:.1} s", at.since(now).secs()),
                None => String::new(),
            };
            lines.push(format!(
                "limit {name}{at} of {} held {} floor {} shares {} borrowed {} lent {} want {} in use {} \
                 spent {} refused {}{lapses}{why}",
                f.of, f.usable, f.floor, f.shares, f.borrowed, f.lent, f.want, f.in_use, f.spent, f.refused
            ));
        }
        let c = &self.counts;
        lines.push(format!("datagrams sent {} of {} bytes, taken {}", c.sent, c.sent_bytes, c.taken));
        for (why, count) in &c.dropped {
            lines.push(format!("datagrams dropped {count}: {}", format!("{why:?}").to_lowercase()));
        }
        lines
    }
}

/// A span in whole milliseconds, no shorter than it is.
fn millis(span: Time) -> u32 {
    span.0.div_ceil(1_000_000) as u32
}

/// A name's part of a limit: what its own router keeps whatever happens, and the rest, which lapses.
fn parts(names: &Roster, limit: &Limit, key: LimitKey, slot: NodeId) -> (u64, u64) {
    let part = names.quota(limit.bounds.units(), slot, key.number());
    let floor = (part as f64 * limit.reserved_fraction) as u64;
    (floor, part - floor)
}

fn account_of(
    now: Time,
    plan: &FleetConfig,
    limit: &Limit,
    key: LimitKey,
    me: NodeId,
    settled: Time,
) -> QuotaAccount {
    let floor = parts(&plan.roster, limit, key, me).0;
    match limit.bounds {
        // Tokens are spent at once: loans of them need not outlast any use.
        Bounds::Rate { .. } => {
            let times = Timing { lease: plan.timing.lease, ..Timing::new(plan.timing.drift, Time(0)) };
            let account = QuotaAccount::new(now, key, limit.bounds, floor, now, times);
            match limit.subject {
                Subject::Budget(_) => account.with_standing_demand(),
                _ => account,
            }
        }
        Bounds::Concurrent(_) => QuotaAccount::new(now, key, limit.bounds, floor, settled, plan.timing),
    }
}
