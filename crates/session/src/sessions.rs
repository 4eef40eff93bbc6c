//! The floors of one router's sessions.

use crate::book::Book;
use crate::counts::Counts;
use crate::floors::Floors;
use crate::token::{self, Bad, Keys, Owner};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use std::collections::BTreeMap;

/// A host's clock is believed to be ahead of this router's by no more than this.
const AHEAD_MOST: Time = Time::ms(1000);

/// What the platform's settings say of session floors. It holds where there is no [`Plan`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tokens {
    /// The read says what its session last wrote; one that says nothing has written nothing.
    #[default]
    Carried,
    /// The router remembers the writes that it has answered since it started.
    Remembered,
}

/// What stands in for a session that brings neither a token nor `after`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandIn {
    /// What the platform says, to the letter: a session that brings neither has written nothing, and `after`
    /// alone goes on as it came.
    Platform,
    /// Nothing but what this router remembers of the session itself.
    Nothing,
    /// What this router remembers, and its start for all that it doesn't.
    Router,
    /// The moment in which the read's connection was accepted.
    Connection,
    /// The moment in which the read came in.
    Arrival,
}

/// With which answers tokens are handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Handing {
    /// With none.
    Never,
    /// With answers to writes.
    Writes,
    /// With session reads too: a session never goes back in time.
    Reads,
}

/// How sessions are kept together, by our own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// What stands in where nothing is brought.
    pub stand_in: StandIn,
    /// What the clocks of routers and hosts may be apart.
    pub skew: Time,
    /// A write of unknown end commits within this after its end, if ever.
    pub settle: Time,
    /// A replica that is expected to reach a read's floor within this is waited for.
    pub lead: Time,
    /// Which answers carry tokens.
    pub handing: Handing,
    /// A token that covers a write goes out as the write is sent, so that it is there if this router dies.
    pub early: bool,
    /// The keys of tokens; none means that tokens are neither handed out nor read.
    pub keys: Option<Keys>,
}

/// A request of a session.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The session.
    pub owner: Owner<'a>,
    /// The group asked.
    pub group: GroupId,
    /// The position that the client itself says the read must see.
    pub after: Option<Time>,
    /// Tokens brought; several count together.
    pub tokens: &'a [&'a [u8]],
    /// When the request's connection was accepted.
    pub accepted: Time,
}

/// What a read needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// The position that its answer must see; zero if any will do.
    pub at: Time,
    /// How far ahead of a replica's position it may lie for that one to be waited for.
    pub lead: Time,
    /// Hosts must be told of it: it is not what the client has told them itself.
    pub tell: bool,
}

/// A request of a session, from its arrival to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bond {
    /// The session.
    pub key: SessionKey,
    /// What its reads must see by what it has brought.
    pub known: Floors,
    /// It is a write.
    pub write: bool,
    /// It counts as unsettled up to its end.
    counted: bool,
    /// An attempt of it may have run, and none was answered.
    pub doubt: bool,
}

/// All that one router knows of its sessions.
pub struct Sessions {
    platform: Tokens,
    plan: Option<Plan>,
    book: Book,
    /// The floor of all that the book can't know: a start in the dark.
    initial: Time,
    /// Writes that are out, by group and session; as many as there are requests at most.
    unsettled: BTreeMap<(GroupId, SessionKey), u32>,
    /// How far ahead of this clock a host's has been seen.
    ahead: Time,
    counts: Counts,
}

impl Sessions {
    /// A router that has just started; its book takes `bytes` at most.
    pub fn new(now: Time, platform: Tokens, plan: Option<Plan>, bytes: usize, seed: u64) -> Sessions {
        let (ahead, counts) = (Time(0), Counts::default());
        let book = Book::new(now, bytes, seed);
        Sessions { platform, plan, book, initial: now, unsettled: BTreeMap::new(), ahead, counts }
    }

    /// Takes over settings that have been read again. The book stays, unless there was no plan before: what
    /// was written until then is not in it, and it begins as at a start.
    pub fn change(&mut self, now: Time, plan: Option<Plan>, bytes: usize, seed: u64) {
        if self.plan.is_none() && plan.is_some() {
            (self.book, self.initial) = (Book::new(now, bytes, seed), now);
        }
        (self.plan, self.ahead) = (plan, Time(0));
    }

    /// Whether floors are ours to make, and to tell the hosts.
    pub fn planned(&self) -> bool {
        self.plan.is_some()
    }

    /// What has been counted since this was last asked.
    pub fn take_counts(&mut self) -> Counts {
        self.counts.folded += self.book.take_folded();
        std::mem::take(&mut self.counts)
    }

    /// The skew that is reckoned with.
    fn skew(&self, plan: &Plan) -> Time {
        plan.skew.max(self.ahead)
    }

    /// What the session brings by tokens, and whether one of them doesn't count.
    fn brought(&mut self, now: Time, asked: &Asked) -> (Option<Floors>, bool) {
        let Some((keys, plan)) = self.plan.as_ref().and_then(|p| Some((p.keys.as_ref()?, p))) else {
            return (None, false);
        };
        let (skew, mut floors, mut bad) = (self.skew(plan), None::<Floors>, false);
        for text in asked.tokens {
            let fault = match token::verify(keys, now, skew, asked.owner, text) {
                Ok(read) => {
                    floors.get_or_insert_default().join(&read);
                    continue;
                }
                Err(fault) => fault,
            };
            bad = true;
            *match fault {
                Bad::Malformed => &mut self.counts.malformed,
                Bad::UnknownKey => &mut self.counts.unknown_key,
                Bad::Forged => &mut self.counts.forged,
                Bad::OtherSession => &mut self.counts.other_session,
                Bad::Old => &mut self.counts.old,
                Bad::Future => &mut self.counts.future,
            } += 1;
        }
        (floors, bad)
    }

    /// What stands in for a session that brings nothing. A write of its earlier life whose end nobody told
    /// may commit up to `settle` later than that life's end; the clip at a read's arrival keeps it sound.
    fn stand_in(&self, plan: &Plan, now: Time, accepted: Time) -> Time {
        let since = match plan.stand_in {
            StandIn::Platform | StandIn::Nothing => return Time(0),
            StandIn::Router if self.initial == Time(0) => return Time(0),
            StandIn::Router => self.initial,
            StandIn::Connection => accepted,
            StandIn::Arrival => now,
        };
        since.plus(plan.settle).min(now).plus(self.skew(plan))
    }

    /// A request of a session has come in: what it is known to have seen or written. A write counts as
    /// unsettled from here to [`Sessions::end`].
    pub fn begin(&mut self, now: Time, asked: &Asked, write: bool) -> Bond {
        let key = asked.owner.key;
        let (floors, bad) = self.brought(now, asked);
        let mut known = floors.clone().unwrap_or_default();
        if let Some(plan) = &self.plan {
            // What a token that doesn't count may have said is no more than all that has been so far.
            if bad {
                known.fold(now.plus(self.skew(plan)));
            } else if floors.is_none() && (write || asked.after.is_none()) {
                known.fold(self.stand_in(plan, now, asked.accepted));
            }
            if write {
                *self.unsettled.entry((asked.group, key)).or_default() += 1;
            }
        }
        if !write {
            *match (floors.is_some() && !bad, asked.after.is_some()) {
                (true, _) => &mut self.counts.by_token,
                (false, true) => &mut self.counts.by_after,
                (false, false) if bad || known.get(asked.group) > Time(0) => &mut self.counts.by_stand_in,
                (false, false) => &mut self.counts.no_floor,
            } += 1;
        }
        Bond { key, known, write, counted: write && self.plan.is_some(), doubt: false }
    }

    /// The floor of a session read that has just come in.
    pub fn floor(&mut self, now: Time, asked: &Asked, bond: &Bond) -> Floor {
        let after = asked.after.unwrap_or_default();
        let entry = || self.book.get(asked.group, bond.key);
        let untold = |at| Floor { at, lead: Time(0), tell: false };
        let Some(plan) = &self.plan else {
            return untold(match self.platform {
                Tokens::Carried => after.min(now),
                Tokens::Remembered => entry().own.unwrap_or_default().max(entry().forgotten),
            });
        };
        if plan.stand_in == StandIn::Platform && asked.tokens.is_empty() {
            return untold(after.min(now));
        }
        // No commit before the read's arrival has a later position, so none needs more.
        let reach = now.plus(self.skew(plan));
        let told = asked.after.is_some() || !asked.tokens.is_empty();
        let book = entry().own.max((!told).then_some(entry().forgotten)).unwrap_or_default();
        let mut at = bond.known.get(asked.group).max(after).max(book);
        if self.unsettled.contains_key(&(asked.group, bond.key)) {
            at = Time(u64::MAX);
        }
        self.counts.clipped += u64::from(at > reach);
        Floor { at: at.min(reach), lead: plan.lead, tell: at > Time(0) }
    }

    /// A token that covers a write which is about to be sent, whatever becomes of it or of this router.
    pub fn early(
        &mut self,
        now: Time,
        owner: Owner,
        group: GroupId,
        bond: &Bond,
        limit: Time,
    ) -> Option<String> {
        let plan = self.plan.as_ref().filter(|p| p.early && bond.write)?;
        let mut floors = bond.known.clone();
        floors.raise(group, limit.plus(plan.settle).plus(self.skew(plan)));
        self.hand(now, owner, &floors, Handing::Writes)
    }

    /// A request was served at a position, if the host has told one; the token that goes with the answer. A
    /// write's position is its commit; without one it has committed before now.
    pub fn served(
        &mut self,
        now: Time,
        owner: Owner,
        group: GroupId,
        bond: &mut Bond,
        position: Option<Time>,
    ) -> Option<String> {
        bond.doubt = false;
        let skew = self.plan.as_ref().map_or(Time(0), |p| self.skew(p));
        let least = if bond.write { now.plus(skew) } else { Time(0) };
        bond.known.raise(group, position.unwrap_or(least));
        if bond.write {
            self.book.raise(group, bond.key, position.unwrap_or(least));
        }
        self.hand(now, owner, &bond.known, if bond.write { Handing::Writes } else { Handing::Reads })
    }

    /// A write got no answer from a host, and may have run or may yet; the token that says so.
    pub fn unknown(&mut self, now: Time, owner: Owner, group: GroupId, bond: &mut Bond) -> Option<String> {
        let plan = self.plan.as_ref()?;
        let settled = now.plus(plan.settle).plus(self.skew(plan));
        bond.known.raise(group, settled);
        self.hand(now, owner, &bond.known, Handing::Writes)
    }

    /// A request is off the router's books, and all its attempts with it.
    pub fn end(&mut self, now: Time, group: GroupId, bond: &Bond) {
        if !bond.counted {
            return;
        }
        if let Some(n) = self.unsettled.get_mut(&(group, bond.key)) {
            *n -= 1;
            if *n == 0 {
                self.unsettled.remove(&(group, bond.key));
            }
        }
        if let Some(plan) = self.plan.as_ref().filter(|_| bond.doubt) {
            let settled = now.plus(plan.settle).plus(self.skew(plan));
            self.counts.unknown_writes += 1;
            self.book.raise(group, bond.key, settled);
        }
    }

    /// A host has told a position, in an answer to what was sent then. One that lies ahead of this clock by
    /// more than the skew shows that the clocks are further apart than configured: floors by this clock are
    /// raised from then on, by as much as the lead can have been when the host told it.
    pub fn told(&mut self, now: Time, sent: Time, position: Time) {
        let Some(plan) = &self.plan else { return };
        if position.since(now) > plan.skew {
            self.counts.clock_ahead += 1;
            self.ahead = self.ahead.max(position.since(sent).min(AHEAD_MOST));
        }
    }

    fn hand(&mut self, now: Time, owner: Owner, floors: &Floors, with: Handing) -> Option<String> {
        let plan = self.plan.as_ref().filter(|p| p.handing >= with)?;
        let text = token::issue(plan.keys.as_ref()?, now, owner, floors);
        self.counts.issued += 1;
        Some(text)
    }

    /// The book and the floor of what it can't know, for a snapshot.
    pub(crate) fn remembered(&self) -> (&Book, Time) {
        (&self.book, self.initial)
    }

    /// Takes over what a process before this one has remembered, all of it.
    pub(crate) fn recall(&mut self, book: Book, initial: Time) {
        (self.book, self.initial) = (book, initial);
    }

    /// The process is about to end: what is still out is in doubt, and the book says so.
    pub(crate) fn settle(&mut self, now: Time) {
        let Some(plan) = &self.plan else { return };
        let settled = now.plus(plan.settle).plus(self.skew(plan));
        for (group, key) in self.unsettled.keys() {
            self.book.raise(*group, *key, settled);
        }
    }

    /// Writes that are out, by group and session.
    pub fn unsettled(&self) -> usize {
        self.unsettled.len()
    }

    /// Bytes that the book may come to take.
    pub fn book_bytes(&self) -> usize {
        self.book.bytes()
    }
}
