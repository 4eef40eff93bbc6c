//! Encodes and authenticates datagrams with keys that all routers of an installation share.
//!
//! A datagram consists of the version (1 byte), the key's number (1 byte), 16 bytes of HMAC-SHA-256 over
//! these two and the body, and the body as encoded by postcard. The body is authenticated, not encrypted.

use crate::packet::{Payload, MAX_DATAGRAM, VERSION};
use basalthill_session::token::KeyRing;

/// The length of the header before the authentication code: the version and the key's number.
const HEADER_LEN: usize = 2;
/// The length of the authentication code: HMAC-SHA-256, truncated.
const MAC_LEN: usize = 16;

/// Encodes and decodes datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatagramCodec {
    keys: KeyRing,
}

/// The reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// The datagram is too short or too long, or can't be decoded.
    #[error("the datagram is malformed")]
    Malformed,
    /// The version of the format is not [`VERSION`].
    #[error("the datagram has an unsupported format version")]
    UnsupportedVersion,
    /// The datagram is signed by a key that is not configured.
    #[error("the datagram is signed by an unknown key")]
    UnknownKey,
    /// The datagram's authentication code is wrong.
    #[error("the datagram's authentication code is wrong")]
    Forged,
    /// The sender is not on the roster, or the packet is addressed to another router.
    #[error("the packet is from an unknown peer or for another router")]
    UnknownPeer,
    /// The packet is from an earlier incarnation of its sender, or addressed to one of this router.
    #[error("the packet is from or for another incarnation")]
    OtherIncarnation,
    /// The packet has been received before, or its sequence number is too old to check.
    #[error("the packet is a replay")]
    Replayed,
}

impl DropReason {
    /// Returns the name of the reason in the status output.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::Malformed => "malformed",
            DropReason::UnsupportedVersion => "version",
            DropReason::UnknownKey => "unknownkey",
            DropReason::Forged => "forged",
            DropReason::UnknownPeer => "stranger",
            DropReason::OtherIncarnation => "otherlife",
            DropReason::Replayed => "repeated",
        }
    }
}

impl DatagramCodec {
    /// Creates a codec with these keys. Their `max_age` is for session tokens and is ignored here.
    pub fn new(keys: KeyRing) -> DatagramCodec {
        DatagramCodec { keys }
    }

    /// Encodes and signs a payload.
    pub fn encode(&self, payload: &Payload) -> Vec<u8> {
        let body = postcard::to_allocvec(payload).unwrap_or_default();
        let header = [VERSION, self.keys.signing.id.0];
        let mac = self.keys.signing.sign(&[&header, &body]);
        [&header[..], &mac[..MAC_LEN], &body].concat()
    }

    /// Verifies and decodes a datagram. The cheapest checks are made first.
    ///
    /// # Errors
    ///
    /// Returns the reason for dropping the datagram.
    pub fn decode(&self, datagram: &[u8]) -> Result<Payload, DropReason> {
        if datagram.len() <= HEADER_LEN + MAC_LEN || datagram.len() > MAX_DATAGRAM {
            return Err(DropReason::Malformed);
        }
        let (header, rest) = datagram.split_at(HEADER_LEN);
        if header[0] != VERSION {
            return Err(DropReason::UnsupportedVersion);
        }
        let (mac, body) = rest.split_at(MAC_LEN);
        let mut keys = std::iter::once(&self.keys.signing).chain(&self.keys.verifying);
        let key = keys.find(|key| key.id.0 == header[1]).ok_or(DropReason::UnknownKey)?;
        if !key.verifies(&[header, body], mac) {
            return Err(DropReason::Forged);
        }
        match postcard::take_from_bytes::<Payload>(body) {
            Ok((payload, [])) => Ok(payload),
            _ => Err(DropReason::Malformed),
        }
    }
}

#[cfg(test)]
mod tests;
