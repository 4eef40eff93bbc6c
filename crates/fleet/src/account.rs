//! One limit at one router: what it holds, has lent and has borrowed, what it is asked for, and how it
//! deals out what others can spare where that falls to it.
//!
//! Rights come from the shares of names (its own, and those that it is steward of), which lapse by their
//! leases, and from a part of its own that it keeps whatever happens. All but that part can be lent. Each
//! limit has a coordinator, found by rendezvous hashing over the living: routers lend it what they don't
//! need, and it lends to those that want more. Who the coordinator is matters for how well rights are used,
//! never for how many there are: two routers that take different ones for it are only served worse.

use crate::ledger::Ledger;
use crate::limit::{Bounds, LimitKey, UNITS};
use crate::loan::{Borrowing, Lending, LoanRequest, Receipt};
use crate::meter::{SlotTable, TokenBucket};
use crate::names::NodeId;
use crate::packet::{QuotaReply, QuotaReport};
use crate::times::Timing;
use basalthill_policy::api::Time;
use std::collections::{BTreeMap, BTreeSet};

/// How fast a router's demand follows what it is asked for: up,
const RISE_S: f64 = 0.25;
/// and down.
const FALL_S: f64 = 1.2;
/// Wanted for what is asked for: this share of it while there are no tokens,
const NO_TOKENS: f64 = 1.3;
/// and less by this much while there are as many as the units allow: they are used first.
const ALL_TOKENS: f64 = 0.6;
/// Below this many requests a second a router asks for nothing.
const QUIET_PER_S: f64 = 0.02;
/// What another wants counts for so many periods after it said so.
const WANTS_FOR: f64 = 5.0;
/// Requests at once that a router is given beyond what it wants, at most, while nobody goes without for it.
const CUSHION: f64 = 4.0;
/// A router that asks for nothing speaks up once in so many rounds.
pub const IDLE_ROUNDS: u64 = 3;
/// SlotTable wanted beyond those in use and those that were missing.
const PLACES_AHEAD: u64 = 1;

/// What a router is asked for.
#[derive(Clone, Debug, Default)]
struct Demand {
    /// Requests since the last round.
    asked: u32,
    /// Requests a second, fading.
    quick: f64,
    slow: f64,
    /// Most places in use, and places that were missing, since the last round; the larger of the last two.
    places: (u64, u64),
}

/// One limit at one router.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    key: LimitKey,
    bounds: Bounds,
    /// Units of its own that a router keeps whatever happens.
    floor: u64,
    /// From then on: what an earlier life has used of them may still be in use before.
    floor_from: Time,
    /// One token at least is always wanted: nobody asks for it before it is there.
    standing: bool,
    times: Timing,
    ledger: Ledger,
    shares: BTreeMap<NodeId, (u64, Time)>,
    /// Shares that are to be given up: nothing new is lent or begun on them.
    ending: BTreeSet<NodeId>,
    borrowed: BTreeMap<NodeId, Borrowing>,
    lent: BTreeMap<NodeId, Lending>,
    /// What others want, where this router deals out: units, and when they said so.
    wants: BTreeMap<NodeId, (u64, Time)>,
    /// Whose question is to be answered with the next report, and its number.
    question: Option<(NodeId, u32)>,
    /// Where this router deals out: what it may use itself, so that others get their part.
    fair: Option<u64>,
    /// Units that each router with requests may have beyond what it wants, as the coordinator has it: nothing
    /// while some go without.
    cushion: u64,
    demand: Demand,
    tokens: Option<TokenBucket>,
    places: SlotTable,
    rounds: u64,
    /// Where questions to others begin.
    first: u32,
    /// Admitted and refused since the start.
    counts: (u64, u64),
}

/// What an operator is told of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountStats {
    /// Units in all, over all routers.
    pub of: u64,
    /// Kept whatever happens.
    pub floor: u64,
    /// From shares of names.
    pub shares: u64,
    /// Borrowing from others.
    pub borrowed: u64,
    /// Lending to others.
    pub lent: u64,
    /// That can be used now.
    pub usable: u64,
    /// Wanted.
    pub want: u64,
    /// SlotTable in use.
    pub in_use: u64,
    /// Requests admitted, or places taken, since the start.
    pub spent: u64,
    /// Requests refused, or places missed, since the start.
    pub refused: u64,
    /// When something that is held or lent lapses next, if nothing is done.
    pub lapses: Option<Time>,
}

impl QuotaAccount {
    /// An account that holds nothing but its floor, and that from a time on.
    pub fn new(
        now: Time,
        key: LimitKey,
        bounds: Bounds,
        floor: u64,
        floor_from: Time,
        times: Timing,
    ) -> QuotaAccount {
        let tokens = match bounds {
            Bounds::Rate { per_s, burst } => Some(TokenBucket::new(now, per_s, burst)),
            Bounds::Concurrent(_) => None,
        };
        QuotaAccount {
            key,
            bounds,
            floor,
            floor_from,
            standing: false,
            times,
            ledger: Ledger::default(),
            shares: BTreeMap::new(),
            ending: BTreeSet::new(),
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            wants: BTreeMap::new(),
            question: None,
            fair: None,
            cushion: 0,
            demand: Demand::default(),
            tokens,
            places: SlotTable::default(),
            rounds: 0,
            first: 0,
            counts: (0, 0),
        }
    }

    /// The same for a budget, of which one token at least is always wanted.
    pub fn with_standing_demand(self) -> QuotaAccount {
        QuotaAccount { standing: true, ..self }
    }

    /// Its questions count from a number that an earlier account of this key in this life can't have reached:
    /// one goes out a round, a hundred a second are allowed for.
    pub fn numbering_from(self, life: Time) -> QuotaAccount {
        QuotaAccount { first: (life.0 / 10_000_000) as u32, ..self }
    }

    /// What it is the account of.
    pub fn key(&self) -> LimitKey {
        self.key
    }

    fn reserve(&self, now: Time) -> u64 {
        if now >= self.floor_from {
            self.floor
        } else {
            0
        }
    }

    /// Brings the account up to now. To be called before anything else is done at a time.
    pub fn settle(&mut self, now: Time) {
        let floor = self.reserve(now);
        if let Some(tokens) = &mut self.tokens {
            tokens.refill(now, floor, &self.ledger, self.fair, &self.times);
        }
        self.borrowed.values_mut().for_each(|b| b.expire(now, &mut self.ledger));
        self.lent.values_mut().for_each(|l| l.expire(now, &mut self.ledger));
        self.places.expire(now, &mut self.ledger);
        self.ledger.discard_before(now);
    }

    /// A name's share of so many units is held until a time.
    pub fn lease_quota(&mut self, slot: NodeId, units: u64, until: Time) {
        let (before, lapses) = self.shares.insert(slot, (units, until)).unwrap_or_default();
        self.ledger.cancel_credit(before, lapses);
        self.ledger.credit(units, until);
    }

    /// Units of a share that is held, or was.
    pub fn quota_units(&self, slot: NodeId) -> Option<u64> {
        self.shares.get(&slot).map(|s| s.0)
    }

    /// A share is to be given up, or kept after all.
    pub fn set_ending(&mut self, slot: NodeId, ends: bool) {
        match ends {
            true => drop(self.ending.insert(slot)),
            false => drop(self.ending.remove(&slot)),
        }
    }

    /// Units of shares that are to be given up.
    fn ending(&self, now: Time) -> u64 {
        let ending = self.ending.iter().filter_map(|slot| self.shares.get(slot));
        ending.filter(|s| s.1 > now).map(|s| s.0).sum()
    }

    /// Whether a share can be given up now: nothing that is lent or in use rests on it.
    pub fn can_release(&self, now: Time, slot: NodeId) -> bool {
        let Some((units, until)) = self.shares.get(&slot) else { return true };
        *until <= now || self.ledger.minimum(now, *until).max(0) as u64 >= *units
    }

    /// Gives a share up.
    pub fn release_quota(&mut self, slot: NodeId) {
        self.ending.remove(&slot);
        if let Some((units, until)) = self.shares.remove(&slot) {
            self.ledger.cancel_credit(units, until);
        }
    }

    /// Units beyond the floor that can be used now.
    fn usable_above_reserve(&self, now: Time) -> i64 {
        let there = self.ledger.minimum(now, now.plus(Time(1)));
        match self.fair {
            Some(fair) => there.min(fair as i64),
            None => there,
        }
    }

    /// Units that can be used now.
    pub fn usable_units(&self, now: Time) -> u64 {
        (self.reserve(now) as i64 + self.ledger.minimum(now, now.plus(Time(1)))).max(0) as u64
    }

    /// A request comes in: how full the tokens stand, zero if there is none, and when it may come back if
    /// it is refused.
    pub fn check(&mut self, now: Time) -> (f64, Time) {
        self.demand.asked += 1;
        let (floor, beyond) = (self.reserve(now), self.usable_above_reserve(now));
        let Some(tokens) = &self.tokens else { return (1.0, Time(0)) };
        // While all get what they want and more, few tokens are no sign of a want.
        let scarce = tokens.tokens_for(self.cushion) < 0.5;
        let open = if tokens.admission_level() > 0.0 && !scarce { 1.0 } else { tokens.admission_level() };
        (open, tokens.retry_after(floor, beyond))
    }

    /// A token was wanted that was not there.
    pub fn record_missing_token(&mut self) {
        self.demand.asked += 1;
    }

    /// Whole tokens that are there.
    pub fn tokens_left(&self) -> u32 {
        self.tokens.as_ref().map_or(u32::MAX, |t| t.available_tokens())
    }

    /// One token is wanted; it is spent if it is there.
    pub fn take_token(&mut self, now: Time) -> bool {
        let there = self.check(now).0 > 0.0;
        if there {
            self.spend();
        }
        there
    }

    /// A request is refused.
    pub fn record_rejection(&mut self) {
        self.counts.1 += 1;
        self.tokens.iter_mut().for_each(TokenBucket::record_rejection);
    }

    /// A request is admitted.
    pub fn spend(&mut self) {
        self.counts.0 += 1;
        self.tokens.iter_mut().for_each(TokenBucket::spend);
    }

    /// How many places may be taken now for so long.
    pub fn free_slots(&self, now: Time, span: Time) -> u64 {
        let floor = self.reserve(now) as i64 - self.ending(now) as i64;
        (floor + self.ledger.minimum(now, now.plus(span))).max(0) as u64
    }

    /// A place is taken, until a time at the latest.
    pub fn occupy_slot(&mut self, number: u64, until: Time) {
        self.counts.0 += 1;
        self.places.occupy(number, until, &mut self.ledger);
        self.demand.places.0 = self.demand.places.0.max(self.places.len() as u64);
    }

    /// A place is given back.
    pub fn release_slot(&mut self, number: u64) {
        self.places.release(number, &mut self.ledger);
    }

    /// A place was missing.
    pub fn record_missing_slot(&mut self) {
        self.counts.1 += 1;
        self.demand.places.0 = self.demand.places.0.max(self.places.len() as u64) + 1;
    }

    /// Units wanted, the floor among them.
    pub fn demand_units(&self) -> u64 {
        match self.bounds {
            Bounds::Rate { per_s, burst } => {
                // While tokens are there, moments of more are theirs to bear.
                let level = self.tokens.as_ref().map_or(0.0, TokenBucket::level);
                let rate = self.demand.slow.max(if level < 0.5 { self.demand.quick } else { 0.0 });
                if rate < QUIET_PER_S && !self.standing {
                    return 0;
                }
                let cushion = if rate < QUIET_PER_S { 0 } else { self.cushion };
                let rate = rate * (NO_TOKENS - ALL_TOKENS * level);
                // What a burst takes to hold one request at all is the least that is of use.
                let least = (UNITS as f64 / burst).ceil() as u64;
                (((rate / per_s * UNITS as f64) as u64).max(least) + cushion).min(UNITS)
            }
            Bounds::Concurrent(most) => {
                let peak = self.demand.places.0.max(self.demand.places.1);
                if peak == 0 {
                    return 0;
                }
                (peak + PLACES_AHEAD).min(u64::from(most))
            }
        }
    }

    /// Once a period: demand is taken stock of. Returns what is to be told the coordinator, unless this
    /// router is it.
    pub fn round(&mut self, now: Time, me: NodeId, coordinator: NodeId) -> Option<QuotaReport> {
        self.rounds += 1;
        let span = self.times.period.secs();
        let rate = f64::from(std::mem::take(&mut self.demand.asked)) / span;
        self.demand.quick += (rate - self.demand.quick) * (span / RISE_S).min(1.0);
        self.demand.slow += (rate - self.demand.slow) * (span / FALL_S).min(1.0);
        self.demand.places = (self.places.len() as u64, self.demand.places.0);
        let want = self.demand_units().saturating_sub(self.reserve(now));
        self.wants.retain(|_, (_, at)| now.since(*at) < self.times.period.times(WANTS_FOR));
        if coordinator == me {
            let own = self.own_leased_use(now);
            let (part, left) = self.fair_allotment(now, want - own);
            self.fair = (!self.wants.is_empty()).then_some(own + part);
            self.adjust_headroom(left);
            return None;
        }
        self.fair = None;
        // What there is without the coordinator's loan.
        let loan = self.borrowed.get(&coordinator).map_or(0, |b| b.units(now));
        let until = now.plus(self.times.lender_span(self.times.deposit));
        let own = self.lent.entry(coordinator).or_default().available(now, until, &self.ledger);
        let own =
            own.saturating_sub(self.borrowed.get(&coordinator).map_or(0, |b| b.units(until.minus(Time(1)))));
        let more = want.saturating_sub(own);
        let idle = more == 0 && loan == 0 && want == 0;
        // One with nothing to ask for speaks up often enough for its deposit.
        if idle && (own == 0 || self.rounds % IDLE_ROUNDS != me.0 % IDLE_ROUNDS) {
            return None;
        }
        let spare = self.offer_surplus(now, coordinator, own.saturating_sub(want));
        let first = self.first;
        let line = self.borrowed.entry(coordinator).or_insert_with(|| Borrowing::counting_from(first));
        // What the coordinator has cut is given back at once, or it would stay out for its span.
        let LoanRequest { number, keep } = line.request(now, more.min(line.last_granted()), &mut self.ledger);
        Some(QuotaReport { key: self.key, number, keep, want: more, spare })
    }

    /// Where this router deals out: what is left over goes to all with requests, a part of it a round; when
    /// some go without, what was given beyond wants is soon back.
    fn adjust_headroom(&mut self, left: Option<u64>) {
        let Bounds::Rate { burst, .. } = self.bounds else { return };
        let most = (UNITS as f64 / burst * CUSHION) as u64;
        self.cushion = match left {
            None => self.cushion / 2,
            Some(left) => (self.cushion + left / (2 * (self.lent.len() as u64 + 1))).min(most),
        };
    }

    /// What this router has borrowed from others than the coordinator and does not need: it goes back at
    /// once. A router that dealt out until now holds many deposits.
    pub fn surplus_returns(&mut self, now: Time, coordinator: NodeId) -> Vec<(NodeId, LoanRequest)> {
        let there = self.ledger.minimum(now, now.plus(self.times.grant)).max(0) as u64;
        let there = there.saturating_sub(self.ending(now));
        let mut free = there.saturating_sub(self.demand_units().saturating_sub(self.reserve(now)));
        let mut back = Vec::new();
        for (from, line) in self.borrowed.iter_mut().filter(|(from, _)| **from != coordinator) {
            let units = line.units(now);
            let some = units.min(free);
            if some > 0 {
                free -= some;
                back.push((*from, line.request(now, units - some, &mut self.ledger)));
            }
        }
        back
    }

    /// A borrower gives rights back.
    pub fn receive_return(&mut self, now: Time, from: NodeId, question: LoanRequest) {
        self.lent.entry(from).or_default().receive_request(now, question, &mut self.ledger);
    }

    /// The answer to the coordinator's question: what can be spared.
    fn offer_surplus(&mut self, now: Time, coordinator: NodeId, units: u64) -> Option<(u32, u64)> {
        let (_, number) = self.question.take().filter(|(by, _)| *by == coordinator)?;
        let (until, ending) = (now.plus(self.times.lender_span(self.times.deposit)), self.ending(now));
        let line = self.lent.entry(coordinator).or_default();
        let units = units.min(line.available(now, until, &self.ledger).saturating_sub(ending));
        line.grant(units, until, &mut self.ledger);
        Some((number, units))
    }

    /// The coordinator has answered. What it gives back of a deposit counts at once; its question is answered
    /// with the next report.
    pub fn receive_reply(&mut self, now: Time, coordinator: NodeId, reply: &QuotaReply) {
        if let Some(line) = self.borrowed.get_mut(&coordinator) {
            line.receive_grant(reply.number, reply.units, self.times.grant, &mut self.ledger);
        }
        self.cushion = reply.cushion;
        let (number, keep) = reply.question;
        let line = self.lent.entry(coordinator).or_default();
        if line.receive_request(now, LoanRequest { number, keep }, &mut self.ledger) == Receipt::New {
            self.question = Some((coordinator, number));
        }
    }

    /// A report has come to this router, which deals out by its sender's view.
    pub fn receive_report(&mut self, now: Time, from: NodeId, report: &QuotaReport) -> Option<QuotaReply> {
        let first = self.first;
        let deposit = self.borrowed.entry(from).or_insert_with(|| Borrowing::counting_from(first));
        if let Some((number, units)) = report.spare {
            deposit.receive_grant(number, units, self.times.deposit, &mut self.ledger);
        }
        let question = LoanRequest { number: report.number, keep: report.keep };
        let heard = self.lent.entry(from).or_default().receive_request(now, question, &mut self.ledger);
        let units = match heard {
            Receipt::Stale => return None,
            Receipt::Duplicate(units) => units,
            Receipt::New => {
                self.wants.remove(&from);
                if report.want > 0 {
                    self.wants.insert(from, (report.want, now));
                }
                let fair = self.fair_allotment(now, report.want).0;
                let until = now.plus(self.times.lender_span(self.times.grant));
                let ending = self.ending(now);
                let line = self.lent.entry(from).or_default();
                let room = line.available(now, until, &self.ledger).saturating_sub(ending);
                let units = report.want.min(fair).min(room);
                line.grant(units, until, &mut self.ledger);
                units
            }
        };
        // Of a deposit that has become smaller, what is not lent on goes back.
        let free = self.ledger.minimum(now, now.plus(self.times.grant)).max(0) as u64;
        let line = self.borrowed.entry(from).or_insert_with(|| Borrowing::counting_from(first));
        let there = line.units(now);
        let keep = there - there.saturating_sub(line.last_granted()).min(free);
        let LoanRequest { number, keep } = line.request(now, keep, &mut self.ledger);
        let question = (number, keep);
        Some(QuotaReply { key: self.key, number: report.number, units, question, cushion: self.cushion })
    }

    /// Units of the shares held here that this router needs itself.
    fn own_leased_use(&self, now: Time) -> u64 {
        let shares: u64 = self.shares.values().filter(|s| s.1 > now).map(|s| s.0).sum();
        shares.min(self.demand_units().saturating_sub(self.reserve(now)))
    }

    /// What one who wants so much beyond its own gets, where this router deals out: all get what they
    /// want up to one level, at which what there is to spare is given away. And what is left over, unless
    /// some go without.
    fn fair_allotment(&self, now: Time, want: u64) -> (u64, Option<u64>) {
        let until = now.plus(self.times.lender_span(self.times.grant));
        let out: u64 = self.lent.values().map(|l| l.units(now)).sum();
        let own = self.own_leased_use(now);
        let kept = (own + self.ending(now)) as i64;
        let mut left = (self.ledger.minimum(now, until) + out as i64 - kept).max(0) as u64;
        let more = self.demand_units().saturating_sub(self.reserve(now)) - own;
        let wants = self.wants.values().map(|w| w.0).chain([more]);
        let mut wants: Vec<u64> = wants.filter(|w| *w > 0).collect();
        wants.sort_unstable();
        let mut count = wants.len() as u64;
        for wanted in wants {
            let level = left / count;
            if wanted > level {
                return (want.min(level), None);
            }
            (left, count) = (left - wanted, count - 1);
        }
        (want, Some(left))
    }

    /// A router has started again, or is off the list. What it had been lent lapses in the ledger; its
    /// new life counts its questions anew.
    pub fn forget_peer(&mut self, peer: NodeId) {
        self.lent.remove(&peer);
        self.wants.remove(&peer);
        self.question = self.question.filter(|q| q.0 != peer);
    }

    /// What an operator is told.
    pub fn stats(&self, now: Time) -> AccountStats {
        AccountStats {
            of: self.bounds.units(),
            floor: self.reserve(now),
            shares: self.shares.values().filter(|s| s.1 > now).map(|s| s.0).sum(),
            borrowed: self.borrowed.values().map(|b| b.units(now)).sum(),
            lent: self.lent.values().map(|l| l.units(now)).sum(),
            usable: self.usable_units(now),
            want: self.demand_units(),
            in_use: self.places.len() as u64,
            spent: self.counts.0,
            refused: self.counts.1,
            lapses: self.ledger.next_change(),
        }
    }

    /// Whether nothing is held, lent, borrowed or in use.
    pub fn is_idle(&self, now: Time) -> bool {
        let lent = self.lent.values().all(|l| l.units(now) == 0);
        lent && self.places.is_empty()
            && self.borrowed.values().all(|b| b.units(now) == 0)
            && self.demand_units() == 0
    }
}
