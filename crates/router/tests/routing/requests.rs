//! Tests of requests, from their arrival to their only reply.

use crate::common::statement;
use crate::harness::*;
use basalthill_policy::api::{MemberId, Time};
use basalthill_router::protocol::host::QueryOutcome;
use basalthill_router::routing::{ClientId, Effect, ExchangeId, ExchangeResult, Input, Query, Reply};

/// Returns a router that has started an attempt of a request of client 1.
fn harness_with_attempt(class: &str) -> (RouterHarness, ExchangeId) {
    let mut harness = RouterHarness::ready();
    let id = harness.start_attempt(1, class).id;
    (harness, id)
}

#[test]
fn write_is_sent_to_primary_and_its_row_returned_to_client() {
    let mut harness = RouterHarness::ready();
    let StartedExchange { id, addr, query } = harness.start_attempt(1, "write");
    assert_eq!(addr, address(PRIMARY));
    let Query::Statement { statement, deadline, floor_ms: None } = query else { panic!("{query:?}") };
    assert!(statement.text().starts_with(b"INSERT"));
    assert!((460..480).contains(&harness.ms_until(deadline)), "{deadline:?}");
    let reported = harness.reported(true, 0);
    let effects = harness.finish(id, ExchangeResult::Response(QueryOutcome::Row(row(b"x")), reported));
    assert_eq!(client_replies(&effects), [(1, Reply::Served(row(b"x")))]);
    assert_eq!(harness.router.unanswered(), 0);
    harness.assert_no_open_request();
    let effects = harness.finish(id, ExchangeResult::ConnectionLost);
    assert!(client_replies(&effects).is_empty(), "a second result of the same attempt got a reply");
}

/// The client's timeout counts from the arrival of the command's last byte, even if the command has waited in
/// its pipeline since then.
#[test]
fn deadline_counts_from_arrival_and_not_from_the_start_of_processing() {
    let mut harness = RouterHarness::ready();
    let arrived_at = harness.now.minus(Time::ms(300));
    let effects = harness.input(request(1, statement("write", ""), arrived_at));
    let [attempt] = &started_exchanges(&effects)[..] else { panic!("{effects:?}") };
    let remaining_ms = harness.ms_until(attempt.deadline());
    assert!(
        (160..180).contains(&remaining_ms),
        "the attempt's deadline is {remaining_ms} ms away, expected 160 to 180, the client's remaining time"
    );
    let replies = client_replies(&harness.advance_ms(180));
    assert_eq!(replies, [(1, Reply::Failed)], "the write may have run, and its deadline has passed");

    let arrived_at = harness.now.minus(Time::ms(480));
    let effects = harness.input(request(2, statement("write", ""), arrived_at));
    assert!(started_exchanges(&effects).is_empty(), "nothing is sent after the deadline");
    let replies = client_replies(&effects);
    assert!(matches!(replies[..], [(2, Reply::Rejected { retry_after_ms: Some(_) })]), "{effects:?}");

    // With an arrival time in the future, a request still gets at most its full timeout.
    let arrived_at = harness.now.plus(Time::ms(500));
    let effects = harness.input(request(3, statement("write", ""), arrived_at));
    let [attempt] = &started_exchanges(&effects)[..] else { panic!("{effects:?}") };
    let remaining_ms = harness.ms_until(attempt.deadline());
    assert!(
        (460..480).contains(&remaining_ms),
        "the attempt's deadline is {remaining_ms} ms away, expected 460 to 480"
    );
}

#[test]
fn read_is_cancelled_when_its_client_disconnects() {
    let (mut harness, id) = harness_with_attempt("view");
    let effects = harness.input(Input::ClientDisconnected(ClientId(1)));
    assert!(aborts(&effects, id), "{effects:?}");
    assert!(client_replies(&effects).is_empty());
    harness.assert_no_open_request();
    assert!(client_replies(&harness.finish(id, row_response(b"x"))).is_empty());
}

#[test]
fn write_is_tracked_until_it_ends_after_its_client_disconnects() {
    let (mut harness, id) = harness_with_attempt("write");
    harness.input(Input::ClientDisconnected(ClientId(1)));
    assert_eq!(harness.router.outstanding().requests, 1);
    let effects = harness.finish(id, row_response(b"x"));
    assert!(client_replies(&effects).is_empty());
    harness.assert_no_open_request();
}

#[test]
fn empty_response_is_an_error_and_unknown_class_or_group_is_invalid() {
    let (mut harness, id) = harness_with_attempt("write");
    let effects = harness.finish(id, empty_response());
    assert_eq!(client_replies(&effects), [(1, Reply::Failed)]);
    let effects = harness.send_request(2, "nonsense", "");
    let [(2, Reply::Invalid(error))] = &client_replies(&effects)[..] else { panic!("{effects:?}") };
    assert_eq!(error.code, "22023");
    let effects = harness.send_request(3, "view", ",cluster=9");
    assert!(matches!(&client_replies(&effects)[..], [(3, Reply::Invalid(_))]), "{effects:?}");
    harness.assert_no_open_request();
}

#[test]
fn session_floor_is_met_by_the_reported_position_and_capped_at_the_present() {
    // The replica has reported the start of the present millisecond as its position; half of that millisecond
    // has passed.
    let cases = [(None, true), (Some(0), true), (Some(1), false), (Some(3_600_000), false)];
    for (after_ms, replica_serves) in cases {
        let mut harness = RouterHarness::ready();
        harness.now = harness.now.plus(Time(500_000));
        let StartedExchange { id, addr, .. } = harness.start_attempt(1, "report");
        assert_eq!(addr, address(REPLICA));
        let reported = harness.reported(false, 0);
        harness.finish(id, ExchangeResult::Response(QueryOutcome::Row(row(b"x")), reported));
        let floor = after_ms.map(|ms| format!(",after={}", harness.unix_ms() + ms));
        let effects = harness.send_request(2, "own", &floor.unwrap_or_default());
        let to_replica = started_attempts(&effects).iter().any(|attempt| attempt.goes_to(REPLICA));
        assert_eq!(to_replica, replica_serves, "after {after_ms:?}: {effects:?}");
    }
}

#[test]
fn shutdown_fails_requests_without_reply_exactly_once() {
    let (mut harness, id) = harness_with_attempt("write");
    assert_eq!(client_replies(&harness.input(Input::Shutdown)), [(1, Reply::Failed)]);
    let effects = harness.finish(id, row_response(b"x"));
    assert!(client_replies(&effects).is_empty());
    harness.assert_no_open_request();
}

#[test]
fn duplicate_id_of_an_open_request_is_invalid_and_not_forwarded() {
    let mut harness = RouterHarness::ready();
    let effects = harness.send_request(1, "write", ",id=same");
    let first = started_exchanges(&effects)[0].id;
    let effects = harness.send_request(2, "write", ",id=same");
    let replies = client_replies(&effects);
    assert!(matches!(&replies[..], [(2, Reply::Invalid(e))] if e.code == "22023"), "{replies:?}");
    assert!(started_exchanges(&effects).is_empty());
    // The first request is unaffected. Once it has completed, its id may be used again.
    let effects = harness.finish(first, row_response(b"x"));
    assert!(matches!(&client_replies(&effects)[..], [(1, Reply::Served(_))]));
    let effects = harness.send_request(2, "write", ",id=same");
    assert!(client_replies(&effects).is_empty());
    assert_eq!(started_exchanges(&effects).len(), 1);
}

#[test]
fn query_is_not_written_after_its_client_disconnects_or_cancels() {
    for input in [Input::ClientDisconnected(ClientId(1)), Input::CancelRequested(ClientId(1))] {
        let mut harness = RouterHarness::ready();
        // The attempt of a non-idempotent write is not aborted, and may still be waiting for a connection.
        let id = harness.start_attempt(1, "write").id;
        assert!(harness.router.may_write(harness.now, id, MemberId(0)));
        let cancelled = matches!(input, Input::CancelRequested(_));
        let effects = harness.input(input);
        assert!(!harness.router.may_write(harness.now, id, MemberId(0)));
        let is_cancelled = |e: &&Effect| matches!(e, Effect::Reply { reply: Reply::Cancelled, .. });
        let count = effects.iter().filter(is_cancelled).count();
        assert_eq!(count, usize::from(cancelled), "{effects:?}");
        let effects = harness.finish(id, ExchangeResult::Skipped);
        assert!(started_attempts(&effects).is_empty(), "{effects:?}");
        harness.advance_ms(4000);
        assert_eq!(harness.router.outstanding().requests, 0);
    }
}

#[test]
fn requests_before_the_first_endpoint_list_are_rejected_and_never_invalid() {
    let (mut harness, _) = RouterHarness::start(None);
    // Directly after the start, a request waits for the endpoint list, for at most 300 ms.
    let effects = harness.send_request(3, "write", "");
    assert!(client_replies(&effects).is_empty(), "{effects:?}");
    let effects = harness.advance_ms(300);
    let replies = client_replies(&effects);
    assert!(matches!(replies[..], [(3, Reply::Rejected { retry_after_ms: Some(_) })]), "{effects:?}");
    let is_rejected =
        |(_, reply): &(u64, Reply)| matches!(reply, Reply::Rejected { retry_after_ms: Some(_) });
    let effects = harness.send_request(1, "write", "");
    assert!(client_replies(&effects).iter().any(is_rejected), "{effects:?}");
    harness.apply_list(list(1, true, &[member("s-1", PRIMARY, "active", "source")]));
    let effects = harness.send_request(1, "write", ",cluster=9");
    let is_invalid = |(_, reply): &(u64, Reply)| matches!(reply, Reply::Invalid(_));
    assert!(client_replies(&effects).iter().any(is_invalid), "{effects:?}");
}
