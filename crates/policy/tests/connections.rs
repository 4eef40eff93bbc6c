//! Connections to members, and what is done when they run short.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn idle_connections_are_closed_when_a_responding_member_rejects_connections() {
    // Found with few connections for many routers: connects rejected, probes fine, idle connections open
    // elsewhere.
    let mut b = Bench::new(settings());
    let closed = |b: &Bench, m| b.actions.contains(&Action::CloseIdle(MemberId(m)));
    b.replicas_respond_with_lag([10, 10]);
    let slow = b.request(IDEMPOTENT_BY_KEY, 0);
    b.finish(slow, Status::ConnectFailed, 250, 0, Role::Primary);
    assert!(!closed(&b, 2) && !closed(&b, 3), "a connect lost on the way is no sign of a shortage");
    b.probe_succeeds(1, b.now, Role::Primary);
    assert!(!closed(&b, 2) && !closed(&b, 3), "not even if a probe comes through");
    let id = b.request(EVENTUAL, 0);
    let rejecting = b.last_target(id).unwrap();
    b.finish(id, Status::ConnectFailed, 2, 0, Role::Replica);
    assert!(!closed(&b, 5 - rejecting), "nor is a rejection alone, which a dead member also gives");
    b.probe_succeeds(rejecting, b.now, Role::Replica);
    assert!(closed(&b, rejecting), "it is up, and idle connections are closed for others");
    b.finish(id, Status::Ok, 20, 10, Role::Replica);
    assert!(closed(&b, 5 - rejecting), "and so does each connection after its answer");
    b.advance(11_000);
    let id = b.request(EVENTUAL, 0);
    b.finish(id, Status::Ok, 20, 10, Role::Replica);
    assert!(!closed(&b, 2) && !closed(&b, 3), "for a while only");
}

#[test]
fn a_dead_member_closes_no_connections_to_the_others() {
    // Found with 300 routers and a zone lost: more connections than requests, since each rejected connect had
    // all idle ones closed for ten seconds.
    let mut b = Bench::new(settings());
    for n in 0..60 {
        b.advance(100);
        b.respond_with_lag(3, 10);
        let id = b.request(EVENTUAL, 0);
        match b.last_target(id) {
            Some(2) => b.finish(id, Status::ConnectFailed, 2, 0, Role::Replica),
            Some(_) => b.finish(id, Status::Ok, 20, 10, Role::Replica),
            None => {}
        }
        // Back after four seconds, as one that has restarted.
        let probed = if n < 40 { Status::ConnectFailed } else { Status::Ok };
        b.event(Event::ProbeFinished {
            member: MemberId(2),
            status: probed,
            elapsed: Time::ms(1),
            report: ReplicationState::default(),
        });
    }
    let closed = b.log.iter().filter(|(_, a)| matches!(a, Action::CloseIdle(m) if m.0 != 2)).count();
    assert_eq!(closed, 0);
}
