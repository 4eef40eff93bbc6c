//! Which unsafe writes have had their primary decision. An entry is kept for a window from its id's own time,
//! and nothing is forgotten early: what is not here was never decided by this process, or is too old to be
//! asked for.

use crate::id::WriteId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// Slots of the wheel in one window.
const SLOTS: u64 = 64;

/// Where the one decision of a write stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Asked for; no member has been named.
    Held,
    /// A member was named, so many times by now, and it may run.
    Out,
    /// Every member that was named is proved not to have run it.
    Unrun,
    /// It has run, or nobody knows.
    Over,
}

/// What one who asks for a write gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody has asked for it: it goes to the decisions.
    First,
    /// It was asked for and no member was named yet: one of those who wait gets the member.
    Joins,
    /// All that was decided for it is proved not to have run: it goes to the decisions as a further attempt.
    Again,
    /// It was decided, and may run or has run. Nobody else gets a member for it.
    Decided,
    /// Its id is older than the table reaches back: nothing is known of it.
    TooOld,
    /// Its id is older than this process, which knows nothing of what was decided before.
    BeforeStart,
    /// Its id was made later than the clocks' skew allows.
    Future,
    /// There is no room; there will be some after this.
    Full(Time),
}

/// The table.
#[derive(Clone, Debug)]
pub struct Decided {
    started: Time,
    window: Time,
    skew: Time,
    most: usize,
    entries: BTreeMap<WriteId, State>,
    /// Ids by the slot of their time, oldest first: an entry goes with its slot, and never moves.
    wheel: BTreeMap<u64, Vec<WriteId>>,
}

impl Decided {
    /// The table of a process that has just started. Ids count for `window` from their own time; `most` of
    /// them are kept at a time.
    pub fn new(started: Time, window: Time, skew: Time, most: usize) -> Decided {
        let window = Time(window.0.max(SLOTS));
        Decided { started, window, skew, most, entries: BTreeMap::new(), wheel: BTreeMap::new() }
    }

    fn slot(&self, at: Time) -> u64 {
        at.0 / (self.window.0 / SLOTS)
    }

    /// Drops what is too old to be asked for.
    pub fn expire(&mut self, now: Time) {
        // The last id of a slot must be past its window, and past it by any clock.
        let oldest = self.slot(now.minus(self.window).minus(self.skew).minus(self.skew));
        while let Some(first) = self.wheel.first_entry().filter(|e| *e.key() < oldest) {
            for id in first.remove() {
                self.entries.remove(&id);
            }
        }
    }

    /// Somebody asks for a write. Whoever gets [`Verdict::First`] or [`Verdict::Again`] has it on the books
    /// as held, up to [`Decided::named`], [`Decided::refused`] or [`Decided::ended`].
    pub fn ask(&mut self, now: Time, id: WriteId) -> Verdict {
        self.expire(now);
        if let Some(state) = self.entries.get_mut(&id) {
            return match state {
                State::Held => Verdict::Joins,
                State::Out | State::Over => Verdict::Decided,
                State::Unrun => {
                    *state = State::Held;
                    Verdict::Again
                }
            };
        }
        let made = id.made();
        if made > now.plus(self.skew) {
            return Verdict::Future;
        }
        if now.since(made) > self.window.plus(self.skew) {
            return Verdict::TooOld;
        }
        // What an earlier life of this process has decided was made before this one began, by any clock.
        if made <= self.started.plus(self.skew) {
            return Verdict::BeforeStart;
        }
        if self.entries.len() >= self.most {
            let first = self.wheel.first_key_value().map_or(0, |(slot, _)| slot + 1);
            let goes = Time(first.saturating_mul(self.window.0 / SLOTS));
            let goes =
                goes.plus(self.window).plus(self.skew).plus(self.skew).plus(Time(self.window.0 / SLOTS));
            return Verdict::Full(goes.since(now));
        }
        self.entries.insert(id, State::Held);
        self.wheel.entry(self.slot(made)).or_default().push(id);
        Verdict::First
    }

    fn set(&mut self, id: WriteId, state: State) {
        if let Some(entry) = self.entries.get_mut(&id) {
            *entry = state;
        }
    }

    /// A member was named to one who asked.
    pub fn named(&mut self, id: WriteId) {
        self.set(id, State::Out);
    }

    /// The decisions have refused it, and no member has run it.
    pub fn refused(&mut self, id: WriteId) {
        self.set(id, State::Unrun);
    }

    /// What was decided has ended: proved not to have run, or not.
    pub fn ended(&mut self, id: WriteId, unrun: bool) {
        self.set(id, if unrun { State::Unrun } else { State::Over });
    }

    /// How many ids are on the books.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
