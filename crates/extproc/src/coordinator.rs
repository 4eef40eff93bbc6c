//! Calls of other proxies, from the request to the final reply. The decisions are made elsewhere: the
//! coordinator produces events for them, and their actions are applied to it.

use crate::lease_table::{EndedLease, Lease, LeaseId, LeaseOutcome, LeaseTable, StrayReports, StreamId};
use crate::messages::{DecisionRequest, LeaseUsage, Output, ProxyLimits, ProxyReply, RejectReason};
use crate::write_id::WriteId;
use crate::write_registry::{Verdict, WriteRegistry};
use basalthill_policy::api::{
    Action, Attempt, Effect, Event, MemberId, Outcome, ReplicationState, Request, RequestId, Settings,
    Status, Time,
};
use std::collections::BTreeMap;

/// Set in the numbers of proxies' requests, so that one decision module serves clients and proxies.
const PROXY_REQUEST_BIT: u64 = 1 << 63;
/// The stream of leases that were granted to nobody.
const NO_STREAM: StreamId = StreamId(0);

/// A request of one or more proxies.
#[derive(Debug)]
struct Call {
    /// The streams that wait for a member, in order of arrival.
    waiting: Vec<StreamId>,
    /// The stream that has a member.
    leased: Option<LeasedStream>,
    /// The id of a non-idempotent write.
    write: Option<WriteId>,
    /// Attempts so far.
    attempts: u16,
    deadline: Time,
}

/// A stream and its lease.
#[derive(Clone, Copy, Debug)]
struct LeasedStream {
    stream: StreamId,
    lease: LeaseId,
}

/// The decisions' choice of a member for a request.
#[derive(Clone, Copy, Debug)]
struct Assignment {
    request: RequestId,
    member: MemberId,
    /// How long the attempt may take, if less than the request's deadline.
    timeout: Option<Time>,
    /// When sends to the member must have begun, if it drains.
    send_until: Option<Time>,
}

/// How a call for a decision is admitted.
enum Admission {
    /// As a request of its own; with its id, if it is a non-idempotent write.
    New(Option<WriteId>),
    /// With the open request for the same write.
    Joins(RequestId),
}

/// The calls of proxies at one router.
#[derive(Debug)]
pub struct LeaseCoordinator {
    limits: ProxyLimits,
    /// The effect of each class of requests.
    effects: Vec<Effect>,
    writes: WriteRegistry,
    leases: LeaseTable,
    calls: BTreeMap<RequestId, Call>,
    by_stream: BTreeMap<StreamId, RequestId>,
    by_write: BTreeMap<WriteId, RequestId>,
    /// The number of the request opened last.
    last_request: u64,
}

impl LeaseCoordinator {
    /// The coordinator of a router that has just started.
    pub fn new(now: Time, settings: &Settings, limits: ProxyLimits) -> LeaseCoordinator {
        LeaseCoordinator {
            limits,
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            writes: WriteRegistry::new(now, limits.id_window, limits.skew, limits.max_remembered_writes),
            leases: LeaseTable::default(),
            calls: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_write: BTreeMap::new(),
            last_request: 0,
        }
    }

    /// Whether a request is one of a proxy.
    pub fn owns(id: RequestId) -> bool {
        id.0 & PROXY_REQUEST_BIT != 0
    }

    /// Handles a proxy's call for a decision, on a stream of its own.
    pub fn request(&mut self, now: Time, stream: StreamId, request: DecisionRequest, out: &mut Vec<Output>) {
        match self.admit(now, stream, &request) {
            Ok(Admission::New(write)) => self.open_call(stream, &request, write, out),
            Ok(Admission::Joins(id)) => self.join_call(stream, id),
            Err(reply) => out.push(Output::Reply(stream, reply)),
        }
    }

    /// Applies an action of the decisions to a proxy's request. Sends to the member must have begun before
    /// `send_until`, if it drains.
    pub fn apply(&mut self, now: Time, action: &Action, send_until: Option<Time>, out: &mut Vec<Output>) {
        match *action {
            Action::Send(request, member, timeout) => {
                self.assign(now, Assignment { request, member, timeout, send_until }, out);
            }
            // The decisions reject only where nothing has executed.
            Action::Reject(id, retry_after) => {
                self.finish(id, true, ProxyReply::Rejected { retry_after }, out);
            }
            Action::Fail(id) => self.finish(id, false, ProxyReply::Failed, out),
            Action::Cancel(id, attempt) => self.cancel(now, id, attempt, out),
            _ => {}
        }
    }

    /// Handles a proxy's report of the outcome of a lease.
    pub fn report_outcome(
        &mut self,
        now: Time,
        stream: StreamId,
        lease: LeaseId,
        outcome: LeaseOutcome,
        replication: ReplicationState,
        out: &mut Vec<Output>,
    ) {
        let Some(ended) = self.leases.report(now, stream, lease, outcome, replication) else { return };
        let is_served = ended.status == Status::Ok;
        if is_served {
            self.remove_call(ended.lease.request, false);
        }
        self.attempt_ended(now, ended, is_served, out);
    }

    /// Handles the end of a stream. The request that it has a lease for may have been sent; a call that it
    /// waits with is given up.
    pub fn stream_closed(&mut self, now: Time, stream: StreamId, out: &mut Vec<Output>) {
        let Some(id) = self.by_stream.remove(&stream) else { return };
        let ended = self.leases.close_stream(stream);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.waiting.retain(|waiting| *waiting != stream);
        let nobody_waits = call.waiting.is_empty();
        if let Some(ended) = ended.into_iter().next() {
            self.remove_call(id, false);
            self.attempt_ended(now, ended, true, out);
        } else if nobody_waits {
            // No lease is in use, and all earlier attempts are proved not to have executed: the decisions
            // would have failed the request otherwise.
            self.remove_call(id, true);
            out.push(Output::Event(Event::ClientGone(id)));
        }
    }

    /// Ends leases that have expired, and forgets writes whose ids are too old.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.writes.expire(now);
        for ended in self.leases.expire(now) {
            self.attempt_ended(now, ended, false, out);
        }
    }

    /// When [`LeaseCoordinator::tick`] is due next.
    pub fn next_due(&self) -> Option<Time> {
        self.leases.next_expiry()
    }

    /// How much is in use at present.
    pub fn usage(&self) -> LeaseUsage {
        LeaseUsage {
            open_calls: self.calls.len().max(self.by_stream.len()).max(self.by_write.len()),
            leases: self.leases.len(),
            remembered_writes: self.writes.len(),
        }
    }

    /// Reports of outcomes that were ignored, since this was last called.
    pub fn take_stray_reports(&mut self) -> StrayReports {
        self.leases.take_stray_reports()
    }

    /// Decides whether a call goes to the decisions; else with the reply that it gets at once.
    fn admit(
        &mut self,
        now: Time,
        stream: StreamId,
        request: &DecisionRequest,
    ) -> Result<Admission, ProxyReply> {
        let class = usize::from(request.class.0);
        let effect = *self.effects.get(class).ok_or(ProxyReply::Invalid(RejectReason::UnknownClass))?;
        if self.by_stream.contains_key(&stream) {
            return Err(ProxyReply::Invalid(RejectReason::StreamBusy));
        }
        if request.deadline <= now {
            return Err(ProxyReply::Invalid(RejectReason::DeadlinePassed));
        }
        if self.by_stream.len() >= self.limits.max_open_calls {
            return Err(ProxyReply::Rejected { retry_after: None });
        }
        // Repeating any other request does no harm, or is prevented by its idempotency key.
        if effect != Effect::NonIdempotent {
            return Ok(Admission::New(None));
        }
        let write = request.id.ok_or(ProxyReply::Invalid(RejectReason::MissingId))?;
        match self.writes.admit(now, write) {
            Verdict::New | Verdict::Retry => Ok(Admission::New(Some(write))),
            Verdict::Pending => {
                let open = self.by_write.get(&write).filter(|id| self.calls.contains_key(id));
                open.map(|id| Admission::Joins(*id)).ok_or(ProxyReply::AlreadyDecided)
            }
            Verdict::Decided => Err(ProxyReply::AlreadyDecided),
            Verdict::Full { retry_after } => Err(ProxyReply::Rejected { retry_after: Some(retry_after) }),
            Verdict::Unusable(reason) => Err(ProxyReply::Invalid(RejectReason::UnusableId(reason))),
        }
    }

    /// Opens a request and hands it to the decisions.
    fn open_call(
        &mut self,
        stream: StreamId,
        request: &DecisionRequest,
        write: Option<WriteId>,
        out: &mut Vec<Output>,
    ) {
        self.last_request += 1;
        let id = RequestId(PROXY_REQUEST_BIT | self.last_request);
        let deadline = request.deadline;
        let call = Call { waiting: vec![stream], leased: None, write, attempts: 0, deadline };
        self.calls.insert(id, call);
        self.by_stream.insert(stream, id);
        if let Some(write) = write {
            self.by_write.insert(write, id);
        }
        out.push(Output::Event(Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            deadline,
            group: request.group,
            floor: request.floor,
            lead: request.lead,
            client_retry: request.client_retry,
        })));
    }

    /// Lets a stream wait for the member of a request that is open already.
    fn join_call(&mut self, stream: StreamId, id: RequestId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.waiting.push(stream);
            self.by_stream.insert(stream, id);
        }
    }

    /// Grants a lease to the first stream that waits for a request's member.
    fn assign(&mut self, now: Time, assignment: Assignment, out: &mut Vec<Output>) {
        let Assignment { request, member, timeout, send_until } = assignment;
        let send_by = now.plus(self.limits.send_within).min(send_until.unwrap_or(Time(u64::MAX)));
        let call = self.calls.get_mut(&request);
        let call = call.filter(|call| send_by > now && !call.waiting.is_empty() && call.deadline > now);
        let Some(call) = call else { return self.decline(now, assignment, out) };
        let stream = call.waiting.remove(0);
        let attempt = Attempt(call.attempts);
        call.attempts += 1;
        let expires_at = timeout.map_or(call.deadline, |timeout| now.plus(timeout)).min(call.deadline);
        let granted_at = now;
        let lease = self.leases.grant(Lease { stream, request, attempt, member, granted_at, expires_at });
        call.leased = Some(LeasedStream { stream, lease });
        if let Some(write) = call.write {
            self.writes.assigned(write);
        }
        let send_by = send_by.min(expires_at);
        out.push(Output::Reply(stream, ProxyReply::Member { lease, member, send_by }));
        for other in std::mem::take(&mut call.waiting) {
            self.by_stream.remove(&other);
            out.push(Output::Reply(other, ProxyReply::AlreadyDecided));
        }
    }

    /// Reports to the decisions that an attempt was not sent, because no stream waits for it or it is too
    /// late.
    fn decline(&mut self, now: Time, assignment: Assignment, out: &mut Vec<Output>) {
        let Assignment { request, member, .. } = assignment;
        let attempt = match self.calls.get_mut(&request) {
            Some(call) => {
                call.attempts += 1;
                call.attempts - 1
            }
            None => u16::MAX,
        };
        let lease = Lease {
            stream: NO_STREAM,
            request,
            attempt: Attempt(attempt),
            member,
            granted_at: now,
            expires_at: now,
        };
        let is_last = !self.calls.contains_key(&request);
        self.attempt_ended(now, EndedLease::unanswered(lease, Status::NotSent), is_last, out);
    }

    /// Cancels an attempt of a request. It may execute all the same.
    fn cancel(&mut self, now: Time, id: RequestId, attempt: Attempt, out: &mut Vec<Output>) {
        let leased = self.calls.get(&id).and_then(|call| call.leased);
        let ended = leased.and_then(|leased| self.leases.cancel(leased.lease));
        if let Some(ended) = ended.filter(|ended| ended.lease.attempt == attempt) {
            self.attempt_ended(now, ended, false, out);
        }
    }

    /// Reports the outcome of an attempt to the decisions. Its stream waits for the next member, unless that
    /// was the request's last attempt.
    fn attempt_ended(&mut self, now: Time, ended: EndedLease, is_last: bool, out: &mut Vec<Output>) {
        let lease = ended.lease;
        if let Some(call) = self.calls.get_mut(&lease.request) {
            if call.leased.take().is_some() {
                call.waiting.push(lease.stream);
            }
        }
        out.push(Output::Event(Event::Outcome(Outcome {
            request: lease.request,
            attempt: lease.attempt,
            member: lease.member,
            status: ended.status,
            elapsed: now.since(lease.granted_at),
            request_completed: is_last,
            replication: ended.replication,
            report: ReplicationState::default(),
        })));
    }

    /// Sends the final reply to each stream of a request.
    fn finish(&mut self, id: RequestId, not_executed: bool, reply: ProxyReply, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id) else { return };
        let leased = call.leased.map(|leased| leased.stream);
        let streams: Vec<StreamId> = call.waiting.iter().copied().chain(leased).collect();
        // While a lease is in use the write may execute, whatever the reply.
        self.remove_call(id, not_executed && leased.is_none());
        out.extend(streams.into_iter().map(|stream| Output::Reply(stream, reply)));
    }

    /// Removes a request. A write is proved not to have executed, or may have.
    fn remove_call(&mut self, id: RequestId, not_executed: bool) {
        let Some(call) = self.calls.remove(&id) else { return };
        let leased = call.leased.map(|leased| leased.stream);
        for stream in call.waiting.into_iter().chain(leased) {
            self.by_stream.remove(&stream);
        }
        let Some(write) = call.write else { return };
        self.by_write.remove(&write);
        if not_executed {
            self.writes.not_executed(write);
        } else {
            self.writes.possibly_executed(write);
        }
    }
}
