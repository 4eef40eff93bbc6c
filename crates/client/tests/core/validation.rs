//! Validation: requests that no router can serve are completed as invalid.

use crate::harness::{config, Harness, MS};
use crate::messages::error;
use basalthill_client::core::TableSizes;
use basalthill_client::{Request, RequestOutcome};

#[test]
fn invalid_requests_are_completed_without_being_sent() {
    let mut harness = Harness::new(config(1));
    let invalid = [
        Request::read("a,b", 1, "k"),
        Request::read("", 1, "k"),
        Request::read("a */ b", 1, "k"),
        Request::read("a", 1, "k\0"),
        Request::read("a", 1, "k").tenant("x=y"),
        Request::write("a", 1, "k", &[0; 70_000]),
    ];
    for request in invalid {
        let id = harness.submit(request);
        assert!(
            matches!(harness.outcome(id), Some(RequestOutcome::Invalid(_))),
            "expected Invalid, got {:?}",
            harness.outcome(id)
        );
    }
    assert!(harness.connections.is_empty(), "a connection was opened for an invalid request");
    assert_eq!(harness.core.table_sizes(), TableSizes::default());
}

#[test]
fn quotes_in_a_key_are_escaped_and_statement_errors_are_not_retried() {
    let mut harness = Harness::new(config(1));
    let request = Request::read("a", 1, "o'x' /* id=7 */");
    let id = harness.submit(request.deadline(harness.now + 900 * MS));
    let connection = harness.accept_connection();
    let statement = &harness.sent[0].text;
    let expected_start = "SELECT v FROM records WHERE k = 'o''x'' /* id=7 */' /* id=";
    assert!(statement.starts_with(expected_start), "{statement:?} does not start with {expected_start:?}");
    harness.receive(connection, &error("22023", None));
    let outcome = harness.outcome(id);
    assert!(
        matches!(outcome, Some(RequestOutcome::Invalid(invalid)) if invalid.code() == "22023"),
        "expected Invalid with code 22023, got {outcome:?}"
    );
}
