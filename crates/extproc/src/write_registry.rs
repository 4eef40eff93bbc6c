//! Which non-idempotent writes have had their one decision.
//!
//! An entry stays for a window that begins at its id's own time, and none is removed early: what is not here
//! was never decided by this process, or its id is too old to be accepted.

use crate::write_id::WriteId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// Slots of the expiry wheel in one window: entries stay up to a 64th of the window longer than needed.
const SLOTS_PER_WINDOW: u64 = 64;

/// The state of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// A call for it is open, and no member has been assigned.
    Pending,
    /// A member has been assigned, which may execute it.
    Assigned,
    /// Every member that was assigned is proved not to have executed it.
    NotExecuted,
    /// It has executed, or nobody knows.
    PossiblyExecuted,
}

/// The answer to a call for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the first call for the write, which goes to the decisions.
    New,
    /// Another call for the write waits for a member; one of them gets it.
    Pending,
    /// Everything decided for the write is proved not to have executed: it goes to the decisions as a retry.
    Retry,
    /// The write was decided, and may execute or has executed. No further call gets a member for it.
    Decided,
    /// The write cannot be decided by its id.
    Unusable(UnusableId),
    /// The registry is full.
    Full {
        /// After this time there is a free entry.
        retry_after: Time,
    },
}

/// Why nothing is known of a write by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnusableId {
    /// The id is older than the registry reaches back.
    TooOld,
    /// The id is older than this process, which does not know what was decided before.
    BeforeStart,
    /// The id was created later than the skew between clocks allows.
    InFuture,
}

/// The writes that have had their decision, and those that wait for it.
#[derive(Clone, Debug)]
pub struct WriteRegistry {
    started_at: Time,
    /// How long an id is accepted after its creation.
    window: Time,
    /// How far the clocks of those who create ids may be apart from this one.
    skew: Time,
    max_entries: usize,
    states: BTreeMap<WriteId, WriteState>,
    /// Ids by the slot of their creation, oldest first: an entry is removed with its slot, and never moves.
    wheel: BTreeMap<u64, Vec<WriteId>>,
}

impl WriteRegistry {
    /// The registry of a process that has just started, for at most `max_entries` ids at a time. An id is
    /// accepted for `window` from its creation on.
    pub fn new(started_at: Time, window: Time, skew: Time, max_entries: usize) -> WriteRegistry {
        let window = Time(window.0.max(SLOTS_PER_WINDOW));
        WriteRegistry {
            started_at,
            window,
            skew,
            max_entries,
            states: BTreeMap::new(),
            wheel: BTreeMap::new(),
        }
    }

    /// Removes entries whose ids are too old to be accepted.
    pub fn expire(&mut self, now: Time) {
        // The last id of a slot must be out of its window, by any clock.
        let oldest_slot = self.slot(now.minus(self.window).minus(self.skew).minus(self.skew));
        while let Some(first) = self.wheel.first_entry().filter(|entry| *entry.key() < oldest_slot) {
            for id in first.remove() {
                self.states.remove(&id);
            }
        }
    }

    /// Judges a call for a write. After [`Verdict::New`] and [`Verdict::Retry`] the write is pending, until
    /// [`WriteRegistry::assigned`], [`WriteRegistry::not_executed`] or [`WriteRegistry::possibly_executed`].
    pub fn admit(&mut self, now: Time, id: WriteId) -> Verdict {
        self.expire(now);
        if let Some(state) = self.states.get_mut(&id) {
            return match state {
                WriteState::Pending => Verdict::Pending,
                WriteState::Assigned | WriteState::PossiblyExecuted => Verdict::Decided,
                WriteState::NotExecuted => {
                    *state = WriteState::Pending;
                    Verdict::Retry
                }
            };
        }
        if let Some(reason) = self.unusable(now, id) {
            return Verdict::Unusable(reason);
        }
        if self.states.len() >= self.max_entries {
            return Verdict::Full { retry_after: self.first_expiry().since(now) };
        }
        self.states.insert(id, WriteState::Pending);
        self.wheel.entry(self.slot(id.created_at())).or_default().push(id);
        Verdict::New
    }

    /// A member has been assigned to a write.
    pub fn assigned(&mut self, id: WriteId) {
        self.set(id, WriteState::Assigned);
    }

    /// A write has ended, and is proved not to have executed: no member was assigned, or none executed it.
    pub fn not_executed(&mut self, id: WriteId) {
        self.set(id, WriteState::NotExecuted);
    }

    /// A write has ended, and has executed or may do so.
    pub fn possibly_executed(&mut self, id: WriteId) {
        self.set(id, WriteState::PossiblyExecuted);
    }

    /// How many writes are registered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no write is registered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Why an id that is not registered is not accepted, if it is not.
    fn unusable(&self, now: Time, id: WriteId) -> Option<UnusableId> {
        let created_at = id.created_at();
        if created_at > now.plus(self.skew) {
            return Some(UnusableId::InFuture);
        }
        if now.since(created_at) > self.window.plus(self.skew) {
            return Some(UnusableId::TooOld);
        }
        // What an earlier process decided was created before this one started, by any clock.
        if created_at <= self.started_at.plus(self.skew) {
            return Some(UnusableId::BeforeStart);
        }
        None
    }

    /// When the oldest slot is removed.
    fn first_expiry(&self) -> Time {
        let next_slot = self.wheel.first_key_value().map_or(0, |(slot, _)| slot + 1);
        let slot_end = Time(next_slot.saturating_mul(self.slot_span().0));
        slot_end.plus(self.window).plus(self.skew).plus(self.skew).plus(self.slot_span())
    }

    /// The slot of a time.
    fn slot(&self, at: Time) -> u64 {
        at.0 / self.slot_span().0
    }

    /// The time that a slot covers.
    fn slot_span(&self) -> Time {
        Time(self.window.0 / SLOTS_PER_WINDOW)
    }

    fn set(&mut self, id: WriteId, state: WriteState) {
        if let Some(entry) = self.states.get_mut(&id) {
            *entry = state;
        }
    }
}
