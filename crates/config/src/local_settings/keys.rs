//! The secret keys that sign session tokens and the datagrams of the fleet; all routers share them.

use super::kdl_reader::KdlReader;
use crate::{ConfigError, Problem};
use basalthill_policy::api::Time;
use basalthill_session::token::{Key, KeyId, KeyRing};
use kdl::KdlNode;

/// Reads the `key` nodes among a node's children. One of the keys signs; all of them verify.
pub(super) fn read(
    reader: &KdlReader,
    node: &KdlNode,
    parent: &str,
    max_age: Time,
) -> Result<KeyRing, ConfigError> {
    let path = format!("{parent}.key");
    let mut signing = None;
    let mut verifying = Vec::<Key>::new();
    for child in node.iter_children().filter(|child| child.name().value() == "key") {
        let (number, key) = read_key(reader, child, &path)?;
        if signing.iter().chain(&verifying).any(|other: &Key| other.id == key.id) {
            return Err(reader.node_error(child, &path, Problem::DuplicateKeyNumber { number }));
        }
        let signs = reader.flag(child, &format!("{path}.signs"), "signs")?;
        match (signs, &signing) {
            (true, None) => signing = Some(key),
            (true, Some(_)) => return Err(reader.node_error(child, &path, Problem::SeveralSigningKeys)),
            (false, _) => verifying.push(key),
        }
    }
    match signing {
        Some(signing) => Ok(KeyRing { signing, verifying, max_age }),
        None => Err(reader.node_error(node, parent, Problem::NoSigningKey)),
    }
}

/// Reads a key and its number.
fn read_key(reader: &KdlReader, node: &KdlNode, path: &str) -> Result<(u64, Key), ConfigError> {
    reader.check_entries(node, path, 2, &["signs"])?;
    let number = reader.integer(node, path, 0, 0..=255)?.unwrap_or_default();
    let unusable = || reader.node_error(node, path, Problem::UnusableSecret);
    let secret = decode_hex(reader.text(node, path, 1)?).ok_or_else(unusable)?;
    let key = Key::new(KeyId(number as u8), secret).ok_or_else(unusable)?;
    Ok((number, key))
}

/// Decodes bytes of two hexadecimal digits each; returns `None` if the text has anything else.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    text.as_bytes().chunks(2).map(decode_hex_pair).collect()
}

fn decode_hex_pair(pair: &[u8]) -> Option<u8> {
    // `from_str_radix` accepts a leading plus sign.
    let digits = std::str::from_utf8(pair).ok().filter(|text| text.len() == 2 && !text.starts_with('+'))?;
    u8::from_str_radix(digits, 16).ok()
}
