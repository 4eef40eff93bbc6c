//! Sessions: storing, sending and replacing tokens, and exporting and importing them.

use crate::harness::{config, Harness, MS};
use crate::messages::{row, session_token, READY_FOR_QUERY};
use basalthill_client::core::ConnectionId;
use basalthill_client::{Config, Request, Session};

/// Returns a harness that allows more connections than a session can use.
fn harness() -> Harness {
    Harness::new(Config { max_connections_per_router: 64, ..config(1) })
}

fn submit_write(harness: &mut Harness, session: &Session) {
    let request = Request::write("w", 1, "k", b"v").session(session);
    harness.submit(request.deadline(harness.now + 9000 * MS));
}

/// Completes the startup of open connections until `statements` statements have been sent.
fn accept_until_sent(harness: &mut Harness, statements: usize) {
    while harness.sent.len() < statements {
        let open: Vec<ConnectionId> = harness.connections.keys().copied().collect();
        for connection in open {
            harness.core.handle_connected(harness.now, connection);
            if !harness.sent.iter().any(|statement| statement.connection == connection) {
                harness.receive(connection, READY_FOR_QUERY);
            }
        }
    }
}

#[test]
fn session_tokens_are_sent_with_requests_and_replaced_by_each_response() {
    let session = Session::new("anne").unwrap();
    let mut harness = harness();
    submit_write(&mut harness, &session);
    let connection = harness.accept_connection();
    let first = &harness.sent[0].text;
    assert!(
        first.contains(",session=anne") && !first.contains("token"),
        "expected the session's name and no token in {first:?}"
    );
    // A token sent ahead of the response, then the response's token, which replaces it.
    harness.receive(connection, &session_token("early"));
    assert_eq!(session.tokens(), ["early"]);
    harness.receive(connection, &[session_token("t1"), row(b"v")].concat());
    assert_eq!(session.tokens(), ["t1"]);
    // With 20 concurrent requests, no more than eight are in flight and no more than eight tokens are stored.
    for _ in 0..20 {
        submit_write(&mut harness, &session);
    }
    accept_until_sent(&mut harness, 9);
    assert_eq!(harness.sent.len(), 9, "expected the first statement and eight of the twenty");
    let mut responses = 0;
    while harness.reports.len() < 21 {
        let connection = harness.sent[1 + responses].connection;
        responses += 1;
        harness.receive(connection, &[session_token(&format!("x{responses}")), row(b"v")].concat());
        assert!(session.tokens().len() <= 8, "more than eight tokens: {:?}", session.tokens());
        if responses == 2 {
            assert_eq!(session.tokens(), ["x1", "x2"], "neither request was sent with the other's token");
        }
    }
}

#[test]
fn exported_session_is_imported_and_a_cut_off_export_lacks_tokens() {
    let session = Session::new("anne").unwrap();
    let mut harness = harness();
    for _ in 0..8 {
        submit_write(&mut harness, &session);
    }
    accept_until_sent(&mut harness, 8);
    for index in 0..8 {
        let connection = harness.sent[index].connection;
        harness.receive(connection, &[session_token(&format!("x{index}")), row(b"v")].concat());
    }
    assert_eq!(session.tokens().len(), 8);
    let bytes = session.export();
    let imported = Session::import(&bytes).unwrap();
    assert_eq!(imported.name(), session.name());
    assert_eq!(imported.tokens(), session.tokens());
    for length in 1..bytes.len() {
        if let Ok(part) = Session::import(&bytes[..length]) {
            let is_shorter = part.tokens().len() < session.tokens().len();
            assert!(is_shorter, "{length} bytes imported as a session with all tokens");
        }
    }
    assert!(Session::import(b"").is_err());
    assert!(Session::new("a,b").is_err());
}
