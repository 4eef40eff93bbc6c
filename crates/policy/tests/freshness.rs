//! Reads and the log positions that they require.

mod common;

use basalthill_policy::api::*;
use common::*;

#[test]
fn lagging_replicas_get_no_bounded_reads_but_serve_eventual_reads() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([5000, 10]);
    for _ in 0..4 {
        let id = router.request(BOUNDED, 0);
        assert_eq!(router.last_target(id), Some(3));
        router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    }
    let any = router.request(EVENTUAL, 0);
    assert_eq!(
        router.last_target(any),
        Some(2),
        "a lagging replica is preferred for reads that need no freshness"
    );
}

#[test]
fn the_primary_serves_reads_when_no_replica_is_fresh_enough() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([5000, 5000]);
    let id = router.request(BOUNDED, 0);
    router.advance(50);
    assert_eq!(router.last_target(id), Some(1));
}

#[test]
fn a_session_read_skips_replicas_behind_its_floor() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([900, 10]);
    for _ in 0..3 {
        let id = router.request(SESSION, 200);
        assert_eq!(router.last_target(id), Some(3));
        router.finish_attempt(id, Status::Ok, 20, 10, Role::Replica);
    }
}

#[test]
fn a_session_read_waits_for_a_replica_within_its_lead() {
    // The floor is the time of arrival: no replica is estimated to have reached it yet.
    let read = |when_behind, lead| {
        let mut settings = test_settings();
        settings.when_behind = when_behind;
        let mut router = TestRouter::new(settings);
        router.replicas_respond_with_lag([30, 30]);
        router.lead = Time::ms(lead);
        let id = router.request_with_floor(SESSION, router.now);
        let at_arrival = router.last_target(id);
        router.advance(50);
        (at_arrival, router.last_target(id))
    };
    let waits = WhenBehind::Wait(Time::ms(100));
    for when_behind in [waits, WhenBehind::Reject, WhenBehind::ServeStale] {
        assert_eq!(read(when_behind, 0).0, Some(1), "without a lead the read goes to the primary");
        assert_eq!(read(when_behind, 10).0, Some(1), "no replica reaches the floor within the lead");
    }
    assert!(
        matches!(read(waits, 50).0, Some(2 | 3)),
        "the read is sent to a replica, which delays it until it has applied the log up to the floor"
    );
    let (at_arrival, later) = read(WhenBehind::Reject, 50);
    assert!(
        at_arrival.is_none() && matches!(later, Some(2 | 3)),
        "queued until a replica is fresh enough: {at_arrival:?} at arrival, then {later:?}"
    );
    let (at_arrival, later) = read(WhenBehind::ServeStale, 50);
    assert_eq!(
        (at_arrival, later),
        (None, Some(1)),
        "only a reported position suffices, and the read stops waiting once the estimate reaches the floor"
    );
}

#[test]
fn an_outdated_replica_gets_one_read_before_the_read_is_rejected() {
    // Guards against a replica that gets no reads although it has caught up, because its recorded position is
    // outdated, as in simulated runs of the deployments jb-ffb-trips and kk-harvest.
    let mut settings = test_settings();
    settings.probes_report_position = false;
    let mut router = TestRouter::new(settings);
    router.replicas_respond_with_lag([2500, 2500]);
    router.advance(700);
    let id = router.request(BOUNDED, 0);
    assert!(
        matches!(router.last_target(id), Some(2 | 3)),
        "one read tests the replica, since a misdirected read is not executed"
    );
    router.finish_attempt(id, Status::Misdirected, 1, 3200, Role::Replica);
    assert!(!router.is_rejected(id) && router.attempts[&id].len() == 2, "the read is retried at once");
}

#[test]
fn no_outdated_replica_gets_reads_while_another_is_fresh() {
    let mut settings = test_settings();
    settings.probes_report_position = false;
    let mut router = TestRouter::new(settings);
    router.replicas_respond_with_lag([5000, 10]);
    router.advance(700);
    for _ in 0..40 {
        router.respond_with_lag(3, 10);
        router.request(BOUNDED, 0);
    }
    assert_eq!(
        attempts_since(&router, Time(0), 2),
        0,
        "the lagging replica got reads, although the other is only at its concurrency limit"
    );
}

#[test]
fn a_wrong_position_ahead_of_the_true_one_costs_one_misdirected_read() {
    // Documents behaviour that is not required: recorded positions never decrease, so a wrong one is used
    // until it leads to a misdirected read.
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([3000, 3000]);
    router.advance(900);
    router.probe_succeeds(2, router.now, Role::Replica);
    router.probe_succeeds(2, Time(router.now.0 - Time::ms(3000).0), Role::Replica);
    let id = router.request(BOUNDED, 0);
    assert_eq!(router.last_target(id), Some(2));
    router.finish_attempt(id, Status::Misdirected, 1, 3000, Role::Replica);
    assert!(
        !router.is_rejected(id) && router.last_target(id) != Some(2),
        "the read is retried at another member at once"
    );
}

/// Returns settings in which members serve reads whatever their positions.
fn members_check_nothing() -> Settings {
    Settings { when_behind: WhenBehind::ServeStale, ..test_settings() }
}

/// Guards against a bounded read that is sent after its data has become too old, while the attempt waited for
/// its connection.
#[test]
fn a_bounded_read_may_not_be_sent_once_the_position_is_older_than_its_bound() {
    for lag_ms in [10, 500, 1900] {
        let mut router = TestRouter::new(members_check_nothing());
        router.replicas_respond_with_lag([lag_ms, lag_ms]);
        let id = router.request(BOUNDED, 0);
        let target = router.last_target(id).expect("the read is not sent");
        assert!(target != 1, "lag {lag_ms} ms: the read goes to the primary");
        let may_send_after =
            |ms: u64| router.policy.may_still_send(router.now.plus(Time::ms(ms)), id, MemberId(target));
        // The bound of the class is two seconds.
        assert!(may_send_after(0) && may_send_after(2000 - lag_ms), "lag {lag_ms} ms");
        assert!(!may_send_after(2001 - lag_ms) && !may_send_after(5000), "lag {lag_ms} ms");
    }
}

/// Guards against a strong read that is sent to a member that has turned out to be a replica, while the
/// attempt waited for its connection.
#[test]
fn a_strong_read_may_not_be_sent_to_a_member_that_is_no_longer_the_primary() {
    let mut router = TestRouter::new(members_check_nothing());
    let id = router.request(STRONG, 0);
    assert_eq!(router.last_target(id), Some(1));
    assert!(router.policy.may_still_send(router.now, id, MemberId(1)));
    router.advance(10);
    let position = router.now;
    router.respond(1, Status::Misdirected, position, Role::Replica);
    router.respond(2, Status::Ok, position, Role::Primary);
    assert!(!router.policy.may_still_send(router.now, id, MemberId(1)));
    assert!(router.policy.may_still_send(router.now, id, MemberId(2)));
}
