//! Hash functions that all routers of a fleet must agree on.
//!
//! Each router derives node ids, quotas, voters and coordinators from them on its own. They are part of the
//! wire protocol: routers that compute different values disagree on which routers form the fleet and on
//! their quotas.

use crate::roster::NodeId;

/// Offset basis of the 64-bit FNV-1a hash (Fowler, Noll, Vo).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of the bytes, mixed by [`mix_bits`]. It is the same at every router.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let fnv =
        bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    mix_bits(fnv)
}

/// Applies the finalizer of SplitMix64 (Steele, Lea, Flood 2014): inputs that differ in one bit give outputs
/// that differ in about half of their bits.
pub fn mix_bits(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// Returns the weight of a node for a key in rendezvous hashing (Thaler, Ravishankar 1998).
pub fn rendezvous_weight(node: NodeId, key: u64) -> u64 {
    mix_bits(node.0 ^ mix_bits(key))
}

/// Returns the node with the largest weight for a key, or `None` if there are no nodes. When that node is
/// removed, its keys move to the nodes with the next largest weight, and no other key moves.
pub fn rendezvous_winner(nodes: impl Iterator<Item = NodeId>, key: u64) -> Option<NodeId> {
    nodes.max_by_key(|node| (rendezvous_weight(*node, key), *node))
}

#[cfg(test)]
mod tests;
