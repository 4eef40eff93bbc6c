//! Tokens: a session's floors in a client's hands.
//!
//! Version 1, before base64url without padding: version (1 byte), key id (1), session tag (4), issued
//! (6, Unix milliseconds), count of groups with the high bit set if a floor of the rest follows (1), that
//! floor, then each group and its floor; last 16 bytes of HMAC-SHA-256 over all before and the session's
//! name. Groups are varints; floors are zigzag varints of milliseconds from `issued`, rounded up. What it
//! says is no secret.

use crate::floors::{GroupFloors, MAX_GROUPS};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const VERSION: u8 = 1;
const HEAD: usize = 13;
const MAC: usize = 16;
/// The longest token, as text: eight groups, each of 5 bytes and a floor of 10, and the rest.
pub const MAX_TOKEN_LEN: usize = (HEAD + (MAX_GROUPS + 1) * 15 + MAC) * 4 / 3 + 4;
const REST: u8 = 0x80;
const MS: u64 = 1_000_000;

/// A key's number, as tokens name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u8);

/// A secret that an installation's routers share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Its number.
    pub id: KeyId,
    secret: Vec<u8>,
}

/// Fewest bytes of a secret.
pub const MIN_SECRET_LEN: usize = 16;

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({}, ...)", self.id.0) // a secret never gets into a log
    }
}

impl Key {
    /// A key; none if the secret has fewer than [`MIN_SECRET_LEN`] bytes.
    pub fn new(id: KeyId, secret: Vec<u8>) -> Option<Key> {
        (secret.len() >= MIN_SECRET_LEN).then_some(Key { id, secret })
    }

    fn mac(&self, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        parts.iter().for_each(|part| mac.update(part));
        Some(mac)
    }

    /// HMAC-SHA-256 of the parts one after the other.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).map_or([0; 32], |mac| mac.finalize().into_bytes().into())
    }

    /// Whether this key made the first bytes of a [`Key::sign`] of the parts; compared in constant time.
    pub fn verifies(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac(parts).is_some_and(|made| made.verify_truncated_left(mac).is_ok())
    }
}

/// The keys in force: one signs, all verify.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRing {
    /// The one that signs.
    pub signing: Key,
    /// Others whose tokens still count.
    pub verifying: Vec<Key>,
    /// A token counts for this long after it was issued.
    pub max_age: Time,
}

/// A session as tokens know it.
#[derive(Clone, Copy, Debug)]
pub struct SessionIdentity<'a> {
    /// Its name, as the client gives it.
    pub name: &'a [u8],
    /// Its number.
    pub key: SessionKey,
}

impl SessionIdentity<'_> {
    fn tag(&self) -> [u8; 4] {
        (self.key.0 as u32).to_be_bytes()
    }
}

/// Why a token does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// It can't be read, or its version is not known here.
    Malformed,
    /// Its key is not among those in force.
    UnknownKey,
    /// Its key did not make it, or not so.
    Forged,
    /// It is another session's.
    OtherSession,
    /// It was issued too long ago.
    Expired,
    /// It was issued later than the clocks' skew allows.
    IssuedInFuture,
}

fn put_varint(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut n = 0u64;
    for shift in (0..64).step_by(7) {
        let (&b, rest) = bytes.split_first()?;
        *bytes = rest;
        n |= u64::from(b & 0x7f).checked_shl(shift)?;
        if b < 0x80 {
            return Some(n);
        }
    }
    None
}

fn put_floor(out: &mut Vec<u8>, floor: Time, issued_ms: u64) {
    let off = floor.0.div_ceil(MS) as i64 - issued_ms as i64;
    put_varint(out, ((off << 1) ^ (off >> 63)) as u64);
}

fn floor(bytes: &mut &[u8], issued_ms: u64) -> Option<Time> {
    let n = varint(bytes)?;
    let off = (n >> 1) as i64 ^ -((n & 1) as i64);
    let ms = (issued_ms as i64).checked_add(off).and_then(|ms| u64::try_from(ms).ok())?;
    Some(Time(ms.saturating_mul(MS)))
}

/// Writes a session's floors down, signed.
pub fn issue(keys: &KeyRing, now: Time, owner: SessionIdentity, floors: &GroupFloors) -> String {
    let issued = now.0 / MS;
    let mut out = Vec::with_capacity(64);
    out.extend([VERSION, keys.signing.id.0]);
    out.extend(owner.tag());
    out.extend_from_slice(&issued.to_be_bytes()[2..]);
    let rest = if floors.rest() > Time(0) { REST } else { 0 };
    out.push(floors.groups().len() as u8 | rest);
    if rest != 0 {
        put_floor(&mut out, floors.rest(), issued);
    }
    for (group, at) in floors.groups() {
        put_varint(&mut out, u64::from(group.0));
        put_floor(&mut out, *at, issued);
    }
    let mac = keys.signing.sign(&[&out, owner.name]);
    out.extend_from_slice(&mac[..MAC]);
    URL_SAFE_NO_PAD.encode(out)
}

/// Reads a token that a session has brought. `skew` is what clocks may be apart.
pub fn verify(
    keys: &KeyRing,
    now: Time,
    skew: Time,
    owner: SessionIdentity,
    text: &[u8],
) -> Result<GroupFloors, TokenError> {
    if text.len() > MAX_TOKEN_LEN {
        return Err(TokenError::Malformed);
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
    if bytes.len() < HEAD + MAC || bytes[0] != VERSION {
        return Err(TokenError::Malformed);
    }
    let (body, mac) = bytes.split_at(bytes.len() - MAC);
    let mut known = std::iter::once(&keys.signing).chain(&keys.verifying);
    let key = known.find(|k| k.id.0 == body[1]).ok_or(TokenError::UnknownKey)?;
    if body[2..6] != owner.tag() {
        return Err(TokenError::OtherSession);
    }
    if !key.verifies(&[body, owner.name], mac) {
        return Err(TokenError::Forged);
    }
    let issued = body[6..12].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
    let at = Time(issued * MS);
    if now.since(at) > keys.max_age {
        return Err(TokenError::Expired);
    }
    if at.since(now) > skew {
        return Err(TokenError::IssuedInFuture);
    }
    read(body, issued).ok_or(TokenError::Malformed)
}

/// The floors of a body whose signature is right.
fn read(body: &[u8], issued: u64) -> Option<GroupFloors> {
    let (count, mut left) = (body[12], &body[HEAD..]);
    let mut floors = GroupFloors::default();
    if count & REST != 0 {
        floors.fold(floor(&mut left, issued)?);
    }
    for _ in 0..count & !REST {
        let group = GroupId(u32::try_from(varint(&mut left)?).ok()?);
        floors.raise(group, floor(&mut left, issued)?);
    }
    left.is_empty().then_some(floors)
}
