//! Which member counts as the primary, and the search for one.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn a_misdirected_write_is_forwarded_to_the_other_members_in_turn() {
    let mut b = Bench::new(settings());
    let id = b.request(NON_IDEMPOTENT, 0);
    b.finish(id, Status::Misdirected, 1, 10, Role::Replica);
    assert!(
        !b.is_rejected(id) && !b.is_failed(id),
        "queued: no primary is known, and the write was not executed"
    );
    b.advance(60);
    let next = b.last_target(id);
    assert!(matches!(next, Some(2 | 3)), "the others are tried in turn");
    b.finish(id, Status::Misdirected, 1, 10, Role::Replica);
    b.advance(60);
    assert!(matches!(b.last_target(id), Some(2 | 3)) && b.last_target(id) != next);
}

#[test]
fn a_response_from_a_new_primary_releases_queued_writes() {
    let mut b = Bench::new(settings());
    let first = b.request(IDEMPOTENT_BY_KEY, 0);
    b.finish(first, Status::ConnectFailed, 250, 0, Role::Primary);
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(b.last_target(id), None, "a suspect primary gets no writes");
    b.respond(3, Status::Ok, b.now, Role::Primary);
    assert_eq!(b.last_target(id), Some(3));
}

#[test]
fn the_endpoint_list_does_not_overrule_the_role_in_a_response() {
    let mut b = Bench::new(settings());
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    b.finish(id, Status::Ok, 20, 0, Role::Primary);
    b.list_changes(vec![endpoint(2, 0, true)]);
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(b.last_target(id), Some(1));
}

#[test]
fn without_listed_roles_the_primary_is_searched_for() {
    let mut set = settings();
    set.list_role = ListRole::None;
    set.probe_roles = false;
    let mut b = Bench::with_list(set, primary_and_replicas());
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(b.last_target(id), None, "the list's word on roles counts for nothing here");
    b.advance(200);
    assert!(b.last_target(id).is_some(), "members are tried in turn");
}

#[test]
fn of_two_primary_claims_the_newer_wins() {
    // What happens, not a defence: writes follow the newest claim, and a miss there sends them on.
    let mut b = Bench::new(settings());
    b.probe_succeeds(2, b.now, Role::Primary);
    b.advance(400);
    b.probe_succeeds(3, b.now, Role::Primary);
    let id = b.request(IDEMPOTENT_BY_KEY, 0);
    assert_eq!(b.last_target(id), Some(3));
    b.finish(id, Status::Misdirected, 1, 10, Role::Replica);
    assert!(matches!(b.last_target(id), Some(1 | 2)), "the next newest claim");
}
