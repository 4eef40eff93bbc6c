//! Calls of other proxies, from the question to the answer: what the decisions are asked, what the proxies
//! are told, and what comes of it. The decisions stay where they are: events for them come out of here, and
//! their actions go in.
//!
//! Requests of proxies have numbers of their own, told by [`LeaseCoordinator::owns`], so that one module
//! serves both
//! fronts.

use crate::decided::{Decided, Verdict};
use crate::id::WriteId;
use crate::lease::{Ended, Lease, LeaseId, LeaseOutcome, Leases, Strays, StreamId};
use basalthill_policy::api::*;
use std::collections::BTreeMap;

/// Requests of proxies have this bit in their numbers.
const OURS: u64 = 1 << 63;

/// What a coordinator keeps at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseUsage {
    /// Calls that are open.
    pub open_calls: usize,
    /// Leases that have not ended.
    pub leases: usize,
    /// Ids of writes that are remembered.
    pub remembered_writes: usize,
}

/// The bounds of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyLimits {
    /// Calls that may be open at a time.
    pub max_open_calls: usize,
    /// Ids of writes that are remembered at a time.
    pub max_remembered_writes: usize,
    /// An id of a write counts for this long from its own time.
    pub id_window: Time,
    /// What the clocks of those who make ids may be apart from this one.
    pub skew: Time,
    /// A proxy begins to send within this, or not at all.
    pub send_within: Time,
}

/// What a proxy asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionRequest {
    /// The id of its request, if it has one that tells its time.
    pub id: Option<WriteId>,
    /// The class.
    pub class: ClassId,
    /// The tenant.
    pub tenant: TenantId,
    /// The group.
    pub group: GroupId,
    /// Until when its client waits.
    pub deadline: Time,
    /// The position that a session read must see.
    pub floor: Time,
    /// How far that may lie ahead of a replica which is waited for.
    pub lead: Time,
    /// The client says that it is repeating.
    pub client_retry: bool,
}

/// Why a call gets no decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its class is none that there is.
    UnknownClass,
    /// A write that must never run twice needs an id that tells its time.
    MissingId,
    /// Its stream has a call already.
    StreamBusy,
    /// Its deadline has passed.
    DeadlinePassed,
    /// Its id is too old, older than this process, or from the future: nothing is known of it.
    UnusableId(Verdict),
}

/// What a proxy is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyReply {
    /// Send it to this member, and begin by then; its outcome goes with this lease.
    Member {
        /// The lease that the outcome is reported under.
        lease: LeaseId,
        /// Where the request is sent.
        member: MemberId,
        /// The proxy begins to send before this, or not at all.
        send_by: Time,
    },
    /// Turned away, and nothing has run; worth asking again after this, if it is told.
    Rejected {
        /// When to retry, if that is known.
        retry_after: Option<Time>,
    },
    /// It ended without a promise.
    Failed,
    /// Another has had the decision for this write, and it may run or has run.
    AlreadyDecided,
    /// It can't be decided.
    Invalid(RejectReason),
}

/// What comes out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Tell a stream's proxy.
    Reply(StreamId, ProxyReply),
    /// Hand this to the decisions.
    Event(Event),
}

/// One request of one or more proxies.
#[derive(Debug)]
struct Row {
    /// Those who wait for a member, in the order in which they came.
    waiting: Vec<StreamId>,
    /// The one that has it.
    holder: Option<(StreamId, LeaseId)>,
    write: Option<WriteId>,
    attempts: u16,
    deadline: Time,
}

/// All calls of proxies at one router.
#[derive(Debug)]
pub struct LeaseCoordinator {
    limits: ProxyLimits,
    effects: Vec<Effect>,
    decided: Decided,
    leases: Leases,
    rows: BTreeMap<RequestId, Row>,
    by_stream: BTreeMap<StreamId, RequestId>,
    by_write: BTreeMap<WriteId, RequestId>,
    next: u64,
}

impl LeaseCoordinator {
    /// A desk of a router that has just started.
    pub fn new(now: Time, settings: &Settings, limits: ProxyLimits) -> LeaseCoordinator {
        LeaseCoordinator {
            limits,
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            decided: Decided::new(now, limits.id_window, limits.skew, limits.max_remembered_writes),
            leases: Leases::default(),
            rows: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_write: BTreeMap::new(),
            next: 0,
        }
    }

    /// Whether a request is one of a proxy's.
    pub fn owns(id: RequestId) -> bool {
        id.0 & OURS != 0
    }

    /// A proxy asks on a stream of its own.
    pub fn request(&mut self, now: Time, stream: StreamId, call: DecisionRequest, out: &mut Vec<Output>) {
        let mut say = |what| out.push(Output::Reply(stream, what));
        let Some(effect) = self.effects.get(usize::from(call.class.0)) else {
            return say(ProxyReply::Invalid(RejectReason::UnknownClass));
        };
        if self.by_stream.contains_key(&stream) {
            return say(ProxyReply::Invalid(RejectReason::StreamBusy));
        }
        if call.deadline <= now {
            return say(ProxyReply::Invalid(RejectReason::DeadlinePassed));
        }
        if self.by_stream.len() >= self.limits.max_open_calls {
            return say(ProxyReply::Rejected { retry_after: None });
        }
        let write = match (effect, call.id) {
            (Effect::NonIdempotent, None) => return say(ProxyReply::Invalid(RejectReason::MissingId)),
            (Effect::NonIdempotent, id) => id,
            _ => None, // a repeat does no harm, or is dropped by its key
        };
        match write.map(|w| (w, self.decided.ask(now, w))) {
            None | Some((_, Verdict::First | Verdict::Again)) => {}
            Some((w, Verdict::Joins)) => {
                let id = self.by_write.get(&w).copied();
                let Some((id, row)) = id.and_then(|id| Some((id, self.rows.get_mut(&id)?))) else {
                    return say(ProxyReply::AlreadyDecided);
                };
                row.waiting.push(stream);
                self.by_stream.insert(stream, id);
                return;
            }
            Some((_, Verdict::Decided)) => return say(ProxyReply::AlreadyDecided),
            Some((_, Verdict::Full(after))) => return say(ProxyReply::Rejected { retry_after: Some(after) }),
            Some((_, other)) => return say(ProxyReply::Invalid(RejectReason::UnusableId(other))),
        }
        self.next += 1;
        let id = RequestId(OURS | self.next);
        let waiting = vec![stream];
        let row = Row { waiting, holder: None, write, attempts: 0, deadline: call.deadline };
        self.rows.insert(id, row);
        self.by_stream.insert(stream, id);
        self.by_write.extend(write.map(|w| (w, id)));
        let DecisionRequest { class, tenant, group, deadline, floor, lead, client_retry, .. } = call;
        let request = Request { id, class, tenant, deadline, group, floor, lead, client_retry };
        out.push(Output::Event(Event::Request(request)));
    }

    /// An action of the decisions for a request of a proxy. `until` is when sends to the member must have
    /// begun, where it drains.
    pub fn apply(&mut self, now: Time, action: &Action, until: Option<Time>, out: &mut Vec<Output>) {
        match *action {
            Action::Send(id, member, limit) => self.send(now, id, member, limit, until, out),
            Action::Reject(id, after) => {
                // The module refuses only where nothing has run.
                self.close(id, true, ProxyReply::Rejected { retry_after: after }, out);
            }
            Action::Fail(id) => self.close(id, false, ProxyReply::Failed, out),
            Action::Cancel(id, attempt) => {
                let holder = self.rows.get(&id).and_then(|row| row.holder);
                let ended = holder.and_then(|(_, lease)| self.leases.call_off(lease));
                if let Some(ended) = ended.filter(|e| e.lease.attempt == attempt) {
                    self.outcome(now, ended, false, out);
                }
            }
            _ => {}
        }
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        member: MemberId,
        limit: Option<Time>,
        until: Option<Time>,
        out: &mut Vec<Output>,
    ) {
        let send_by = now.plus(self.limits.send_within).min(until.unwrap_or(Time(u64::MAX)));
        let row = self.rows.get_mut(&id).filter(|r| !r.waiting.is_empty() && r.deadline > now);
        let Some(row) = row.filter(|_| send_by > now) else {
            // Nobody is there to send it: the decisions hear that it went nowhere.
            let attempt = self.rows.get_mut(&id).map_or(u16::MAX, |row| {
                row.attempts += 1;
                row.attempts - 1
            });
            let lease = Lease {
                stream: StreamId(0),
                request: id,
                attempt: Attempt(attempt),
                member,
                given: now,
                ends: now,
            };
            let ended = Ended { lease, status: Status::NotSent, replication: ReplicationState::default() };
            return self.outcome(now, ended, !self.rows.contains_key(&id), out);
        };
        let stream = row.waiting.remove(0);
        let attempt = Attempt(row.attempts);
        row.attempts += 1;
        let ends = limit.map_or(row.deadline, |l| now.plus(l)).min(row.deadline);
        let lease = self.leases.give(Lease { stream, request: id, attempt, member, given: now, ends });
        row.holder = Some((stream, lease));
        if let Some(write) = row.write {
            self.decided.named(write);
        }
        out.push(Output::Reply(stream, ProxyReply::Member { lease, member, send_by: send_by.min(ends) }));
        for other in std::mem::take(&mut row.waiting) {
            self.by_stream.remove(&other);
            out.push(Output::Reply(other, ProxyReply::AlreadyDecided));
        }
    }

    /// A proxy tells what came of a lease.
    pub fn report_outcome(
        &mut self,
        now: Time,
        stream: StreamId,
        lease: LeaseId,
        told: LeaseOutcome,
        replication: ReplicationState,
        out: &mut Vec<Output>,
    ) {
        let Some(ended) = self.leases.told(now, stream, lease, told, replication) else { return };
        if ended.status == Status::Ok {
            self.forget(ended.lease.request, false);
            return self.outcome(now, ended, true, out);
        }
        self.outcome(now, ended, false, out);
    }

    /// A stream has ended. What it had out may have been sent; what it waited for is given up.
    pub fn stream_closed(&mut self, now: Time, stream: StreamId, out: &mut Vec<Output>) {
        let Some(id) = self.by_stream.remove(&stream) else { return };
        let ended = self.leases.stream_ended(stream);
        let Some(row) = self.rows.get_mut(&id) else { return };
        row.waiting.retain(|s| *s != stream);
        if let Some(ended) = ended.into_iter().next() {
            self.forget(id, false);
            return self.outcome(now, ended, true, out);
        }
        if row.waiting.is_empty() {
            // Nothing is out, and all that was has been proved not to have run, or the module would have
            // failed it.
            self.forget(id, true);
            out.push(Output::Event(Event::ClientGone(id)));
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.decided.expire(now);
        for ended in self.leases.expire(now) {
            self.outcome(now, ended, false, out);
        }
    }

    /// When [`LeaseCoordinator::tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.leases.next_due()
    }

    /// Tells the decisions how an attempt ended. Its proxy waits again, unless the request is over.
    fn outcome(&mut self, now: Time, ended: Ended, over: bool, out: &mut Vec<Output>) {
        let Lease { stream, request, attempt, member, given, .. } = ended.lease;
        if let Some(row) = self.rows.get_mut(&request) {
            if row.holder.take().is_some() {
                row.waiting.push(stream);
            }
        }
        let (status, replication, took) = (ended.status, ended.replication, now.since(given));
        let (ended, report) = (over, ReplicationState::default());
        let outcome = Outcome { request, attempt, member, status, took, ended, replication, report };
        out.push(Output::Event(Event::Outcome(outcome)));
    }

    /// A request has its final answer.
    fn close(&mut self, id: RequestId, unrun: bool, say: ProxyReply, out: &mut Vec<Output>) {
        let Some(row) = self.rows.get(&id) else { return };
        let holder = row.holder.map(|(stream, _)| stream);
        let all: Vec<StreamId> = row.waiting.iter().copied().chain(holder).collect();
        // A lease that is still out keeps the write in doubt, whatever the answer.
        let unrun = unrun && holder.is_none();
        self.forget(id, unrun);
        out.extend(all.into_iter().map(|stream| Output::Reply(stream, say)));
    }

    fn forget(&mut self, id: RequestId, unrun: bool) {
        let Some(row) = self.rows.remove(&id) else { return };
        for stream in row.waiting.iter().chain(row.holder.as_ref().map(|h| &h.0)) {
            self.by_stream.remove(stream);
        }
        if let Some(write) = row.write {
            self.by_write.remove(&write);
            self.decided.ended(write, unrun);
        }
    }

    /// Calls open, leases out, and ids remembered.
    pub fn usage(&self) -> LeaseUsage {
        LeaseUsage {
            open_calls: self.rows.len().max(self.by_stream.len()).max(self.by_write.len()),
            leases: self.leases.len(),
            remembered_writes: self.decided.len(),
        }
    }

    /// Reports that changed nothing.
    pub fn take_stray_reports(&mut self) -> Strays {
        self.leases.take_strays()
    }
}
