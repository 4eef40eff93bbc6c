//! Tests of attempts: each way in which an attempt can end, and its consequences.

use crate::common::SETTINGS;
use crate::harness::*;
use basalthill_config::settings::{read, Deployment};
use basalthill_policy::api::{MemberId, Status, Time};
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
        (discarded_row(), Status::Discarded),
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

/// The effects that settings can give to a class, and whether a request of the class may be rejected after it
/// has run.
const EFFECTS: [(&str, bool); 6] = [
    ("\"at_most_once\"", false),
    ("\"idempotent\"", true),
    ("\"deduplicated\", \"keyScope\": \"cell\", \"window\": 60000000000", false),
    ("\"deduplicated\", \"keyScope\": \"zone\", \"window\": 60000000000", false),
    ("\"deduplicated\", \"keyScope\": \"all\", \"window\": 1000000000", false),
    ("\"deduplicated\", \"keyScope\": \"all\", \"window\": 60000000000", false),
];

/// Returns the settings of the stand-ins with this effect for each class.
fn deployment_with_effect(effect: &str) -> Deployment {
    let settings = SETTINGS.replace("\"idempotent\"", effect).replace("\"at_most_once\"", effect);
    read(settings.as_bytes()).expect("invalid settings")
}

/// Returns a response whose row has been discarded for lack of memory.
fn discarded_row() -> ExchangeResult {
    ExchangeResult::Response(QueryOutcome::RowDiscarded, ReportedState::default())
}

/// Guards against a rejection of a request that has run and must not run again: its client would repeat it.
#[test]
fn request_that_ran_and_whose_row_was_discarded_is_rejected_only_if_it_may_run_again() {
    for (effect, may_run_again) in EFFECTS {
        for class in ["view", "own", "status", "report", "write"] {
            let mut harness = RouterHarness::ready_with(deployment_with_effect(effect));
            let id = harness.start_attempt(1, class).id;
            let mut effects = harness.finish(id, discarded_row());
            effects.extend(harness.advance_ms(1000));
            let replies = client_replies(&effects);
            let is_expected = match replies[..] {
                [(1, Reply::Rejected { .. })] => may_run_again,
                [(1, Reply::Failed)] => !may_run_again,
                _ => false,
            };
            assert!(is_expected, "{effect}, {class}: {replies:?}");
            assert!(started_attempts(&effects).is_empty(), "{effect}, {class}: {effects:?}");
            harness.assert_no_open_request();
        }
    }
}

/// Guards against a read that is written to a replica whose data has become too old while the exchange waited
/// for its connection.
#[test]
fn bounded_read_is_not_written_after_its_data_became_too_old() {
    let settings = SETTINGS.replace("\"await\"", "\"none\"");
    let mut harness = RouterHarness::ready_with(read(settings.as_bytes()).expect("invalid settings"));
    let exchange = harness.start_attempt(1, "view");
    assert!(exchange.goes_to(REPLICA), "{exchange:?}");
    let may_write = |harness: &RouterHarness, ms: u64| {
        harness.router.may_write(harness.now.plus(Time::ms(ms)), exchange.id, MemberId(1))
    };
    // The bound of the class is three seconds.
    assert!(may_write(&harness, 0) && may_write(&harness, 2900));
    assert!(!may_write(&harness, 3100));
}
