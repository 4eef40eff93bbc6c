//! Calls of external proxies, from the call to the final reply. The decision module chooses the members: the
//! coordinator produces events for it, and its actions are applied to the coordinator.

use crate::lease_table::{EndedLease, IgnoredReports, Lease, LeaseId, LeaseOutcome, LeaseTable, StreamId};
use crate::messages::{DecisionRequest, InvalidCallReason, LeaseUsage, Output, ProxyLimits, ProxyReply};
use crate::write_id::WriteId;
use crate::write_registry::{Verdict, WriteRegistry};
use basalthill_policy::api::{
    Action, Attempt, Effect, Event, MemberId, Outcome, ReplicationState, Request, RequestId, Settings,
    Status, Time,
};
use std::collections::BTreeMap;

/// The bit that is set in the ids of proxies' requests. It distinguishes them from clients' requests, so that
/// one decision module can serve both.
const PROXY_REQUEST_BIT: u64 = 1 << 63;
/// The placeholder for the stream of an attempt that was declined, and so was not assigned to any stream.
const NO_STREAM: StreamId = StreamId(0);

/// An open request. One or more streams have called for it.
#[derive(Debug)]
struct Call {
    /// The streams that wait for a member, in order of arrival.
    waiting: Vec<StreamId>,
    /// The stream that has been assigned a member, with its lease.
    leased: Option<LeasedStream>,
    /// The id of the write, if the request is a non-idempotent write.
    write: Option<WriteId>,
    /// Number of attempts so far, including those that were declined.
    attempts: u16,
    deadline: Time,
}

/// A stream and its lease.
#[derive(Clone, Copy, Debug)]
struct LeasedStream {
    stream: StreamId,
    lease: LeaseId,
}

/// A member that the decision module has chosen for a request.
#[derive(Clone, Copy, Debug)]
struct Assignment {
    request: RequestId,
    member: MemberId,
    /// Timeout of the attempt, if it ends before the request's deadline.
    timeout: Option<Time>,
    /// The time by which a send to the member must have begun, if the member is draining.
    send_until: Option<Time>,
}

/// The way in which a call for a decision is admitted.
enum Admission {
    /// The call opens a request; with the id of the write, if it is a non-idempotent write.
    New(Option<WriteId>),
    /// The call joins the open request for the same write.
    Joins(RequestId),
}

/// The state of one router's calls from external proxies.
#[derive(Debug)]
pub struct LeaseCoordinator {
    limits: ProxyLimits,
    /// The effect of each request class, indexed by class id.
    effects: Vec<Effect>,
    writes: WriteRegistry,
    leases: LeaseTable,
    calls: BTreeMap<RequestId, Call>,
    by_stream: BTreeMap<StreamId, RequestId>,
    by_write: BTreeMap<WriteId, RequestId>,
    /// The number of the most recently opened request.
    last_request: u64,
}

impl LeaseCoordinator {
    /// Creates the coordinator of a router that has just started.
    pub fn new(now: Time, settings: &Settings, limits: ProxyLimits) -> LeaseCoordinator {
        LeaseCoordinator {
            limits,
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            writes: WriteRegistry::new(now, limits.id_window, limits.skew, limits.max_registered_writes),
            leases: LeaseTable::default(),
            calls: BTreeMap::new(),
            by_stream: BTreeMap::new(),
            by_write: BTreeMap::new(),
            last_request: 0,
        }
    }

    /// Returns whether a request came from a proxy. All other requests came from clients.
    pub fn owns(id: RequestId) -> bool {
        id.0 & PROXY_REQUEST_BIT != 0
    }

    /// Handles a proxy's call for a decision. A stream can have one open call at a time.
    pub fn request(&mut self, now: Time, stream: StreamId, request: DecisionRequest, out: &mut Vec<Output>) {
        match self.admit(now, stream, &request) {
            Ok(Admission::New(write)) => self.open_call(stream, &request, write, out),
            Ok(Admission::Joins(id)) => self.join_call(stream, id),
            Err(reply) => out.push(Output::Reply(stream, reply)),
        }
    }

    /// Applies an action of the decision module to a proxy's request. `send_until` is the time before which a
    /// send to the action's member must have begun, if that member is draining.
    pub fn apply(&mut self, now: Time, action: &Action, send_until: Option<Time>, out: &mut Vec<Output>) {
        match *action {
            Action::Send(request, member, timeout) => {
                self.assign(now, Assignment { request, member, timeout, send_until }, out);
            }
            // The decision module rejects a request only if no attempt of it has executed.
            Action::Reject(id, retry_after) => {
                self.finish(id, true, ProxyReply::Rejected { retry_after }, out);
            }
            Action::Fail(id) => self.finish(id, false, ProxyReply::Failed, out),
            Action::Cancel(id, attempt) => self.cancel(now, id, attempt, out),
            _ => {}
        }
    }

    /// Handles a proxy's report of the outcome of its attempt under a lease.
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

    /// Handles the closing of a stream. If the stream has a lease, the lease ends and the request is
    /// completed, since the request may have been sent. If the stream waits for a member, it stops waiting,
    /// and a request for which no other stream waits is abandoned.
    pub fn stream_closed(&mut self, now: Time, stream: StreamId, out: &mut Vec<Output>) {
        let Some(id) = self.by_stream.remove(&stream) else { return };
        let ended = self.leases.close_stream(stream);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.waiting.retain(|waiting| *waiting != stream);
        let no_stream_waits = call.waiting.is_empty();
        if let Some(ended) = ended.into_iter().next() {
            self.remove_call(id, false);
            self.attempt_ended(now, ended, true, out);
        } else if no_stream_waits {
            // No lease is in use, and all earlier attempts are proved not to have executed: otherwise the
            // decision module would have failed the request.
            self.remove_call(id, true);
            out.push(Output::Event(Event::ClientGone(id)));
        }
    }

    /// Ends the leases that have expired, and removes writes whose ids are too old to be accepted.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.writes.expire(now);
        for ended in self.leases.expire(now) {
            self.attempt_ended(now, ended, false, out);
        }
    }

    /// Returns the time at which [`LeaseCoordinator::tick`] is due next: the next expiry of a lease.
    pub fn next_due(&self) -> Option<Time> {
        self.leases.next_expiry()
    }

    /// Returns the numbers of open calls, leases in use and registered writes.
    pub fn usage(&self) -> LeaseUsage {
        LeaseUsage {
            open_calls: self.calls.len().max(self.by_stream.len()).max(self.by_write.len()),
            leases: self.leases.len(),
            registered_writes: self.writes.len(),
        }
    }

    /// Returns the counts of ignored outcome reports since the last call.
    pub fn take_ignored_reports(&mut self) -> IgnoredReports {
        self.leases.take_ignored_reports()
    }

    /// Decides whether a call is handed to the decision module. If not, the error is the reply to send at
    /// once.
    fn admit(
        &mut self,
        now: Time,
        stream: StreamId,
        request: &DecisionRequest,
    ) -> Result<Admission, ProxyReply> {
        let class = usize::from(request.class.0);
        let effect = *self.effects.get(class).ok_or(ProxyReply::Invalid(InvalidCallReason::UnknownClass))?;
        if self.by_stream.contains_key(&stream) {
            return Err(ProxyReply::Invalid(InvalidCallReason::StreamBusy));
        }
        if request.deadline <= now {
            return Err(ProxyReply::Invalid(InvalidCallReason::DeadlinePassed));
        }
        if self.by_stream.len() >= self.limits.max_open_calls {
            return Err(ProxyReply::Rejected { retry_after: None });
        }
        // Executing any other request twice is harmless, or is prevented by its idempotency key.
        if effect != Effect::NonIdempotent {
            return Ok(Admission::New(None));
        }
        let write = request.id.ok_or(ProxyReply::Invalid(InvalidCallReason::MissingId))?;
        match self.writes.admit(now, write) {
            Verdict::New | Verdict::Retry => Ok(Admission::New(Some(write))),
            Verdict::Pending => {
                let open = self.by_write.get(&write).filter(|id| self.calls.contains_key(id));
                open.map(|id| Admission::Joins(*id)).ok_or(ProxyReply::AlreadyDecided)
            }
            Verdict::Decided => Err(ProxyReply::AlreadyDecided),
            Verdict::Full { retry_after } => Err(ProxyReply::Rejected { retry_after: Some(retry_after) }),
            Verdict::Unusable(reason) => Err(ProxyReply::Invalid(InvalidCallReason::UnusableId(reason))),
        }
    }

    /// Opens a request and hands it to the decision module.
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

    /// Adds a stream to those that wait for the member of an open request.
    fn join_call(&mut self, stream: StreamId, id: RequestId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.waiting.push(stream);
            self.by_stream.insert(stream, id);
        }
    }

    /// Grants a lease to the first stream that waits for the request's member. The other waiting streams get
    /// [`ProxyReply::AlreadyDecided`].
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
            self.writes.mark_assigned(write);
        }
        let send_by = send_by.min(expires_at);
        out.push(Output::Reply(stream, ProxyReply::Member { lease, member, send_by }));
        for other in std::mem::take(&mut call.waiting) {
            self.by_stream.remove(&other);
            out.push(Output::Reply(other, ProxyReply::AlreadyDecided));
        }
    }

    /// Reports to the decision module that an attempt was not sent, because the request is not open, no
    /// stream waits for a member, or the request's deadline or the assignment's `send_until` has passed.
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
        let request_completed = !self.calls.contains_key(&request);
        let ended = EndedLease::without_response(lease, Status::NotSent);
        self.attempt_ended(now, ended, request_completed, out);
    }

    /// Cancels an attempt of a request. The attempt may still execute.
    fn cancel(&mut self, now: Time, id: RequestId, attempt: Attempt, out: &mut Vec<Output>) {
        let leased = self.calls.get(&id).and_then(|call| call.leased);
        let ended = leased.and_then(|leased| self.leases.cancel(leased.lease));
        if let Some(ended) = ended.filter(|ended| ended.lease.attempt == attempt) {
            self.attempt_ended(now, ended, false, out);
        }
    }

    /// Reports the outcome of an attempt to the decision module. If the request is still open, the attempt's
    /// stream waits for the next member.
    fn attempt_ended(
        &mut self,
        now: Time,
        ended: EndedLease,
        request_completed: bool,
        out: &mut Vec<Output>,
    ) {
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
            request_completed,
            replication: ended.replication,
            report: ReplicationState::default(),
        })));
    }

    /// Removes a request and sends the final reply to each of its streams.
    fn finish(&mut self, id: RequestId, not_executed: bool, reply: ProxyReply, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(&id) else { return };
        let leased = call.leased.map(|leased| leased.stream);
        let streams: Vec<StreamId> = call.waiting.iter().copied().chain(leased).collect();
        // While a lease is in use, the write may execute regardless of the reply.
        self.remove_call(id, not_executed && leased.is_none());
        out.extend(streams.into_iter().map(|stream| Output::Reply(stream, reply)));
    }

    /// Removes a request. If it is a non-idempotent write, `not_executed` determines whether the write is
    /// registered as proved not to have executed, or as possibly executed.
    fn remove_call(&mut self, id: RequestId, not_executed: bool) {
        let Some(call) = self.calls.remove(&id) else { return };
        let leased = call.leased.map(|leased| leased.stream);
        for stream in call.waiting.into_iter().chain(leased) {
            self.by_stream.remove(&stream);
        }
        let Some(write) = call.write else { return };
        self.by_write.remove(&write);
        if not_executed {
            self.writes.mark_not_executed(write);
        } else {
            self.writes.mark_possibly_executed(write);
        }
    }
}
