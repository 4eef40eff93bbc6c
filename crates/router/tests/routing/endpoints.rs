//! Tests of endpoint lists: addresses, drains and restarts.

use crate::harness::*;
use basalthill_policy::api::{MemberId, Time};
use basalthill_router::routing::{Effect, ExchangeId};

/// The address to which the primary moves.
const NEW_ADDRESS: &str = "127.0.0.1:7009";

#[test]
fn host_is_reached_at_its_newest_address_and_a_removed_host_gets_no_requests() {
    let mut harness = RouterHarness::ready();
    let moved = member("s-1", NEW_ADDRESS, "active", "source");
    harness.apply_list(list(2, false, std::slice::from_ref(&moved)));
    let StartedExchange { id, addr, .. } = harness.start_attempt(1, "write");
    assert_eq!(addr, address(NEW_ADDRESS));
    harness.finish(id, row_response(b"x"));
    // A complete list without the replica: no request is sent to it after the drain grace period.
    harness.apply_list(list(3, true, &[moved]));
    harness.advance_ms(1100);
    for client in 2..20 {
        let effects = harness.send_request(client, "report", "");
        for attempt in started_attempts(&effects) {
            assert_eq!(attempt.addr, address(NEW_ADDRESS));
            harness.finish(attempt.id, row_response(b"x"));
        }
    }
}

#[test]
fn nothing_may_be_written_after_the_drain_grace_period() {
    let mut harness = RouterHarness::ready();
    let may_write = |harness: &RouterHarness, member: u32| {
        harness.router.may_write(harness.now, ExchangeId::Probe(0), MemberId(member))
    };
    harness.apply_list(list(2, false, &both_members("leaving")));
    harness.advance_ms(999);
    assert!(may_write(&harness, 0));
    harness.apply_list(list(3, false, &both_members("left")));
    harness.advance_ms(1);
    assert!(!may_write(&harness, 0), "the grace period starts with the first announcement");
    assert!(may_write(&harness, 1));
    harness.apply_list(list(4, false, &both_members("active")));
    assert!(may_write(&harness, 0), "the member is back in service");
    harness.apply_list(list(5, true, &both_members("active")[1..]));
    harness.advance_ms(1000);
    assert!(!may_write(&harness, 0), "a member that a complete list lacks is removed");
}

/// Returns the connections that effects close because their host has restarted or moved: the host's address,
/// and the time before which the closed connections were last used.
fn closed_connections(effects: &[Effect]) -> Vec<(String, Time)> {
    let closed = |effect: &Effect| match effect {
        Effect::CloseConnectionsIdleSince { addr, before } => Some((addr.to_string(), *before)),
        _ => None,
    };
    effects.iter().filter_map(closed).collect()
}

#[test]
fn connections_idle_since_before_a_host_restart_or_move_are_closed() {
    let mut harness = RouterHarness::ready();
    let mut restarted = list(2, false, &[member("s-2", REPLICA, "active", "copy")]);
    restarted.servers[0].started_ms = START.0 / 1_000_000;
    // The list arrives 3 s after the replica's restart. Connections used since the restart stay open.
    harness.advance_ms(3000);
    assert_eq!(closed_connections(&harness.apply_list(restarted.clone())), [(REPLICA.to_string(), START)]);
    assert_eq!(
        closed_connections(&harness.apply_list(restarted)),
        [],
        "connections are closed once for each restart of a host"
    );
    let moved = list(3, false, &[member("s-1", NEW_ADDRESS, "active", "source")]);
    assert_eq!(closed_connections(&harness.apply_list(moved)), [(PRIMARY.to_string(), Time(u64::MAX))]);
}
