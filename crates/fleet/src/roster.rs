//! The roster: the routers of a fleet, with the names that the settings give them.
//!
//! A router that is not on the roster does not belong to the fleet. Which routers are alive is determined by
//! [`crate::swim`].

use crate::hash::{mix_bits, rendezvous_weight, stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A router's id: the hash of its name. Packets carry the id, not the name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the id of the router with this name.
    pub fn of(name: &str) -> NodeId {
        NodeId(stable_hash(name.as_bytes()))
    }
}

/// A router of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The router's name.
    pub name: String,
    /// Its UDP address as seen from this router.
    pub addr: SocketAddr,
    /// Its zone, if the settings name one.
    pub zone: Option<String>,
}

/// The reason why a list of routers is not a valid roster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// Two routers have the same id, because of equal names or a hash collision.
    #[error("routers {first:?} and {second:?} have the same id")]
    DuplicateId {
        /// The name of the router that is listed first.
        first: String,
        /// The name of the other router.
        second: String,
    },
}

/// The routers of a fleet, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    peers: BTreeMap<NodeId, Peer>,
    digest: u32,
}

/// The largest number of voters on the lease of an owner's quotas, including the owner. Seven voters tolerate
/// three failures.
pub const MAX_VOTERS: usize = 7;

impl Roster {
    /// Creates a roster of these routers.
    ///
    /// # Errors
    ///
    /// [`RosterError::DuplicateId`] if two of them have the same id.
    pub fn new(peers: Vec<Peer>) -> Result<Roster, RosterError> {
        let mut by_id = BTreeMap::<NodeId, Peer>::new();
        for peer in peers {
            let id = NodeId::of(&peer.name);
            if let Some(earlier) = by_id.get(&id) {
                return Err(RosterError::DuplicateId { first: earlier.name.clone(), second: peer.name });
            }
            by_id.insert(id, peer);
        }
        // Only names enter the digest: different routers may reach a router by different addresses.
        let count = by_id.len() as u64;
        let digest = by_id.keys().fold(count, |digest, id| mix_bits(digest ^ id.0)) as u32;
        Ok(Roster { peers: by_id, digest })
    }

    /// Returns a digest of the names. Rosters with different names have different digests, except for
    /// collisions.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the number of routers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether there are no routers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the ids of all routers, in ascending order.
    pub fn ids(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.peers.keys().copied()
    }

    /// Returns the router with this id.
    pub fn get(&self, id: NodeId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// Returns whether a router is on the roster.
    pub fn contains(&self, id: NodeId) -> bool {
        self.peers.contains_key(&id)
    }

    /// Returns the name of a router for logs and status output, or its id in hexadecimal if it is not on the
    /// roster.
    pub fn name(&self, id: NodeId) -> String {
        self.peers.get(&id).map_or_else(|| format!("({:016x})", id.0), |peer| peer.name.clone())
    }

    /// Returns the voters on the lease of the quotas of `owner`: the owner itself, and the other routers with
    /// the largest rendezvous weights for it. Their number is odd, so that when the voters are split in two,
    /// one side has a majority.
    pub fn voters(&self, owner: NodeId) -> Vec<NodeId> {
        let others = self.peers.len().saturating_sub(1);
        let mut weighted: Vec<(u64, NodeId)> =
            self.ids().filter(|id| *id != owner).map(|id| (rendezvous_weight(id, owner.0), id)).collect();
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        let other_voters = (MAX_VOTERS - 1).min(others / 2 * 2);
        let chosen = weighted.into_iter().take(other_voters).map(|(_, id)| id);
        std::iter::once(owner).chain(chosen).collect()
    }

    /// Returns the quota of `owner` when `units` are divided among all routers. Quotas differ by at most one
    /// unit and add up to `units`. If the division leaves a remainder, the routers that get one unit more
    /// differ from key to key.
    pub fn quota(&self, units: u64, owner: NodeId, key: u64) -> u64 {
        let count = self.peers.len() as u64;
        if count == 0 || !self.contains(owner) {
            return 0;
        }
        let own_rank = (rendezvous_weight(owner, key), owner);
        let higher_ranked =
            self.ids().filter(|id| (rendezvous_weight(*id, key), *id) > own_rank).count() as u64;
        units / count + u64::from(higher_ranked < units % count)
    }
}

#[cfg(test)]
mod tests;
