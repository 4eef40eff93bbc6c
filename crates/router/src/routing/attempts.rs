//! Attempts of requests. The policy's actions start them; results, timeouts and cancellations end them. Each
//! attempt has exactly one outcome, which is passed to the policy. The state is in
//! [`RequestTable`](super::request_table::RequestTable).

use super::exchanges::InFlightExchange;
use super::input::{ExchangeId, ExchangeResult};
use super::outcomes::{
    attempt_status, is_statement_error, replication_from_load_report, reported_replication,
};
use super::requests::InvalidRequest;
use super::system_clock::time_from_unix_ms;
use super::timers::Timer;
use super::{Effect, ExchangeStart, Query, Reply, Requester, Router};
use crate::protocol::host::{QueryOutcome, ReportedState};
use basalthill_fleet::Budget;
use basalthill_policy::api::{Attempt, Event, MemberId, Outcome, RequestId, Status, Time};
use std::rc::Rc;

/// The attempt number in the outcome of an attempt that could not be started because its request has already
/// been removed from the table.
const NO_ATTEMPT: Attempt = Attempt(u16::MAX);

/// An attempt that has been removed from the table, and its outcome.
pub(super) struct FinishedAttempt {
    /// The attempt's request.
    pub request: RequestId,
    /// The number of the attempt within its request.
    pub number: Attempt,
    /// The member to which the attempt was sent, and when.
    pub exchange: InFlightExchange,
    /// How it ended.
    pub status: Status,
    /// The state that the host reported with its response.
    pub reported: ReportedState,
}

impl FinishedAttempt {
    /// An attempt without a response, and therefore without a report of the host's state.
    fn without_response(
        request: RequestId,
        number: Attempt,
        exchange: InFlightExchange,
        status: Status,
    ) -> FinishedAttempt {
        FinishedAttempt { request, number, exchange, status, reported: ReportedState::default() }
    }
}

impl Router {
    /// Starts an attempt as the policy decided. The attempt ends at the request's deadline, or after
    /// `timeout` if that is earlier. If the attempt can't be started, its outcome is recorded at once.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        member: MemberId,
        timeout: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let max_attempts = self.deployment.settings.max_attempts as usize;
        let addr = self.endpoints.addr(member);
        let Some(open) = self.requests.get_mut(id) else {
            return self.attempt_not_started(now, id, NO_ATTEMPT, member, Status::NotSent);
        };
        let number = open.progress.next_attempt();
        if open.progress.is_completed() || usize::from(number.0) >= max_attempts || now >= open.deadline {
            open.progress.add_attempt(None);
            return self.attempt_not_started(now, id, number, member, Status::NotSent);
        }
        let Some(addr) = addr else {
            open.progress.add_attempt(None);
            return self.attempt_not_started(now, id, number, member, Status::ConnectFailed);
        };
        let time_left = open.deadline.since(now);
        let deadline = now.plus(timeout.unwrap_or(time_left).min(time_left));
        let timer = self.timers.add(deadline, Timer::Attempt(id, number));
        open.progress.add_attempt(Some(InFlightExchange { member, sent_at: now, timer }));
        let statement = Rc::clone(&open.statement);
        let start = ExchangeStart {
            id: ExchangeId::Attempt(id, number),
            member,
            requester: Some(Requester { client: open.client, command: open.command }),
            addr,
            query: Query::Statement { statement, deadline, floor_ms: open.floor_ms },
        };
        let is_retry = number > Attempt(0);
        if !is_retry {
            self.issue_early_token(now, id, deadline, out);
        }
        out.push(Effect::StartExchange(start));
        self.occupy_member_slot(now, id, number, member, deadline);
        if is_retry {
            self.spend_budget(now, Budget::Retries);
        }
    }

    /// Records the outcome of an attempt for which nothing was sent.
    fn attempt_not_started(
        &mut self,
        now: Time,
        request: RequestId,
        number: Attempt,
        member: MemberId,
        status: Status,
    ) {
        let exchange = InFlightExchange::unsent(now, member);
        self.record_attempt_outcome(
            now,
            FinishedAttempt::without_response(request, number, exchange, status),
        );
    }

    /// Handles the result of an attempt, if the attempt is in flight.
    pub(super) fn attempt_finished(
        &mut self,
        now: Time,
        request: RequestId,
        number: Attempt,
        result: ExchangeResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(exchange) = self.take_attempt(request, number) else { return };
        let status = attempt_status(&result);
        let reported = match result {
            ExchangeResult::Response(outcome, reported) => {
                self.deliver_outcome(now, request, outcome, &reported, out);
                reported
            }
            _ => ReportedState::default(),
        };
        self.record_attempt_outcome(now, FinishedAttempt { request, number, exchange, status, reported });
    }

    /// Replies to the client if the host's response completes the request, that is, if it is a row or an
    /// error in the statement itself. After any other response, the policy decides how the request goes on.
    fn deliver_outcome(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: QueryOutcome,
        reported: &ReportedState,
        out: &mut Vec<Effect>,
    ) {
        match outcome {
            QueryOutcome::Row(row) => {
                let position = reported.position_ms.map(time_from_unix_ms);
                self.record_served(now, id, position, out);
                self.reply_to_client(now, id, Reply::Served(row), out);
            }
            QueryOutcome::RowDiscarded => {
                let position = reported.position_ms.map(time_from_unix_ms);
                self.record_served(now, id, position, out);
            }
            QueryOutcome::Error(code) if is_statement_error(&code) => {
                let error = InvalidRequest::RejectedByHost.into();
                self.reply_to_client(now, id, Reply::Invalid(error), out);
            }
            QueryOutcome::Error(_) | QueryOutcome::Empty => {}
        }
    }

    /// Aborts an attempt, if it is in flight, and records its outcome with this status.
    pub(super) fn abort_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        number: Attempt,
        status: Status,
        out: &mut Vec<Effect>,
    ) {
        let Some(exchange) = self.take_attempt(request, number) else { return };
        out.push(Effect::AbortExchange(ExchangeId::Attempt(request, number)));
        self.record_attempt_outcome(
            now,
            FinishedAttempt::without_response(request, number, exchange, status),
        );
    }

    /// Removes an attempt from the table, if it is in flight, and cancels its timer. Its request stays in the
    /// table until [`Router::record_attempt_outcome`] has run.
    fn take_attempt(&mut self, id: RequestId, number: Attempt) -> Option<InFlightExchange> {
        let exchange = self.requests.take_attempt(id, number)?;
        self.timers.cancel(exchange.timer);
        Some(exchange)
    }

    /// Records the outcome of an attempt that has been removed from the table, and queues it for the policy.
    fn record_attempt_outcome(&mut self, now: Time, finished: FinishedAttempt) {
        self.counters.record_attempt(finished.status);
        self.release_member_slot(now, &finished);
        let FinishedAttempt { request, number, exchange, status, reported } = finished;
        let replication = reported_replication(&reported);
        self.observe_position(now, exchange.sent_at, replication.position);
        self.record_possible_execution(request, status);
        let is_completed = self.requests.get(request).is_none_or(|open| open.progress.is_completed());
        if is_completed {
            self.complete_request(now, request);
        }
        let columns = &self.deployment.report_columns;
        let load_report = reported.load_report.as_deref();
        let report = load_report.map(|text| replication_from_load_report(columns, text)).unwrap_or_default();
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt: number,
            member: exchange.member,
            status,
            elapsed: now.since(exchange.sent_at),
            request_completed: is_completed,
            replication: self.system_clock.replication_to_router_time(replication),
            report: self.system_clock.replication_to_router_time(report),
        }));
    }
}
