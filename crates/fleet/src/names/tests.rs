use super::*;

pub(crate) fn names(count: usize) -> Roster {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let peers = (0..count).map(|n| Peer { name: format!("n{n}"), addr, zone: None }).collect();
    Roster::new(peers).expect("names that differ")
}

#[test]
fn parts_add_up_to_the_whole_and_differ_by_one_at_most() {
    for count in [1, 2, 7, 24] {
        let names = names(count);
        for units in [0, 1, 5, 23, 24, 1000, 1_000_000] {
            for what in [3, 77] {
                let parts: Vec<u64> = names.ids().map(|t| names.quota(units, t, what)).collect();
                assert_eq!(parts.iter().sum::<u64>(), units);
                assert!(parts.iter().max().unwrap_or(&0) - parts.iter().min().unwrap_or(&0) <= 1);
            }
        }
    }
}

#[test]
fn guardians_are_odd_in_number_and_hold_the_name_itself() {
    for (count, wanted) in [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (8, 7), (24, 7)] {
        let names = names(count);
        for slot in names.ids() {
            let voters = names.voters(slot);
            assert_eq!((voters.len(), voters[0]), (wanted, slot));
            let mut all = voters.clone();
            all.sort_unstable();
            all.dedup();
            assert_eq!(all.len(), wanted);
        }
    }
}

#[test]
fn a_name_more_changes_one_guardian_of_a_slot_at_most() {
    let (old, new) = (names(24), names(25));
    for slot in old.ids() {
        let after = new.voters(slot);
        assert!(old.voters(slot).iter().filter(|g| !after.contains(g)).count() <= 1);
    }
}
