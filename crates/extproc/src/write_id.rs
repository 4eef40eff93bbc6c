//! Ids of writes: UUIDs of version 7 (RFC 9562). Their first 48 bits are the time at which the request was
//! first made, as Unix time in milliseconds.

use basalthill_policy::api::Time;
use std::fmt;

/// Length of an id's text form, in characters.
const TEXT_LEN: usize = 36;
/// The UUID version whose first bits are a timestamp.
const VERSION: u128 = 7;
/// The UUID variant of RFC 9562.
const VARIANT: u128 = 2;
/// Nanoseconds per millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// The id of a write, which is the same in all calls for that write.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(u128);

impl WriteId {
    /// Parses the usual text form, `01893b0a-6f1c-7abc-8def-0123456789ab`, in upper or lower case. Returns
    /// `None` if the text is not a UUID of version 7.
    pub fn parse(text: &[u8]) -> Option<WriteId> {
        if text.len() != TEXT_LEN {
            return None;
        }
        let mut bits = 0u128;
        for (index, &byte) in text.iter().enumerate() {
            let is_hyphen_position = matches!(index, 8 | 13 | 18 | 23);
            match (is_hyphen_position, byte) {
                (true, b'-') => {}
                (true, _) => return None,
                (false, digit) => bits = bits << 4 | u128::from(char::from(digit).to_digit(16)?),
            }
        }
        WriteId::new(bits)
    }

    /// Creates an id from its 128 bits. Returns `None` if they are not a UUID of version 7.
    pub fn new(bits: u128) -> Option<WriteId> {
        let version = bits >> 76 & 0xf;
        let variant = bits >> 62 & 0x3;
        (version == VERSION && variant == VARIANT).then_some(WriteId(bits))
    }

    /// Returns the time at which the request was first made, to the millisecond (Unix time).
    pub fn created_at(self) -> Time {
        let ms = (self.0 >> 80) as u64;
        Time(ms.saturating_mul(NANOS_PER_MS))
    }

    /// Returns the 128 bits of the id.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
