//! The routers of an installation, by the names that the settings give them. Nobody is in the fleet who
//! is not on the list; who of them is alive is for [`crate::swim`] to say.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A name in short, as it goes over the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The tag of a name.
    pub fn of(name: &str) -> NodeId {
        NodeId(stable_hash(name.as_bytes()))
    }
}

/// FNV-1a, mixed: bytes in, a number out that is the same at every router.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    mix_bits(
        bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)),
    )
}

/// The finisher of SplitMix64: numbers that differ in a bit differ in half of them.
pub fn mix_bits(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// How well a router fits something, by rendezvous hashing: the one that fits best has it, and when that one
/// goes, the next; nothing else moves.
pub fn rendezvous_weight(node: NodeId, key: u64) -> u64 {
    mix_bits(node.0 ^ mix_bits(key))
}

/// A router of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it is reached over UDP, from here.
    pub addr: SocketAddr,
    /// Its zone, if the list names one.
    pub zone: Option<String>,
}

/// Why a list of routers is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// Two names have the same id.
    #[error("two names have the same id")]
    DuplicateId,
}

/// The list of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    peers: BTreeMap<NodeId, Peer>,
    digest: u32,
}

/// How many routers watch over the share of each name.
pub const VOTERS_PER_QUOTA: usize = 7;

impl Roster {
    /// A list; none if two names are the same in short.
    pub fn new(peers: Vec<Peer>) -> Result<Roster, RosterError> {
        let count = peers.len();
        let peers: BTreeMap<NodeId, Peer> = peers.into_iter().map(|p| (NodeId::of(&p.name), p)).collect();
        // Addresses may differ from router to router; names may not.
        let digest = peers.keys().fold(count as u64, |digest, id| mix_bits(digest ^ id.0)) as u32;
        match peers.len() == count {
            true => Ok(Roster { peers, digest }),
            false => Err(RosterError::DuplicateId),
        }
    }

    /// A number that differs where the names do.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// All of them, in the order of their tags.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    /// A router of the list.
    pub fn get(&self, id: NodeId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// A router's name, for people.
    pub fn name(&self, id: NodeId) -> String {
        self.peers.get(&id).map_or_else(|| format!("({:016x})", id.0), |p| p.name.clone())
    }

    /// Those who watch over a name's share: itself, and those of the others that fit it best; an odd
    /// number, so that of two halves one always has more of them.
    pub fn voters(&self, slot: NodeId) -> Vec<NodeId> {
        let others = self.peers.len().saturating_sub(1);
        let mut fits: Vec<(u64, NodeId)> =
            self.ids().filter(|t| *t != slot).map(|t| (rendezvous_weight(t, slot.0), t)).collect();
        fits.sort_unstable_by(|a, b| b.cmp(a));
        let count = (VOTERS_PER_QUOTA - 1).min(others / 2 * 2);
        std::iter::once(slot).chain(fits.into_iter().take(count).map(|f| f.1)).collect()
    }

    /// Of these routers, those that fit something, the best first.
    pub fn by_fit(routers: impl Iterator<Item = NodeId>, what: u64) -> Vec<NodeId> {
        let mut fits: Vec<(u64, NodeId)> = routers.map(|t| (rendezvous_weight(t, what), t)).collect();
        fits.sort_unstable_by(|a, b| b.cmp(a));
        fits.into_iter().map(|f| f.1).collect()
    }

    /// A name's part of a number of units: all parts are equal but for the rest of the division, and add
    /// up to the whole. Who gets one of the rest differs from limit to limit.
    pub fn quota(&self, units: u64, owner: NodeId, key: u64) -> u64 {
        let count = self.peers.len() as u64;
        if count == 0 || !self.peers.contains_key(&owner) {
            return 0;
        }
        let mine = (rendezvous_weight(owner, key), owner);
        let before = self.ids().filter(|t| (rendezvous_weight(*t, key), *t) > mine).count() as u64;
        units / count + u64::from(before < units % count)
    }
}

#[cfg(test)]
mod tests;
