use super::*;

fn roster_of(count: usize) -> Roster {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let peers = (0..count).map(|n| Peer { name: format!("n{n}"), addr, zone: None }).collect();
    Roster::new(peers).expect("the names are distinct")
}

#[test]
fn quotas_add_up_to_all_units_and_differ_by_one_at_most() {
    for count in [1, 2, 7, 24] {
        let roster = roster_of(count);
        for units in [0, 1, 5, 23, 24, 1000, 1_000_000] {
            for key in [3, 77] {
                let quotas: Vec<u64> = roster.ids().map(|id| roster.quota(units, id, key)).collect();
                assert_eq!(quotas.iter().sum::<u64>(), units, "{count} routers");
                assert!(
                    quotas.iter().max().unwrap_or(&0) - quotas.iter().min().unwrap_or(&0) <= 1,
                    "{units} units are divided into {quotas:?}"
                );
            }
        }
    }
}

#[test]
fn voters_are_odd_in_number_and_include_the_owner() {
    for (count, expected) in [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (8, 7), (24, 7)] {
        let roster = roster_of(count);
        for owner in roster.ids() {
            let voters = roster.voters(owner);
            assert_eq!((voters.len(), voters[0]), (expected, owner), "{count} routers");
            let mut distinct = voters.clone();
            distinct.sort_unstable();
            distinct.dedup();
            assert_eq!(distinct.len(), expected, "a voter is listed twice in {voters:?}");
        }
    }
}

#[test]
fn adding_a_router_replaces_one_voter_of_an_owner_at_most() {
    let old = roster_of(24);
    let new = roster_of(25);
    for owner in old.ids() {
        let voters = new.voters(owner);
        let replaced = old.voters(owner).iter().filter(|voter| !voters.contains(voter)).count();
        assert!(replaced <= 1, "{replaced} voters of {owner:?} are replaced");
    }
}

#[test]
fn two_routers_with_the_same_name_are_rejected_by_name() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let peer = Peer { name: "n1".into(), addr, zone: None };
    let error = Roster::new(vec![peer.clone(), peer]).expect_err("the names are equal");
    assert_eq!(error, RosterError::DuplicateId { first: "n1".into(), second: "n1".into() });
}
