//! Fixed values of the hash functions. Routers of different builds must agree on them.

use super::*;
use crate::limit::LimitKey;
use crate::roster::{Peer, Roster};
use std::net::SocketAddr;

fn roster_of(count: usize) -> Roster {
    let peers = (0..count).map(|n| Peer {
        name: format!("n{n}"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: None,
    });
    Roster::new(peers.collect()).expect("the names are distinct")
}

#[test]
fn ids_and_keys_keep_their_values() {
    assert_eq!(NodeId::of("n1"), NodeId(0xf8e4_6110_455c_6e53));
    assert_eq!(LimitKey::global("acme"), LimitKey { limit: 0x130a_7622_2d44_27ef, member: 0 });
    assert_eq!(LimitKey::at_member("hosts", "h1").member, 0xf624_345c_22e2_01c5);
}

#[test]
fn voters_and_quotas_keep_their_values() {
    let roster = roster_of(9);
    assert_eq!(roster.digest(), 0x82bf_a60c);
    let voters: Vec<String> = roster.voters(NodeId::of("n1")).into_iter().map(|id| roster.name(id)).collect();
    assert_eq!(voters, ["n1", "n5", "n8", "n3", "n7", "n4", "n0"]);
    let key = LimitKey::global("acme").rendezvous_key();
    let quotas: Vec<u64> = roster.ids().map(|id| roster.quota(1_000_004, id, key)).collect();
    assert_eq!(quotas, [111_111, 111_111, 111_112, 111_112, 111_112, 111_111, 111_111, 111_112, 111_112]);
}
