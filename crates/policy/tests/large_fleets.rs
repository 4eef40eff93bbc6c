//! What routers of a large fleet leave to each other.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn few_routers_of_a_large_fleet_send_to_a_crowded_idle_member() {
    // Found in incidents with 86 and 763 routers: one read of each, all at once, jammed every member.
    let attempts = |routers: u32| {
        let mut set = settings();
        set.routers = routers;
        let mut b = Bench::new(set);
        for _ in 0..25 {
            b.replicas_respond_with_lag([10, 10]);
            let id = b.request(EVENTUAL, 0);
            if b.is_in_flight(id) {
                b.advance(390);
                b.finish(id, Status::Ok, 390, 10, Role::Replica);
            }
        }
        let mut sent = 0;
        for _ in 0..10 {
            let id = b.request(EVENTUAL, 0);
            sent += usize::from(b.is_in_flight(id));
            if b.is_in_flight(id) {
                b.finish(id, Status::Ok, 390, 10, Role::Replica);
            }
        }
        sent
    };
    let (alone, hundreds) = (attempts(2), attempts(400));
    assert!(alone >= 8 && hundreds * 3 <= alone, "{hundreds} of hundreds, {alone} alone");
}

#[test]
fn few_routers_of_a_large_fleet_probe_lagging_or_unheard_members() {
    // Found on calm+mass: a probe for three attempts, nearly all to members that lag behind for good reason,
    // or that a router had no need of.
    let probes = |routers: u32, others: u32| {
        let set = Settings { routers, ..settings() };
        let mut list = primary_and_replicas();
        list.extend((0..others).map(|n| endpoint(10 + n, 1 + n / 4, false)));
        let (mut b, mut sum) = (Bench::with_list(set, list), 0);
        for _ in 0..100 {
            b.advance(100);
            b.replicas_respond_with_lag([5000, 10]);
            let id = b.request(BOUNDED, 0);
            if b.is_in_flight(id) {
                b.finish(id, Status::Ok, 80, 10, Role::Replica);
            }
            b.advance(10);
            let probed: Vec<u32> = b.log.drain(..).filter_map(|(_, a)| probed_member(&a)).collect();
            probed.iter().for_each(|m| b.probe_succeeds(*m, b.now.minus(Time::ms(5000)), Role::Replica));
            sum += probed.len();
        }
        sum
    };
    let (lags, unheard) = (probes(300, 0), probes(300, 80));
    assert!(lags <= 3, "{lags} probes in eleven seconds");
    assert!(unheard <= 10, "{unheard} probes of 80 others in eleven seconds");
    assert!(probes(2, 80) > 100, "a few routers probe as ever");
}

#[test]
fn each_router_of_a_large_fleet_keeps_to_members_that_it_is_connected_to() {
    // Found with 300 routers and 120 hosts: nearly every pair had a connection that was hardly used.
    let used = |routers: u32, seed: u64, every: u64| {
        let set = Settings { routers, ..settings() };
        let mut b = Bench::with_seed(set, seed);
        (2..4).for_each(|m| b.probe_succeeds(m, b.now, Role::Replica));
        let mut at = [0; 2];
        for _ in 0..40 {
            b.advance(every);
            let id = b.request(EVENTUAL, 0);
            at[b.last_target(id).unwrap() as usize - 2] += 1;
            b.finish(id, Status::Ok, 80, 10, Role::Replica);
        }
        at
    };
    let usage = |routers, every| {
        let all: Vec<[i32; 2]> = (0..40).map(|seed| used(routers, seed, every)).collect();
        let one = all.iter().filter(|at| at.contains(&0)).count();
        (one, all.iter().map(|at| at[0]).sum::<i32>())
    };
    let (one, first) = usage(300, 5000);
    assert!(one >= 36, "{one} of 40 routers use one of the two");
    assert!((400..1200).contains(&first), "and the parts cover them evenly: {first} of 1600");
    let (one, _) = usage(4, 5000);
    assert_eq!(one, 0, "a few routers spread their requests as ever");
    // One whose requests come faster than answers has more in flight, and goes beyond its part.
    let set = Settings { routers: 300, ..settings() };
    let mut b = Bench::with_seed(set, 1);
    b.replicas_respond_with_lag([10, 10]);
    let ids: Vec<_> = (0..4).map(|_| b.request(EVENTUAL, 0)).collect();
    let places: std::collections::BTreeSet<_> = ids.into_iter().map(|id| b.last_target(id)).collect();
    assert_eq!(places.len(), 2, "{places:?}");
}

#[test]
fn a_large_fleet_probes_no_more_than_a_small_one() {
    let probes = |routers: u32| {
        let mut set = settings();
        set.routers = routers;
        let mut b = Bench::with_list(set, (1..=60).map(|m| endpoint(m, m % 10, m < 11)).collect());
        b.advance(20_000);
        b.log.iter().filter(|(_, a)| matches!(a, Action::Probe(_))).count()
    };
    assert!(probes(400) * 8 < probes(4), "{} against {}", probes(400), probes(4));
}
