//! A hash table of session floors in bounded memory.
//!
//! The table is an array of buckets, each the size of a cache line. A bucket has seven slots, each with the
//! 32-bit fingerprint of a session and its floor as a 32-bit tick, and one shared floor for all sessions
//! evicted from the bucket. When a session finds no free slot, the lowest floor of its bucket is evicted: the
//! shared floor is raised to it, for the sessions evicted from this bucket only. A floor that every replica
//! has passed restricts no read, so a shared floor does no harm as long as it is old; this is why the lowest
//! floor is evicted first. Two sessions with the same fingerprint in one bucket both get the higher floor.

use basalthill_policy::api::{GroupId, SessionKey, Time};

/// Number of slots in a bucket.
const SLOTS: usize = 7;
/// Number of words in a bucket: the floor of evicted sessions, an unused word, the fingerprints of the slots
/// and the floors of the slots.
pub(crate) const BUCKET_WORDS: usize = 16;
/// Index of the word with the floor of evicted sessions.
const EVICTED_FLOOR: usize = 0;
/// Index of the first slot's fingerprint.
const FINGERPRINTS: usize = 2;
/// Index of the first slot's floor.
const FLOORS: usize = FINGERPRINTS + SLOTS;
/// Size of a bucket, in bytes.
pub const BUCKET_BYTES: usize = BUCKET_WORDS * 4;

/// Nanoseconds per tick: floors are stored in milliseconds.
const TICK_NANOS: u64 = 1_000_000;
/// The tick of the table's creation. Floors up to 12 days older have distinct ticks; all older floors get the
/// first tick.
const INITIAL_TICK: u32 = 1 << 30;
/// A floor at or above this tick moves the epoch forward, and all stored ticks are reduced by
/// [`INITIAL_TICK`].
const REBASE_TICK: u32 = 3 << 30;

/// The words of a bucket. A slot whose floor is zero is free.
///
/// The words are plain integers, so that a new table is zeroed memory. The operating system allocates its
/// pages only when they are first written.
pub(crate) type Bucket = [u32; BUCKET_WORDS];

/// A table of floors by group and session.
#[derive(Clone)]
pub struct FloorTable {
    /// The number of buckets is a power of two.
    buckets: Vec<Bucket>,
    /// Seed of the hash, which prevents clients from choosing sessions that share a bucket.
    seed: u64,
    /// The time of tick zero.
    epoch: Time,
    /// Number of evictions that raised a bucket's shared floor, since the last
    /// [`FloorTable::take_evictions`].
    evictions: u64,
}

/// The floors that the table holds for a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloorEntry {
    /// The floor of the session's slot, if it has one.
    pub exact: Option<Time>,
    /// The shared floor of all sessions evicted from the session's bucket.
    pub evicted: Time,
}

/// The place of a session in the table.
#[derive(Clone, Copy)]
struct Location {
    bucket: usize,
    fingerprint: u32,
}

/// A bucket and its index, as a snapshot holds them.
#[derive(Clone, Copy)]
pub(crate) struct NumberedBucket {
    pub index: u32,
    pub words: Bucket,
}

impl FloorTable {
    /// Creates an empty table of at most `bytes` of memory, but of at least one bucket.
    pub fn new(now: Time, bytes: usize, seed: u64) -> FloorTable {
        let max_buckets = (bytes / BUCKET_BYTES).max(1);
        // The largest power of two that is at most the maximum.
        let buckets = 1usize << (usize::BITS - 1 - max_buckets.leading_zeros());
        let now_in_ticks = Time(now.0 / TICK_NANOS * TICK_NANOS);
        let epoch = now_in_ticks.minus(Time(u64::from(INITIAL_TICK) * TICK_NANOS));
        FloorTable { buckets: vec![[0; BUCKET_WORDS]; buckets], seed, epoch, evictions: 0 }
    }

    /// Returns the bucket and the fingerprint of a session.
    fn locate(&self, group: GroupId, session: SessionKey) -> Location {
        // The finalizer of SplitMix64: every bit of the key affects every bit of the hash.
        let mut hash = session.0 ^ self.seed ^ u64::from(group.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
        Location { bucket: hash as usize & (self.buckets.len() - 1), fingerprint: (hash >> 32) as u32 }
    }

    /// Converts a floor to a tick, rounded up. Floors before the epoch get the first tick.
    fn tick(&self, floor: Time) -> u32 {
        let ticks = floor.since(self.epoch).0.div_ceil(TICK_NANOS);
        u32::try_from(ticks).unwrap_or(u32::MAX).max(1)
    }

    /// Converts a stored tick to a floor. Tick zero, the value of an empty word, means no floor.
    fn time(&self, tick: u32) -> Time {
        match tick {
            0 => Time(0),
            _ => self.epoch.plus(Time(u64::from(tick) * TICK_NANOS)),
        }
    }

    /// Returns the floors of a session.
    pub fn get(&self, group: GroupId, session: SessionKey) -> FloorEntry {
        let location = self.locate(group, session);
        let bucket = &self.buckets[location.bucket];
        let slot = find_slot(bucket, location.fingerprint);
        FloorEntry {
            exact: slot.map(|slot| self.time(bucket[FLOORS + slot])),
            evicted: self.time(bucket[EVICTED_FLOOR]),
        }
    }

    /// Raises the floor of a session. Values below the current floor have no effect, and neither does zero,
    /// which means that there is no floor.
    pub fn raise(&mut self, group: GroupId, session: SessionKey, floor: Time) {
        if floor == Time(0) {
            return;
        }
        if self.tick(floor) >= REBASE_TICK {
            self.rebase();
        }
        let tick = self.tick(floor);
        let location = self.locate(group, session);
        let bucket = &mut self.buckets[location.bucket];
        match find_slot(bucket, location.fingerprint) {
            Some(slot) => bucket[FLOORS + slot] = bucket[FLOORS + slot].max(tick),
            None => self.evictions += u64::from(insert(bucket, location.fingerprint, tick)),
        }
    }

    /// Moves the epoch forward. Ticks that would fall below the first tick are set to it, so no floor is
    /// lowered.
    fn rebase(&mut self) {
        let rebased = |tick: u32| if tick > 0 { tick.saturating_sub(INITIAL_TICK).max(1) } else { 0 };
        self.epoch = self.epoch.plus(Time(u64::from(INITIAL_TICK) * TICK_NANOS));
        for bucket in &mut self.buckets {
            for tick in &mut bucket[FLOORS..] {
                *tick = rebased(*tick);
            }
            bucket[EVICTED_FLOOR] = rebased(bucket[EVICTED_FLOOR]);
        }
    }

    /// Returns the size of the table, in bytes. Pages of it that were never written take no memory.
    pub fn bytes(&self) -> usize {
        self.buckets.len() * BUCKET_BYTES
    }

    /// Returns the number of evictions that raised a bucket's shared floor since the last call.
    pub fn take_evictions(&mut self) -> u64 {
        std::mem::take(&mut self.evictions)
    }

    /// Returns the seed of the hash.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the time of tick zero.
    pub(crate) fn epoch(&self) -> Time {
        self.epoch
    }

    /// Returns the number of buckets.
    pub(crate) fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the buckets that are not all zeros, in the order of their indexes.
    pub(crate) fn used_buckets(&self) -> impl Iterator<Item = NumberedBucket> + '_ {
        let used = self.buckets.iter().enumerate().filter(|(_, bucket)| bucket.iter().any(|word| *word > 0));
        used.map(|(index, words)| NumberedBucket { index: index as u32, words: *words })
    }

    /// Creates a table from the fields of a snapshot. Returns `None` if the bucket count is not a power of
    /// two or the index of a bucket is out of range.
    pub(crate) fn from_buckets(
        bucket_count: usize,
        seed: u64,
        epoch: Time,
        used: impl IntoIterator<Item = NumberedBucket>,
    ) -> Option<FloorTable> {
        if !bucket_count.is_power_of_two() {
            return None;
        }
        let mut buckets = vec![[0; BUCKET_WORDS]; bucket_count];
        for bucket in used {
            *buckets.get_mut(bucket.index as usize)? = bucket.words;
        }
        Some(FloorTable { buckets, seed, epoch, evictions: 0 })
    }
}

/// Finds the slot of a session in its bucket.
fn find_slot(bucket: &Bucket, fingerprint: u32) -> Option<usize> {
    (0..SLOTS).find(|slot| bucket[FINGERPRINTS + slot] == fingerprint && bucket[FLOORS + slot] > 0)
}

/// Stores a session that has no slot. The lowest floor of the bucket, which may be the new one, is evicted; a
/// free slot has floor zero, and its eviction has no effect. Returns whether the eviction raised the shared
/// floor of evicted sessions.
fn insert(bucket: &mut Bucket, fingerprint: u32, tick: u32) -> bool {
    let lowest = (0..SLOTS).min_by_key(|slot| bucket[FLOORS + slot]).unwrap_or(0);
    let evicted = bucket[FLOORS + lowest].min(tick);
    // The eviction of a floor at or below the shared floor affects no session, so it is not counted.
    let raised = evicted > bucket[EVICTED_FLOOR];
    bucket[EVICTED_FLOOR] = bucket[EVICTED_FLOOR].max(evicted);
    if tick > evicted {
        bucket[FINGERPRINTS + lowest] = fingerprint;
        bucket[FLOORS + lowest] = tick;
    }
    raised
}
