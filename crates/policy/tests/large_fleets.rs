//! Work that the routers of a large fleet share: attempts at overloaded members, health checks, connections.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn few_routers_of_a_large_fleet_send_to_an_overloaded_idle_member() {
    // Guards against each router sending one read to an overloaded member because it has no attempt in flight
    // there: in runs with 86 and with 763 routers, these reads together overloaded every member.
    let attempts = |routers: u32| {
        let mut settings = test_settings();
        settings.routers = routers;
        let mut router = TestRouter::new(settings);
        for _ in 0..25 {
            router.replicas_respond_with_lag([10, 10]);
            let id = router.request(EVENTUAL, 0);
            if router.is_in_flight(id) {
                router.advance(390);
                router.finish_attempt(id, Status::Ok, 390, 10, Role::Replica);
            }
        }
        let mut sent = 0;
        for _ in 0..10 {
            let id = router.request(EVENTUAL, 0);
            sent += usize::from(router.is_in_flight(id));
            if router.is_in_flight(id) {
                router.finish_attempt(id, Status::Ok, 390, 10, Role::Replica);
            }
        }
        sent
    };
    let (of_two, of_400) = (attempts(2), attempts(400));
    assert!(
        of_two >= 8 && of_400 * 3 <= of_two,
        "{of_400} attempts in a fleet of 400 routers, {of_two} in a fleet of 2"
    );
}

#[test]
fn few_routers_of_a_large_fleet_probe_lagging_or_unused_members() {
    // Guards against a large fleet sending one health check per three attempts, as in runs of the simulated
    // scenario calm+mass: nearly all of these went to members that lagged throughout, or to which the router
    // sent no requests.
    let probes = |routers: u32, others: u32| {
        let settings = Settings { routers, ..test_settings() };
        let mut list = primary_and_replicas();
        list.extend((0..others).map(|n| endpoint(10 + n, 1 + n / 4, false)));
        let (mut router, mut sum) = (TestRouter::with_cached_list(settings, list), 0);
        for _ in 0..100 {
            router.advance(100);
            router.replicas_respond_with_lag([5000, 10]);
            let id = router.request(BOUNDED, 0);
            if router.is_in_flight(id) {
                router.finish_attempt(id, Status::Ok, 80, 10, Role::Replica);
            }
            router.advance(10);
            let probed: Vec<u32> =
                router.action_log.drain(..).filter_map(|(_, a)| probed_member(&a)).collect();
            probed
                .iter()
                .for_each(|m| router.probe_succeeds(*m, router.now.minus(Time::ms(5000)), Role::Replica));
            sum += probed.len();
        }
        sum
    };
    let (lagging, unused) = (probes(300, 0), probes(300, 80));
    assert!(lagging <= 3, "{lagging} health checks of a lagging member in eleven seconds, more than 3");
    assert!(unused <= 10, "{unused} health checks with 80 unused members in eleven seconds, more than 10");
    let of_small_fleet = probes(2, 80);
    assert!(of_small_fleet > 100, "only {of_small_fleet} health checks by a router of a fleet of 2");
}

#[test]
fn each_router_of_a_large_fleet_prefers_members_that_it_is_connected_to() {
    // Guards against connections that are rarely used: in a run with 300 routers and 120 hosts, nearly every
    // router had one to every host.
    let reads_by_replica = |routers: u32, seed: u64, interval_ms: u64| {
        let settings = Settings { routers, ..test_settings() };
        let mut router = TestRouter::with_seed(settings, seed);
        (2..4).for_each(|m| router.probe_succeeds(m, router.now, Role::Replica));
        let mut reads = [0; 2];
        for _ in 0..40 {
            router.advance(interval_ms);
            let id = router.request(EVENTUAL, 0);
            reads[router.last_target(id).unwrap() as usize - 2] += 1;
            router.finish_attempt(id, Status::Ok, 80, 10, Role::Replica);
        }
        reads
    };
    // Returns how many of 40 routers use only one replica, and how many reads all of them send to the first.
    let usage = |routers, interval_ms| {
        let all: Vec<[i32; 2]> = (0..40).map(|seed| reads_by_replica(routers, seed, interval_ms)).collect();
        let single = all.iter().filter(|reads| reads.contains(&0)).count();
        (single, all.iter().map(|reads| reads[0]).sum::<i32>())
    };
    let (single, first) = usage(300, 5000);
    assert!(single >= 36, "only {single} of 40 routers use a single replica, expected at least 36");
    assert!((400..1200).contains(&first), "uneven load: {first} of 1600 requests at the first replica");
    let (single, _) = usage(4, 5000);
    assert_eq!(single, 0, "routers of a small fleet that use only one replica");
    // A router with several requests in flight at its preferred replica uses the other one as well.
    let settings = Settings { routers: 300, ..test_settings() };
    let mut router = TestRouter::with_seed(settings, 1);
    router.replicas_respond_with_lag([10, 10]);
    let ids: Vec<_> = (0..4).map(|_| router.request(EVENTUAL, 0)).collect();
    let targets: std::collections::BTreeSet<_> = ids.into_iter().map(|id| router.last_target(id)).collect();
    assert_eq!(targets.len(), 2, "four concurrent reads used only {targets:?}");
}

#[test]
fn a_router_of_a_large_fleet_sends_fewer_health_checks() {
    let probes = |routers: u32| {
        let mut settings = test_settings();
        settings.routers = routers;
        let mut router =
            TestRouter::with_cached_list(settings, (1..=60).map(|m| endpoint(m, m % 10, m < 11)).collect());
        router.advance(20_000);
        router.action_log.iter().filter(|(_, a)| matches!(a, Action::Probe(_))).count()
    };
    assert!(
        probes(400) * 8 < probes(4),
        "{} health checks by a router of 400, {} by one of 4",
        probes(400),
        probes(4)
    );
}
