//! Starting attempts, retrying them and completing requests.

use super::connections::ConnectionState;
use super::exchange::ExchangeResult;
use super::{Action, Core, RequestId};
use crate::outcome::{AttemptOutcome, RequestOutcome, RequestReport};
use crate::protocol::Statement;
use crate::request::Priority;
use crate::session::SessionContext;
use std::time::{Duration, Instant};

/// Shortest delay before a retry after a rejection, even if its Retry-After time is shorter. Also the base of
/// the exponential backoff, which doubles with each attempt, after other failures of a statement that a
/// router may have read. A statement that no router has read is retried without a delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum jitter that is added to a Retry-After time, as a fraction of that time.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Jitter of the backoff: it is multiplied by a random factor between this value and this value plus one.
const MIN_BACKOFF_FACTOR: f64 = 0.5;
/// Maximum delay before a retry. It is far longer than any timeout of a request; without a limit,
/// adding a Retry-After time from the network to an [`Instant`] could overflow.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(86_400);
/// Number of random bits in an attempt's id. They are its high bits.
const ATTEMPT_ID_RANDOM_BITS: u32 = 53;

impl Core {
    /// Does everything that is due at `now`: completes expired requests, closes connections whose timeout has
    /// passed, makes delayed requests ready, and starts attempts and connections.
    pub(super) fn advance(&mut self, now: Instant) {
        self.latest_time = self.latest_time.max(Some(now));
        self.complete_expired_requests(now);
        self.close_timed_out_connections(now);
        self.requests.release_delayed(now);
        self.start_attempts(now);
        self.open_connections(now);
    }

    /// Completes the requests whose deadline has passed. Called before any attempt is started or retried: if
    /// the process was paused past a deadline, no further attempt of that request may be written.
    pub(super) fn complete_expired_requests(&mut self, now: Instant) {
        while let Some(id) = self.requests.first_expired(now) {
            self.abandon_attempt(now, id);
            self.complete_or_may_have_run(now, id, RequestOutcome::DeadlineExceeded);
        }
    }

    fn start_attempts(&mut self, now: Instant) {
        let mut from = RequestId(0);
        while self.connections.has_idle() {
            let Some(id) = self.requests.next_ready(from) else { break };
            from = RequestId(id.0 + 1);
            self.start_attempt(now, id);
        }
    }

    /// Sends a request on an idle connection. If too little time is left until its deadline, the request is
    /// completed instead. If its session already has the maximum number of requests in flight, the request
    /// stays ready.
    fn start_attempt(&mut self, now: Instant, id: RequestId) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let deadline = pending.request.deadline;
        if now + self.response_times.min_remaining(&pending.request.class) >= deadline {
            return self.complete_or_may_have_run(now, id, RequestOutcome::DeadlineExceeded);
        }
        let Some(connection) = self.connections.least_loaded_idle(&self.routers) else { return };
        let Some(session) = pending.acquire_session_slot() else { return };
        let Some(bytes) = self.encode_statement(now, id, &session) else { return };
        let Some(router) = self.connections.start_exchange(connection, id, bytes.len()) else { return };
        self.routers.on_request_started(router);
        self.counters.attempts += 1;
        self.requests.start_attempt(now, id, connection, self.routers.address(router));
        self.actions.push_back(Action::Write { connection, bytes, deadline: Some(deadline) });
    }

    fn encode_statement(&mut self, now: Instant, id: RequestId, session: &SessionContext) -> Option<Vec<u8>> {
        let attempt_id = self.generate_attempt_id();
        let pending = self.requests.get(id)?;
        let remaining = pending.request.deadline.saturating_duration_since(now);
        let statement = Statement {
            request: &pending.request,
            attempt_id,
            remaining_ms: remaining.as_millis() as u64,
            is_retry: !pending.attempts.is_empty(),
            session,
        };
        Some(statement.encode())
    }

    /// Returns the id of an attempt: random bits combined with the latest id of a request or connection and
    /// the number of attempts, so that a repeated random number does not lead to a repeated id.
    fn generate_attempt_id(&mut self) -> u64 {
        let random = self.rng.u64(..1 << ATTEMPT_ID_RANDOM_BITS);
        (random << (u64::BITS - ATTEMPT_ID_RANDOM_BITS)) ^ self.last_id ^ (self.counters.attempts << 3)
    }

    /// Opens connections, as far as the reconnect gate and the routers allow, until the number of connections
    /// that are being opened has reached the number of ready requests.
    fn open_connections(&mut self, now: Instant) {
        if self.connections.starting_count() >= self.requests.ready_count() {
            return;
        }
        let first = self.requests.next_ready(RequestId(0)).and_then(|id| self.requests.get(id));
        let Some(first) = first else { return };
        let remaining = first.request.deadline.saturating_duration_since(now);
        if !self.reconnect_gate.admits(now, remaining, &mut self.rng) {
            return;
        }
        while self.connections.starting_count() < self.requests.ready_count() {
            let Some(router) = self.routers.choose(now, &mut self.rng) else { return };
            self.open_connection(now, router);
        }
    }

    /// Abandons the attempt that a request has in flight, if there is one, and closes its connection, so that
    /// a late response is not taken for the response to the next request.
    pub(super) fn abandon_attempt(&mut self, now: Instant, id: RequestId) {
        let Some(connection_id) = self.requests.take_connection(id) else { return };
        let Some(connection) = self.remove_connection(connection_id) else { return };
        if let ConnectionState::Busy(exchange) = connection.state {
            self.actions.push_back(Action::Close { connection: connection_id });
            let outcome = AttemptOutcome::Abandoned(exchange.write_progress());
            self.requests.end_attempt(now, id, outcome);
        }
    }

    /// Handles the end of an attempt. If it failed, the request is retried if its idempotency, its deadline
    /// and the retry budget allow it; otherwise the request is completed.
    pub(super) fn finish_attempt(&mut self, now: Instant, result: ExchangeResult) {
        let ExchangeResult { request: id, outcome, value, invalid } = result;
        self.requests.end_attempt(now, id, outcome.clone());
        if outcome == AttemptOutcome::Served {
            self.record_response_time(id);
            self.complete(now, id, RequestOutcome::Served(value));
        } else if let Some(invalid) = invalid {
            self.complete(now, id, RequestOutcome::Invalid(invalid));
        } else {
            self.retry_or_complete(now, id, &outcome);
        }
    }

    fn record_response_time(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(id) else { return };
        if let Some(attempt) = pending.attempts.last() {
            self.response_times.record(&pending.request.class, attempt.elapsed);
        }
    }

    fn retry_or_complete(&mut self, now: Instant, id: RequestId, outcome: &AttemptOutcome) {
        let Some(pending) = self.requests.get(id) else { return };
        if pending.must_not_retry() {
            return self.complete(now, id, RequestOutcome::MayHaveRun);
        }
        let delay = retry_delay(outcome, pending.attempts.len(), &mut self.rng);
        let retry_at = now + delay.min(MAX_RETRY_DELAY);
        let min_remaining = self.response_times.min_remaining(&pending.request.class);
        let is_in_time = retry_at + min_remaining < pending.request.deadline;
        let priority = pending.request.priority;
        let outcome_without_retry = pending.outcome_without_retry(outcome);
        if !is_in_time || (outcome.may_have_reached_router() && !self.withdraw_retry(priority)) {
            return self.complete(now, id, outcome_without_retry);
        }
        self.requests.schedule_retry(now, id, retry_at);
    }

    fn withdraw_retry(&mut self, priority: Priority) -> bool {
        let is_allowed = self.retry_budget.withdraw(priority);
        if !is_allowed {
            self.counters.retries_over_budget += 1;
        }
        is_allowed
    }

    /// Completes a request with `MayHaveRun` if one of its attempts may have run and the request is not
    /// idempotent, otherwise with `outcome`.
    pub(super) fn complete_or_may_have_run(&mut self, now: Instant, id: RequestId, outcome: RequestOutcome) {
        if let Some(pending) = self.requests.get(id) {
            let outcome = pending.may_have_run_or(outcome);
            self.complete(now, id, outcome);
        }
    }

    fn complete(&mut self, now: Instant, id: RequestId, outcome: RequestOutcome) {
        let Some(pending) = self.requests.remove(id) else { return };
        let elapsed = now.saturating_duration_since(pending.submitted_at);
        let report = RequestReport { outcome, attempts: pending.attempts, elapsed };
        self.actions.push_back(Action::Complete { request: id, report });
    }
}

/// Returns the delay before the retry of an attempt that was not served. Takes exactly one random number
/// for any outcome, so that the sequence of random numbers does not depend on outcomes.
fn retry_delay(outcome: &AttemptOutcome, attempts: usize, rng: &mut fastrand::Rng) -> Duration {
    let jitter = rng.f64();
    match outcome {
        AttemptOutcome::Rejected(retry_after) => {
            let min_delay = retry_after.unwrap_or_default().max(MIN_RETRY_DELAY);
            min_delay.mul_f64(1.0 + RETRY_AFTER_JITTER * jitter)
        }
        _ if outcome.may_have_reached_router() => {
            let doublings = (attempts as u32).min(MAX_BACKOFF_DOUBLINGS);
            (MIN_RETRY_DELAY * (1 << doublings)).mul_f64(MIN_BACKOFF_FACTOR + jitter)
        }
        _ => Duration::ZERO,
    }
}
