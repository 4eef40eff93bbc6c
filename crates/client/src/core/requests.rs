//! The requests that have no outcome yet: their attempts, their deadlines, and whether they wait for a
//! connection, for a backoff or for a response.

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
    /// The request. Its deadline may be earlier than the caller's: see [`Requests::end_attempt`].
    pub(super) request: Request,
    /// When the caller handed it over.
    pub(super) submitted_at: Instant,
    /// The attempts so far.
    pub(super) attempts: Vec<AttemptRecord>,
    /// The connection of the attempt in flight.
    connection: Option<ConnectionId>,
    /// When the first attempt with an uncertain outcome was started.
    uncertain_since: Option<Instant>,
    /// When it became or becomes ready for its next attempt.
    ready_at: Instant,
    /// Whether it occupies one of its session's places for requests in flight.
    is_in_session: bool,
    /// The session's tokens that the latest attempt sent along.
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
            is_in_session: false,
            sent_tokens: Vec::new(),
        }
    }

    /// Whether an attempt may have run, in a request that must not run twice.
    pub(super) fn may_have_run(&self) -> bool {
        self.request.idempotency != Idempotency::Idempotent && self.uncertain_since.is_some()
    }

    /// Whether no further attempt is allowed, however much time and budget is left.
    pub(super) fn must_not_retry(&self) -> bool {
        self.request.idempotency == Idempotency::NonIdempotent && self.uncertain_since.is_some()
    }

    /// `MayHaveRun` if an attempt may have run, in a request that must not run twice; else this outcome.
    pub(super) fn may_have_run_or(&self, otherwise: RequestOutcome) -> RequestOutcome {
        if self.may_have_run() {
            RequestOutcome::MayHaveRun
        } else {
            otherwise
        }
    }

    /// The outcome if the attempt that has failed like this stays the last one.
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

    /// Takes a place in the request's session; `None` while the session has none left. A place from an
    /// earlier attempt is returned first.
    pub(super) fn enter_session(&mut self) -> Option<SessionContext> {
        let Some(session) = &self.request.session else {
            self.sent_tokens.clear();
            return Some(SessionContext::default());
        };
        if self.is_in_session {
            session.finish_request();
            self.is_in_session = false;
        }
        let context = session.start_request()?;
        self.is_in_session = true;
        self.sent_tokens = context.tokens.clone();
        Some(context)
    }

    fn leave_session(&mut self) {
        if let Some(session) = self.request.session.as_ref().filter(|_| self.is_in_session) {
            session.finish_request();
        }
        self.is_in_session = false;
    }
}

/// The place of a request in an order of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestTime {
    at: Instant,
    request: RequestId,
}

/// All requests of a client that have no outcome yet.
#[derive(Debug, Default)]
pub(super) struct Requests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    /// Those that wait for a connection, or for a place in their session.
    ready: BTreeSet<RequestId>,
    /// Those that wait for their backoff or Retry-After time.
    delayed: BTreeSet<RequestTime>,
    deadlines: BTreeSet<RequestTime>,
}

impl Requests {
    /// Adds a request, ready for its first attempt.
    pub(super) fn insert(&mut self, now: Instant, id: RequestId, request: Request) {
        self.deadlines.insert(RequestTime { at: request.deadline, request: id });
        self.by_id.insert(id, PendingRequest::new(now, request));
        self.ready.insert(id);
    }

    /// Removes a request and returns its place in its session.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let mut pending = self.by_id.remove(&id)?;
        self.ready.remove(&id);
        self.delayed.remove(&RequestTime { at: pending.ready_at, request: id });
        self.deadlines.remove(&RequestTime { at: pending.request.deadline, request: id });
        pending.leave_session();
        Some(pending)
    }

    /// A request by its id.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    /// A request by its id. Its deadline must not be changed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// Notes that a request's next attempt was started.
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

    /// Takes the connection of a request's attempt in flight.
    pub(super) fn take_connection(&mut self, id: RequestId) -> Option<ConnectionId> {
        self.by_id.get_mut(&id)?.connection.take()
    }

    /// Notes how a request's latest attempt ended. If that leaves it uncertain whether a request with an
    /// idempotency key has run, its deadline becomes the end of the key's window at the latest: a repeat is
    /// dropped inside the window only, and the remaining time that is sent along tells routers and hosts so.
    pub(super) fn end_attempt(&mut self, now: Instant, id: RequestId, outcome: AttemptOutcome) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        pending.connection = None;
        let Some(attempt) = pending.attempts.last_mut() else { return };
        attempt.elapsed = now.saturating_duration_since(attempt.started_at);
        let is_uncertain = !outcome.proves_not_run() && outcome != AttemptOutcome::Served;
        attempt.outcome = outcome;
        if !is_uncertain || pending.uncertain_since.is_some() {
            return;
        }
        let started_at = attempt.started_at;
        pending.uncertain_since = Some(started_at);
        if let Idempotency::Keyed(window) = pending.request.idempotency {
            let deadline = &mut pending.request.deadline;
            self.deadlines.remove(&RequestTime { at: *deadline, request: id });
            *deadline = (*deadline).min(started_at + window);
            self.deadlines.insert(RequestTime { at: *deadline, request: id });
        }
    }

    /// Stores a token that was received for a request in its session.
    pub(super) fn store_session_token(&mut self, id: RequestId, token: String) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        if let Some(session) = &pending.request.session {
            session.store_token(&mut pending.sent_tokens, token);
        }
    }

    /// Makes a request ready for its next attempt at this time.
    pub(super) fn schedule_retry(&mut self, now: Instant, id: RequestId, ready_at: Instant) {
        let Some(pending) = self.by_id.get_mut(&id) else { return };
        pending.ready_at = ready_at;
        if ready_at <= now {
            self.ready.insert(id);
        } else {
            self.delayed.insert(RequestTime { at: ready_at, request: id });
        }
    }

    /// Makes the requests ready whose delay is over.
    pub(super) fn release_delayed(&mut self, now: Instant) {
        while let Some(delayed) = self.delayed.first().copied().filter(|delayed| delayed.at <= now) {
            self.delayed.remove(&delayed);
            self.ready.insert(delayed.request);
        }
    }

    /// The first request past its deadline.
    pub(super) fn first_expired(&self, now: Instant) -> Option<RequestId> {
        let deadline = self.deadlines.first().filter(|deadline| deadline.at <= now)?;
        Some(deadline.request)
    }

    /// The first ready request whose id is `from` or a later one.
    pub(super) fn next_ready(&self, from: RequestId) -> Option<RequestId> {
        self.ready.range(from..).next().copied()
    }

    /// The number of ready requests.
    pub(super) fn ready(&self) -> usize {
        self.ready.len()
    }

    /// The earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// The earliest end of a delay.
    pub(super) fn next_delay_end(&self) -> Option<Instant> {
        self.delayed.first().map(|delayed| delayed.at)
    }

    /// The ids of all requests, in order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().copied().collect()
    }

    /// The number of requests: the largest of the sizes of the tables, which differ only if one leaks.
    pub(super) fn len(&self) -> usize {
        let waiting = self.ready.len() + self.delayed.len();
        self.by_id.len().max(waiting).max(self.deadlines.len())
    }
}
