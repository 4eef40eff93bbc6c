//! Which member an attempt goes to.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn reads_go_to_replicas_and_writes_to_the_primary() {
    let mut b = Bench::new(settings());
    b.replicas_respond_with_lag([10, 10]);
    for class in [EVENTUAL, BOUNDED, SESSION] {
        let id = b.request(class, 0);
        assert!(matches!(b.last_target(id), Some(2 | 3)), "{class:?} went to {:?}", b.last_target(id));
    }
    for class in [STRONG, NON_IDEMPOTENT, IDEMPOTENT_BY_KEY] {
        let id = b.request(class, 0);
        assert_eq!(b.last_target(id), Some(1), "{class:?}");
    }
}

#[test]
fn the_replica_with_the_fewest_requests_in_flight_is_chosen() {
    let mut b = Bench::new(settings());
    b.replicas_respond_with_lag([10, 10]);
    let first = b.request(BOUNDED, 0);
    b.replicas_respond_with_lag([10, 10]);
    let second = b.request(BOUNDED, 0);
    // Noise decides between the idle only: with a read at each, a third goes to the one that answers first.
    let both: std::collections::BTreeSet<_> = [b.last_target(first), b.last_target(second)].into();
    if both.len() == 2 {
        b.finish(first, Status::Ok, 50, 10, Role::Replica);
        let third = b.request(BOUNDED, 0);
        assert_eq!(b.last_target(third), b.last_target(first));
    } else {
        let third = b.request(BOUNDED, 0);
        assert_ne!(b.last_target(third), b.last_target(first));
    }
}

#[test]
fn long_eventual_reads_go_to_the_replica_furthest_behind() {
    // Found on kk-harvest: reports spread over all replicas stopped the log on each of them.
    let mut b = Bench::new(settings());
    for _ in 0..120 {
        b.replicas_respond_with_lag([1500, 10]);
        for (class, took) in [(EVENTUAL, 40), (REPORT, 900)] {
            let id = b.request(class, 0);
            b.finish(
                id,
                Status::Ok,
                took,
                if b.last_target(id) == Some(2) { 1500 } else { 10 },
                Role::Replica,
            );
        }
        b.advance(50);
    }
    b.replicas_respond_with_lag([1500, 10]);
    let ids: Vec<_> = (0..4).map(|_| b.request(REPORT, 0)).collect();
    let places: Vec<_> = ids.into_iter().map(|id| b.last_target(id)).collect();
    assert_eq!(places, vec![Some(2); 4]);
}

#[test]
fn reads_stay_in_their_zone_where_crossing_zones_has_a_price() {
    let mut set = settings();
    set.price_cross_zone = 0.05;
    let mut b = Bench::new(set);
    let mut far = endpoint(3, 0, false);
    far.zone = ZoneId(1);
    b.list_changes(vec![far]);
    let mut near = 0;
    for _ in 0..40 {
        b.replicas_respond_with_lag([10, 10]);
        let id = b.request(BOUNDED, 0);
        near += usize::from(b.last_target(id) == Some(2));
        b.finish(id, Status::Ok, 80, 10, Role::Replica);
    }
    assert!(near >= 32, "{near} of 40 stayed in the zone");
}
