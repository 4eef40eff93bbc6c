//! Selection of the member for an attempt.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn reads_go_to_replicas_and_writes_to_the_primary() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([10, 10]);
    for class in [EVENTUAL, BOUNDED, SESSION] {
        let id = router.request(class, 0);
        assert!(
            matches!(router.last_target(id), Some(2 | 3)),
            "{class:?} went to {:?}",
            router.last_target(id)
        );
    }
    for class in [STRONG, NON_IDEMPOTENT, IDEMPOTENT_BY_KEY] {
        let id = router.request(class, 0);
        assert_eq!(router.last_target(id), Some(1), "{class:?}");
    }
}

#[test]
fn the_replica_with_the_fewest_requests_in_flight_is_chosen() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([10, 10]);
    let first = router.request(BOUNDED, 0);
    router.replicas_respond_with_lag([10, 10]);
    let second = router.request(BOUNDED, 0);
    // With both replicas idle, either may get a read. If each has one read in flight, a third read goes to
    // the replica that responds first; if one replica has both, the third does not go to that replica.
    let targets: std::collections::BTreeSet<_> =
        [router.last_target(first), router.last_target(second)].into();
    if targets.len() == 2 {
        router.finish_attempt(first, Status::Ok, 50, 10, Role::Replica);
        let third = router.request(BOUNDED, 0);
        assert_eq!(router.last_target(third), router.last_target(first));
    } else {
        let third = router.request(BOUNDED, 0);
        assert_ne!(router.last_target(third), router.last_target(first));
    }
}

#[test]
fn long_eventual_reads_go_to_the_replica_with_the_largest_lag() {
    // Guards against long reads that are spread over all replicas: in simulated runs of the deployment
    // kk-harvest, they blocked the replay of the replication log on each replica.
    let mut router = TestRouter::new(test_settings());
    for _ in 0..120 {
        router.replicas_respond_with_lag([1500, 10]);
        for (class, elapsed_ms) in [(EVENTUAL, 40), (REPORT, 900)] {
            let id = router.request(class, 0);
            router.finish_attempt(
                id,
                Status::Ok,
                elapsed_ms,
                if router.last_target(id) == Some(2) { 1500 } else { 10 },
                Role::Replica,
            );
        }
        router.advance(50);
    }
    router.replicas_respond_with_lag([1500, 10]);
    let ids: Vec<_> = (0..4).map(|_| router.request(REPORT, 0)).collect();
    let targets: Vec<_> = ids.into_iter().map(|id| router.last_target(id)).collect();
    assert_eq!(targets, vec![Some(2); 4]);
}

#[test]
fn reads_stay_in_their_zone_if_attempts_across_zones_have_a_price() {
    let mut settings = test_settings();
    settings.price_cross_zone = 0.05;
    let mut router = TestRouter::new(settings);
    let mut other_zone = endpoint(3, 0, false);
    other_zone.zone = ZoneId(1);
    router.update_endpoints(vec![other_zone]);
    let mut same_zone = 0;
    for _ in 0..40 {
        router.replicas_respond_with_lag([10, 10]);
        let id = router.request(BOUNDED, 0);
        same_zone += usize::from(router.last_target(id) == Some(2));
        router.finish_attempt(id, Status::Ok, 80, 10, Role::Replica);
    }
    assert!(same_zone >= 32, "only {same_zone} of 40 reads stayed in the zone");
}
