//! Tests of the leases of other proxies.

use crate::harness::*;
use basalthill_extproc::{
    DecisionRequest, LeaseId, LeaseOutcome, LeaseUsage, ProxyLimits, ProxyReply, StreamId, WriteId,
};
use basalthill_policy::api::{ClassId, GroupId, ReplicationState, Role, TenantId, Time};
use basalthill_router::routing::{Effect, Input, ProxyMessage};
use std::net::SocketAddr;

const PROXY_LIMITS: ProxyLimits = ProxyLimits {
    max_open_calls: 100,
    max_registered_writes: 1000,
    id_window: Time::ms(10_000),
    skew: Time::ms(5),
    send_within: Time::ms(200),
};

/// A lease that was granted to a proxy.
struct GrantedLease {
    lease: LeaseId,
    addr: SocketAddr,
    send_by: Time,
}

impl RouterHarness {
    /// Sends a proxy's request for a member, for a write whose id was generated now. Returns the effects.
    fn send_proxy_request(&mut self, stream: u64) -> Vec<Effect> {
        // A UUID of version 7 (RFC 9562); its first 48 bits are the time in milliseconds.
        let id = u128::from(self.unix_ms()) << 80 | 7 << 76 | 2 << 62 | u128::from(stream);
        let request = DecisionRequest {
            id: WriteId::new(id),
            class: ClassId(4),
            tenant: TenantId(0),
            group: GroupId(2),
            deadline: self.now.plus(Time::ms(900)),
            floor: Time(0),
            lead: Time(0),
            client_retry: false,
        };
        self.input(Input::Proxy(StreamId(stream), ProxyMessage::Request(request)))
    }

    /// Sends a proxy's request for a member, and returns the lease that the proxy is granted.
    fn obtain_lease(&mut self, stream: u64) -> GrantedLease {
        let effects = self.send_proxy_request(stream);
        granted(&effects).expect("no lease was granted")
    }

    /// Sends a proxy's report of how the attempt under a lease ended and of the member's role. Returns the
    /// effects.
    fn report_lease_outcome(
        &mut self,
        stream: u64,
        lease: LeaseId,
        outcome: LeaseOutcome,
        role: Role,
    ) -> Vec<Effect> {
        let replication = ReplicationState { position: Some(self.now), role: Some(role) };
        let message = ProxyMessage::Outcome { lease, outcome, replication };
        self.input(Input::Proxy(StreamId(stream), message))
    }
}

fn granted(effects: &[Effect]) -> Option<GrantedLease> {
    effects.iter().find_map(|effect| match effect {
        Effect::ProxyReply { reply: ProxyReply::Member { lease, send_by, .. }, addr: Some(addr), .. } => {
            Some(GrantedLease { lease: *lease, addr: *addr, send_by: *send_by })
        }
        _ => None,
    })
}

fn usage(open_calls: usize, leases: usize, registered_writes: usize) -> LeaseUsage {
    LeaseUsage { open_calls, leases, registered_writes }
}

#[test]
fn proxies_and_clients_use_one_policy_and_its_member_state() {
    let mut harness = RouterHarness::ready();
    assert!(harness.send_proxy_request(1).is_empty(), "proxies are not served by default");
    harness.advance_ms(10);
    harness.router.serve_proxies(harness.now, PROXY_LIMITS);
    harness.advance_ms(10);
    let GrantedLease { lease, addr, send_by } = harness.obtain_lease(1);
    assert_eq!((addr, send_by), (address(PRIMARY), harness.now.plus(Time::ms(200))));
    assert!(harness.report_lease_outcome(1, lease, LeaseOutcome::Served, Role::Primary).is_empty());
    assert_eq!(harness.router.lease_usage(), usage(0, 0, 1));
    // The proxy's report that the member is not the primary applies to clients' requests too.
    let lease = harness.obtain_lease(2).lease;
    harness.report_lease_outcome(2, lease, LeaseOutcome::Misdirected, Role::Replica);
    let effects = harness.send_request(1, "write", "");
    assert!(!started_exchanges(&effects).iter().any(|e| e.goes_to(PRIMARY)), "{effects:?}");
}

#[test]
fn unreported_lease_expires_at_the_deadline_and_its_request_fails_once() {
    let mut harness = RouterHarness::ready();
    harness.router.serve_proxies(harness.now, PROXY_LIMITS);
    harness.advance_ms(10);
    let lease = harness.obtain_lease(1).lease;
    assert_eq!(harness.router.lease_usage(), usage(1, 1, 1));
    let effects = harness.advance_ms(900);
    let failed = |e: &&Effect| {
        matches!(e, Effect::ProxyReply { stream: StreamId(1), reply: ProxyReply::Failed, addr: None })
    };
    assert_eq!(effects.iter().filter(failed).count(), 1, "{effects:?}");
    assert!(harness.report_lease_outcome(1, lease, LeaseOutcome::NotSent, Role::Primary).is_empty());
    harness.input(Input::Proxy(StreamId(1), ProxyMessage::StreamClosed));
    assert_eq!(harness.router.lease_usage(), usage(0, 0, 1));
    harness.advance_ms(11_000);
    assert_eq!(harness.router.lease_usage(), usage(0, 0, 0), "an id older than the window is removed");
}

#[test]
fn proxy_lease_expires_with_the_drain_grace_period_of_its_member() {
    let mut harness = RouterHarness::ready();
    harness.router.serve_proxies(harness.now, PROXY_LIMITS);
    harness.apply_list(list(2, false, &[member("s-1", PRIMARY, "leaving", "source")]));
    let notified_at = harness.now;
    harness.advance_ms(900);
    // Within the grace period the primary still accepts writes.
    let GrantedLease { addr, send_by, .. } = harness.obtain_lease(1);
    assert_eq!(addr, address(PRIMARY));
    assert!(send_by <= notified_at.plus(Time::ms(1000)), "{send_by:?}");
    assert!(send_by < harness.now.plus(Time::ms(200)), "the grace period ends before the usual time to send");
    harness.advance_ms(200);
    let late = granted(&harness.send_proxy_request(2));
    assert!(
        late.is_none_or(|lease| lease.addr != address(PRIMARY)),
        "no lease at the primary after the grace period"
    );
}
