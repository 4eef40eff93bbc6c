//! Ids of writes: UUIDs of version 7 (RFC 9562), whose first 48 bits are the Unix time in milliseconds at
//! which the request was first made.

use basalthill_policy::api::Time;
use std::fmt;

/// Characters of an id's text form.
const TEXT_LEN: usize = 36;
/// The version of UUID that begins with a time.
const VERSION: u128 = 7;
/// The variant of UUID that RFC 9562 describes.
const VARIANT: u128 = 2;
/// Nanoseconds of a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// The id of a write, the same for every attempt to have it decided.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(u128);

impl WriteId {
    /// Parses the usual text form, `01893b0a-6f1c-7abc-8def-0123456789ab`, in either case; none if the text
    /// is no UUID of version 7.
    pub fn parse(text: &[u8]) -> Option<WriteId> {
        if text.len() != TEXT_LEN {
            return None;
        }
        let mut bits = 0u128;
        for (index, &byte) in text.iter().enumerate() {
            let is_hyphen_place = matches!(index, 8 | 13 | 18 | 23);
            match (is_hyphen_place, byte) {
                (true, b'-') => {}
                (true, _) => return None,
                (false, digit) => bits = bits << 4 | u128::from(char::from(digit).to_digit(16)?),
            }
        }
        WriteId::new(bits)
    }

    /// An id of 128 bits; none if they are no UUID of version 7.
    pub fn new(bits: u128) -> Option<WriteId> {
        let version = bits >> 76 & 0xf;
        let variant = bits >> 62 & 0x3;
        (version == VERSION && variant == VARIANT).then_some(WriteId(bits))
    }

    /// When the request was first made, to the millisecond (Unix time).
    pub fn created_at(self) -> Time {
        let ms = (self.0 >> 80) as u64;
        Time(ms.saturating_mul(NANOS_PER_MS))
    }

    /// The 128 bits.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
