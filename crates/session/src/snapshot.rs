//! The book over a restart. What a stop in good order has written down is all that there is to know; after
//! any other end there is no snapshot, and the start is the floor of all. So a snapshot counts once: whoever
//! reads it removes it before the first request.
//!
//! Format 1, all big-endian: magic, format (u16), length of the router's name (u16), name, when written
//! (u64), floor of what the book can't know (u64), seed (u64), epoch (u64), buckets (u32), lines (u32), each
//! line with its number (u32) and 16 words; last the SHA-256 of all before.

use crate::book::{FloorTable, BUCKET_BYTES};
use crate::sessions::Sessions;
use basalthill_policy::api::Time;
use sha2::{Digest, Sha256};
use std::fmt;

const MAGIC: &[u8; 8] = b"bhsessn\n";
const FORMAT: u16 = 1;
const SUM: usize = 32;

/// Why a snapshot is not taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is not a snapshot of sessions.
    Foreign,
    /// It is of a format that is not known here.
    Format(u16),
    /// It is cut off, or its checksum does not fit.
    Torn,
    /// It is another router's.
    Router(String),
    /// It was written longer ago than allowed, or later than now.
    Old(Time),
    /// Its book takes more memory than this router gives it.
    Large(usize),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Foreign => write!(f, "is no snapshot of sessions"),
            Refused::Format(n) => write!(f, "is of format {n}, and {FORMAT} is known here"),
            Refused::Torn => write!(f, "is torn: its checksum does not fit"),
            Refused::Router(name) => write!(f, "is of router {name:?}"),
            Refused::Old(age) => write!(f, "is {:.0} s old", age.secs()),
            Refused::Large(bytes) => write!(f, "needs {bytes} bytes of memory"),
        }
    }
}

/// Writes down what is remembered, as the process ends. Writes that are still out go down as in doubt: they
/// may commit after it.
pub fn write(sessions: &mut Sessions, now: Time, router: &str) -> Vec<u8> {
    sessions.settle(now);
    let (book, initial) = sessions.remembered();
    let (seed, epoch, lines) = book.words();
    let name = &router.as_bytes()[..router.len().min(usize::from(u16::MAX))];
    let mut out = Vec::with_capacity(1024);
    out.extend(MAGIC);
    out.extend(FORMAT.to_be_bytes());
    out.extend((name.len() as u16).to_be_bytes());
    out.extend(name);
    for n in [now.0, initial.0, seed, epoch.0] {
        out.extend(n.to_be_bytes());
    }
    out.extend((book.buckets() as u32).to_be_bytes());
    let count_at = out.len();
    out.extend([0; 4]);
    let mut count = 0u32;
    for (number, line) in lines {
        count += 1;
        out.extend(number.to_be_bytes());
        line.iter().for_each(|word| out.extend(word.to_be_bytes()));
    }
    out[count_at..count_at + 4].copy_from_slice(&count.to_be_bytes());
    let sum = Sha256::digest(&out);
    out.extend(sum);
    out
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let (part, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(part)
    }
    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }
    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.array()?))
    }
    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.array()?))
    }
}

/// Takes over a snapshot that this router has written at a stop in good order, `max_age` ago at most.
pub fn restore(
    sessions: &mut Sessions,
    now: Time,
    router: &str,
    max_age: Time,
    bytes: &[u8],
) -> Result<(), Refused> {
    let Some(rest) = bytes.strip_prefix(MAGIC) else { return Err(Refused::Foreign) };
    let mut c = Cursor(rest);
    match c.u16() {
        Some(FORMAT) => {}
        Some(other) => return Err(Refused::Format(other)),
        None => return Err(Refused::Torn),
    }
    let sound = bytes.len().checked_sub(SUM).filter(|at| Sha256::digest(&bytes[..*at])[..] == bytes[*at..]);
    if sound.is_none() {
        return Err(Refused::Torn);
    }
    let read = |c: &mut Cursor| {
        let len = usize::from(c.u16()?);
        let name = String::from_utf8_lossy(c.bytes(len)?).into_owned();
        let (written, initial) = (Time(c.u64()?), Time(c.u64()?));
        let (seed, epoch) = (c.u64()?, Time(c.u64()?));
        Some((name, written, initial, seed, epoch, c.u32()? as usize, c.u32()?))
    };
    let (name, written, initial, seed, epoch, buckets, count) = read(&mut c).ok_or(Refused::Torn)?;
    if name != router {
        return Err(Refused::Router(name));
    }
    if now.since(written) > max_age || written > now {
        return Err(Refused::Old(now.since(written)));
    }
    let bytes = buckets.saturating_mul(BUCKET_BYTES);
    if bytes > sessions.table_bytes() {
        return Err(Refused::Large(bytes));
    }
    let mut lines = Vec::new();
    for _ in 0..count {
        let line = c.u32().and_then(|number| {
            let mut line = [0; 16];
            for word in &mut line {
                *word = c.u32()?;
            }
            Some((number, line))
        });
        lines.push(line.ok_or(Refused::Torn)?);
    }
    let book = FloorTable::from_words(buckets, seed, epoch, lines.into_iter()).ok_or(Refused::Torn)?;
    sessions.recall(book, initial);
    Ok(())
}
