//! Outcomes of attempts: which of them prove that the statement has not run, so that it may be retried.

use crate::harness::{config, Harness, MS};
use crate::messages::{error, fatal_error, message, row, session_token, READY_FOR_QUERY};
use basalthill_client::core::DisconnectReason;
use basalthill_client::{AttemptOutcome, Idempotency, RequestOutcome, WriteProgress};

/// Returns the length of the statement that [`Harness::submit_write`] sends, in bytes.
fn statement_len() -> usize {
    let mut harness = Harness::new(config(1));
    harness.submit_write(Idempotency::NonIdempotent, 900);
    let connection = harness.accept_connection();
    harness.written[&connection].len()
}

#[test]
fn lost_connection_may_have_run_only_after_the_last_byte_was_written() {
    let total = statement_len();
    for written in 0..=total {
        for idempotency in [Idempotency::NonIdempotent, Idempotency::Idempotent, Idempotency::Keyed(500 * MS)]
        {
            let mut harness = Harness::new(config(1));
            harness.completes_writes = false;
            let id = harness.submit_write(idempotency, 900);
            let connection = harness.first_connection();
            harness.core.handle_connected(harness.now, connection);
            harness.perform_actions();
            harness.receive(connection, READY_FOR_QUERY);
            harness.core.handle_written(connection, written);
            harness.completes_writes = true;
            harness.disconnect(connection, DisconnectReason::Other);
            if idempotency == Idempotency::NonIdempotent && written == total {
                let outcome = harness.outcome(id);
                assert_eq!(outcome, Some(&RequestOutcome::MayHaveRun), "all {total} bytes written");
                let attempts = &harness.reports[&id].attempts;
                assert_eq!(attempts[0].outcome, AttemptOutcome::Closed(WriteProgress::Complete));
                continue;
            }
            assert_eq!(
                harness.outcome(id),
                None,
                "{written} of {total} bytes written: the request must be retried"
            );
            harness.accept_connection();
            assert_eq!(harness.sent.len(), 2, "{written} of {total} bytes written, {idempotency:?}");
            assert!(harness.sent[1].text.contains(",r=1"), "a retry must carry the field r=1");
        }
    }
}

#[test]
fn non_idempotent_write_is_retried_only_if_proved_not_to_have_run() {
    struct Case {
        name: &'static str,
        response: Vec<u8>,
        /// Whether the connection is lost after the response.
        is_disconnected: bool,
        is_retried: bool,
    }
    let case = |name, response, is_retried| Case { name, response, is_disconnected: false, is_retried };
    let cases = [
        case("rejected", error("53300", Some("50")), true),
        case("rejected during shutdown", error("57P03", None), true),
        case("close notice", fatal_error("57P01", None), true),
        case("other error", error("58000", None), false),
        case("malformed response", b"!\0\0\0\x04".to_vec(), false),
        Case {
            name: "partial response",
            response: row(b"v")[..9].to_vec(),
            is_disconnected: true,
            is_retried: false,
        },
    ];
    for Case { name, response, is_disconnected, is_retried } in cases {
        let mut harness = Harness::new(config(1));
        let id = harness.submit_write(Idempotency::NonIdempotent, 2000);
        let connection = harness.accept_connection();
        harness.receive(connection, &response);
        if is_disconnected {
            harness.disconnect(connection, DisconnectReason::Other);
        }
        if !is_retried {
            assert_eq!(harness.outcome(id), Some(&RequestOutcome::MayHaveRun), "{name}");
            continue;
        }
        assert_eq!(harness.outcome(id), None, "{name}");
        harness.advance(200);
        if harness.sent.len() < 2 {
            harness.accept_connection();
        }
        assert_eq!(harness.sent.len(), 2, "{name}");
        harness.receive(harness.sent[1].connection, &row(b"v"));
        assert_eq!(harness.outcome(id), Some(&RequestOutcome::Served(Some(b"v".to_vec()))), "{name}");
        assert_eq!(harness.reports[&id].attempts.len(), 2);
    }
}

#[test]
fn close_notice_after_the_start_of_a_response_does_not_prove_that_nothing_ran() {
    let description = row(b"v")[..7].to_vec();
    let description_and_row = row(b"v")[..19].to_vec();
    let early_token = message(b'S', b"session_token\0x\0");
    assert_eq!(early_token, session_token("x"));
    for start in [description, description_and_row, early_token] {
        let mut harness = Harness::new(config(1));
        let id = harness.submit_write(Idempotency::NonIdempotent, 2000);
        let connection = harness.accept_connection();
        harness.receive(connection, &[start.clone(), fatal_error("57P01", None)].concat());
        assert_eq!(harness.outcome(id), Some(&RequestOutcome::MayHaveRun), "{start:?}");
    }
}
