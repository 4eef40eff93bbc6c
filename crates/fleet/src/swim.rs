//! Who is alive, after SWIM (Das, Gupta, Motivala 2002), with what Lifeguard (Dadgar, Phillips, Currey
//! 2018) adds for slow processes:
//!
//! - Once a period one router of the list is asked, in a shuffled order. If it does not answer, three
//!   others are asked to ask it. If nothing comes by the period's end, it is suspected.
//! - News rides on everything that is sent, each some times the logarithm of the fleet's size: the cost
//!   for a router does not grow with the fleet.
//! - Who hears that it is suspected contradicts by a higher turn. A suspicion becomes a verdict after a
//!   time that shrinks with each further router that has the same from its own experience.
//! - A router that misses answers, or has to contradict, takes itself for slow and gives others more
//!   time. One that stood still blames nobody for it.
//! - A suspect hears of it with the next thing that is sent to it.
//!
//! The list of names is given: nobody has to join, and the dead are asked now and then, so that a split
//! heals.

use crate::names::{NodeId, Roster};
use crate::packet::{MembershipUpdate, Message, PeerState};
use basalthill_policy::api::Time;
use std::collections::{BTreeMap, BTreeSet};

/// One router is asked in so long.
pub const PERIOD: Time = Time::ms(250);
/// After this without an answer, others are asked to ask.
const ANSWER: Time = Time::ms(90);
/// So many others.
const OTHERS: usize = 3;
/// Every so many periods one of those is asked that are not taken for alive.
const DEAD_EVERY: u64 = 3;
/// Shortest time of a suspicion, in periods and by the logarithm of the fleet's size.
const SUSPECT_LEAST: f64 = 3.0;
/// The longest is this many times as long.
const SUSPECT_MOST: f64 = 3.0;
/// News goes out this many times the logarithm of the fleet's size, and some times more: of what is sent,
/// much goes to the same few.
const SPREAD: f64 = 4.0;
const SPREAD_LEAST: u32 = 4;
/// Pieces of news that go with one packet.
const NEWS_AT_ONCE: usize = 20;
/// A router takes itself for this many times slower, at most.
const SLOW_MOST: u32 = 8;
/// A look that comes later than this after it was due means that this router itself stood still.
const STOOD: Time = Time::ms(400);
/// Most questions in others' place that are open at a time.
const ERRANDS: usize = 64;

/// What is known of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// What it is taken for; nothing was ever heard of it if there is none.
    pub word: Option<PeerState>,
    /// Its life.
    pub life: u64,
    /// Its turn.
    pub turn: u32,
    /// Since when.
    pub since: Time,
    /// Who said so.
    pub by: NodeId,
    /// When it was last heard itself.
    pub heard: Option<Time>,
    /// When it was last told what it is taken for.
    told: Option<Time>,
    suspected_by: BTreeSet<NodeId>,
}

struct Probe {
    number: u32,
    target: NodeId,
    others_at: Time,
    ends: Time,
    asked_others: bool,
}

struct Errand {
    number: u32,
    target: NodeId,
    by: NodeId,
    theirs: u32,
    until: Time,
}

/// What comes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Say this to a router.
    Say(NodeId, Message),
    /// A router is taken for something else by now; its life is another one where `restarted`.
    Changed {
        /// Who.
        of: NodeId,
        /// For what.
        word: PeerState,
        /// It has started again.
        restarted: bool,
        /// Who said so first.
        by: NodeId,
    },
}

/// One router's view of who is alive.
pub struct Swim {
    me: NodeId,
    life: u64,
    turn: u32,
    peers: BTreeMap<NodeId, Known>,
    order: Vec<NodeId>,
    periods: u64,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    numbers: u32,
    news: Vec<(MembershipUpdate, u32)>,
    slow: u32,
    next: Time,
    leaving: bool,
    random: u64,
}

impl Swim {
    /// A router that has just started.
    pub fn new(now: Time, me: NodeId, life: u64, names: &Roster, seed: u64) -> Swim {
        let mut swim = Swim {
            me,
            life,
            turn: 0,
            peers: BTreeMap::new(),
            order: Vec::new(),
            periods: 0,
            probe: None,
            errands: Vec::new(),
            numbers: 0,
            news: Vec::new(),
            slow: 0,
            next: now,
            leaving: false,
            random: seed,
        };
        swim.list(now, names);
        // All that start at once do not ask at once.
        swim.next = now.plus(PERIOD.times(swim.dice()));
        swim.tell(MembershipUpdate { of: me, life, turn: 0, word: PeerState::Alive, by: me });
        swim
    }

    /// Takes another list of names.
    pub fn list(&mut self, now: Time, names: &Roster) {
        self.peers.retain(|tag, _| names.get(*tag).is_some());
        for tag in names.ids().filter(|t| *t != self.me) {
            self.peers.entry(tag).or_insert(Known {
                word: None,
                life: 0,
                turn: 0,
                since: now,
                by: self.me,
                heard: None,
                told: None,
                suspected_by: BTreeSet::new(),
            });
        }
        self.news.retain(|(n, _)| names.get(n.of).is_some());
        self.order.clear();
    }

    fn dice(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 40) as f64 / (1u64 << 24) as f64
    }

    /// What is known of the others.
    pub fn peers(&self) -> impl Iterator<Item = (NodeId, &Known)> {
        self.peers.iter().map(|(tag, known)| (*tag, known))
    }

    /// What is known of one of them.
    pub fn peer(&self, tag: NodeId) -> Option<&Known> {
        self.peers.get(&tag)
    }

    /// This router and those that it takes for alive, suspects among them.
    pub fn living(&self) -> impl Iterator<Item = NodeId> + '_ {
        let me = (!self.leaving).then_some(self.me);
        let up = |k: &Known| matches!(k.word, Some(PeerState::Alive | PeerState::Suspect));
        me.into_iter().chain(self.peers.iter().filter(move |p| up(p.1)).map(|p| *p.0))
    }

    /// Whether a router is taken for gone: dead, or left.
    pub fn gone(&self, tag: NodeId) -> bool {
        self.peers.get(&tag).is_some_and(|k| matches!(k.word, Some(PeerState::Dead | PeerState::Left)))
    }

    /// This router's life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// How many times slower than usual this router takes itself for.
    pub fn slow(&self) -> u32 {
        self.slow
    }

    /// A later life of this router's is known to others: the clock that it took its life from was set back.
    pub fn live_after(&mut self, known: u64) {
        self.life = self.life.max(known) + 1;
        self.turn = 0;
        self.news.retain(|(n, _)| n.of != self.me);
        self.tell(MembershipUpdate {
            of: self.me,
            life: self.life,
            turn: 0,
            word: PeerState::Alive,
            by: self.me,
        });
    }

    /// Something has come from a peer, in this life of it.
    pub fn heard(&mut self, now: Time, from: NodeId, life: u64, out: &mut Vec<Out>) {
        let Some(known) = self.peers.get_mut(&from) else { return };
        known.heard = Some(now);
        let told = known.told.is_some_and(|at| now.since(at) < ANSWER);
        if known.word.is_none() || life > known.life {
            let news = MembershipUpdate { of: from, life, turn: 0, word: PeerState::Alive, by: self.me };
            self.learn(now, news, out);
        } else if known.word != Some(PeerState::Alive) && !told {
            // It does not know: it contradicts once it does.
            known.told = Some(now);
            let news = MembershipUpdate {
                of: from,
                life: known.life,
                turn: known.turn,
                word: known.word.unwrap_or(PeerState::Dead),
                by: self.me,
            };
            out.push(Out::Say(from, Message::Gossip(vec![news])));
        }
    }

    /// A message of those that are SWIM's.
    pub fn take(&mut self, now: Time, from: NodeId, message: &Message, out: &mut Vec<Out>) {
        match message {
            Message::Ping(number) => out.push(Out::Say(from, Message::Ack(*number))),
            Message::Ack(number) => {
                if self.probe.as_ref().is_some_and(|p| p.number == *number && p.target == from) {
                    self.probe = None;
                    self.slow = self.slow.saturating_sub(1);
                }
                if let Some(at) = self.errands.iter().position(|e| e.number == *number && e.target == from) {
                    let errand = self.errands.swap_remove(at);
                    out.push(Out::Say(errand.by, Message::IndirectAck(errand.theirs, from)));
                }
            }
            Message::PingRequest(theirs, target)
                if self.peers.contains_key(target) && self.errands.len() < ERRANDS =>
            {
                self.numbers += 1;
                let (number, until) = (self.numbers, now.plus(PERIOD.times(4.0)));
                let (target, theirs) = (*target, *theirs);
                self.errands.push(Errand { number, target, by: from, theirs, until });
                out.push(Out::Say(target, Message::Ping(number)));
            }
            Message::IndirectAck(number, target)
                if self.probe.as_ref().is_some_and(|p| p.number == *number && p.target == *target) =>
            {
                self.probe = None;
                self.slow = self.slow.saturating_sub(1);
            }
            Message::Gossip(all) => all.iter().for_each(|news| self.learn(now, *news, out)),
            _ => {}
        }
    }

    /// Takes a piece of news; it goes on if it is news.
    pub fn learn(&mut self, now: Time, news: MembershipUpdate, out: &mut Vec<Out>) {
        if news.of == self.me {
            if news.life == self.life && news.word != PeerState::Alive && !self.leaving {
                if news.turn >= self.turn {
                    self.turn = news.turn + 1;
                    self.slow = (self.slow + 1).min(SLOW_MOST);
                }
                // One who has not heard of a turn that was contradicted by hears of it now.
                let mine = MembershipUpdate {
                    of: self.me,
                    life: self.life,
                    turn: self.turn,
                    word: PeerState::Alive,
                    by: self.me,
                };
                self.tell(mine);
                out.push(Out::Say(news.by, Message::Gossip(vec![mine])));
            }
            return;
        }
        let Some(known) = self.peers.get_mut(&news.of) else { return };
        let (old, new) = ((known.life, known.turn, known.word), (news.life, news.turn, Some(news.word)));
        if news.word == PeerState::Suspect && old == new {
            // A witness more.
            if known.suspected_by.len() <= OTHERS && known.suspected_by.insert(news.by) {
                self.tell(news);
            }
            return;
        }
        if new <= old {
            return;
        }
        let restarted = known.word.is_some() && news.life > known.life;
        let changed = known.word != Some(news.word) || restarted;
        (known.life, known.turn, known.word, known.by) = (news.life, news.turn, Some(news.word), news.by);
        known.since = now;
        known.suspected_by = if news.word == PeerState::Suspect { [news.by].into() } else { BTreeSet::new() };
        self.tell(news);
        if changed {
            out.push(Out::Changed { of: news.of, word: news.word, restarted, by: news.by });
        }
    }

    fn tell(&mut self, news: MembershipUpdate) {
        let suspects = |n: &MembershipUpdate| {
            n.word == PeerState::Suspect && n.by != news.by && news.word == PeerState::Suspect
        };
        self.news.retain(|(n, _)| n.of != news.of || suspects(n));
        self.news.push((news, 0));
    }

    /// News that goes with the next packet, the least told first.
    pub fn news(&mut self) -> Vec<MembershipUpdate> {
        if self.news.is_empty() {
            return Vec::new();
        }
        let most = (SPREAD * ((self.peers.len() + 2) as f64).log10()).ceil() as u32 + SPREAD_LEAST;
        self.news.sort_by_key(|(_, told)| *told);
        let some: Vec<MembershipUpdate> = self.news.iter().take(NEWS_AT_ONCE).map(|(n, _)| *n).collect();
        self.news.iter_mut().take(NEWS_AT_ONCE).for_each(|(_, told)| *told += 1);
        self.news.retain(|(_, told)| *told < most);
        some
    }

    /// This router goes: those that it says so to tell the others.
    pub fn leave(&mut self, out: &mut Vec<Out>) {
        self.leaving = true;
        let news = MembershipUpdate {
            of: self.me,
            life: self.life,
            turn: self.turn,
            word: PeerState::Left,
            by: self.me,
        };
        let up: Vec<NodeId> = self.living().collect();
        // All at once would be a burst in a large fleet; news spreads by itself.
        for _ in 0..(2 * OTHERS).min(up.len()) {
            let to = up[(self.dice() * up.len() as f64) as usize % up.len()];
            out.push(Out::Say(to, Message::Gossip(vec![news])));
        }
    }

    /// When there is something to do next.
    pub fn next_due(&self) -> Time {
        let probe = self.probe.as_ref();
        let others = probe.filter(|p| !p.asked_others).map_or(Time(u64::MAX), |p| p.others_at);
        others.min(self.next)
    }

    fn suspicion(&self, witnesses: usize) -> Time {
        let size = ((self.peers.len() + 1) as f64).log10().max(1.0);
        let least = SUSPECT_LEAST * size;
        let most = least * SUSPECT_MOST;
        let part = (witnesses as f64).ln_1p() / (OTHERS as f64 + 1.0).ln_1p();
        PERIOD.times((most - (most - least) * part).max(least))
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Out>) {
        let stood = now.since(self.next_due()) > STOOD;
        if stood {
            // Answers may lie unread: nobody is blamed, and suspicions have not run meanwhile.
            self.probe = None;
            self.slow = (self.slow + 1).min(SLOW_MOST);
            let away = now.since(self.next);
            for known in self.peers.values_mut().filter(|k| k.word == Some(PeerState::Suspect)) {
                known.since = known.since.plus(away);
            }
            self.next = now.plus(PERIOD);
            return;
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| now >= p.others_at && !p.asked_others) {
            probe.asked_others = true;
            let (number, target) = (probe.number, probe.target);
            let mut others: Vec<NodeId> = self.living().filter(|t| *t != self.me && *t != target).collect();
            for _ in 0..OTHERS.min(others.len()) {
                let at = (self.dice() * others.len() as f64) as usize % others.len();
                out.push(Out::Say(others.swap_remove(at), Message::PingRequest(number, target)));
            }
        }
        if now < self.next {
            return;
        }
        self.errands.retain(|e| now < e.until);
        if let Some(probe) = self.probe.take_if(|p| now >= p.ends) {
            self.slow = (self.slow + 1).min(SLOW_MOST);
            self.suspect(now, probe.target, out);
        }
        self.condemn(now, out);
        if self.probe.is_none() {
            self.ask_next(now, out);
        }
        self.next = now.plus(PERIOD);
    }

    fn suspect(&mut self, now: Time, target: NodeId, out: &mut Vec<Out>) {
        let Some(known) = self.peers.get(&target) else { return };
        if matches!(known.word, Some(PeerState::Alive | PeerState::Suspect)) {
            let (life, turn) = (known.life, known.turn);
            self.learn(
                now,
                MembershipUpdate { of: target, life, turn, word: PeerState::Suspect, by: self.me },
                out,
            );
        }
    }

    /// Suspicions whose time is over become verdicts.
    fn condemn(&mut self, now: Time, out: &mut Vec<Out>) {
        let suspects = self.peers.iter().filter(|(_, k)| k.word == Some(PeerState::Suspect));
        let over = suspects.filter(|(_, k)| now.since(k.since) >= self.suspicion(k.suspected_by.len()));
        let dead: Vec<MembershipUpdate> = over
            .map(|(of, k)| MembershipUpdate {
                of: *of,
                life: k.life,
                turn: k.turn,
                word: PeerState::Dead,
                by: self.me,
            })
            .collect();
        dead.into_iter().for_each(|news| self.learn(now, news, out));
    }

    fn ask_next(&mut self, now: Time, out: &mut Vec<Out>) {
        self.periods += 1;
        let up = |k: &Known| matches!(k.word, Some(PeerState::Alive | PeerState::Suspect));
        let down: Vec<NodeId> = self.peers.iter().filter(|p| !up(p.1)).map(|p| *p.0).collect();
        if !down.is_empty() && (self.periods % DEAD_EVERY == 0 || down.len() == self.peers.len()) {
            // Not the living's turn: an answer makes it alive, silence changes nothing.
            let at = (self.dice() * down.len() as f64) as usize % down.len();
            self.numbers += 1;
            out.push(Out::Say(down[at], Message::Ping(self.numbers)));
            return;
        }
        if self.order.is_empty() {
            self.order = self.peers.keys().copied().collect();
            for i in (1..self.order.len()).rev() {
                let j = (self.dice() * (i + 1) as f64) as usize % (i + 1);
                self.order.swap(i, j);
            }
        }
        while let Some(target) = self.order.pop() {
            if self.peers.get(&target).is_some_and(up) {
                self.numbers += 1;
                let (number, times) = (self.numbers, f64::from(1 + self.slow));
                let (others_at, ends) = (now.plus(ANSWER.times(times)), now.plus(PERIOD.times(times)));
                self.probe = Some(Probe { number, target, others_at, ends, asked_others: false });
                return out.push(Out::Say(target, Message::Ping(number)));
            }
        }
    }
}
