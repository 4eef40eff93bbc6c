//! Registry of non-idempotent writes, which ensures that at most one member may execute each write.
//!
//! An entry is kept for a window that begins at the creation time of its id, and is never removed earlier. A
//! write without an entry was therefore never decided by this process, or its id is too old to be accepted.

use crate::write_id::WriteId;
use basalthill_policy::api::Time;
use std::collections::BTreeMap;

/// Number of slots of the expiry wheel per window. Entries are kept up to 1/64 of the window longer than
/// needed.
const SLOTS_PER_WINDOW: u64 = 64;

/// The state of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// A call for the write is open, and no member has been assigned.
    Pending,
    /// A member has been assigned, and may execute the write.
    Assigned,
    /// All members that were assigned are proved not to have executed the write.
    NotExecuted,
    /// The write has executed, or its outcome is unknown.
    PossiblyExecuted,
}

/// The result of a call for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This is the first call for the write, which is handed to the decision module.
    New,
    /// Another call for the write waits for a member. One of the waiting calls gets the member.
    Pending,
    /// All earlier attempts of the write are proved not to have executed: the write is handed to the decision
    /// module as a retry.
    Retry,
    /// A member was assigned to the write, so the write has executed or may execute. No further call gets a
    /// member for it.
    Decided,
    /// The id of the write is not accepted.
    Unusable(UnusableId),
    /// The registry is full.
    Full {
        /// Time until an entry becomes free.
        retry_after: Time,
    },
}

/// The reason why the registry cannot tell whether the write of an id has been decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnusableId {
    /// The id is older than the window in which ids are accepted, by more than the clock skew.
    TooOld,
    /// The id was created before this process started, or later by no more than the clock skew, so that an
    /// earlier process may have decided the write.
    BeforeStart,
    /// The id was created later than now by more than the clock skew.
    InFuture,
}

/// The writes that have been decided and those that wait for a decision, by id.
#[derive(Clone, Debug)]
pub struct WriteRegistry {
    started_at: Time,
    /// Time after the creation of an id during which the id is accepted.
    id_window: Time,
    /// Maximum difference between this router's clock and the clocks of the creators of ids.
    skew: Time,
    max_entries: usize,
    states: BTreeMap<WriteId, WriteState>,
    /// The ids by the slot of their creation time, oldest first. An id never changes its slot, and its entry
    /// is removed together with the slot.
    wheel: BTreeMap<u64, Vec<WriteId>>,
}

impl WriteRegistry {
    /// Creates the registry of a process that has just started, for at most `max_entries` ids at a time. An
    /// id is accepted for `id_window` after its creation.
    pub fn new(started_at: Time, id_window: Time, skew: Time, max_entries: usize) -> WriteRegistry {
        let id_window = Time(id_window.0.max(SLOTS_PER_WINDOW));
        WriteRegistry {
            started_at,
            id_window,
            skew,
            max_entries,
            states: BTreeMap::new(),
            wheel: BTreeMap::new(),
        }
    }

    /// Removes the entries whose ids are too old to be accepted.
    pub fn expire(&mut self, now: Time) {
        // A slot is removed only when the window of its newest id has ended by every clock within the skew.
        let oldest_slot = self.slot(now.minus(self.id_window).minus(self.skew).minus(self.skew));
        while let Some(first) = self.wheel.first_entry().filter(|entry| *entry.key() < oldest_slot) {
            for id in first.remove() {
                self.states.remove(&id);
            }
        }
    }

    /// Decides on a call for a write. After [`Verdict::New`] and [`Verdict::Retry`] the write is pending
    /// until [`WriteRegistry::mark_assigned`], [`WriteRegistry::mark_not_executed`] or
    /// [`WriteRegistry::mark_possibly_executed`] is called for it.
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
        if let Some(reason) = self.unusable_reason(now, id) {
            return Verdict::Unusable(reason);
        }
        if self.states.len() >= self.max_entries {
            return Verdict::Full { retry_after: self.first_expiry().since(now) };
        }
        self.states.insert(id, WriteState::Pending);
        self.wheel.entry(self.slot(id.created_at())).or_default().push(id);
        Verdict::New
    }

    /// Records that a member has been assigned to a write.
    pub fn mark_assigned(&mut self, id: WriteId) {
        self.set_state(id, WriteState::Assigned);
    }

    /// Records that a write has completed and is proved not to have executed, because no member was assigned
    /// or no assigned member executed it.
    pub fn mark_not_executed(&mut self, id: WriteId) {
        self.set_state(id, WriteState::NotExecuted);
    }

    /// Records that a write has completed, and has executed or may still execute.
    pub fn mark_possibly_executed(&mut self, id: WriteId) {
        self.set_state(id, WriteState::PossiblyExecuted);
    }

    /// Returns the number of registered writes.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no write is registered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the reason why an unregistered id is not accepted, or `None` if it is accepted.
    fn unusable_reason(&self, now: Time, id: WriteId) -> Option<UnusableId> {
        let created_at = id.created_at();
        if created_at > now.plus(self.skew) {
            return Some(UnusableId::InFuture);
        }
        if now.since(created_at) > self.id_window.plus(self.skew) {
            return Some(UnusableId::TooOld);
        }
        // An id whose write an earlier process decided was created before this process started. By the clock
        // of its creator, that is at most the skew after the start.
        if created_at <= self.started_at.plus(self.skew) {
            return Some(UnusableId::BeforeStart);
        }
        None
    }

    /// Returns the time at which the oldest slot is removed.
    fn first_expiry(&self) -> Time {
        let next_slot = self.wheel.first_key_value().map_or(0, |(slot, _)| slot + 1);
        let slot_end = Time(next_slot.saturating_mul(self.slot_span().0));
        slot_end.plus(self.id_window).plus(self.skew).plus(self.skew).plus(self.slot_span())
    }

    /// Returns the slot of a time.
    fn slot(&self, at: Time) -> u64 {
        at.0 / self.slot_span().0
    }

    /// Returns the span of time that a slot covers.
    fn slot_span(&self) -> Time {
        Time(self.id_window.0 / SLOTS_PER_WINDOW)
    }

    fn set_state(&mut self, id: WriteId, state: WriteState) {
        if let Some(entry) = self.states.get_mut(&id) {
            *entry = state;
        }
    }
}
