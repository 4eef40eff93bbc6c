//! Secret keys, the same for all routers of an installation, to sign and to verify.

use basalthill_policy::api::Time;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// The fewest bytes of a secret.
pub const MIN_SECRET_LEN: usize = 16;

/// A key's number, which tokens carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u8);

/// A secret key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Its number.
    pub id: KeyId,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret must not get into a log.
        write!(f, "Key({}, ...)", self.id.0)
    }
}

impl Key {
    /// A key; none if the secret has fewer than [`MIN_SECRET_LEN`] bytes.
    pub fn new(id: KeyId, secret: Vec<u8>) -> Option<Key> {
        (secret.len() >= MIN_SECRET_LEN).then_some(Key { id, secret })
    }

    fn mac(&self, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        for part in parts {
            mac.update(part);
        }
        Some(mac)
    }

    /// The HMAC-SHA-256 of the concatenated parts.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).map_or([0; 32], |mac| mac.finalize().into_bytes().into())
    }

    /// Whether `signature` is the beginning of what [`Key::sign`] returns for the parts; compared in constant
    /// time.
    pub fn verifies(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).is_some_and(|mac| mac.verify_truncated_left(signature).is_ok())
    }
}

/// The keys in force: one signs, all verify.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRing {
    /// The key that signs.
    pub signing: Key,
    /// Further keys that verify.
    pub verifying: Vec<Key>,
    /// How long after it was issued a token is valid.
    pub max_age: Time,
}

impl KeyRing {
    /// The key of a number, if it is in force.
    pub fn find(&self, id: KeyId) -> Option<&Key> {
        std::iter::once(&self.signing).chain(&self.verifying).find(|key| key.id == id)
    }
}
