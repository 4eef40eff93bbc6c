//! Snapshots of the floor table, which preserve session floors across a restart.
//!
//! A graceful shutdown writes a snapshot with the floors of all sessions. After any other exit of the process
//! there is no snapshot, and the time of the next start is the floor of all sessions. A snapshot must
//! therefore be used only once: the process that reads it has to remove it before it handles its first
//! request.
//!
//! Format 1, all numbers big-endian:
//!
//! | field | bytes |
//! | --- | --- |
//! | magic number | 8 |
//! | format | 2 |
//! | length of the router's name | 2 |
//! | the router's name | the preceding length |
//! | time of writing, Unix time in nanoseconds | 8 |
//! | floor that covers all writes from before the table's creation, Unix time in nanoseconds | 8 |
//! | seed of the table's hash | 8 |
//! | epoch of the table, Unix time in nanoseconds | 8 |
//! | number of buckets of the table | 4 |
//! | number of buckets that follow | 4 |
//! | for each bucket: its index and its 16 words | 4 + 64 |
//! | SHA-256 of all preceding bytes | 32 |

use crate::floor_table::{FloorTable, NumberedBucket, BUCKET_BYTES, BUCKET_WORDS};
use crate::sessions::Sessions;
use basalthill_policy::api::Time;
use sha2::{Digest, Sha256};

/// The first bytes of every snapshot.
const MAGIC: &[u8; 8] = b"bhsessn\n";
/// The format version that is written, and the only one that can be read.
const FORMAT: u16 = 1;
/// Length of the checksum, in bytes.
const CHECKSUM_LEN: usize = 32;

/// The reason why a snapshot cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes do not begin with the magic number.
    #[error("not a snapshot of sessions")]
    NotASnapshot,
    /// The format of the snapshot is not supported.
    #[error("snapshot format {0} is not supported, only format {FORMAT}")]
    UnknownFormat(u16),
    /// The snapshot is incomplete, or its checksum does not match.
    #[error("snapshot is incomplete or corrupt: its checksum does not match")]
    Corrupt,
    /// The snapshot was written by another router, whose name this is.
    #[error("snapshot was written by another router, {0:?}")]
    OtherRouter(String),
    /// The snapshot is older than allowed, or its time of writing is in the future; with its age, which is
    /// zero in the latter case.
    #[error("snapshot is too old or from the future: its age is {:.0} s", .0.secs())]
    Expired(Time),
    /// The table of the snapshot needs more memory than this router's table may take; with the memory needed,
    /// in bytes.
    #[error("snapshot needs {0} bytes of memory, more than this router's table may take")]
    TooLarge(usize),
}

/// The fields between the format and the buckets.
struct Header {
    router: String,
    written_at: Time,
    initial_floor: Time,
    seed: u64,
    epoch: Time,
    bucket_count: usize,
    used_buckets: u32,
}

/// Encodes the floors of all sessions before the process exits. The outcome of writes that have not completed
/// counts as unknown, because they may commit after the exit.
pub fn write(sessions: &mut Sessions, now: Time, router: &str) -> Vec<u8> {
    sessions.settle_all(now);
    let table = sessions.table();
    let mut out = Vec::with_capacity(1024);
    out.extend(MAGIC);
    out.extend(FORMAT.to_be_bytes());
    let name = &router.as_bytes()[..router.len().min(usize::from(u16::MAX))];
    out.extend((name.len() as u16).to_be_bytes());
    out.extend(name);
    out.extend(now.0.to_be_bytes());
    out.extend(sessions.initial_floor().0.to_be_bytes());
    out.extend(table.seed().to_be_bytes());
    out.extend(table.epoch().0.to_be_bytes());
    out.extend((table.bucket_count() as u32).to_be_bytes());
    put_buckets(&mut out, table);
    let checksum = Sha256::digest(&out);
    out.extend(checksum);
    out
}

/// Appends the number of used buckets and then each used bucket.
fn put_buckets(out: &mut Vec<u8>, table: &FloorTable) {
    let count_at = out.len();
    out.extend([0; 4]);
    let mut count = 0u32;
    for bucket in table.used_buckets() {
        count += 1;
        out.extend(bucket.index.to_be_bytes());
        for word in bucket.words {
            out.extend(word.to_be_bytes());
        }
    }
    out[count_at..count_at + 4].copy_from_slice(&count.to_be_bytes());
}

/// Replaces the floors of a router's sessions by those of a snapshot.
///
/// # Errors
///
/// Returns an error if the bytes are not a snapshot of the supported format, or if the snapshot is incomplete
/// or corrupt, was written by another router, in the future or more than `max_age` ago, or has a larger table
/// than this router may have. In that case `sessions` is unchanged.
pub fn restore(
    sessions: &mut Sessions,
    now: Time,
    router: &str,
    max_age: Time,
    bytes: &[u8],
) -> Result<(), SnapshotError> {
    let mut reader = verified_reader(bytes)?;
    let header = reader.header().ok_or(SnapshotError::Corrupt)?;
    if header.router != router {
        return Err(SnapshotError::OtherRouter(header.router));
    }
    let age = now.since(header.written_at);
    if age > max_age || header.written_at > now {
        return Err(SnapshotError::Expired(age));
    }
    let table_bytes = header.bucket_count.saturating_mul(BUCKET_BYTES);
    if table_bytes > sessions.table_bytes() {
        return Err(SnapshotError::TooLarge(table_bytes));
    }
    let used: Option<Vec<NumberedBucket>> = (0..header.used_buckets).map(|_| reader.bucket()).collect();
    let used = used.ok_or(SnapshotError::Corrupt)?;
    let table = FloorTable::from_buckets(header.bucket_count, header.seed, header.epoch, used);
    sessions.restore(table.ok_or(SnapshotError::Corrupt)?, header.initial_floor);
    Ok(())
}

/// Checks the magic number, the format and the checksum. Returns a reader positioned after the format.
fn verified_reader(bytes: &[u8]) -> Result<Reader<'_>, SnapshotError> {
    let content = bytes.strip_prefix(MAGIC).ok_or(SnapshotError::NotASnapshot)?;
    let mut reader = Reader { unread: content };
    match reader.u16() {
        Some(FORMAT) => {}
        Some(other) => return Err(SnapshotError::UnknownFormat(other)),
        None => return Err(SnapshotError::Corrupt),
    }
    let checksum_at = bytes.len().checked_sub(CHECKSUM_LEN).ok_or(SnapshotError::Corrupt)?;
    let (summed, checksum) = bytes.split_at(checksum_at);
    if Sha256::digest(summed)[..] != *checksum {
        return Err(SnapshotError::Corrupt);
    }
    Ok(reader)
}

/// Reads the fields of a snapshot in order. Its methods return `None` if the snapshot is too short.
struct Reader<'a> {
    unread: &'a [u8],
}

impl<'a> Reader<'a> {
    fn bytes(&mut self, len: usize) -> Option<&'a [u8]> {
        let (field, rest) = self.unread.split_at_checked(len)?;
        self.unread = rest;
        Some(field)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.array()?))
    }

    fn header(&mut self) -> Option<Header> {
        let name_len = usize::from(self.u16()?);
        Some(Header {
            router: String::from_utf8_lossy(self.bytes(name_len)?).into_owned(),
            written_at: Time(self.u64()?),
            initial_floor: Time(self.u64()?),
            seed: self.u64()?,
            epoch: Time(self.u64()?),
            bucket_count: self.u32()? as usize,
            used_buckets: self.u32()?,
        })
    }

    fn bucket(&mut self) -> Option<NumberedBucket> {
        let index = self.u32()?;
        let mut words = [0; BUCKET_WORDS];
        for word in &mut words {
            *word = self.u32()?;
        }
        Some(NumberedBucket { index, words })
    }
}
