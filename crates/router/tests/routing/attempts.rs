//! Tests of attempts: each way in which an attempt can end, and its consequences.

use crate::harness::*;
use basalthill_policy::api::Status;
use basalthill_router::protocol::host::{QueryOutcome, ReportedState};
use basalthill_router::routing::{ClientId, ExchangeResult, Input, Reply};

#[test]
fn write_with_uncertain_outcome_fails_without_retry() {
    let uncertain =
        [ExchangeResult::ConnectionLost, ExchangeResult::MalformedResponse, error_response("XX000")];
    for result in uncertain {
        let mut harness = RouterHarness::ready();
        let id = harness.start_attempt(1, "write").id;
        let mut effects = harness.finish(id, result.clone());
        effects.extend(harness.advance_ms(1000));
        assert_eq!(client_replies(&effects), [(1, Reply::Failed)], "{result:?}");
        assert!(started_attempts(&effects).is_empty(), "{result:?}: {effects:?}");
        harness.assert_no_open_request();
    }
}

#[test]
fn write_that_never_ran_is_rejected_after_bounded_retries() {
    let replica = ReportedState { primary: Some(false), ..ReportedState::default() };
    let never_ran = [
        ExchangeResult::NotSent,
        ExchangeResult::ConnectionRejected("53300".into()),
        ExchangeResult::ConnectionRejected("28000".into()),
        error_response("53300"),
        ExchangeResult::Response(QueryOutcome::Error("25006".into()), replica),
    ];
    for result in never_ran {
        let mut harness = RouterHarness::ready();
        let id = harness.start_attempt(1, "write").id;
        let mut effects = harness.finish(id, result.clone());
        let mut all_effects = Vec::new();
        for _ in 0..100 {
            let retries = started_exchanges(&effects);
            all_effects.append(&mut effects);
            for retry in retries {
                effects.extend(harness.finish(retry.id, result.clone()));
            }
            effects.extend(harness.advance_ms(10));
        }
        all_effects.append(&mut effects);
        let replies = client_replies(&all_effects);
        assert!(
            matches!(replies[..], [(1, Reply::Rejected { retry_after_ms: Some(1000) })]),
            "{result:?}: {replies:?}"
        );
        let retries = started_attempts(&all_effects).len();
        assert!(retries <= 2, "{retries} retries, expected at most two after the first attempt");
        harness.assert_no_open_request();
    }
}

#[test]
fn every_exchange_result_maps_to_its_attempt_status() {
    let cases = [
        (row_response(b"x"), Status::Ok),
        (error_response("25006"), Status::Misdirected),
        (error_response("72000"), Status::Misdirected),
        (error_response("53300"), Status::Overloaded),
        (error_response("XX000"), Status::Error),
        (error_response("57P03"), Status::Error),
        (empty_response(), Status::Error),
        (ExchangeResult::ConnectionRejected("53300".into()), Status::Overloaded),
        (ExchangeResult::ConnectionRejected("28P01".into()), Status::ConnectFailed),
        (ExchangeResult::NotSent, Status::ConnectFailed),
        (ExchangeResult::Skipped, Status::NotSent),
        (ExchangeResult::ConnectionLost, Status::Reset),
        (ExchangeResult::MalformedResponse, Status::Error),
    ];
    for (result, status) in cases {
        let mut harness = RouterHarness::ready();
        let id = harness.start_attempt(1, "view").id;
        harness.router.take_request_counters();
        harness.finish(id, result.clone());
        assert_eq!(harness.router.take_request_counters().attempts(status), 1, "{result:?}");
    }
    let mut harness = RouterHarness::ready();
    harness.start_attempt(1, "view");
    harness.input(Input::ClientDisconnected(ClientId(1)));
    harness.start_attempt(2, "write");
    harness.advance_ms(500);
    let counters = harness.router.take_request_counters();
    assert_eq!(counters.attempts(Status::Cancelled), 1);
    assert_eq!(counters.attempts(Status::Timeout), 1);
    assert_eq!((counters.abandoned, counters.failed), (1, 1));
}

#[test]
fn attempt_without_response_times_out_and_its_client_gets_a_reply_in_time() {
    let mut harness = RouterHarness::ready();
    let id = harness.start_attempt(1, "write").id;
    let early = harness.advance_ms(460);
    assert!(client_replies(&early).is_empty());
    let late = harness.advance_ms(20);
    assert!(aborts(&late, id), "{late:?}");
    assert_eq!(client_replies(&late), [(1, Reply::Failed)]);
    harness.assert_no_open_request();
}

#[test]
fn statement_errors_do_not_count_as_host_faults() {
    for code in ["08P01", "22023", "42601"] {
        let mut harness = RouterHarness::ready();
        for client in 0..5 {
            let id = harness.start_attempt(client, "write").id;
            let effects = harness.finish(id, error_response(code));
            assert!(matches!(&client_replies(&effects)[..], [(_, Reply::Invalid(_))]), "{code}: {effects:?}");
            assert!(
                started_exchanges(&effects).is_empty(),
                "no retry, as any other host would return the same error"
            );
        }
        // The primary still gets requests.
        harness.start_attempt(9, "write");
    }
}
