//! Tests of the coordinator together with the decision module. The proxies of the tests misbehave: they call
//! for the same write twice or on several streams, close streams, report outcomes late or under leases of
//! other streams, and call again after a restart of the router.

mod common;

use basalthill_extproc::{
    DecisionRequest, InvalidCallReason, LeaseCoordinator, LeaseId, LeaseOutcome, LeaseUsage, Output,
    ProxyLimits, ProxyReply, StreamId, UnusableId, WriteId,
};
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use common::{write_id, RandomNumbers, START};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const WRITE: ClassId = ClassId(0);
const READ: ClassId = ClassId(1);
const PRIMARY: MemberId = MemberId(1);
const LIMITS: ProxyLimits = ProxyLimits {
    max_open_calls: 60,
    max_registered_writes: 200,
    id_window: Time::ms(10_000),
    skew: Time::ms(50),
    send_within: Time::ms(200),
};

fn settings() -> Settings {
    let class = |consistency, effect| Class {
        consistency,
        effect,
        key_scope: KeyScope::Group,
        deduplication_window: Time(0),
        latency_objective: Time::ms(400),
        client_timeout: Time::ms(1500),
        priority_weight: 1.0,
        late_weight: 0.5,
    };
    Settings {
        routers: 2,
        tick: Time::ms(5),
        classes: vec![
            class(Consistency::Write, Effect::NonIdempotent),
            class(Consistency::Eventual, Effect::Idempotent),
        ],
        list_role: ListRole::Late,
        when_behind: WhenBehind::Reject,
        max_attempts: 5,
        hedging_allowed: false,
        cancel_allowed: true,
        send_retry_after: true,
        max_retry_after: Time::ms(300),
        drain_grace: Time::ms(1000),
        slow_start_capacity: 0.2,
        slow_start_window: Time::ms(15_000),
        overload_multiple: 3.0,
        overload_window: Time::ms(1500),
        poll_interval: Time::ms(10_000),
        ..Settings::default()
    }
}

/// A reply that was sent on a stream.
#[derive(Clone, Copy)]
struct SentReply {
    stream: u64,
    reply: ProxyReply,
}

/// A router: its decision module and its coordinator.
struct TestRouter {
    policy: Policy,
    coordinator: LeaseCoordinator,
    now: Time,
    timers: BTreeSet<(Time, u64)>,
    /// All replies, in the order in which they were sent.
    replies: Vec<SentReply>,
    seed: u64,
}

impl TestRouter {
    fn new(now: Time, seed: u64) -> TestRouter {
        let settings = settings();
        let mut router = TestRouter {
            coordinator: LeaseCoordinator::new(now, &settings, LIMITS),
            policy: Policy::new(settings, seed),
            now,
            timers: BTreeSet::new(),
            replies: Vec::new(),
            seed,
        };
        let endpoint = |n| Endpoint {
            member: MemberId(n),
            zone: ZoneId(0),
            group: GroupId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            primary: MemberId(n) == PRIMARY,
            started: None,
            notified_at: Time(u64::MAX),
        };
        let endpoints = (1..=3).map(endpoint).collect();
        router.handle(vec![Output::Event(Event::Endpoints(EndpointUpdate::Cached, endpoints))]);
        router
    }

    /// Returns a router that started 1000 ms ago, so that ids created now are newer than its start.
    fn running() -> TestRouter {
        let mut router = TestRouter::new(START, 7);
        router.advance(1000);
        router
    }

    /// Records the replies, and passes events to the decision module and its actions to the coordinator,
    /// until no output is left.
    fn handle(&mut self, outputs: Vec<Output>) {
        let mut queue = VecDeque::from(outputs);
        while let Some(output) = queue.pop_front() {
            match output {
                Output::Reply(stream, reply) => self.replies.push(SentReply { stream: stream.0, reply }),
                Output::Event(event) => {
                    let mut actions = Vec::new();
                    self.policy.handle(self.now, event, &mut actions);
                    for action in actions {
                        queue.extend(self.apply(action));
                    }
                }
            }
        }
    }

    fn apply(&mut self, action: Action) -> Vec<Output> {
        let mut out = Vec::new();
        match action {
            Action::Timer(after, token) => {
                self.timers.insert((self.now.plus(after.max(Time(1))), token));
            }
            action => self.coordinator.apply(self.now, &action, None, &mut out),
        }
        out
    }

    fn request(&mut self, stream: u64, class: ClassId, id: Option<WriteId>, timeout_ms: u64) {
        let request = DecisionRequest {
            id,
            class,
            tenant: TenantId(0),
            group: GroupId(0),
            deadline: self.now.plus(Time::ms(timeout_ms)),
            floor: Time(0),
            lead: Time(0),
            client_retry: false,
        };
        let mut out = Vec::new();
        self.coordinator.request(self.now, StreamId(stream), request, &mut out);
        self.handle(out);
    }

    fn report(&mut self, stream: u64, lease: LeaseId, outcome: LeaseOutcome) {
        let role = if outcome == LeaseOutcome::Served { Some(Role::Primary) } else { None };
        let replication = ReplicationState { position: Some(self.now), role };
        let mut out = Vec::new();
        self.coordinator.report_outcome(self.now, StreamId(stream), lease, outcome, replication, &mut out);
        self.handle(out);
    }

    fn close(&mut self, stream: u64) {
        let mut out = Vec::new();
        self.coordinator.stream_closed(self.now, StreamId(stream), &mut out);
        self.handle(out);
    }

    /// Advances the time, and fires the timers and lease expiries that become due.
    fn advance(&mut self, ms: u64) {
        let until = self.now.plus(Time::ms(ms));
        loop {
            let timer = self.timers.first().map(|(due, _)| *due);
            let due = timer.into_iter().chain(self.coordinator.next_due()).min();
            let Some(due) = due.filter(|due| *due <= until) else { break };
            self.now = self.now.max(due);
            let mut out = Vec::new();
            self.coordinator.tick(self.now, &mut out);
            while let Some((_, token)) = self.timers.first().copied().filter(|(due, _)| *due <= self.now) {
                self.timers.pop_first();
                out.push(Output::Event(Event::Timer(token)));
            }
            self.handle(out);
        }
        self.now = until;
    }

    /// Returns the last reply on a stream.
    fn last_reply(&self, stream: u64) -> Option<ProxyReply> {
        self.replies.iter().rev().find(|sent| sent.stream == stream).map(|sent| sent.reply)
    }

    /// Returns the lease in the last reply on a stream.
    fn lease(&self, stream: u64) -> LeaseId {
        match self.last_reply(stream) {
            Some(ProxyReply::Member { lease, .. }) => lease,
            other => panic!("stream {stream}: expected a member, got {other:?}"),
        }
    }
}

fn usage(open_calls: usize, leases: usize, registered_writes: usize) -> LeaseUsage {
    LeaseUsage { open_calls, leases, registered_writes }
}

#[test]
fn a_write_requested_on_several_streams_gets_one_member() {
    let mut router = TestRouter::running();
    let write = write_id(router.now, 1);
    router.request(1, WRITE, Some(write), 900);
    let lease = router.lease(1);
    let reply = router.last_reply(1);
    assert!(matches!(reply, Some(ProxyReply::Member { member: PRIMARY, .. })), "{reply:?}");
    router.request(2, WRITE, Some(write), 900);
    assert_eq!(router.last_reply(2), Some(ProxyReply::AlreadyDecided));
    // After the write is served, later calls get no member, and a second report under the same lease has no
    // effect.
    router.report(1, lease, LeaseOutcome::Served);
    router.request(3, WRITE, Some(write), 900);
    assert_eq!(router.last_reply(3), Some(ProxyReply::AlreadyDecided));
    router.report(1, lease, LeaseOutcome::NotSent);
    router.request(4, WRITE, Some(write), 900);
    assert_eq!(router.last_reply(4), Some(ProxyReply::AlreadyDecided));
    assert_eq!(router.coordinator.usage(), usage(0, 0, 1));
    assert_eq!(router.coordinator.take_ignored_reports().unknown_lease, 1);
}

#[test]
fn the_first_of_two_waiting_streams_gets_the_member_and_the_other_already_decided() {
    let mut router = TestRouter::running();
    // The stream of another write is closed: the decision module queues writes until it has found a primary
    // again.
    router.request(1, WRITE, Some(write_id(router.now, 1)), 900);
    router.close(1);
    let write = write_id(router.now, 2);
    router.request(2, WRITE, Some(write), 1400);
    router.request(3, WRITE, Some(write), 1400);
    assert_eq!((router.last_reply(2), router.last_reply(3)), (None, None), "queued");
    router.advance(300);
    router.lease(2);
    assert_eq!(router.last_reply(3), Some(ProxyReply::AlreadyDecided));
    // Closing the stream that has got its final reply does not affect the lease of the other stream.
    router.close(3);
    assert_eq!(router.coordinator.usage().leases, 1);
}

#[test]
fn a_write_proved_unexecuted_is_retried_on_the_same_stream_or_another() {
    let mut router = TestRouter::running();
    let write = write_id(router.now, 1);
    router.request(1, WRITE, Some(write), 900);
    router.report(1, router.lease(1), LeaseOutcome::ConnectFailed);
    router.advance(300);
    let second = router.lease(1);
    let members = router.replies.iter().filter(|sent| matches!(sent.reply, ProxyReply::Member { .. }));
    assert_eq!(members.count(), 2, "the write is retried once");
    router.request(2, WRITE, Some(write), 900);
    assert_eq!(router.last_reply(2), Some(ProxyReply::AlreadyDecided), "while the retry is in flight");
    router.report(1, second, LeaseOutcome::NotSent);
    router.close(1);
    router.request(3, WRITE, Some(write), 900);
    router.advance(300);
    router.lease(3);
}

#[test]
fn a_write_whose_stream_closed_or_whose_lease_expired_is_not_assigned_again() {
    let mut router = TestRouter::running();
    let write = write_id(router.now, 1);
    router.request(1, WRITE, Some(write), 900);
    router.close(1);
    router.request(2, WRITE, Some(write), 900);
    assert_eq!(
        router.last_reply(2),
        Some(ProxyReply::AlreadyDecided),
        "the write may have been sent, or may still be sent"
    );
    // A lease expires, and the outcome is reported too late. This needs a new router, because the decision
    // module of the first one now suspects its primary.
    router = TestRouter::running();
    let write = write_id(router.now, 2);
    router.request(3, WRITE, Some(write), 500);
    let lease = router.lease(3);
    router.advance(600);
    assert_eq!(router.last_reply(3), Some(ProxyReply::Failed), "the write may execute");
    router.report(3, lease, LeaseOutcome::NotSent);
    router.request(4, WRITE, Some(write), 900);
    assert_eq!(router.last_reply(4), Some(ProxyReply::AlreadyDecided), "a late report proves nothing");
    router.advance(2000);
    assert_eq!(router.coordinator.usage().open_calls, 0);
}

#[test]
fn invalid_calls_are_rejected_at_once_with_the_reason_and_open_calls_are_bounded() {
    let mut router = TestRouter::running();
    let now = router.now;
    let id_at = |created_at| Some(write_id(created_at, 1));
    let unusable = InvalidCallReason::UnusableId;
    let cases = [
        (ClassId(9), None, 900, InvalidCallReason::UnknownClass),
        (WRITE, None, 900, InvalidCallReason::MissingId),
        (WRITE, id_at(now), 0, InvalidCallReason::DeadlinePassed),
        (WRITE, id_at(START.minus(Time::ms(100))), 900, unusable(UnusableId::BeforeStart)),
        (WRITE, id_at(now.plus(Time::ms(99))), 900, unusable(UnusableId::InFuture)),
        (WRITE, id_at(START.minus(Time::ms(20_000))), 900, unusable(UnusableId::TooOld)),
    ];
    for (n, (class, id, timeout_ms, reason)) in cases.into_iter().enumerate() {
        router.request(n as u64, class, id, timeout_ms);
        assert_eq!(router.last_reply(n as u64), Some(ProxyReply::Invalid(reason)), "case {n}");
    }
    router.request(50, READ, None, 900);
    router.lease(50);
    router.request(50, READ, None, 900);
    let busy = ProxyReply::Invalid(InvalidCallReason::StreamBusy);
    assert_eq!(router.last_reply(50), Some(busy), "a stream has one open call");
    // The number of open calls is limited, and calls are completed by their deadlines.
    for stream in 100..200 {
        router.request(stream, READ, None, 900);
    }
    let rejection = Some(ProxyReply::Rejected { retry_after: None });
    let rejected = (100..200).filter(|stream| router.last_reply(*stream) == rejection).count();
    let in_use = router.coordinator.usage();
    assert!(
        rejected >= 40 && in_use.open_calls <= LIMITS.max_open_calls,
        "{rejected} of 100 rejected, expected at least 40; in use: {in_use:?}, limits: {LIMITS:?}"
    );
    router.advance(3000);
    assert_eq!(router.coordinator.usage(), usage(0, 0, 0));
}

/// Proxies that make random calls and reports, and how often each of their writes may have executed.
struct RandomProxies {
    random: RandomNumbers,
    router: TestRouter,
    /// For each write, across restarts: the number of assigned members that may have executed it.
    possible_executions: BTreeMap<WriteId, i32>,
    writes: Vec<WriteId>,
    /// The write that each stream called for, or `None` for a read.
    calls: BTreeMap<u64, Option<WriteId>>,
    /// The streams that have a lease.
    leases: BTreeMap<u64, LeaseId>,
    last_stream: u64,
    /// Number of replies that have been checked.
    replies_checked: usize,
    members_assigned: u32,
    /// Number of members that were assigned to another write than the newest one.
    retries: i32,
    restarts: u32,
}

impl RandomProxies {
    fn new() -> RandomProxies {
        RandomProxies {
            random: RandomNumbers::with_seed(18),
            router: TestRouter::running(),
            possible_executions: BTreeMap::new(),
            writes: Vec::new(),
            calls: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_stream: 0,
            replies_checked: 0,
            members_assigned: 0,
            retries: 0,
            restarts: 0,
        }
    }

    fn step(&mut self, step: u64) {
        match self.random.below(20) {
            0..=7 => self.call(step),
            8..=13 if !self.leases.is_empty() => self.report(),
            14 | 15 if !self.calls.is_empty() => self.close(),
            16 if self.random.below(60) == 0 => self.restart(),
            _ => {
                let ms = self.random.below(40);
                self.router.advance(ms);
            }
        }
        self.check_replies(step);
        let in_use = self.router.coordinator.usage();
        assert!(in_use.open_calls <= LIMITS.max_open_calls, "step {step}: {in_use:?}, limits: {LIMITS:?}");
        assert!(
            in_use.registered_writes <= LIMITS.max_registered_writes,
            "step {step}: {in_use:?}, limits: {LIMITS:?}"
        );
    }

    /// Calls for a read, a new write or one of the last thirty writes, on a new stream.
    fn call(&mut self, step: u64) {
        self.last_stream += 1;
        let is_write = self.random.below(3) > 0;
        let is_known = self.random.below(2) == 0 && !self.writes.is_empty();
        let write = match (is_write, is_known) {
            (false, _) => None,
            (true, true) => {
                let back = self.random.below(self.writes.len().min(30) as u64) as usize;
                Some(self.writes[self.writes.len() - 1 - back])
            }
            (true, false) => {
                self.writes.push(write_id(self.router.now, step));
                self.writes.last().copied()
            }
        };
        self.calls.insert(self.last_stream, write);
        let timeout_ms = 50 + self.random.below(1200);
        self.router.request(self.last_stream, if is_write { WRITE } else { READ }, write, timeout_ms);
    }

    /// Reports a random outcome under a random lease, in one of eight cases on another stream than the
    /// lease's.
    fn report(&mut self) {
        let nth = self.random.below(self.leases.len() as u64) as usize;
        let (stream, lease) = self.leases.iter().nth(nth).map(|(stream, lease)| (*stream, *lease)).unwrap();
        let outcomes = [
            LeaseOutcome::Served,
            LeaseOutcome::Served,
            LeaseOutcome::Misdirected,
            LeaseOutcome::Rejected,
            LeaseOutcome::Error,
            LeaseOutcome::ConnectFailed,
            LeaseOutcome::NotSent,
        ];
        let outcome = outcomes[self.random.below(7) as usize];
        let reported_on = if self.random.below(8) == 0 { stream + 1 } else { stream };
        if reported_on == stream {
            // The lease has not ended, so the report is accepted. If the outcome proves that the write has
            // not executed, that execution is no longer possible.
            if let Some(write) = self.calls[&stream].filter(|_| outcome.status().proves_not_executed()) {
                *self.possible_executions.entry(write).or_default() -= 1;
            }
            self.leases.remove(&stream);
        }
        self.router.report(reported_on, lease, outcome);
    }

    /// Closes one of the last forty streams.
    fn close(&mut self) {
        let back = self.random.below(self.calls.len().min(40) as u64) as usize;
        let stream = *self.calls.keys().nth_back(back).unwrap();
        self.leases.remove(&stream);
        self.router.close(stream);
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.router = TestRouter::new(self.router.now.plus(Time::ms(1)), self.router.seed + 1);
        self.leases.clear();
        self.replies_checked = 0;
    }

    fn check_replies(&mut self, step: u64) {
        for SentReply { stream, reply } in self.router.replies[self.replies_checked..].iter().copied() {
            let ProxyReply::Member { lease, send_by, .. } = reply else {
                self.leases.remove(&stream);
                continue;
            };
            let latest = self.router.now.plus(LIMITS.send_within);
            assert!(send_by <= latest, "step {step}: {send_by:?} is later than {latest:?}");
            self.members_assigned += 1;
            if let Some(write) = self.calls[&stream] {
                let executions = self.possible_executions.entry(write).or_default();
                assert_eq!(*executions, 0, "step {step}: {write:?} was assigned again while it may execute");
                self.retries += i32::from(self.writes.last() != Some(&write));
                *executions += 1;
            }
            self.leases.insert(stream, lease);
        }
        self.replies_checked = self.router.replies.len();
    }
}

#[test]
fn no_write_is_assigned_again_while_it_may_execute_under_random_calls_and_restarts() {
    let mut proxies = RandomProxies::new();
    for step in 0..50_000 {
        proxies.step(step);
    }
    let RandomProxies { members_assigned, retries, restarts, .. } = proxies;
    println!("{members_assigned} members assigned, {retries} of them to earlier writes; {restarts} restarts");
    assert!(
        members_assigned > 5000 && retries > 100 && restarts > 5,
        "{members_assigned} members assigned, {retries} retries and {restarts} restarts: \
         expected more than 5000, 100 and 5"
    );
    proxies.router.advance(3000);
    let in_use = proxies.router.coordinator.usage();
    assert_eq!((in_use.open_calls, in_use.leases), (0, 0));
}
