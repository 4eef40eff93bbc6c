//! Remembered floors in bounded memory.
//!
//! A table of buckets, each of one cache line: seven sessions, by a 32-bit print and a 32-bit floor in
//! milliseconds, and a floor of the bucket itself. What has no room is folded into its bucket's floor, the
//! lowest first, and so raises the floor of those forgotten there, and of no one else. A floor that all
//! members have passed costs nothing, wherever it stands: forgetting the lowest first is what makes old
//! entries free. Two sessions that share a print share the higher floor.

use basalthill_policy::api::{GroupId, SessionKey, Time};

const SLOTS: usize = 7;
const PRINTS: usize = 2;
const FLOORS: usize = PRINTS + SLOTS;
const LINE: usize = 16;
/// Bytes of a bucket.
pub const BUCKET_BYTES: usize = LINE * 4;
const MS: u64 = 1_000_000;
/// Where the table's start stands among its ticks: floors from before it keep their order for 12 days.
const START: u32 = 1 << 30;
/// At this tick all are moved back by `START`.
const TURN: u32 = 3 << 30;

/// Floors by group and session.
#[derive(Clone)]
pub struct FloorTable {
    /// The bucket's floor, a spare word, prints, floors; a floor of zero is a free slot.
    lines: Vec<[u32; LINE]>,
    seed: u64,
    /// The time of tick zero.
    epoch: Time,
    folded: u64,
}

/// What the book says of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloorEntry {
    /// The floor kept for it, if one is.
    pub exact: Option<Time>,
    /// The floor of all that may have been forgotten in its place.
    pub evicted: Time,
}

impl FloorTable {
    /// An empty book that takes `bytes` at most, and one bucket at least. Memory is touched as it is used.
    pub fn new(now: Time, bytes: usize, seed: u64) -> FloorTable {
        let buckets = (bytes / BUCKET_BYTES).max(1);
        // The largest power of two within the bound.
        let buckets = 1usize << (usize::BITS - 1 - buckets.leading_zeros());
        let epoch = Time(now.0 / MS * MS).minus(Time(u64::from(START) * MS));
        FloorTable { lines: vec![[0; LINE]; buckets], seed, epoch, folded: 0 }
    }

    /// The line and the print of a session.
    fn place(&self, group: GroupId, session: SessionKey) -> (usize, u32) {
        // A finalizer of the kind of splitmix64: every bit of the key moves every bit of the place.
        let mut h = session.0 ^ self.seed ^ u64::from(group.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        h ^= h >> 31;
        (h as usize & (self.lines.len() - 1), (h >> 32) as u32)
    }

    fn tick(&self, floor: Time) -> u32 {
        let ms = floor.since(self.epoch).0.div_ceil(MS);
        u32::try_from(ms).unwrap_or(u32::MAX).max(1)
    }

    fn time(&self, tick: u32) -> Time {
        match tick {
            0 => Time(0),
            _ => self.epoch.plus(Time(u64::from(tick) * MS)),
        }
    }

    /// What is known of a session.
    pub fn get(&self, group: GroupId, session: SessionKey) -> FloorEntry {
        let (n, print) = self.place(group, session);
        let line = &self.lines[n];
        let own = (0..SLOTS).find(|i| line[PRINTS + i] == print && line[FLOORS + i] > 0);
        FloorEntry { exact: own.map(|i| self.time(line[FLOORS + i])), evicted: self.time(line[0]) }
    }

    /// Raises a session's floor.
    pub fn raise(&mut self, group: GroupId, session: SessionKey, floor: Time) {
        if floor == Time(0) {
            return;
        }
        if self.tick(floor) >= TURN {
            self.turn();
        }
        let (tick, (n, print)) = (self.tick(floor), self.place(group, session));
        let line = &mut self.lines[n];
        if let Some(i) = (0..SLOTS).find(|i| line[PRINTS + i] == print && line[FLOORS + i] > 0) {
            line[FLOORS + i] = line[FLOORS + i].max(tick);
            return;
        }
        let lowest = (0..SLOTS).min_by_key(|i| line[FLOORS + i]).unwrap_or(0);
        let out = line[FLOORS + lowest].min(tick);
        // At or under the bucket's floor, an entry says nothing more: its slot is as good as free.
        self.folded += u64::from(out > line[0]);
        line[0] = line[0].max(out);
        if tick > out {
            (line[PRINTS + lowest], line[FLOORS + lowest]) = (print, tick);
        }
    }

    /// Moves all ticks back. What falls off the old end is raised to it: no floor sinks.
    fn turn(&mut self) {
        self.epoch = self.epoch.plus(Time(u64::from(START) * MS));
        for line in &mut self.lines {
            let ticks = line[FLOORS..].iter_mut().filter(|t| **t > 0);
            ticks.for_each(|t| *t = t.saturating_sub(START).max(1));
            line[0] = if line[0] > 0 { line[0].saturating_sub(START).max(1) } else { 0 };
        }
    }

    /// Bytes that it may come to take.
    pub fn bytes(&self) -> usize {
        self.lines.len() * BUCKET_BYTES
    }

    /// Floors folded since the last look; those under their bucket's floor cost nothing and don't count.
    pub fn take_folded(&mut self) -> u64 {
        std::mem::take(&mut self.folded)
    }

    /// Its words, for a snapshot: seed, epoch, then the lines that hold anything, each with its number.
    pub(crate) fn words(&self) -> (u64, Time, impl Iterator<Item = (u32, &[u32; LINE])>) {
        let used = self.lines.iter().enumerate().filter(|(_, line)| line.iter().any(|w| *w > 0));
        (self.seed, self.epoch, used.map(|(n, line)| (n as u32, line)))
    }

    /// A book from a snapshot's words; none if they don't fit its size.
    pub(crate) fn from_words(
        buckets: usize,
        seed: u64,
        epoch: Time,
        lines: impl Iterator<Item = (u32, [u32; LINE])>,
    ) -> Option<FloorTable> {
        if !buckets.is_power_of_two() {
            return None;
        }
        let mut book = FloorTable { lines: vec![[0; LINE]; buckets], seed, epoch, folded: 0 };
        for (n, line) in lines {
            *book.lines.get_mut(n as usize)? = line;
        }
        Some(book)
    }

    /// How many buckets there are.
    pub(crate) fn buckets(&self) -> usize {
        self.lines.len()
    }
}
