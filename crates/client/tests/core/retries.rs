//! Retries: their delays and the retry budget.

use crate::harness::{config, Harness, MS};
use crate::messages::error;
use basalthill_client::{Config, Idempotency, Priority, Request, RequestOutcome};
use std::time::Duration;

/// The earliest and the latest time of a retry after a rejection, in milliseconds.
struct RetryWindow {
    earliest_ms: u32,
    latest_ms: u32,
}

#[test]
fn retry_waits_for_retry_after_and_never_past_the_deadline() {
    let window = |earliest_ms, latest_ms| Some(RetryWindow { earliest_ms, latest_ms });
    // The rejection's detail and the window of the retry; `None` if the request is completed immediately.
    let cases = [
        (Some("100"), window(100, 151)),
        (Some("0"), window(20, 31)),
        (None, window(20, 31)),
        (Some("not a number"), window(20, 31)),
        (Some("899"), None),
        (Some("5000"), None),
        (Some("18446744073709551615"), None),
        (Some("99999999999999999999999"), window(20, 31)),
    ];
    for (detail, window) in cases {
        for seed in 0..20 {
            let mut harness = Harness::new(Config { seed, ..config(1) });
            let id = harness.submit_write(Idempotency::NonIdempotent, 900);
            let connection = harness.accept_connection();
            let rejected_at = harness.now;
            harness.receive(connection, &error("53300", detail));
            let Some(RetryWindow { earliest_ms, latest_ms }) = window else {
                let retry_after = detail.and_then(|d| d.parse().ok()).map(Duration::from_millis);
                let outcome = harness.outcome(id);
                assert_eq!(
                    outcome,
                    Some(&RequestOutcome::Rejected(retry_after)),
                    "{detail:?}: must be completed immediately"
                );
                continue;
            };
            harness.advance(earliest_ms - 1);
            assert_eq!(harness.sent.len(), 1, "{detail:?}: must not be retried before {earliest_ms} ms");
            harness.advance(latest_ms - earliest_ms + 1);
            assert_eq!(harness.sent.len(), 2, "{detail:?}: must be retried once within {latest_ms} ms");
            let waited = harness.sent[1].sent_at - rejected_at;
            assert!(
                waited >= earliest_ms * MS && waited <= latest_ms * MS,
                "{detail:?}: retried after {waited:?}, not within {earliest_ms} to {latest_ms} ms"
            );
        }
    }
}

/// Guards against a repeat of a keyed request after the end of its key's window, whatever the router says of
/// the attempts before: a rejection, or an answer that leaves open whether the statement has run.
#[test]
fn keyed_request_is_repeated_only_within_its_window_also_after_rejections() {
    for (window_ms, deadline_ms) in [(1200, 3000), (300, 900), (2000, 900), (60, 10_000)] {
        for (code, detail) in
            [("53300", Some("100")), ("53300", None), ("57P03", Some("1000")), ("58000", None)]
        {
            for seed in 0..20 {
                let mut harness = Harness::new(Config { seed, ..config(1) });
                let window = window_ms * MS;
                let id = harness.submit_write(Idempotency::Keyed(window), deadline_ms);
                let connection = harness.accept_connection();
                let first_sent_at = harness.sent[0].sent_at;
                let mut answered = 0;
                while harness.outcome(id).is_none() {
                    if harness.sent.len() > answered {
                        answered = harness.sent.len();
                        harness.receive(connection, &error(code, detail));
                    }
                    harness.advance(1);
                }
                for statement in &harness.sent {
                    let after = statement.sent_at - first_sent_at;
                    assert!(after < window, "{code} {detail:?}, {window:?}: repeated after {after:?}");
                }
            }
        }
    }
}

/// Numbers of first attempts and of retries.
#[derive(Debug)]
struct AttemptCounts {
    first: u64,
    retries: u64,
}

/// Sends 500 requests sequentially to a router that rejects every attempt. Returns the numbers of attempts.
fn send_to_overloaded_router(priority: Priority) -> AttemptCounts {
    let mut harness = Harness::new(Config { max_connections_per_router: 1, ..config(1) });
    let mut first = 0;
    for _ in 0..500 {
        let request = Request::read("r", 1, "k").priority(priority);
        let id = harness.submit(request.deadline(harness.now + 5000 * MS));
        first += 1;
        while harness.outcome(id).is_none() {
            if harness.sent.is_empty() {
                harness.accept_connection();
                continue;
            }
            harness.receive(harness.last_used_connection(), &error("53300", Some("5")));
            harness.advance(40);
        }
    }
    AttemptCounts { first, retries: harness.core.counters().attempts - first }
}

#[test]
fn retries_use_the_budget_without_exceeding_it() {
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        let counts = send_to_overloaded_router(priority);
        assert!(
            counts.retries as f64 <= 0.1 * counts.first as f64 + 10.0,
            "{priority:?}: more retries than the budget allows: {counts:?}"
        );
        assert!(counts.retries >= 50, "{priority:?}: fewer retries than the budget allows: {counts:?}");
    }
}

/// Submits up to 30 requests of this priority that are rejected. Returns how many are retried before the
/// first that is not.
fn count_retried_requests(harness: &mut Harness, priority: Priority) -> usize {
    let is_retried = |harness: &mut Harness| {
        let request = Request::read("r", 1, "k").priority(priority);
        let id = harness.submit(request.deadline(harness.now + 900 * MS));
        if harness.sent.is_empty() {
            harness.accept_connection();
        }
        harness.receive(harness.last_used_connection(), &error("53300", Some("1")));
        let is_retried = harness.outcome(id).is_none();
        harness.core.cancel(harness.now, id);
        harness.perform_actions();
        is_retried
    };
    (0..30).take_while(|_| is_retried(harness)).count()
}

#[test]
fn lower_priorities_leave_retry_budget_to_higher_ones() {
    let mut harness = Harness::new(config(1));
    let low = count_retried_requests(&mut harness, Priority::Low);
    let normal = count_retried_requests(&mut harness, Priority::Normal);
    let high = count_retried_requests(&mut harness, Priority::High);
    assert!(
        low >= 2 && normal >= 2 && high >= 4,
        "too few retried requests: low {low}, normal {normal}, high {high}"
    );
}
