//! Tests of timers and health checks.

use crate::harness::*;
use basalthill_policy::api::Time;
use basalthill_router::protocol::host::QueryOutcome;
use basalthill_router::routing::{ExchangeResult, Input, Outstanding, Query};

#[test]
fn health_check_times_out_and_is_counted_once() {
    let known = list(1, true, &[member("s-1", PRIMARY, "active", "source")]);
    let (mut harness, effects) = RouterHarness::start(Some(known));
    let [probe] = &started_exchanges(&effects)[..] else { panic!("{effects:?}") };
    assert!(matches!(probe.query, Query::HealthCheck("SHOW vitals")), "{effects:?}");
    assert_eq!(harness.router.outstanding().probes, 1);
    let effects = harness.advance_ms(251);
    assert!(aborts(&effects, probe.id), "{effects:?}");
    assert!(!started_exchanges(&effects).iter().any(|exchange| exchange.id == probe.id));
    let reported = harness.reported(true, 0);
    let response = ExchangeResult::Response(QueryOutcome::Row(row(b"x0=1,x1=1")), reported);
    harness.finish(probe.id, response);
    let Outstanding { requests, probes, timers } = harness.router.outstanding();
    assert_eq!((requests, timers - probes), (0, 1));
}

#[test]
fn timer_never_fires_early_or_within_the_call_that_set_it() {
    let mut harness = RouterHarness::ready();
    harness.advance_ms(300);
    let due = harness.router.next_due().unwrap();
    assert!(due > harness.now);
    // A tick before the timer is due has no effect: a timer that fired early would never fire again.
    harness.now = Time(due.0 - 1);
    harness.input(Input::Tick);
    assert_eq!(harness.router.next_due(), Some(due));
    harness.now = due;
    harness.input(Input::Tick);
    let next = harness.router.next_due().unwrap();
    assert!(next > due, "a timer that is set in this call does not fire in it");
    for _ in 0..200 {
        harness.advance_ms(50);
    }
    assert!(harness.router.next_due().is_some(), "the policy's periodic timer is still set");
}
