//! The coordinator with the decision module itself behind it, before proxies that do whatever they like:
//! ask twice,
//! on several streams, leave, tell late, tell lies about others' leases, come back after a restart.

use basalthill_extproc::{
    DecisionRequest, LeaseCoordinator, LeaseId, LeaseOutcome, LeaseUsage, Output, ProxyLimits, ProxyReply,
    RejectReason, StreamId, Verdict, WriteId,
};
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use std::collections::{BTreeMap, BTreeSet};

const START: Time = Time::ms(1_767_225_600_000);
const WRITE: ClassId = ClassId(0);
const READ: ClassId = ClassId(1);
const LIMITS: ProxyLimits = ProxyLimits {
    max_open_calls: 60,
    max_remembered_writes: 200,
    id_window: Time::ms(10_000),
    skew: Time::ms(50),
    send_within: Time::ms(200),
};

fn settings() -> Settings {
    let class = |consistency, effect| Class {
        consistency,
        effect,
        scope: KeyScope::Group,
        window: Time(0),
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
        hedging: false,
        cancel: true,
        retry_after: true,
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

/// A router with its module, and what its proxies have been told.
struct Bench {
    policy: Policy,
    coordinator: LeaseCoordinator,
    now: Time,
    timers: BTreeSet<(Time, u64)>,
    said: Vec<(StreamId, ProxyReply)>,
    seed: u64,
}

impl Bench {
    fn new(now: Time, seed: u64) -> Bench {
        let set = settings();
        let (coordinator, policy) = (LeaseCoordinator::new(now, &set, LIMITS), Policy::new(set, seed));
        let mut b = Bench { policy, coordinator, now, timers: BTreeSet::new(), said: Vec::new(), seed };
        let entry = |n| Endpoint {
            member: MemberId(n),
            zone: ZoneId(0),
            group: GroupId(0),
            state: EndpointState::Ready,
            weight: 1.0,
            primary: n == 1,
            started: None,
            notified_at: Time(u64::MAX),
        };
        b.run(vec![Output::Event(Event::Endpoints(EndpointUpdate::Cached, (1..=3).map(entry).collect()))]);
        b
    }

    fn run(&mut self, outs: Vec<Output>) {
        let mut queue = std::collections::VecDeque::from(outs);
        while let Some(out) = queue.pop_front() {
            match out {
                Output::Reply(stream, say) => self.said.push((stream, say)),
                Output::Event(event) => {
                    let mut actions = Vec::new();
                    self.policy.handle(self.now, event, &mut actions);
                    for action in actions {
                        match action {
                            Action::Timer(after, token) => {
                                self.timers.insert((self.now.plus(after.max(Time(1))), token));
                            }
                            action => {
                                let mut more = Vec::new();
                                self.coordinator.apply(self.now, &action, None, &mut more);
                                queue.extend(more);
                            }
                        }
                    }
                }
            }
        }
    }

    fn ask(&mut self, stream: u64, class: ClassId, id: Option<WriteId>, ms: u64) {
        let (tenant, group, deadline) = (TenantId(0), GroupId(0), self.now.plus(Time::ms(ms)));
        let (floor, lead) = (Time(0), Time(0));
        let call = DecisionRequest { id, class, tenant, group, deadline, floor, lead, client_retry: false };
        let mut out = Vec::new();
        self.coordinator.request(self.now, StreamId(stream), call, &mut out);
        self.run(out);
    }

    fn told(&mut self, stream: u64, lease: LeaseId, told: LeaseOutcome) {
        let role = if told == LeaseOutcome::Served { Some(Role::Primary) } else { None };
        let replication = ReplicationState { position: Some(self.now), role };
        let mut out = Vec::new();
        self.coordinator.report_outcome(self.now, StreamId(stream), lease, told, replication, &mut out);
        self.run(out);
    }

    fn gone(&mut self, stream: u64) {
        let mut out = Vec::new();
        self.coordinator.stream_closed(self.now, StreamId(stream), &mut out);
        self.run(out);
    }

    fn pass(&mut self, ms: u64) {
        let until = self.now.plus(Time::ms(ms));
        loop {
            let due = self.timers.first().map(|t| t.0).into_iter().chain(self.coordinator.next_due()).min();
            let Some(due) = due.filter(|d| *d <= until) else { break };
            self.now = self.now.max(due);
            let mut out = Vec::new();
            self.coordinator.tick(self.now, &mut out);
            while let Some((_, token)) = self.timers.first().copied().filter(|t| t.0 <= self.now) {
                self.timers.pop_first();
                out.push(Output::Event(Event::Timer(token)));
            }
            self.run(out);
        }
        self.now = until;
    }

    /// What a stream was told last.
    fn last(&self, stream: u64) -> Option<ProxyReply> {
        self.said.iter().rev().find(|s| s.0 == StreamId(stream)).map(|s| s.1)
    }

    fn lease(&self, stream: u64) -> LeaseId {
        match self.last(stream) {
            Some(ProxyReply::Member { lease, .. }) => lease,
            other => panic!("stream {stream}: {other:?}"),
        }
    }
}

fn id(made: Time, n: u64) -> WriteId {
    WriteId::new(u128::from(made.0 / 1_000_000) << 80 | 7 << 76 | 2 << 62 | u128::from(n)).unwrap()
}

fn usage(open_calls: usize, leases: usize, remembered_writes: usize) -> LeaseUsage {
    LeaseUsage { open_calls, leases, remembered_writes }
}

/// A router that started long ago.
fn bench() -> Bench {
    let mut b = Bench::new(START, 7);
    b.pass(1000);
    b
}

#[test]
fn a_write_asked_for_on_several_streams_has_one_member_named_for_it() {
    let mut b = bench();
    let w = id(b.now, 1);
    b.ask(1, WRITE, Some(w), 900);
    let lease = b.lease(1);
    assert!(matches!(b.last(1), Some(ProxyReply::Member { member: MemberId(1), .. })), "the primary");
    b.ask(2, WRITE, Some(w), 900);
    assert_eq!(b.last(2), Some(ProxyReply::AlreadyDecided));
    // Served: whoever asks later hears that it was decided, and the first proxy's late word changes nothing.
    b.told(1, lease, LeaseOutcome::Served);
    b.ask(3, WRITE, Some(w), 900);
    assert_eq!(b.last(3), Some(ProxyReply::AlreadyDecided));
    b.told(1, lease, LeaseOutcome::NotSent);
    b.ask(4, WRITE, Some(w), 900);
    assert_eq!(b.last(4), Some(ProxyReply::AlreadyDecided));
    assert_eq!(b.coordinator.usage(), usage(0, 0, 1));
    assert_eq!(b.coordinator.take_stray_reports().unknown, 1);
}

#[test]
fn of_two_that_wait_for_one_write_the_first_gets_the_member_and_the_other_hears_so() {
    let mut b = bench();
    // Another write's stream broke: the module holds writes until it has found a primary again.
    b.ask(1, WRITE, Some(id(b.now, 1)), 900);
    b.gone(1);
    let w = id(b.now, 2);
    b.ask(2, WRITE, Some(w), 1400);
    b.ask(3, WRITE, Some(w), 1400);
    assert_eq!((b.last(2), b.last(3)), (None, None), "held");
    b.pass(300);
    b.lease(2);
    assert_eq!(b.last(3), Some(ProxyReply::AlreadyDecided));
    // The one that has nothing left to hear may go, and the other's lease stays.
    b.gone(3);
    assert_eq!(b.coordinator.usage().leases, 1);
}

#[test]
fn what_is_proved_not_to_have_run_gets_another_member_on_the_same_stream_or_another() {
    let mut b = bench();
    let w = id(b.now, 1);
    b.ask(1, WRITE, Some(w), 900);
    b.told(1, b.lease(1), LeaseOutcome::ConnectFailed);
    b.pass(300);
    let second = b.lease(1);
    assert_eq!(
        b.said.iter().filter(|s| matches!(s.1, ProxyReply::Member { .. })).count(),
        2,
        "a further attempt"
    );
    b.ask(2, WRITE, Some(w), 900);
    assert_eq!(b.last(2), Some(ProxyReply::AlreadyDecided), "while that is out");
    b.told(1, second, LeaseOutcome::NotSent);
    b.gone(1);
    b.ask(3, WRITE, Some(w), 900);
    b.pass(300);
    b.lease(3);
}

#[test]
fn a_stream_that_ends_with_a_lease_leaves_its_write_in_doubt_and_one_without_does_not() {
    let mut b = bench();
    let w = id(b.now, 1);
    b.ask(1, WRITE, Some(w), 900);
    b.gone(1);
    b.ask(2, WRITE, Some(w), 900);
    assert_eq!(b.last(2), Some(ProxyReply::AlreadyDecided), "it may have been sent, or may yet");
    // The lease's end, told or not. Another router: this one's module is in doubt of its primary.
    b = bench();
    let v = id(b.now, 2);
    b.ask(3, WRITE, Some(v), 500);
    let lease = b.lease(3);
    b.pass(600);
    assert_eq!(b.last(3), Some(ProxyReply::Failed), "no promise");
    b.told(3, lease, LeaseOutcome::NotSent);
    b.ask(4, WRITE, Some(v), 900);
    assert_eq!(b.last(4), Some(ProxyReply::AlreadyDecided), "what is told after the end proves nothing");
    b.pass(2000);
    assert_eq!(b.coordinator.usage().open_calls, 0);
}

#[test]
fn calls_that_can_not_be_decided_hear_why_at_once() {
    let mut b = bench();
    let old = id(START.minus(Time::ms(100)), 1);
    let cases = [
        (ClassId(9), None, 900, ProxyReply::Invalid(RejectReason::UnknownClass)),
        (WRITE, None, 900, ProxyReply::Invalid(RejectReason::MissingId)),
        (WRITE, Some(id(b.now, 1)), 0, ProxyReply::Invalid(RejectReason::DeadlinePassed)),
        (WRITE, Some(old), 900, ProxyReply::Invalid(RejectReason::UnusableId(Verdict::BeforeStart))),
        (
            WRITE,
            Some(id(b.now.plus(Time::ms(99)), 1)),
            900,
            ProxyReply::Invalid(RejectReason::UnusableId(Verdict::Future)),
        ),
        (
            WRITE,
            Some(id(START.minus(Time::ms(20_000)), 1)),
            900,
            ProxyReply::Invalid(RejectReason::UnusableId(Verdict::TooOld)),
        ),
    ];
    for (n, (class, id, ms, say)) in cases.into_iter().enumerate() {
        b.ask(n as u64, class, id, ms);
        assert_eq!(b.last(n as u64), Some(say));
    }
    b.ask(50, READ, None, 900);
    b.lease(50);
    b.ask(50, READ, None, 900);
    assert_eq!(b.last(50), Some(ProxyReply::Invalid(RejectReason::StreamBusy)), "one call a stream");
    // Calls that say nothing more are bounded, and leave when their time is over.
    for n in 100..200 {
        b.ask(n, READ, None, 900);
    }
    let refused =
        (100..200).filter(|n| b.last(*n) == Some(ProxyReply::Rejected { retry_after: None })).count();
    assert!(
        refused >= 40 && b.coordinator.usage().open_calls <= LIMITS.max_open_calls,
        "{refused}, {:?}",
        b.coordinator.usage()
    );
    b.pass(3000);
    assert_eq!(b.coordinator.usage(), usage(0, 0, 0));
}

#[test]
fn whatever_proxies_do_and_however_often_it_restarts_no_write_is_decided_twice() {
    let mut random = 18u64;
    let mut below = |n: u64| {
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random >> 33) % n
    };
    let mut b = bench();
    // Of each write, over all lives: how often a member was named for it and not proved to have done nothing.
    let mut doubt: BTreeMap<WriteId, i32> = BTreeMap::new();
    let mut writes: Vec<WriteId> = Vec::new();
    let mut asks: BTreeMap<u64, Option<WriteId>> = BTreeMap::new();
    let mut held: BTreeMap<u64, LeaseId> = BTreeMap::new();
    let (mut stream, mut named, mut again, mut restarts, mut seen) = (0u64, 0, 0, 0, 0);
    for step in 0..40_000u64 {
        match below(20) {
            0..=7 => {
                stream += 1;
                let write = below(3) > 0;
                let w = match (write, below(2) == 0 && !writes.is_empty()) {
                    (false, _) => None,
                    (true, true) => {
                        Some(writes[writes.len() - 1 - below(writes.len().min(30) as u64) as usize])
                    }
                    (true, false) => {
                        writes.push(id(b.now, step));
                        writes.last().copied()
                    }
                };
                asks.insert(stream, w);
                let ms = 50 + below(1200);
                b.ask(stream, if write { WRITE } else { READ }, w, ms);
            }
            8..=13 if !held.is_empty() => {
                let (at, lease) =
                    held.iter().nth(below(held.len() as u64) as usize).map(|h| (*h.0, *h.1)).unwrap();
                let all = [
                    LeaseOutcome::Served,
                    LeaseOutcome::Served,
                    LeaseOutcome::Misdirected,
                    LeaseOutcome::Rejected,
                    LeaseOutcome::Error,
                    LeaseOutcome::ConnectFailed,
                    LeaseOutcome::NotSent,
                ];
                let what = all[below(7) as usize];
                // Now and then about another's.
                let from = if below(8) == 0 { at + 1 } else { at };
                // What is held has not ended, so it is heard; a proof takes the doubt away.
                if let Some(w) = asks[&at].filter(|_| from == at && what.status().proves_not_executed()) {
                    *doubt.entry(w).or_default() -= 1;
                }
                if from == at {
                    held.remove(&at);
                }
                b.told(from, lease, what);
            }
            14 | 15 if !asks.is_empty() => {
                let at = *asks.keys().nth_back(below(asks.len().min(40) as u64) as usize).unwrap();
                held.remove(&at);
                b.gone(at);
            }
            16 if below(60) == 0 => {
                restarts += 1;
                b = Bench::new(b.now.plus(Time::ms(1)), b.seed + 1);
                held.clear();
                seen = 0;
            }
            _ => b.pass(below(40)),
        }
        for (s, say) in b.said[seen..].iter().copied() {
            match say {
                ProxyReply::Member { lease, send_by, .. } => {
                    assert!(send_by <= b.now.plus(LIMITS.send_within));
                    named += 1;
                    if let Some(w) = asks[&s.0] {
                        let n = doubt.entry(w).or_default();
                        assert_eq!(*n, 0, "step {step}: {w:?} is named again while it may run");
                        again += i32::from(*n == 0 && writes.last() != Some(&w));
                        *n += 1;
                    }
                    held.insert(s.0, lease);
                }
                _ => drop(held.remove(&s.0)),
            }
        }
        seen = b.said.len();
        assert!(
            b.coordinator.usage().open_calls <= LIMITS.max_open_calls
                && b.coordinator.usage().remembered_writes <= LIMITS.max_remembered_writes
        );
    }
    println!("{named} members named, {again} of them for writes asked for before, {restarts} restarts");
    assert!(named > 5000 && again > 100 && restarts > 5, "{named}, {again}, {restarts}");
    b.pass(3000);
    let LeaseUsage { open_calls, leases, .. } = b.coordinator.usage();
    assert_eq!((open_calls, leases), (0, 0));
}
