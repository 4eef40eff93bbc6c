//! One limit at one router: what it holds, has lent and has borrowed, what it is asked for, and how it
//! deals out what others can spare where that falls to it.
//!
//! Rights come from the shares of names (its own, and those that it is steward of), which lapse by their
//! leases, and from a part of its own that it keeps whatever happens. All but that part can be lent. Each
//! limit has a dealer, found by rendezvous hashing over the living: routers lend it what they don't need,
//! and it lends to those that want more. Who the dealer is matters for how well rights are used, never
//! for how many there are: two routers that take different ones for it are only served worse.

use crate::ledger::Ledger;
use crate::limit::{Bounds, LimitKey, UNITS};
use crate::loan::{Borrowed, Heard, Lent, Question};
use crate::meter::{Places, Tokens};
use crate::names::NodeId;
use crate::packet::{Reply, Report};
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
/// Places wanted beyond those in use and those that were missing.
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
pub struct Account {
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
    borrowed: BTreeMap<NodeId, Borrowed>,
    lent: BTreeMap<NodeId, Lent>,
    /// What others want, where this router deals out: units, and when they said so.
    wants: BTreeMap<NodeId, (u64, Time)>,
    /// Whose question is to be answered with the next report, and its number.
    question: Option<(NodeId, u32)>,
    /// Where this router deals out: what it may use itself, so that others get their part.
    fair: Option<u64>,
    /// Units that each router with requests may have beyond what it wants, as the dealer has it: nothing
    /// while some go without.
    cushion: u64,
    demand: Demand,
    tokens: Option<Tokens>,
    places: Places,
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
    /// Borrowed from others.
    pub borrowed: u64,
    /// Lent to others.
    pub lent: u64,
    /// That can be used now.
    pub usable: u64,
    /// Wanted.
    pub want: u64,
    /// Places in use.
    pub in_use: u64,
    /// Requests admitted, or places taken, since the start.
    pub spent: u64,
    /// Requests refused, or places missed, since the start.
    pub refused: u64,
    /// When something that is held or lent lapses next, if nothing is done.
    pub lapses: Option<Time>,
}

impl Account {
    /// An account that holds nothing but its floor, and that from a time on.
    pub fn new(
        now: Time,
        key: LimitKey,
        bounds: Bounds,
        floor: u64,
        floor_from: Time,
        times: Timing,
    ) -> Account {
        let tokens = match bounds {
            Bounds::Rate { per_s, burst } => Some(Tokens::new(now, per_s, burst)),
            Bounds::Concurrent(_) => None,
        };
        Account {
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
            places: Places::default(),
            rounds: 0,
            first: 0,
            counts: (0, 0),
        }
    }

    /// The same for a budget, of which one token at least is always wanted.
    pub fn standing(self) -> Account {
        Account { standing: true, ..self }
    }

    /// Its questions count from a number that an earlier account of this key in this life can't have reached:
    /// one goes out a round, a hundred a second are allowed for.
    pub fn counting_from(self, life: Time) -> Account {
        Account { first: (life.0 / 10_000_000) as u32, ..self }
    }

    /// What it is the account of.
    pub fn key(&self) -> LimitKey {
        self.key
    }

    fn floor(&self, now: Time) -> u64 {
        if now >= self.floor_from {
            self.floor
        } else {
            0
        }
    }

    /// Brings the account up to now. To be called before anything else is done at a time.
    pub fn settle(&mut self, now: Time) {
        let floor = self.floor(now);
        if let Some(tokens) = &mut self.tokens {
            tokens.fill(now, floor, &self.ledger, self.fair, &self.times);
        }
        self.borrowed.values_mut().for_each(|b| b.lapse(now, &mut self.ledger));
        self.lent.values_mut().for_each(|l| l.lapse(now, &mut self.ledger));
        self.places.lapse(now, &mut self.ledger);
        self.ledger.forget(now);
    }

    /// A name's share of so many units is held until a time.
    pub fn share(&mut self, slot: NodeId, units: u64, until: Time) {
        let (before, lapses) = self.shares.insert(slot, (units, until)).unwrap_or_default();
        self.ledger.drop(before, lapses);
        self.ledger.add(units, until);
    }

    /// Units of a share that is held, or was.
    pub fn units_of(&self, slot: NodeId) -> Option<u64> {
        self.shares.get(&slot).map(|s| s.0)
    }

    /// A share is to be given up, or kept after all.
    pub fn end(&mut self, slot: NodeId, ends: bool) {
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
    pub fn is_free(&self, now: Time, slot: NodeId) -> bool {
        let Some((units, until)) = self.shares.get(&slot) else { return true };
        *until <= now || self.ledger.least(now, *until).max(0) as u64 >= *units
    }

    /// Gives a share up.
    pub fn give_up(&mut self, slot: NodeId) {
        self.ending.remove(&slot);
        if let Some((units, until)) = self.shares.remove(&slot) {
            self.ledger.drop(units, until);
        }
    }

    /// Units beyond the floor that can be used now.
    fn beyond(&self, now: Time) -> i64 {
        let there = self.ledger.least(now, now.plus(Time(1)));
        match self.fair {
            Some(fair) => there.min(fair as i64),
            None => there,
        }
    }

    /// Units that can be used now.
    pub fn held(&self, now: Time) -> u64 {
        (self.floor(now) as i64 + self.ledger.least(now, now.plus(Time(1)))).max(0) as u64
    }

    /// A request comes in: how full the tokens stand, zero if there is none, and when it may come back if
    /// it is refused.
    pub fn asked(&mut self, now: Time) -> (f64, Time) {
        self.demand.asked += 1;
        let (floor, beyond) = (self.floor(now), self.beyond(now));
        let Some(tokens) = &self.tokens else { return (1.0, Time(0)) };
        // While all get what they want and more, few tokens are no sign of a want.
        let scarce = tokens.worth(self.cushion) < 0.5;
        let open = if tokens.open() > 0.0 && !scarce { 1.0 } else { tokens.open() };
        (open, tokens.back(floor, beyond))
    }

    /// A token was wanted that was not there.
    pub fn wanted(&mut self) {
        self.demand.asked += 1;
    }

    /// Whole tokens that are there.
    pub fn left(&self) -> u32 {
        self.tokens.as_ref().map_or(u32::MAX, |t| t.whole())
    }

    /// One token is wanted; it is spent if it is there.
    pub fn take_one(&mut self, now: Time) -> bool {
        let there = self.asked(now).0 > 0.0;
        if there {
            self.spend();
        }
        there
    }

    /// A request is refused.
    pub fn refused(&mut self) {
        self.counts.1 += 1;
        self.tokens.iter_mut().for_each(Tokens::refuse);
    }

    /// A request is admitted.
    pub fn spend(&mut self) {
        self.counts.0 += 1;
        self.tokens.iter_mut().for_each(Tokens::spend);
    }

    /// How many places may be taken now for so long.
    pub fn room(&self, now: Time, span: Time) -> u64 {
        let floor = self.floor(now) as i64 - self.ending(now) as i64;
        (floor + self.ledger.least(now, now.plus(span))).max(0) as u64
    }

    /// A place is taken, until a time at the latest.
    pub fn take(&mut self, number: u64, until: Time) {
        self.counts.0 += 1;
        self.places.take(number, until, &mut self.ledger);
        self.demand.places.0 = self.demand.places.0.max(self.places.len() as u64);
    }

    /// A place is given back.
    pub fn give_back(&mut self, number: u64) {
        self.places.give_back(number, &mut self.ledger);
    }

    /// A place was missing.
    pub fn missed(&mut self) {
        self.counts.1 += 1;
        self.demand.places.0 = self.demand.places.0.max(self.places.len() as u64) + 1;
    }

    /// Units wanted, the floor among them.
    pub fn want(&self) -> u64 {
        match self.bounds {
            Bounds::Rate { per_s, burst } => {
                // While tokens are there, moments of more are theirs to bear.
                let level = self.tokens.as_ref().map_or(0.0, Tokens::level);
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

    /// Once a period: demand is taken stock of. Returns what is to be told the dealer, unless this router
    /// is it.
    pub fn round(&mut self, now: Time, me: NodeId, dealer: NodeId) -> Option<Report> {
        self.rounds += 1;
        let span = self.times.period.secs();
        let rate = f64::from(std::mem::take(&mut self.demand.asked)) / span;
        self.demand.quick += (rate - self.demand.quick) * (span / RISE_S).min(1.0);
        self.demand.slow += (rate - self.demand.slow) * (span / FALL_S).min(1.0);
        self.demand.places = (self.places.len() as u64, self.demand.places.0);
        let want = self.want().saturating_sub(self.floor(now));
        self.wants.retain(|_, (_, at)| now.since(*at) < self.times.period.times(WANTS_FOR));
        if dealer == me {
            let own = self.reserved(now);
            let (part, left) = self.fair_part(now, want - own);
            self.fair = (!self.wants.is_empty()).then_some(own + part);
            self.deal_cushion(left);
            return None;
        }
        self.fair = None;
        // What there is without the dealer's loan.
        let loan = self.borrowed.get(&dealer).map_or(0, |b| b.units(now));
        let until = now.plus(self.times.lender_span(self.times.deposit));
        let own = self.lent.entry(dealer).or_default().room(now, until, &self.ledger);
        let own = own.saturating_sub(self.borrowed.get(&dealer).map_or(0, |b| b.units(until.minus(Time(1)))));
        let more = want.saturating_sub(own);
        let idle = more == 0 && loan == 0 && want == 0;
        // One with nothing to ask for speaks up often enough for its deposit.
        if idle && (own == 0 || self.rounds % IDLE_ROUNDS != me.0 % IDLE_ROUNDS) {
            return None;
        }
        let spare = self.spare(now, dealer, own.saturating_sub(want));
        let first = self.first;
        let line = self.borrowed.entry(dealer).or_insert_with(|| Borrowed::counting_from(first));
        // What the dealer has cut is given back at once, or it would stay out for its span.
        let Question { number, keep } = line.ask(now, more.min(line.answer()), &mut self.ledger);
        Some(Report { key: self.key, number, keep, want: more, spare })
    }

    /// Where this router deals out: what is left over goes to all with requests, a part of it a round; when
    /// some go without, what was given beyond wants is soon back.
    fn deal_cushion(&mut self, left: Option<u64>) {
        let Bounds::Rate { burst, .. } = self.bounds else { return };
        let most = (UNITS as f64 / burst * CUSHION) as u64;
        self.cushion = match left {
            None => self.cushion / 2,
            Some(left) => (self.cushion + left / (2 * (self.lent.len() as u64 + 1))).min(most),
        };
    }

    /// What this router has borrowed from others than the dealer and does not need: it goes back at once. A
    /// router that dealt out until now holds many deposits.
    pub fn returns(&mut self, now: Time, dealer: NodeId) -> Vec<(NodeId, Question)> {
        let there = self.ledger.least(now, now.plus(self.times.grant)).max(0) as u64;
        let there = there.saturating_sub(self.ending(now));
        let mut free = there.saturating_sub(self.want().saturating_sub(self.floor(now)));
        let mut back = Vec::new();
        for (from, line) in self.borrowed.iter_mut().filter(|(from, _)| **from != dealer) {
            let units = line.units(now);
            let some = units.min(free);
            if some > 0 {
                free -= some;
                back.push((*from, line.ask(now, units - some, &mut self.ledger)));
            }
        }
        back
    }

    /// A borrower gives rights back.
    pub fn returned(&mut self, now: Time, from: NodeId, question: Question) {
        self.lent.entry(from).or_default().asked(now, question, &mut self.ledger);
    }

    /// The answer to the dealer's question: what can be spared.
    fn spare(&mut self, now: Time, dealer: NodeId, units: u64) -> Option<(u32, u64)> {
        let (_, number) = self.question.take().filter(|(by, _)| *by == dealer)?;
        let (until, ending) = (now.plus(self.times.lender_span(self.times.deposit)), self.ending(now));
        let line = self.lent.entry(dealer).or_default();
        let units = units.min(line.room(now, until, &self.ledger).saturating_sub(ending));
        line.answer(units, until, &mut self.ledger);
        Some((number, units))
    }

    /// The dealer has answered. What it gives back of a deposit counts at once; its question is answered with
    /// the next report.
    pub fn replied(&mut self, now: Time, dealer: NodeId, reply: &Reply) {
        if let Some(line) = self.borrowed.get_mut(&dealer) {
            line.answered(reply.number, reply.units, self.times.grant, &mut self.ledger);
        }
        self.cushion = reply.cushion;
        let (number, keep) = reply.question;
        let line = self.lent.entry(dealer).or_default();
        if line.asked(now, Question { number, keep }, &mut self.ledger) == Heard::New {
            self.question = Some((dealer, number));
        }
    }

    /// A report has come to this router, which deals out by its sender's view.
    pub fn reported(&mut self, now: Time, from: NodeId, report: &Report) -> Option<Reply> {
        let first = self.first;
        let deposit = self.borrowed.entry(from).or_insert_with(|| Borrowed::counting_from(first));
        if let Some((number, units)) = report.spare {
            deposit.answered(number, units, self.times.deposit, &mut self.ledger);
        }
        let question = Question { number: report.number, keep: report.keep };
        let heard = self.lent.entry(from).or_default().asked(now, question, &mut self.ledger);
        let units = match heard {
            Heard::Old => return None,
            Heard::Again(units) => units,
            Heard::New => {
                self.wants.remove(&from);
                if report.want > 0 {
                    self.wants.insert(from, (report.want, now));
                }
                let fair = self.fair_part(now, report.want).0;
                let until = now.plus(self.times.lender_span(self.times.grant));
                let ending = self.ending(now);
                let line = self.lent.entry(from).or_default();
                let room = line.room(now, until, &self.ledger).saturating_sub(ending);
                let units = report.want.min(fair).min(room);
                line.answer(units, until, &mut self.ledger);
                units
            }
        };
        // Of a deposit that has become smaller, what is not lent on goes back.
        let free = self.ledger.least(now, now.plus(self.times.grant)).max(0) as u64;
        let line = self.borrowed.entry(from).or_insert_with(|| Borrowed::counting_from(first));
        let there = line.units(now);
        let keep = there - there.saturating_sub(line.answer()).min(free);
        let Question { number, keep } = line.ask(now, keep, &mut self.ledger);
        let question = (number, keep);
        Some(Reply { key: self.key, number: report.number, units, question, cushion: self.cushion })
    }

    /// Units of the shares held here that this router needs itself.
    fn reserved(&self, now: Time) -> u64 {
        let shares: u64 = self.shares.values().filter(|s| s.1 > now).map(|s| s.0).sum();
        shares.min(self.want().saturating_sub(self.floor(now)))
    }

    /// What one who wants so much beyond its own gets, where this router deals out: all get what they
    /// want up to one level, at which what there is to spare is given away. And what is left over, unless
    /// some go without.
    fn fair_part(&self, now: Time, want: u64) -> (u64, Option<u64>) {
        let until = now.plus(self.times.lender_span(self.times.grant));
        let out: u64 = self.lent.values().map(|l| l.units(now)).sum();
        let own = self.reserved(now);
        let kept = (own + self.ending(now)) as i64;
        let mut left = (self.ledger.least(now, until) + out as i64 - kept).max(0) as u64;
        let more = self.want().saturating_sub(self.floor(now)) - own;
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
    pub fn forget(&mut self, peer: NodeId) {
        self.lent.remove(&peer);
        self.wants.remove(&peer);
        self.question = self.question.filter(|q| q.0 != peer);
    }

    /// What an operator is told.
    pub fn figures(&self, now: Time) -> AccountStats {
        AccountStats {
            of: self.bounds.units(),
            floor: self.floor(now),
            shares: self.shares.values().filter(|s| s.1 > now).map(|s| s.0).sum(),
            borrowed: self.borrowed.values().map(|b| b.units(now)).sum(),
            lent: self.lent.values().map(|l| l.units(now)).sum(),
            usable: self.held(now),
            want: self.want(),
            in_use: self.places.len() as u64,
            spent: self.counts.0,
            refused: self.counts.1,
            lapses: self.ledger.next(),
        }
    }

    /// Whether nothing is held, lent, borrowed or in use.
    pub fn is_idle(&self, now: Time) -> bool {
        let lent = self.lent.values().all(|l| l.units(now) == 0);
        lent && self.places.is_empty()
            && self.borrowed.values().all(|b| b.units(now) == 0)
            && self.want() == 0
    }
}
