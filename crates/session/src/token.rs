//! Session tokens: the signed floors of a session, which its client receives and sends back.
//!
//! A token is the following bytes (format 1), encoded as base64url without padding:
//!
//! | field | bytes | content |
//! | --- | --- | --- |
//! | version | 1 | 1 |
//! | key id | 1 | the number of the signing key |
//! | session tag | 4 | the low 32 bits of the session's key, big-endian |
//! | issued | 6 | time of issue, Unix time in milliseconds, big-endian |
//! | groups | 1 | number of groups; the high bit is set if a floor of all other groups follows |
//! | other groups | 0 to 10 | the floor of all other groups |
//! | each group | 2 to 15 | the group's number and floor |
//! | signature | 16 | the first bytes of the HMAC-SHA-256 of all preceding bytes and the session's name |
//!
//! Group numbers are varints. Floors are zigzag varints: milliseconds after `issued`, rounded up. Tokens are
//! signed but not encrypted: their content is not secret.

use crate::group_floors::{GroupFloors, MAX_GROUPS};
use basalthill_policy::api::{GroupId, SessionKey, Time};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;

pub use crate::key::{Key, KeyId, KeyRing, MIN_SECRET_LEN};

/// The format version, the first byte of a token.
const VERSION: u8 = 1;
/// Length of the fields before the first floor, in bytes.
const HEADER_LEN: usize = 13;
/// Length of the signature, in bytes.
const SIGNATURE_LEN: usize = 16;
/// Maximum length of a group's number and floor, in bytes: a varint of 32 bits and one of 64 bits.
const MAX_GROUP_LEN: usize = 5 + 10;
/// Maximum length of an encoded token, in characters, with [`MAX_GROUPS`] groups and the floor of all others.
pub const MAX_TOKEN_LEN: usize = (HEADER_LEN + (MAX_GROUPS + 1) * MAX_GROUP_LEN + SIGNATURE_LEN) * 4 / 3 + 4;
/// The bit of the group count that is set if a floor of all other groups follows.
const HAS_OTHER_GROUPS: u8 = 0x80;
/// Nanoseconds per millisecond, the unit of encoded times.
const NANOS_PER_MS: u64 = 1_000_000;

/// The identity of a session, to which its tokens are bound.
#[derive(Clone, Copy, Debug)]
pub struct SessionIdentity<'a> {
    /// The session's name, as the client sends it.
    pub name: &'a [u8],
    /// The session's key.
    pub key: SessionKey,
}

impl SessionIdentity<'_> {
    /// Returns the session tag: the part of the session's key that tokens carry.
    fn tag(&self) -> [u8; 4] {
        (self.key.0 as u32).to_be_bytes()
    }
}

/// The reason why a token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The token cannot be decoded, or its version is unknown.
    #[error("the token cannot be decoded")]
    Malformed,
    /// The key that signed the token is not in the key ring.
    #[error("the token's key is unknown")]
    UnknownKey,
    /// The signature does not match the token's content and the session's name.
    #[error("the token's signature does not match")]
    Forged,
    /// The token was issued to another session.
    #[error("the token belongs to another session")]
    OtherSession,
    /// The token was issued longer ago than [`KeyRing::max_age`].
    #[error("the token has expired")]
    Expired,
    /// The token was issued later than now by more than the clock skew.
    #[error("the token was issued in the future")]
    IssuedInFuture,
}

/// Encodes and signs the floors of a session, in the format that the module's documentation describes.
pub fn issue(keys: &KeyRing, now: Time, session: SessionIdentity, floors: &GroupFloors) -> String {
    let issued_ms = now.0 / NANOS_PER_MS;
    let mut out = Vec::with_capacity(64);
    out.extend([VERSION, keys.signing.id.0]);
    out.extend(session.tag());
    out.extend_from_slice(&issued_ms.to_be_bytes()[2..]);
    put_floors(&mut out, floors, issued_ms);
    let signature = keys.signing.sign(&[&out, session.name]);
    out.extend_from_slice(&signature[..SIGNATURE_LEN]);
    URL_SAFE_NO_PAD.encode(out)
}

/// Decodes and verifies a token that was sent with a request of a session. `skew` is the maximum difference
/// between the clocks of the routers.
///
/// # Errors
///
/// Returns a [`TokenError`] if the token is not valid. For a token with several faults, the error is that of
/// the first check that fails. The order of the checks is: length, encoding and version; key; session tag;
/// signature; age; time of issue; floors.
pub fn verify(
    keys: &KeyRing,
    now: Time,
    skew: Time,
    session: SessionIdentity,
    text: &[u8],
) -> Result<GroupFloors, TokenError> {
    if text.len() > MAX_TOKEN_LEN {
        return Err(TokenError::Malformed);
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
    if bytes.len() < HEADER_LEN + SIGNATURE_LEN || bytes[0] != VERSION {
        return Err(TokenError::Malformed);
    }
    let (body, signature) = bytes.split_at(bytes.len() - SIGNATURE_LEN);
    let key = keys.find(KeyId(body[1])).ok_or(TokenError::UnknownKey)?;
    if body[2..6] != session.tag() {
        return Err(TokenError::OtherSession);
    }
    if !key.verifies(&[body, session.name], signature) {
        return Err(TokenError::Forged);
    }
    let issued_ms = body[6..12].iter().fold(0u64, |ms, byte| ms << 8 | u64::from(*byte));
    let issued_at = Time(issued_ms * NANOS_PER_MS);
    if now.since(issued_at) > keys.max_age {
        return Err(TokenError::Expired);
    }
    if issued_at.since(now) > skew {
        return Err(TokenError::IssuedInFuture);
    }
    read_floors(body, issued_ms).ok_or(TokenError::Malformed)
}

/// Appends the number of groups, the floor of all other groups, and each group with its floor.
fn put_floors(out: &mut Vec<u8>, floors: &GroupFloors, issued_ms: u64) {
    let has_other_groups = floors.other_groups() > Time(0);
    let count = floors.by_group().len() as u8;
    out.push(if has_other_groups { count | HAS_OTHER_GROUPS } else { count });
    if has_other_groups {
        put_floor(out, floors.other_groups(), issued_ms);
    }
    for entry in floors.by_group() {
        put_varint(out, u64::from(entry.group.0));
        put_floor(out, entry.floor, issued_ms);
    }
}

/// Decodes the floors of a body whose signature is valid. Returns `None` if the body is too short or too long
/// for them, or if a number in it is out of range.
fn read_floors(body: &[u8], issued_ms: u64) -> Option<GroupFloors> {
    let count = body[HEADER_LEN - 1];
    let mut unread = &body[HEADER_LEN..];
    let mut floors = GroupFloors::default();
    if count & HAS_OTHER_GROUPS != 0 {
        floors.raise_other_groups(read_floor(&mut unread, issued_ms)?);
    }
    for _ in 0..count & !HAS_OTHER_GROUPS {
        let group = u32::try_from(read_varint(&mut unread)?).ok()?;
        let floor = read_floor(&mut unread, issued_ms)?;
        floors.raise(GroupId(group), floor);
    }
    unread.is_empty().then_some(floors)
}

/// Appends a floor, rounded up to a millisecond.
fn put_floor(out: &mut Vec<u8>, floor: Time, issued_ms: u64) {
    let offset = floor.0.div_ceil(NANOS_PER_MS) as i64 - issued_ms as i64;
    let zigzag = (offset << 1) ^ (offset >> 63);
    put_varint(out, zigzag as u64);
}

/// Reads a floor from the front of `bytes`, and removes it from there.
fn read_floor(bytes: &mut &[u8], issued_ms: u64) -> Option<Time> {
    let zigzag = read_varint(bytes)?;
    let offset = (zigzag >> 1) as i64 ^ -((zigzag & 1) as i64);
    let floor_ms = (issued_ms as i64).checked_add(offset)?;
    let floor_ms = u64::try_from(floor_ms).ok()?;
    Some(Time(floor_ms.saturating_mul(NANOS_PER_MS)))
}

/// Appends a number as a varint: seven bits per byte, the lowest bits first. The high bit of a byte is set if
/// another byte follows.
fn put_varint(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

/// Reads a varint from the front of `bytes`, and removes it from there.
fn read_varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..64).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u64::from(byte & 0x7f).checked_shl(shift)?;
        if byte < 0x80 {
            return Some(number);
        }
    }
    None
}
