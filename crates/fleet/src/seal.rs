//! Who may talk: datagrams are signed by a key that the installation's routers share, as tokens are.
//!
//! A datagram is the version (1 byte), the key's number (1), 16 bytes of HMAC-SHA-256 over all the rest with
//! those two, then what postcard writes. What it says is no secret.

use crate::packet::{Payload, MAX_DATAGRAM, VERSION};
use basalthill_session::token::KeyRing;

const HEAD: usize = 2;
const MAC: usize = 16;

/// Signs and checks datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatagramCodec {
    keys: KeyRing,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Too short, too long, or what it holds can't be read.
    Malformed,
    /// Of another version.
    Version,
    /// Its key is not among those in force.
    UnknownKey,
    /// Its key did not make it.
    Forged,
    /// From a name that is not on the list, or for another.
    Stranger,
    /// From an earlier life of its sender, or for one of this router.
    OtherLife,
    /// It has come before, or is too old to tell.
    Repeated,
}

impl DatagramCodec {
    /// A seal with these keys; their greatest age does not count here.
    pub fn new(keys: KeyRing) -> DatagramCodec {
        DatagramCodec { keys }
    }

    /// Signs what a datagram is to hold.
    pub fn encode(&self, content: &Payload) -> Vec<u8> {
        let body = postcard::to_allocvec(content).unwrap_or_default();
        let head = [VERSION, self.keys.signing.id.0];
        let mac = self.keys.signing.sign(&[&head, &body]);
        [&head[..], &mac[..MAC], &body].concat()
    }

    /// Checks a datagram and reads it. What costs little is looked at first.
    pub fn decode(&self, datagram: &[u8]) -> Result<Payload, DropReason> {
        if datagram.len() <= HEAD + MAC || datagram.len() > MAX_DATAGRAM {
            return Err(DropReason::Malformed);
        }
        let (head, rest) = datagram.split_at(HEAD);
        if head[0] != VERSION {
            return Err(DropReason::Version);
        }
        let (mac, body) = rest.split_at(MAC);
        let mut known = std::iter::once(&self.keys.signing).chain(&self.keys.verifying);
        let key = known.find(|k| k.id.0 == head[1]).ok_or(DropReason::UnknownKey)?;
        if !key.verifies(&[head, body], mac) {
            return Err(DropReason::Forged);
        }
        match postcard::take_from_bytes::<Payload>(body) {
            Ok((content, [])) => Ok(content),
            _ => Err(DropReason::Malformed),
        }
    }
}

/// Which packets of a peer's life have come: a window over their numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    highest: u64,
    /// Bit n: the one n below the highest has come.
    seen: u64,
}

impl Window {
    /// Whether a number is new; it is not from then on.
    pub fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let up = number - self.highest;
            self.seen = if up < 64 { self.seen << up | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let down = self.highest - number;
        let new = down < 64 && self.seen & (1 << down) == 0;
        if new {
            self.seen |= 1 << down;
        }
        new
    }
}

#[cfg(test)]
mod tests;
