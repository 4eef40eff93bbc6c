//! Connections to members and the handling of connection shortages.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn idle_connections_are_closed_when_a_responding_member_rejects_connections() {
    // Guards against a connection shortage that lasts because of idle connections: members at their
    // connection limit rejected new connections but served health checks, while other routers kept idle
    // connections open.
    let mut router = TestRouter::new(test_settings());
    let closed = |router: &TestRouter, m| router.actions.contains(&Action::CloseIdle(MemberId(m)));
    router.replicas_respond_with_lag([10, 10]);
    let slow = router.request(IDEMPOTENT_BY_KEY, 0);
    router.finish_attempt(slow, Status::ConnectFailed, 250, 0, Role::Primary);
    assert!(
        !closed(&router, 2) && !closed(&router, 3),
        "a connection attempt lost in the network does not show a shortage"
    );
    router.probe_succeeds(1, router.now, Role::Primary);
    assert!(!closed(&router, 2) && !closed(&router, 3), "not even if a health check succeeds after it");
    let id = router.request(EVENTUAL, 0);
    let rejecting = router.last_target(id).unwrap();
    let other_replica = 5 - rejecting; // of replicas 2 and 3
    router.finish_attempt(id, Status::ConnectFailed, 2, 0, Role::Replica);
    assert!(
        !closed(&router, other_replica),
        "a rejection alone does not show a shortage: a member that is down also rejects"
    );
    router.probe_succeeds(rejecting, router.now, Role::Replica);
    assert!(closed(&router, rejecting), "the member is up, so idle connections are closed for other routers");
    router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    assert!(closed(&router, other_replica), "each connection is closed after its response");
    router.advance(11_000);
    let id = router.request(EVENTUAL, 0);
    router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    assert!(!closed(&router, 2) && !closed(&router, 3), "the shortage has ended");
}

#[test]
fn a_member_that_is_down_closes_no_connections_to_other_members() {
    // Guards against mistaking a member that is down for a connection shortage: with 300 routers and one zone
    // down, each rejected connection made its router close all idle connections for ten seconds, so that the
    // routers opened more connections than they sent requests.
    let mut router = TestRouter::new(test_settings());
    for n in 0..60 {
        router.advance(100);
        router.respond_with_lag(3, 10);
        let id = router.request(EVENTUAL, 0);
        match router.last_target(id) {
            Some(2) => router.finish_attempt(id, Status::ConnectFailed, 2, 0, Role::Replica),
            Some(_) => router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica),
            None => {}
        }
        // The member is up again after four seconds, as after a restart.
        let status = if n < 40 { Status::ConnectFailed } else { Status::Ok };
        router.handle_event(Event::ProbeFinished {
            member: MemberId(2),
            status,
            elapsed: Time::ms(1),
            report: ReplicationState::default(),
        });
    }
    let closed =
        router.action_log.iter().filter(|(_, a)| matches!(a, Action::CloseIdle(m) if m.0 != 2)).count();
    assert_eq!(closed, 0, "idle connections to other members were closed");
}
