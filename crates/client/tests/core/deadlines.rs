//! Deadlines: in each state of a request, the caller gets an outcome when the deadline passes.

use crate::harness::MS;
use crate::harness::{config, Harness};
use crate::messages::{fatal_error, row, READY_FOR_QUERY};
use basalthill_client::core::RequestId;
use basalthill_client::{Config, Idempotency, RequestOutcome};

/// Advances the time by 900 ms and returns the request's outcome.
fn outcome_at_deadline(harness: &mut Harness, id: RequestId) -> Option<RequestOutcome> {
    harness.advance(900);
    harness.outcome(id).cloned()
}

#[test]
fn deadline_passes_while_waiting_for_a_connection() {
    let mut harness = Harness::new(config(1));
    let id = harness.submit_write(Idempotency::NonIdempotent, 900);
    assert_eq!(outcome_at_deadline(&mut harness, id), Some(RequestOutcome::DeadlineExceeded));
}

#[test]
fn deadline_passes_during_a_response_and_the_connection_is_closed() {
    for response in [&b""[..], &row(b"v")[..20]] {
        for (idempotency, expected) in [
            (Idempotency::NonIdempotent, RequestOutcome::MayHaveRun),
            (Idempotency::Idempotent, RequestOutcome::DeadlineExceeded),
        ] {
            let mut harness = Harness::new(config(1));
            let id = harness.submit_write(idempotency, 900);
            let connection = harness.accept_connection();
            harness.receive(connection, response);
            let outcome = outcome_at_deadline(&mut harness, id);
            assert_eq!(outcome, Some(expected), "{idempotency:?}, {} bytes", response.len());
            assert!(!harness.connections.contains_key(&connection), "the connection was not closed");
            // A response that is received after the connection was closed belongs to no request.
            let next = harness.submit_write(Idempotency::Idempotent, 900);
            harness.receive(connection, &row(b"v"));
            assert_eq!(harness.outcome(next), None, "the late response must not serve the next request");
        }
    }
}

#[test]
fn deadline_passes_while_queued_for_the_only_connection() {
    let mut harness = Harness::new(Config { max_connections_per_router: 1, ..config(1) });
    harness.submit_write(Idempotency::Idempotent, 5000);
    harness.accept_connection();
    let id = harness.submit_write(Idempotency::NonIdempotent, 900);
    assert_eq!(outcome_at_deadline(&mut harness, id), Some(RequestOutcome::DeadlineExceeded));
}

#[test]
fn deadline_passes_between_two_attempts() {
    let mut harness = Harness::new(config(1));
    let id = harness.submit_write(Idempotency::NonIdempotent, 900);
    let connection = harness.accept_connection();
    harness.advance(500);
    // The router closes the connection after the rejection, and no other connection completes its startup.
    harness.receive(connection, &fatal_error("53300", Some("100")));
    assert_eq!(outcome_at_deadline(&mut harness, id), Some(RequestOutcome::DeadlineExceeded));
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn nothing_is_written_past_a_deadline_after_a_clock_pause() {
    let mut harness = Harness::new(config(1));
    let ids: Vec<_> = (0..3).map(|_| harness.submit_write(Idempotency::NonIdempotent, 500)).collect();
    let connection = harness.first_connection();
    // The connect has completed within the deadline, but the process was paused and the core handles it only
    // one second later.
    harness.now += 1000 * MS;
    harness.core.handle_connected(harness.now, connection);
    harness.receive(connection, READY_FOR_QUERY);
    assert!(harness.sent.is_empty(), "a statement was written after the deadline");
    assert!(ids.iter().all(|id| harness.outcome(*id) == Some(&RequestOutcome::DeadlineExceeded)));
}

#[test]
fn no_attempt_starts_without_time_for_a_response() {
    let mut harness = Harness::new(config(1));
    harness.submit_write(Idempotency::Idempotent, 5000);
    let connection = harness.accept_connection();
    for _ in 0..30 {
        harness.advance(100);
        harness.receive(connection, &row(b"v"));
        harness.submit_write(Idempotency::Idempotent, 5000);
    }
    harness.receive(connection, &row(b"v"));
    let sent = harness.sent.len();
    let too_short = harness.submit_write(Idempotency::Idempotent, 60);
    let outcome = harness.outcome(too_short);
    assert_eq!(outcome, Some(&RequestOutcome::DeadlineExceeded), "60 ms are left, and responses take 100 ms");
    assert_eq!(harness.sent.len(), sent, "no attempt may be started with 60 ms left");
    let long_enough = harness.submit_write(Idempotency::Idempotent, 150);
    assert_eq!(harness.outcome(long_enough), None, "150 ms must be enough for an attempt");
}
