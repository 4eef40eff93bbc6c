//! Ids that carry the time at which their request was first made: UUIDs of version 7 (RFC 9562).

use basalthill_policy::api::Time;
use std::fmt;

/// A request's id, the same for all who ask for it again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(u128);

impl WriteId {
    /// Reads an id in its usual form, `01893b0a-6f1c-7abc-8def-0123456789ab`, in either case; none if it is
    /// no UUID of version 7.
    pub fn parse(text: &[u8]) -> Option<WriteId> {
        if text.len() != 36 {
            return None;
        }
        let mut id = 0u128;
        for (n, b) in text.iter().enumerate() {
            match (n, b) {
                (8 | 13 | 18 | 23, b'-') => {}
                (8 | 13 | 18 | 23, _) => return None,
                _ => id = id << 4 | u128::from(char::from(*b).to_digit(16)?),
            }
        }
        WriteId::new(id)
    }

    /// An id from its 128 bits; none if they are no UUID of version 7.
    pub fn new(bits: u128) -> Option<WriteId> {
        let (version, variant) = (bits >> 76 & 0xf, bits >> 62 & 0x3);
        (version == 7 && variant == 2).then_some(WriteId(bits))
    }

    /// When its request was first made, to the millisecond.
    pub fn made(self) -> Time {
        Time(((self.0 >> 80) as u64).saturating_mul(1_000_000))
    }

    /// Its bits.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Debug for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
