//! A router that has just started.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn requests_before_the_first_endpoint_list_are_queued_for_the_startup_window_only() {
    let mut b = Bench::with_list(settings(), Vec::new());
    let soon = [b.request(EVENTUAL, 0), b.request(NON_IDEMPOTENT, 0)];
    b.advance(100);
    assert!(soon.iter().all(|id| !b.is_rejected(*id)), "the list is on its way");
    b.event(Event::Endpoints(EndpointUpdate::Full, vec![endpoint(1, 0, true), endpoint(2, 0, false)]));
    b.probe_succeeds(1, b.now, Role::Primary);
    b.probe_succeeds(2, b.now, Role::Replica);
    b.advance(200);
    assert_eq!(soon.map(|id| b.last_target(id).is_some()), [true, true]);
    let mut b = Bench::with_list(settings(), Vec::new());
    let queued = b.request(EVENTUAL, 0);
    b.advance(270);
    assert!(b.is_rejected(queued), "no list has arrived");
    let late = b.request(EVENTUAL, 0);
    assert!(b.is_rejected(late), "and later ones do not wait");
}

#[test]
fn reads_wait_for_the_first_health_checks() {
    let list = primary_and_replicas();
    let mut b = Bench::with_list(settings(), list);
    let probes = |b: &Bench| b.log.iter().filter(|(_, a)| matches!(a, Action::Probe(_))).count();
    assert_eq!(probes(&b), 3);
    let id = b.request(BOUNDED, 0);
    assert_eq!(b.last_target(id), None);
    b.all_probes_succeed();
    assert!(b.last_target(id).is_some(), "released by the last probe");
}
