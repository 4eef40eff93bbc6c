//! Which member is considered the primary, and the search for one.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn a_misdirected_write_is_forwarded_to_the_other_members_in_turn() {
    let mut router = TestRouter::new(test_settings());
    let id = router.request(NON_IDEMPOTENT, 0);
    router.finish_attempt(id, Status::Misdirected, 1, 10, Role::Replica);
    assert!(
        !router.is_rejected(id) && !router.is_failed(id),
        "the write is queued, since no primary is known and the write was not executed"
    );
    router.advance(60);
    let next = router.last_target(id);
    assert!(matches!(next, Some(2 | 3)), "the search tried {next:?}, not one of the other members 2 and 3");
    router.finish_attempt(id, Status::Misdirected, 1, 10, Role::Replica);
    router.advance(60);
    assert!(matches!(router.last_target(id), Some(2 | 3)) && router.last_target(id) != next);
}

#[test]
fn a_response_from_a_new_primary_releases_queued_writes() {
    let mut router = TestRouter::new(test_settings());
    let first = router.request(IDEMPOTENT_BY_KEY, 0);
    router.finish_attempt(first, Status::ConnectFailed, 250, 0, Role::Primary);
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(router.last_target(id), None, "a suspect primary gets no writes");
    router.respond(3, Status::Ok, router.now, Role::Primary);
    assert_eq!(router.last_target(id), Some(3));
}

#[test]
fn the_endpoint_list_does_not_override_the_role_in_a_response() {
    let mut router = TestRouter::new(test_settings());
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    router.finish_attempt(id, Status::Ok, 20, 0, Role::Primary);
    router.update_endpoints(vec![endpoint(2, 0, true)]);
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(router.last_target(id), Some(1));
}

#[test]
fn without_roles_in_the_endpoint_list_the_router_searches_for_the_primary() {
    let mut settings = test_settings();
    settings.list_role = ListRole::None;
    settings.probes_report_role = false;
    let mut router = TestRouter::with_cached_list(settings, primary_and_replicas());
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(router.last_target(id), None, "the primary in the endpoint list is ignored");
    router.advance(200);
    assert!(router.last_target(id).is_some(), "the search tries the members in turn");
}

#[test]
fn the_newer_of_two_primary_reports_wins() {
    // Documents behaviour that is not required: writes go to the member that last reported itself as the
    // primary, and on a misdirected write to the next one.
    let mut router = TestRouter::new(test_settings());
    router.probe_succeeds(2, router.now, Role::Primary);
    router.advance(400);
    router.probe_succeeds(3, router.now, Role::Primary);
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(router.last_target(id), Some(3));
    router.finish_attempt(id, Status::Misdirected, 1, 10, Role::Replica);
    assert!(matches!(router.last_target(id), Some(1 | 2)), "the write goes to another member");
}
