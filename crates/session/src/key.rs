//! Secret keys that sign and verify session tokens and the datagrams between routers. All routers of an
//! installation have the same keys.

use basalthill_policy::api::Time;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// The number of a key, which tokens and datagrams carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u8);

/// A secret key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// The key's number.
    pub id: KeyId,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret must not appear in logs.
        write!(f, "Key({}, ...)", self.id.0)
    }
}

impl Key {
    /// Creates a key. Returns `None` if the secret has fewer than [`MIN_SECRET_LEN`] bytes.
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

    /// Returns the HMAC-SHA-256 of the concatenated parts.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).map_or([0; 32], |mac| mac.finalize().into_bytes().into())
    }

    /// Returns whether `signature` is a prefix of what [`Key::sign`] returns for the parts. The comparison
    /// takes constant time.
    pub fn verifies(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).is_some_and(|mac| mac.verify_truncated_left(signature).is_ok())
    }
}

/// The keys that a router accepts. One of them signs, and all of them verify.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRing {
    /// The key that signs and verifies.
    pub signing: Key,
    /// Further keys that only verify.
    pub verifying: Vec<Key>,
    /// Time for which a session token is valid after it was issued. Datagrams have no such limit.
    pub max_age: Time,
}

impl KeyRing {
    /// Returns the key with this number, or `None` if the ring does not contain it.
    pub fn find(&self, id: KeyId) -> Option<&Key> {
        std::iter::once(&self.signing).chain(&self.verifying).find(|key| key.id == id)
    }
}
