//! The requests that have no outcome yet: their attempts, their deadlines, and whether they wait for a
//! connection, for the end of a retry delay or for a response.

use super::{ConnectionId, RequestId};
use crate::outcome::{AttemptOutcome, AttemptRecord, RequestOutcome, WriteProgress};
use crate::request::{Idempotency, Request};
use crate::session::SessionContext;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request without an outcome.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// The request. Its deadline may be earlier than the one that the caller set: see
    /// [`Requests::end_attempt`].
    pub(super) request: Request,
    /// When the request was submitted.
    pub(super) submitted_at: Instant,
    /// The attempts so far, the latest last.
    pub(super) attempts: Vec<AttemptRecord>,
    /// The connection of the attempt in flight; `None` if no attempt is in flight.
    connection: Option<ConnectionId>,
    /// When the first attempt that may have run was started.
    uncertain_since: Option<Instant>,
    /// The time at which the request became or becomes ready for its next attempt.
    ready_at: Instant,
    /// Whether the request occupies one of its session's slots for requests in flight.
    has_session_slot: bool,
    /// The session tokens in the statement of the latest attempt. A token that is received after the start of
    /// the attempt replaces them.
    sent_tokens: Vec<String>,
}

impl PendingRequest {
    fn new(now: Instant, request: Request) -> PendingRequest {
        PendingRequest {
            request,
            submitted_at: now,
            attempts: Vec::new(),
            connection: None,
            uncertain_since: None,
            ready_at: now,
            has_session_slot: false,
            sent_tokens: Vec::new(),
        }
    }

    /// Returns whether an attempt may have run and the request is not [`Idempotency::Idempotent`].
    pub(super) fn may_have_run(&self) -> bool {
        self.request.idempotency != Idempotency::Idempotent && self.uncertain_since.is_some()
    }

    /// Returns whether no further attempt is allowed, because an attempt may have run and the request is
    /// [`Idempotency::NonIdempotent`].
    pub(super) fn must_not_retry(&self) -> bool {
        self.request.idempotency == Idempotency::NonIdempotent && self.uncertain_since.is_some()
    }

    /// Returns `MayHaveRun` if [`PendingRequest::may_have_run`], otherwise `outcome`.
    pub(super) fn may_have_run_or(&self, outcome: RequestOutcome) -> RequestOutcome {
        if self.may_have_run() {
            RequestOutcome::MayHaveRun
        } else {
            outcome
        }
    }

    /// Returns the outcome of the request if it is not retried after an attempt that failed with `last`.
    pub(super) fn outcome_without_retry(&self, last: &AttemptOutcome) -> RequestOutcome {
        if self.may_have_run() {
            return RequestOutcome::MayHaveRun;
        }
        match last {
            AttemptOutcome::Rejected(retry_after) => RequestOutcome::Rejected(*retry_after),
            _ if self.uncertain_since.is_none() => RequestOutcome::Rejected(None),
            _ => RequestOutcome::Failed,
        }
    }

    /// Occupies one of the session's slots for requests in flight and returns the session's name and tokens,
    /// which the statement must carry. Returns `None` if no slot is free. A slot occupied for an earlier
    /// attempt is freed first. A request without a session needs no slot.
    pub(super) fn acquire_session_slot(&mut self) -> Option<SessionContext> {
        let Some(session) = &self.request.session else {
            self.sent_tokens.clear();
            return Some(SessionContext::default());
        };
        if self.has_session_slot {
            session.finish_request();
            self.has_session_slot = false;
        }
        let context = session.start_request()?;
        self.has_session_slot = true;
        self.sent_tokens = context.tokens.clone();
        Some(context)
    }

    fn release_session_slot(&mut self) {
        if let Some(session) = self.request.session.as_ref().filter(|_| self.has_session_slot) {
            session.finish_request();
        }
        self.has_session_slot = false;
    }
}

/// A deadline or the end of a delay of a request, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestTime {
    at: Instant,
    request: RequestId,
}

/// All requests of a client that have no outcome yet.
#[derive(Debug, Default)]
pub(super) struct Requests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for a connection, or for a free slot of their session.
    ready: BTreeSet<RequestId>,
    /// Requests that wait for the end of their backoff or Retry-After time.
    delayed: BTreeSet<RequestTime>,
    deadlines: BTreeSet<RequestTime>,
}

impl Requests {
    /// Adds a request that is ready for its first attempt.
    pub(super) fn insert(&mut self, now: Instant, id: RequestId, request: Request) {
        self.deadlines.insert(RequestTime { at: request.deadline, request: id });
        self.by_id.insert(id, PendingRequest::new(now, request));
        self.ready.insert(id);
    }

    /// Removes a request from all tables and frees its session slot.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let mut pending = self.by_id.remove(&id)?;
        self.ready.remove(&id);
        self.delayed.remove(&RequestTime { at: pending.ready_at, request: id });
        self.deadlines.remove(&RequestTime { at: pending.request.deadline, request: id });
        pending.release_session_slot();
        Some(pending)
    }

    /// Returns a request by its id.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    /// Returns a request by its id. The caller must not change the deadline, which is also a key of the
    /// ordered set of deadlines.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// Records that an attempt of a request was started.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        id: RequestId,
        connection: ConnectionId,
        router: SocketAddr,
    ) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        pending.connection = Some(connection);
        pending.attempts.push(AttemptRecord {
            router,
            started_at: now,
            elapsed: Duration::ZERO,
            outcome: AttemptOutcome::Abandoned(WriteProgress::Unsent),
        });
        self.ready.remove(&id);
    }

    /// Takes the connection of the attempt that a request has in flight.
    pub(super) fn take_connection(&mut self, id: RequestId) -> Option<ConnectionId> {
        self.by_id.get_mut(&id)?.connection.take()
    }

    /// Records the outcome of a request's latest attempt. If the request has an idempotency key and a router
    /// may have forwarded the attempt, the request's deadline is limited to the end of the key's window.
    pub(super) fn end_attempt(&mut self, now: Instant, id: RequestId, outcome: AttemptOutcome) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        pending.connection = None;
        let Some(attempt) = pending.attempts.last_mut() else { return };
        attempt.elapsed = now.saturating_duration_since(attempt.started_at);
        let started_at = attempt.started_at;
        let was_forwarded = outcome.may_have_been_forwarded();
        let is_uncertain = !outcome.proves_not_run() && outcome != AttemptOutcome::Served;
        attempt.outcome = outcome;
        if is_uncertain {
            pending.uncertain_since.get_or_insert(started_at);
        }
        if was_forwarded {
            self.limit_to_window(id, started_at);
        }
    }

    /// Limits the deadline of a request with an idempotency key to the end of the key's window, which starts
    /// with the first attempt that a router may have forwarded: hosts drop repeats only within the window.
    /// Each statement carries the remaining time, so routers and hosts observe the same limit.
    fn limit_to_window(&mut self, id: RequestId, attempt_started_at: Instant) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        let Idempotency::Keyed(window) = pending.request.idempotency else { return };
        let deadline = &mut pending.request.deadline;
        self.deadlines.remove(&RequestTime { at: *deadline, request: id });
        *deadline = (*deadline).min(attempt_started_at + window);
        self.deadlines.insert(RequestTime { at: *deadline, request: id });
    }

    /// Stores a token that a request has received in the request's session.
    pub(super) fn store_session_token(&mut self, id: RequestId, token: String) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        if let Some(session) = &pending.request.session {
            session.store_token(&mut pending.sent_tokens, token);
        }
    }

    /// Schedules the next attempt of a request: it becomes ready at `ready_at`.
    pub(super) fn schedule_retry(&mut self, now: Instant, id: RequestId, ready_at: Instant) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        pending.ready_at = ready_at;
        if ready_at <= now {
            self.ready.insert(id);
        } else {
            self.delayed.insert(RequestTime { at: ready_at, request: id });
        }
    }

    /// Moves the requests whose delay has ended to the ready ones.
    pub(super) fn release_delayed(&mut self, now: Instant) {
        while let Some(delayed) = self.delayed.first().copied().filter(|delayed| delayed.at <= now) {
            self.delayed.remove(&delayed);
            self.ready.insert(delayed.request);
        }
    }

    /// Returns the request with the earliest deadline, if that has passed.
    pub(super) fn first_expired(&self, now: Instant) -> Option<RequestId> {
        let deadline = self.deadlines.first().filter(|deadline| deadline.at <= now)?;
        Some(deadline.request)
    }

    /// Returns the ready request with the lowest id that is not below `from`.
    pub(super) fn next_ready(&self, from: RequestId) -> Option<RequestId> {
        self.ready.range(from..).next().copied()
    }

    /// Returns the number of ready requests.
    pub(super) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Returns the earliest end of a retry delay.
    pub(super) fn next_delay_end(&self) -> Option<Instant> {
        self.delayed.first().map(|delayed| delayed.at)
    }

    /// Returns the ids of all requests, in ascending order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().copied().collect()
    }

    /// Returns the number of requests. It is the largest of the tables' sizes, so that tests detect an entry
    /// that was not removed from all tables.
    pub(super) fn len(&self) -> usize {
        let waiting = self.ready.len() + self.delayed.len();
        self.by_id.len().max(waiting).max(self.deadlines.len())
    }
}
