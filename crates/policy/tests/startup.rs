//! A router that has just started.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn requests_before_the_first_endpoint_list_are_queued_for_the_startup_window_only() {
    let mut router = TestRouter::with_cached_list(test_settings(), Vec::new());
    let early = [router.request(EVENTUAL, 0), router.request(NON_IDEMPOTENT, 0)];
    router.advance(100);
    assert!(
        early.iter().all(|id| !router.is_rejected(*id)),
        "requests wait for the list in the startup window"
    );
    router.handle_event(Event::Endpoints(
        EndpointUpdate::Full,
        vec![endpoint(1, 0, true), endpoint(2, 0, false)],
    ));
    router.probe_succeeds(1, router.now, Role::Primary);
    router.probe_succeeds(2, router.now, Role::Replica);
    router.advance(200);
    assert_eq!(early.map(|id| router.last_target(id).is_some()), [true, true], "sent after the list arrived");
    let mut router = TestRouter::with_cached_list(test_settings(), Vec::new());
    let queued = router.request(EVENTUAL, 0);
    router.advance(270);
    assert!(router.is_rejected(queued), "the startup window has passed without a list");
    let late = router.request(EVENTUAL, 0);
    assert!(router.is_rejected(late), "requests after the startup window do not wait");
}

#[test]
fn reads_wait_for_the_first_health_checks() {
    let list = primary_and_replicas();
    let mut router = TestRouter::with_cached_list(test_settings(), list);
    let probes =
        |router: &TestRouter| router.action_log.iter().filter(|(_, a)| matches!(a, Action::Probe(_))).count();
    assert_eq!(probes(&router), 3);
    let id = router.request(BOUNDED, 0);
    assert_eq!(router.last_target(id), None);
    router.all_probes_succeed();
    assert!(router.last_target(id).is_some(), "not sent after the last health check has succeeded");
}
