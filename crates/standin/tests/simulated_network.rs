//! What the checks of tests and experiments rest on: faults of links, and how far limits are exceeded.

use basalthill_policy::api::Time;
use basalthill_standin::link_faults::LinkFaults;
use basalthill_standin::simulated_fleet::{max_concurrent, rate_excess, Permit};
use basalthill_standin::Rng;
use std::time::Duration;

/// Deliveries of 1000 datagrams from one router to another.
fn deliveries(faults: &LinkFaults, from: usize, to: usize) -> Vec<Vec<Duration>> {
    let mut rng = Rng::with_seed(1);
    (0..1000).map(|_| faults.deliveries(from, to, |bound| rng.u64(..bound))).collect()
}

#[test]
fn without_faults_each_datagram_arrives_once_within_the_delay() {
    let all = deliveries(&LinkFaults::none(100..200), 0, 1);
    let delay = Duration::from_micros(100)..Duration::from_micros(200);
    assert!(all.iter().all(|copies| copies.len() == 1 && delay.contains(&copies[0])));
}

#[test]
fn an_empty_range_of_delays_gives_its_start() {
    let all = deliveries(&LinkFaults::none(0..0), 0, 1);
    assert!(all.iter().all(|copies| *copies == [Duration::ZERO]));
}

#[test]
fn loss_and_duplicates_are_as_frequent_as_configured() {
    let faults = LinkFaults { loss_per_mille: 300, duplicates_per_mille: 200, ..LinkFaults::none(0..0) };
    let all = deliveries(&faults, 0, 1);
    let lost = all.iter().filter(|copies| copies.is_empty()).count();
    let twice = all.iter().filter(|copies| copies.len() == 2).count();
    assert!((250..350).contains(&lost), "{lost} lost");
    assert!((100..180).contains(&twice), "{twice} arrived twice");
}

#[test]
fn a_partition_cuts_links_between_groups_in_both_directions_and_repairs_all_others() {
    let mut faults = LinkFaults::none(0..0);
    faults.cut.insert((0, 1));
    faults.partition(&[vec![0, 1], vec![2], vec![3]]);
    let cut = [(0, 2), (0, 3), (1, 2), (1, 3), (2, 0), (2, 1), (2, 3), (3, 0), (3, 1), (3, 2)];
    assert_eq!(faults.cut, cut.into_iter().collect());
    assert!(deliveries(&faults, 0, 2).iter().all(Vec::is_empty));
    assert!(deliveries(&faults, 0, 1).iter().all(|copies| copies.len() == 1));
}

#[test]
fn the_excess_over_a_rate_is_that_of_the_worst_window() {
    // Ten a second, evenly: never more than the one that has just been admitted beyond the rate.
    let even: Vec<Time> = (0..50).map(|n| Time::ms(n * 100)).collect();
    assert!((rate_excess(even.clone(), 10.0, 0.0) - 1.0).abs() < 1e-6);
    assert!(rate_excess(even.clone(), 10.0, 1.0) <= 1e-6);
    // Five more at one moment, in whatever order they are listed.
    let burst = [vec![Time::ms(2000); 5], even].concat();
    assert!((rate_excess(burst, 10.0, 1.0) - 5.0).abs() < 1e-6);
    assert_eq!(rate_excess(Vec::new(), 10.0, 3.0), -3.0, "nothing was admitted");
}

#[test]
fn permits_returned_at_a_moment_make_way_for_those_taken_then() {
    let permit = |from, until| Permit { from: Time::ms(from), until: Time::ms(until), router: 0 };
    assert_eq!(max_concurrent(&[permit(0, 10), permit(10, 20), permit(20, 30)]), 1);
    assert_eq!(max_concurrent(&[permit(0, 11), permit(10, 20), permit(5, 30)]), 3);
    assert_eq!(max_concurrent(&[]), 0);
}
