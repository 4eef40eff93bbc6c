//! Tests of the helpers that other tests and experiments rely on: the faults of links, and the calculations
//! of how far limits are exceeded.

use basalthill_policy::api::Time;
use basalthill_standin::link_faults::LinkFaults;
use basalthill_standin::simulated_fleet::{max_concurrent, rate_excess, Permit};
use basalthill_standin::Rng;
use std::time::Duration;

/// Returns the delays of the delivered copies of 1000 datagrams from one router to another.
fn deliveries(faults: &LinkFaults, from: usize, to: usize) -> Vec<Vec<Duration>> {
    let mut rng = Rng::with_seed(1);
    (0..1000).map(|_| faults.deliveries(from, to, |bound| rng.u64(..bound))).collect()
}

#[test]
fn without_faults_each_datagram_is_delivered_once_within_the_delay() {
    let all = deliveries(&LinkFaults::none(100..200), 0, 1);
    let delay = Duration::from_micros(100)..Duration::from_micros(200);
    assert!(all.iter().all(|copies| copies.len() == 1 && delay.contains(&copies[0])));
}

#[test]
fn with_an_empty_range_of_delays_each_delay_is_its_start() {
    let all = deliveries(&LinkFaults::none(0..0), 0, 1);
    assert!(all.iter().all(|copies| *copies == [Duration::ZERO]));
}

#[test]
fn loss_and_duplicates_are_as_frequent_as_configured() {
    let faults = LinkFaults { loss_per_mille: 300, duplicates_per_mille: 200, ..LinkFaults::none(0..0) };
    let all = deliveries(&faults, 0, 1);
    let lost = all.iter().filter(|copies| copies.is_empty()).count();
    let twice = all.iter().filter(|copies| copies.len() == 2).count();
    assert!((250..350).contains(&lost), "{lost} of 1000 datagrams lost, not about 300");
    assert!((100..180).contains(&twice), "{twice} of 1000 datagrams delivered twice, not about 140");
}

#[test]
fn a_partition_cuts_links_between_groups_in_both_directions_and_repairs_all_others() {
    let mut faults = LinkFaults::none(0..0);
    faults.cut.insert((0, 1));
    faults.partition(&[vec![0, 1], vec![2], vec![3]]);
    let cut = [(0, 2), (0, 3), (1, 2), (1, 3), (2, 0), (2, 1), (2, 3), (3, 0), (3, 1), (3, 2)];
    assert_eq!(faults.cut, cut.into_iter().collect());
    assert!(deliveries(&faults, 0, 2).iter().all(Vec::is_empty), "the link from 0 to 2 must be cut");
    assert!(
        deliveries(&faults, 0, 1).iter().all(|copies| copies.len() == 1),
        "the link from 0 to 1 must be repaired"
    );
}

#[test]
fn rate_excess_is_the_excess_in_the_worst_time_window() {
    // Evenly spaced requests at 10 per second exceed a rate of 10 per second without a burst by one request,
    // because each request is admitted at the start of its interval.
    let even: Vec<Time> = (0..50).map(|n| Time::ms(n * 100)).collect();
    assert!((rate_excess(even.clone(), 10.0, 0.0) - 1.0).abs() < 1e-6);
    assert!(rate_excess(even.clone(), 10.0, 1.0) <= 1e-6);
    // Five more requests at one time exceed a rate of 10 per second with a burst of one by five. The
    // admissions need not be sorted.
    let burst = [vec![Time::ms(2000); 5], even].concat();
    assert!((rate_excess(burst, 10.0, 1.0) - 5.0).abs() < 1e-6);
    assert_eq!(rate_excess(Vec::new(), 10.0, 3.0), -3.0, "no requests were admitted");
}

#[test]
fn a_permit_released_at_a_time_is_not_concurrent_with_one_granted_at_that_time() {
    let permit = |from, until| Permit { from: Time::ms(from), until: Time::ms(until), router: 0 };
    assert_eq!(max_concurrent(&[permit(0, 10), permit(10, 20), permit(20, 30)]), 1);
    assert_eq!(max_concurrent(&[permit(0, 11), permit(10, 20), permit(5, 30)]), 3);
    assert_eq!(max_concurrent(&[]), 0);
}
