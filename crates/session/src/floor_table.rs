//! Session floors in bounded memory.
//!
//! The table is an array of buckets, each the size of a cache line. A bucket has seven slots, each with the
//! 32-bit fingerprint of a session and its floor as a 32-bit tick, and one floor for all sessions evicted
//! from it. A session that finds no free slot evicts the lowest floor of its bucket into that common floor,
//! which so rises for the sessions evicted there and for no others. A floor that every replica has passed
//! costs nothing, wherever it is stored: evicting the lowest first is what makes old entries free. Two
//! sessions with the same fingerprint in a bucket both get the higher floor.

use basalthill_policy::api::{GroupId, SessionKey, Time};

/// Slots of a bucket.
const SLOTS: usize = 7;
/// Words of a bucket: the floor of evicted sessions, a spare word, then fingerprints and floors of the slots.
pub(crate) const BUCKET_WORDS: usize = 16;
/// Index of the word with the floor of evicted sessions.
const EVICTED_FLOOR: usize = 0;
/// Index of the first slot's fingerprint.
const FINGERPRINTS: usize = 2;
/// Index of the first slot's floor.
const FLOORS: usize = FINGERPRINTS + SLOTS;
/// Bytes of a bucket.
pub const BUCKET_BYTES: usize = BUCKET_WORDS * 4;

/// Nanoseconds of a tick: floors are stored in milliseconds.
const TICK_NANOS: u64 = 1_000_000;
/// The tick of the table's creation. Floors from up to 12 days before it are distinguished.
const INITIAL_TICK: u32 = 1 << 30;
/// From this tick on, the epoch moves and all stored ticks sink by [`INITIAL_TICK`].
const REBASE_TICK: u32 = 3 << 30;

/// The words of a bucket. A slot whose floor is zero is free.
///
/// They are plain integers so that a new table is zeroed memory, which the operating system provides as it is
/// written to.
pub(crate) type Bucket = [u32; BUCKET_WORDS];

/// Floors by group and session.
#[derive(Clone)]
pub struct FloorTable {
    /// A power of two of them.
    buckets: Vec<Bucket>,
    /// Seed of the hash, so that no client can choose who shares its bucket.
    seed: u64,
    /// The time of tick zero.
    epoch: Time,
    /// Evictions that raised a bucket's common floor, since they were last taken.
    evictions: u64,
}

/// What the table knows of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloorEntry {
    /// The session's own floor, if it has a slot.
    pub exact: Option<Time>,
    /// The floor of all sessions evicted from its bucket.
    pub evicted: Time,
}

/// Where a session is stored.
#[derive(Clone, Copy)]
struct Location {
    bucket: usize,
    fingerprint: u32,
}

/// A bucket of a snapshot.
#[derive(Clone, Copy)]
pub(crate) struct NumberedBucket {
    pub index: u32,
    pub words: Bucket,
}

impl FloorTable {
    /// An empty table of at most `bytes`, and of one bucket at least.
    pub fn new(now: Time, bytes: usize, seed: u64) -> FloorTable {
        let max_buckets = (bytes / BUCKET_BYTES).max(1);
        // The largest power of two within the bound.
        let buckets = 1usize << (usize::BITS - 1 - max_buckets.leading_zeros());
        let now_in_ticks = Time(now.0 / TICK_NANOS * TICK_NANOS);
        let epoch = now_in_ticks.minus(Time(u64::from(INITIAL_TICK) * TICK_NANOS));
        FloorTable { buckets: vec![[0; BUCKET_WORDS]; buckets], seed, epoch, evictions: 0 }
    }

    /// The bucket and the fingerprint of a session.
    fn locate(&self, group: GroupId, session: SessionKey) -> Location {
        // The finalizer of splitmix64: every bit of the key affects every bit of the hash.
        let mut hash = session.0 ^ self.seed ^ u64::from(group.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
        Location { bucket: hash as usize & (self.buckets.len() - 1), fingerprint: (hash >> 32) as u32 }
    }

    /// The tick of a floor, rounded up. Floors before the epoch get the first tick.
    fn tick(&self, floor: Time) -> u32 {
        let ticks = floor.since(self.epoch).0.div_ceil(TICK_NANOS);
        u32::try_from(ticks).unwrap_or(u32::MAX).max(1)
    }

    /// The floor of a stored tick; zero if nothing is stored.
    fn time(&self, tick: u32) -> Time {
        match tick {
            0 => Time(0),
            _ => self.epoch.plus(Time(u64::from(tick) * TICK_NANOS)),
        }
    }

    /// What is known of a session.
    pub fn get(&self, group: GroupId, session: SessionKey) -> FloorEntry {
        let location = self.locate(group, session);
        let bucket = &self.buckets[location.bucket];
        let slot = find_slot(bucket, location.fingerprint);
        FloorEntry {
            exact: slot.map(|slot| self.time(bucket[FLOORS + slot])),
            evicted: self.time(bucket[EVICTED_FLOOR]),
        }
    }

    /// Raises a session's floor; it never sinks. Zero is no floor.
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

    /// Moves the epoch forward. What would sink below the first tick is raised to it: no floor sinks.
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

    /// The most memory that the table can take, in bytes.
    pub fn bytes(&self) -> usize {
        self.buckets.len() * BUCKET_BYTES
    }

    /// Evictions that raised a bucket's common floor, since this was last called.
    pub fn take_evictions(&mut self) -> u64 {
        std::mem::take(&mut self.evictions)
    }

    /// The seed of the hash.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }

    /// The time of tick zero.
    pub(crate) fn epoch(&self) -> Time {
        self.epoch
    }

    /// How many buckets there are.
    pub(crate) fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// The buckets with anything in them, in order.
    pub(crate) fn used_buckets(&self) -> impl Iterator<Item = NumberedBucket> + '_ {
        let used = self.buckets.iter().enumerate().filter(|(_, bucket)| bucket.iter().any(|word| *word > 0));
        used.map(|(index, words)| NumberedBucket { index: index as u32, words: *words })
    }

    /// A table from the parts that a snapshot holds; none if the buckets don't fit its size.
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

/// The slot of a session in its bucket, if it has one.
fn find_slot(bucket: &Bucket, fingerprint: u32) -> Option<usize> {
    (0..SLOTS).find(|slot| bucket[FINGERPRINTS + slot] == fingerprint && bucket[FLOORS + slot] > 0)
}

/// Stores a session that has no slot; the lowest floor of the bucket, which may be the new one, is evicted.
/// Returns whether that raised the floor of evicted sessions.
fn insert(bucket: &mut Bucket, fingerprint: u32, tick: u32) -> bool {
    let lowest = (0..SLOTS).min_by_key(|slot| bucket[FLOORS + slot]).unwrap_or(0);
    let evicted = bucket[FLOORS + lowest].min(tick);
    // A floor at or below that of evicted sessions says nothing more: its slot is as good as free.
    let raised = evicted > bucket[EVICTED_FLOOR];
    bucket[EVICTED_FLOOR] = bucket[EVICTED_FLOOR].max(evicted);
    if tick > evicted {
        bucket[FINGERPRINTS + lowest] = fingerprint;
        bucket[FLOORS + lowest] = tick;
    }
    raised
}
