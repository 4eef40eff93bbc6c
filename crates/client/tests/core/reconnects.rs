//! Circuit breakers and reconnects.

use crate::harness::{config, Harness, MS};
use crate::messages::{error, fatal_error, row};
use basalthill_client::core::DisconnectReason;
use basalthill_client::{Config, Idempotency, RequestOutcome};
use std::time::Duration;

#[test]
fn ejected_router_gets_one_probe_after_its_cooldown() {
    let mut harness = Harness::new(config(2));
    // The first connect is refused, whichever router the core has chosen.
    harness.submit_write(Idempotency::Idempotent, 9000);
    let down_connection = harness.first_connection();
    let down_router = harness.connections[&down_connection];
    harness.disconnect(down_connection, DisconnectReason::NotListening);
    let connection = harness.accept_connection();
    assert_ne!(
        down_router, harness.connections[&connection],
        "the next connection must be to another router"
    );
    harness.receive(connection, &row(b"v"));
    // After the cooldown, six concurrent requests need more than one connection.
    harness.advance(1600);
    for _ in 0..6 {
        harness.submit_write(Idempotency::Idempotent, 9000);
    }
    let probes = harness.connections.values().filter(|router| **router == down_router).count();
    assert_eq!(probes, 1, "connections to {down_router}, of {:?}", harness.connections);
}

#[test]
fn rejected_requests_do_not_eject_their_router() {
    let mut harness = Harness::new(config(1));
    for _ in 0..20 {
        let id = harness.submit_write(Idempotency::NonIdempotent, 900);
        if harness.sent.is_empty() {
            harness.accept_connection();
        }
        harness.receive(harness.last_used_connection(), &error("53300", Some("5000")));
        assert_eq!(harness.outcome(id), Some(&RequestOutcome::Rejected(Some(5000 * MS))));
    }
    let counters = harness.core.counters();
    assert_eq!((counters.ejections, counters.connects), (0, 1));
}

#[test]
fn full_routers_double_the_spread_of_reconnects() {
    // The waits after the third rejection. By default, the spread is 1 s before any doubling, so it is 8 s
    // then.
    let mut third_waits = Vec::new();
    for seed in 0..200 {
        let mut harness = Harness::new(Config { seed, ..config(1) });
        harness.submit_write(Idempotency::Idempotent, 60_000);
        let mut wait = Duration::ZERO;
        for _ in 0..3 {
            let connection = harness.first_connection();
            harness.core.handle_connected(harness.now, connection);
            harness.receive(connection, &fatal_error("53300", None));
            let rejected_at = harness.now;
            while harness.connections.is_empty() {
                harness.advance(5);
            }
            wait = harness.now - rejected_at;
        }
        third_waits.push(wait);
    }
    third_waits.sort();
    let median = third_waits[100];
    assert!(
        median > 2000 * MS && third_waits[199] < 16_000 * MS,
        "median {median:?} of the third waits, longest {:?}",
        third_waits[199]
    );
}

#[test]
fn reconnects_after_a_lost_connection_are_spread_over_half_of_the_remaining_time() {
    let mut waits = Vec::new();
    for seed in 0..400 {
        let mut harness = Harness::new(Config { seed: seed * 7919, ..config(4) });
        let id = harness.submit_write(Idempotency::Idempotent, 5000);
        let connection = harness.accept_connection();
        harness.receive(connection, &row(b"v"));
        assert!(harness.outcome(id).is_some(), "the first request must be completed");
        harness.disconnect(connection, DisconnectReason::Other);
        let lost_at = harness.now;
        harness.submit_write(Idempotency::Idempotent, 900);
        while harness.connections.is_empty() {
            harness.advance(1);
        }
        waits.push(harness.now - lost_at);
    }
    let longest = *waits.iter().max().expect("no wait was measured");
    assert!(longest <= 451 * MS, "the longest wait exceeds half of the remaining 900 ms: {longest:?}");
    let shorter_than = |ms: u32| waits.iter().filter(|wait| **wait < ms * MS).count();
    for n in 0..9 {
        let in_interval = shorter_than((n + 1) * 50) - shorter_than(n * 50);
        assert!(in_interval < 80, "{in_interval} of 400 waits end within 50 ms from {} ms", n * 50);
    }
}
