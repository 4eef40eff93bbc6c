//! A request's way through the router: admission, placement on a member, queueing, rejection.

use super::load::LATENCY_SAFETY_FACTOR;
use super::pending_request::{AttemptRecord, PendingRequest, Workload};
use super::{Policy, BUSY_SWEEP_INTERVAL};
use crate::api::*;

/// Weight of a client's retry, at least, as a fraction of a first attempt's: it mostly comes after its
/// latency objective.
const MIN_RETRY_WEIGHT: f64 = 0.5;

/// A request that no member has had is rejected once this fraction of its client's time has passed, so that
/// the client can still go elsewhere.
const UNSENT_WAIT_FRACTION: f64 = 0.5;

/// The last fraction of a limit's tokens: the less value a request has for its work, the more of it it leaves
/// to others.
const RESERVED_LIMIT_FRACTION: f64 = 0.5;

/// A client timeout counts as the same if it differs by less than this many ticks.
const TIMEOUT_TOLERANCE_TICKS: f64 = 3.0;

/// An answer has to be there this many ticks before the client's deadline.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// What became of a request that was to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// An attempt was sent.
    Sent,
    /// It waits in the queue.
    Queued,
    /// It has ended, or ends with the attempts that are out.
    GivenUp,
}

impl Policy {
    /// Admits a request that limits over all routers count, or rejects it at once: of what is open under
    /// them, the last part is reserved for the requests with the most value for their work.
    pub(super) fn admit_limited(
        &mut self,
        request: Request,
        open_fraction: f64,
        retry_after: Time,
        out: &mut Vec<Action>,
    ) {
        let class = usize::from(request.class.0);
        if open_fraction > 0.0 && open_fraction >= self.reserved_for_others(class) {
            return self.admit(request, out);
        }
        let after = retry_after.min(self.settings.max_retry_after);
        out.push(Action::Reject(request.id, self.settings.retry_after.then_some(after)));
    }

    /// The fraction of a limit's tokens that requests of this class leave to those of more value for their
    /// work.
    fn reserved_for_others(&self, class: usize) -> f64 {
        RESERVED_LIMIT_FRACTION - self.relative_value(class, RESERVED_LIMIT_FRACTION)
    }

    /// Takes a request in and places it. One of an unknown class fails.
    pub(super) fn admit(&mut self, request: Request, out: &mut Vec<Action>) {
        let class_index = usize::from(request.class.0);
        let Some(class) = self.settings.classes.get(class_index) else {
            return out.push(Action::Fail(request.id));
        };
        let min_position = match class.consistency {
            Consistency::Strong => self.now,
            Consistency::Session => request.floor,
            _ => Time(0),
        };
        let weight_factor = if request.client_retry { class.late_weight.max(MIN_RETRY_WEIGHT) } else { 1.0 };
        let weight = class.priority_weight * weight_factor;
        let workload = Workload::of(class);
        let time_left = request.deadline.since(self.now);
        let tolerance = self.settings.tick.times(TIMEOUT_TOLERANCE_TICKS);
        let waited = self.client_timeouts[class_index].elapsed_before_arrival(time_left, tolerance);
        let id = request.id;
        self.record_demand(request.group, workload, self.service_times.get(class_index));
        self.earn_probes_for_request();
        let pending = PendingRequest {
            class: class_index,
            arrived_at: self.now.minus(waited),
            first_attempt_by: self.now.plus(time_left.times(UNSENT_WAIT_FRACTION)),
            min_position,
            weight,
            attempts: Vec::new(),
            request,
        };
        self.requests.insert(id, pending);
        self.place(id, out);
    }

    /// Sends a request to a member, queues it, or gives it up.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) -> Placement {
        let Some(request) = self.requests.get(&id) else { return Placement::GivenUp };
        let too_late = self.now.plus(self.settings.tick) >= self.useful_until(request);
        let can_wait = self.can_wait(request);
        let group = request.request.group;
        let target = if too_late || self.awaits_first_probes(request) {
            None
        } else {
            // The generator is taken out, so that choosing leaves the rest of the state as it is.
            let mut rng = self.rng.clone();
            let target = self.choose_member(request, &mut rng);
            self.rng = rng;
            target
        };
        if let Some(member) = target {
            self.send_attempt(id, member, out);
            Placement::Sent
        } else if can_wait {
            self.queue.insert(group, id);
            Placement::Queued
        } else {
            self.give_up(id, out);
            Placement::GivenUp
        }
    }

    /// Whether a read has to wait for the health checks with which the router starts.
    fn awaits_first_probes(&self, request: &PendingRequest) -> bool {
        let is_write = self.settings.classes[request.class].consistency == Consistency::Write;
        let mut members = self.members.in_group(request.request.group);
        self.is_starting_up() && !is_write && members.any(|(_, member)| member.probe_in_flight)
    }

    /// The time until which an answer is of use: up to the latency objective, or up to the client's deadline
    /// where a late answer still counts.
    pub(super) fn useful_until(&self, request: &PendingRequest) -> Time {
        let class = &self.settings.classes[request.class];
        let tick = self.settings.tick;
        let last = request.request.deadline.minus(tick.times(DEADLINE_MARGIN_TICKS));
        if class.late_weight > 0.0 {
            return last;
        }
        last.min(request.arrived_at.plus(class.latency_objective).minus(tick))
    }

    /// Whether a request may wait in the queue: only while a further attempt is allowed and can still be
    /// answered in time.
    pub(super) fn can_wait(&self, request: &PendingRequest) -> bool {
        let next_sweep = self.now.plus(BUSY_SWEEP_INTERVAL);
        let expected_s = self.service_times.get(request.class) * LATENCY_SAFETY_FACTOR;
        let in_time = next_sweep.plus(Time::from_secs(expected_s)) < self.useful_until(request);
        let client_still_waits = request.has_reached_a_member() || next_sweep < request.first_attempt_by;
        self.may_have_further_attempt(request) && in_time && client_still_waits
    }

    /// Whether budgets, effect and endpoint list leave a further attempt possible at all.
    fn may_have_further_attempt(&self, request: &PendingRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let repeatable = class.effect == Effect::Idempotent
            || request.first_possible_execution().is_none()
            || self.window_allows_repeat(request);
        // The first list is on its way to a router that has just started.
        let awaits_first_list = self.members.is_empty() && self.is_starting_up();
        let has_members = awaits_first_list || self.members.has_group(request.request.group);
        !self.is_exhausted(request) && repeatable && has_members
    }

    /// Begins an attempt at a member.
    pub(super) fn send_attempt(&mut self, id: RequestId, target: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(request), Some(member)) = (self.requests.get(&id), self.members.get(target)) else {
            return;
        };
        let timeout = self.attempt_timeout(request);
        let service_time = self.service_times.get(request.class);
        let credit = self.slow_start_credit(member);
        let (Some(request), Some(member)) = (self.requests.get_mut(&id), self.members.get_mut(target)) else {
            return;
        };
        self.queue.remove(request.request.group, id);
        if !request.attempts.is_empty() {
            self.budgets.retries = self.budgets.retries.map(|left| left.saturating_sub(1));
        }
        request.attempts.push(AttemptRecord::new(target, now));
        member.in_flight += 1;
        member.attempts_allowed = member.attempts_allowed.map(|left| left.saturating_sub(1));
        member.slow_start.set_balance(credit - service_time, now);
        out.push(Action::Send(id, target, Some(timeout)));
    }

    /// How long an attempt that begins now may take: to the client's deadline, but no longer than its
    /// deduplication window, since a repeat that its member takes up after that would be executed again.
    fn attempt_timeout(&self, request: &PendingRequest) -> Time {
        let tick = self.settings.tick;
        let soon = self.now.plus(tick);
        let until_deadline = request.request.deadline.since(soon).max(tick);
        let class = &self.settings.classes[request.class];
        match class.effect {
            Effect::IdempotentByKey => until_deadline.min(request.window_left(soon, class.window)),
            Effect::Idempotent | Effect::NonIdempotent => until_deadline,
        }
    }

    /// Ends a request that has no attempt out: rejects it where a retry does no harm, else fails it.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts_out() > 0 {
            return;
        }
        let retry_after = self.settings.retry_after.then_some(self.settings.max_retry_after);
        out.push(match self.is_retry_harmless(request) {
            true => Action::Reject(id, retry_after),
            false => Action::Fail(id),
        });
        self.forget(id, out);
    }

    /// Whether the client may retry: nothing has been executed, or a client that follows the longest
    /// Retry-After still meets the deduplication window.
    fn is_retry_harmless(&self, request: &PendingRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(first) = request.first_possible_execution() else { return true };
        let deduplicated = class.effect == Effect::IdempotentByKey && class.scope == KeyScope::All;
        let client_back = self.now.plus(self.settings.max_retry_after);
        let within_window = client_back < first.sent_at.plus(class.window);
        class.effect == Effect::Idempotent || (deduplicated && within_window)
    }

    /// Drops a request that has ended. Its attempts that are still out are cancelled where that does no harm.
    pub(super) fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(request.request.group, id);
        let idempotent = self.settings.classes[request.class].effect == Effect::Idempotent;
        for (number, attempt) in request.attempts.iter().enumerate() {
            if !attempt.is_out() {
                continue;
            }
            if self.settings.cancel && idempotent {
                out.push(Action::Cancel(id, Attempt(number as u16)));
            }
            if let Some(member) = self.members.get_mut(attempt.member) {
                member.in_flight = member.in_flight.saturating_sub(attempt.in_flight_count());
            }
        }
    }
}
