//! Retries of requests that may or may not have been executed.

mod common;

use basalthill_policy::api::*;
use common::*;

/// Returns settings with a deduplication window in milliseconds and an idempotency key scope of all members.
fn with_window(ms: u64) -> Settings {
    let mut settings = test_settings();
    let class = &mut settings.classes[usize::from(IDEMPOTENT_BY_KEY.0)];
    class.deduplication_window = Time::ms(ms);
    class.key_scope = KeyScope::All;
    settings
}

/// Returns the timeouts of a request's attempts, in order.
fn attempt_timeouts(router: &TestRouter, id: RequestId) -> Vec<Time> {
    let timeout_of = |action: &Action| match action {
        Action::Send(request, _, timeout) if *request == id => *timeout,
        _ => None,
    };
    router.action_log.iter().filter_map(|(_, action)| timeout_of(action)).collect()
}

#[test]
fn a_non_idempotent_write_that_may_have_been_executed_fails_and_is_not_retried() {
    for status in [Status::Error, Status::Reset, Status::Timeout] {
        let mut router = TestRouter::new(test_settings());
        let id = router.request(NON_IDEMPOTENT, 0);
        router.finish_attempt(id, status, 100, 0, Role::Primary);
        assert!(
            router.is_failed(id) && !router.is_rejected(id) && router.attempts[&id].len() == 1,
            "{status:?}"
        );
    }
}

#[test]
fn a_read_rejected_by_an_overloaded_member_is_retried_at_another() {
    let mut router = TestRouter::new(test_settings());
    router.replicas_respond_with_lag([10, 10]);
    let id = router.request(BOUNDED, 0);
    let overloaded = router.last_target(id);
    router.finish_attempt(id, Status::Overloaded, 1, 10, Role::Replica);
    assert!(router.attempts[&id].len() == 2 && router.last_target(id) != overloaded);
}

#[test]
fn a_write_with_a_zone_scoped_key_is_retried_in_its_zone_only() {
    let mut settings = test_settings();
    settings.classes[usize::from(IDEMPOTENT_BY_KEY.0)].key_scope = KeyScope::Zone;
    let mut list = primary_and_replicas();
    list[1].zone = ZoneId(1);
    list[2].zone = ZoneId(1);
    let mut router = TestRouter::with_cached_list(settings, list);
    router.all_probes_succeed();
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    router.finish_attempt(id, Status::Error, 20, 10, Role::Replica);
    router.advance(1400);
    assert!(
        router.attempts[&id].len() > 1,
        "the write is repeated at the member of its first attempt, which discards repeats"
    );
    assert!(
        router.attempts[&id].iter().all(|m| m.0 == 1),
        "the members of the other zone do not discard repeats"
    );
    assert!(!router.is_rejected(id));
}

#[test]
fn a_retry_times_out_with_its_deduplication_window() {
    let mut router = TestRouter::new(with_window(300));
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    router.advance(100);
    router.finish_attempt(id, Status::Reset, 100, 0, Role::Primary);
    router.advance(40);
    // The successful health check makes the primary usable again.
    router.probe_succeeds(1, router.now, Role::Primary);
    router.advance(10);
    let timeouts = attempt_timeouts(&router, id);
    assert_eq!(timeouts.len(), 2, "the deduplication window leaves time for a retry");
    // The connection or the member may be slow: a retry that the member starts after the window would
    // execute the write again.
    assert!(timeouts[1] <= Time::ms(200), "the retry may outlast the window: timeouts {timeouts:?}");
}

#[test]
fn no_retry_is_sent_if_the_rest_of_the_deduplication_window_is_too_short() {
    let mut router = TestRouter::new(with_window(300));
    let id = router.request(IDEMPOTENT_BY_KEY, 0);
    router.advance(250);
    router.finish_attempt(id, Status::Error, 250, 0, Role::Primary);
    router.advance(1200);
    assert_eq!(attempt_timeouts(&router, id).len(), 1);
    assert!(
        router.is_failed(id) && !router.is_rejected(id),
        "a rejection would tell the client that a retry is safe"
    );
}

/// Guards against a rejection of a request with a key that may have been executed: its client may retry after
/// the end of the deduplication window, however long that is and however early the client was rejected.
#[test]
fn a_request_with_a_key_that_may_have_been_executed_is_never_rejected() {
    for scope in [KeyScope::All, KeyScope::Zone, KeyScope::Group] {
        for (window_ms, elapsed_ms) in [(2000, 1), (2000, 1200), (2000, 1700), (100, 1), (60_000, 10)] {
            for status in [Status::Error, Status::Reset, Status::Timeout, Status::Discarded] {
                let mut settings = with_window(window_ms);
                settings.classes[usize::from(IDEMPOTENT_BY_KEY.0)].key_scope = scope;
                let mut router = TestRouter::new(settings);
                let id = router.request_with_timeout(IDEMPOTENT_BY_KEY, 2900);
                router.advance(elapsed_ms);
                router.finish_attempt(id, status, elapsed_ms, 0, Role::Primary);
                // Use up the remaining attempts, each of which proves that it has not been executed.
                while !(router.is_rejected(id) || router.is_failed(id)) {
                    match router.is_in_flight(id) {
                        true => router.finish_attempt(id, Status::Overloaded, 1, 0, Role::Primary),
                        false => router.advance(10),
                    }
                }
                assert_eq!(
                    (router.is_rejected(id), router.is_failed(id)),
                    (false, true),
                    "{scope:?}, a window of {window_ms} ms, {status:?} after {elapsed_ms} ms"
                );
            }
        }
    }
}

#[test]
fn a_request_with_a_key_that_has_not_been_executed_is_rejected() {
    for status in [Status::Overloaded, Status::Misdirected, Status::ConnectFailed, Status::NotSent] {
        let mut router = TestRouter::new(with_window(100));
        let id = router.request_with_timeout(IDEMPOTENT_BY_KEY, 2900);
        while !(router.is_rejected(id) || router.is_failed(id)) {
            match router.is_in_flight(id) {
                true => router.finish_attempt(id, status, 1, 0, Role::Primary),
                false => router.advance(10),
            }
        }
        assert!(router.is_rejected(id) && !router.is_failed(id), "{status:?}");
    }
}

/// Guards against a rejection of a request that a member has executed and that must not be executed again,
/// and against a retry of a request whose response there is no memory for.
#[test]
fn a_request_whose_response_was_discarded_ends_at_once_and_is_rejected_only_if_idempotent() {
    for class in [EVENTUAL, BOUNDED, SESSION, STRONG, NON_IDEMPOTENT, IDEMPOTENT_BY_KEY, REPORT] {
        for effect in [Effect::Idempotent, Effect::NonIdempotent, Effect::IdempotentByKey] {
            let mut settings = test_settings();
            settings.classes[usize::from(class.0)].effect = effect;
            let mut router = TestRouter::new(settings);
            let id = router.request(class, 0);
            router.finish_attempt(id, Status::Discarded, 20, 0, Role::Primary);
            router.advance(1000);
            let is_idempotent = effect == Effect::Idempotent;
            assert_eq!(
                (router.is_rejected(id), router.is_failed(id)),
                (is_idempotent, !is_idempotent),
                "{class:?}, {effect:?}"
            );
            assert_eq!(router.attempts[&id].len(), 1, "{class:?}, {effect:?}");
        }
    }
}
