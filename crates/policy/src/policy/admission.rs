//! Admission of requests and their placement on members or in the queue.

use super::load::LATENCY_SAFETY_FACTOR;
use super::pending_request::{AttemptRecord, PendingRequest, Workload};
use super::{Policy, BUSY_SWEEP_INTERVAL};
use crate::api::*;

/// The least weight of a client's retry, as a fraction of the weight of a first request. Retries weigh less
/// because most of them arrive after their latency objective.
const MIN_RETRY_WEIGHT: f64 = 0.5;

/// The fraction of the time from a request's arrival to its deadline after which the request is rejected if
/// it has reached no member, so that the client can still use another router.
const UNSENT_WAIT_FRACTION: f64 = 0.5;

/// The largest fraction of a limit's tokens that a class leaves to classes of higher value per second of
/// work. The class of the highest value may use all tokens; the lower the value of another class, the more it
/// leaves.
const RESERVED_LIMIT_FRACTION: f64 = 0.5;

/// Two client timeouts are considered equal if they differ by less than this many ticks.
const TIMEOUT_TOLERANCE_TICKS: f64 = 3.0;

/// The response has to be received this many ticks before the client's deadline.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;

/// The result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// An attempt was sent.
    Sent,
    /// The request was queued.
    Queued,
    /// The request was neither sent nor queued: it was rejected or failed, or its attempts in flight decide
    /// how it ends.
    NotPlaced,
}

impl Policy {
    /// Admits a request that is subject to fleet-wide limits, or rejects it at once. The last part of the
    /// limits' tokens is reserved for the requests of the highest value per second of work.
    pub(super) fn admit_limited(
        &mut self,
        request: Request,
        available_fraction: f64,
        retry_after: Time,
        out: &mut Vec<Action>,
    ) {
        let class = usize::from(request.class.0);
        if available_fraction > 0.0 && available_fraction >= self.reserved_for_others(class) {
            return self.admit(request, out);
        }
        let after = retry_after.min(self.settings.max_retry_after);
        out.push(Action::Reject(request.id, self.settings.send_retry_after.then_some(after)));
    }

    /// Returns the fraction of a limit's tokens that requests of this class leave to those of higher value
    /// per second of work.
    fn reserved_for_others(&self, class: usize) -> f64 {
        RESERVED_LIMIT_FRACTION - self.relative_value(class, RESERVED_LIMIT_FRACTION)
    }

    /// Admits a request and places it. A request of an unknown class fails.
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
        self.add_probe_tokens_for_request();
        let pending = PendingRequest {
            class: class_index,
            client_sent_at: self.now.minus(waited),
            first_attempt_by: self.now.plus(time_left.times(UNSENT_WAIT_FRACTION)),
            min_position,
            weight,
            attempts: Vec::new(),
            request,
        };
        self.requests.insert(id, pending);
        self.place(id, out);
    }

    /// Sends a request to a member, queues it, or rejects or fails it.
    pub(super) fn place(&mut self, id: RequestId, out: &mut Vec<Action>) -> Placement {
        let Some(request) = self.requests.get(&id) else { return Placement::NotPlaced };
        let too_late = self.now.plus(self.settings.tick) >= self.useful_until(request);
        let can_wait = self.can_wait(request);
        let group = request.request.group;
        let target = if too_late || self.awaits_first_probes(request) {
            None
        } else {
            // Choosing a member changes no state but the generator. `choose_member` borrows the policy
            // immutably, so it draws from a clone, which then replaces the generator.
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
            self.reject_or_fail(id, out);
            Placement::NotPlaced
        }
    }

    /// Returns whether a read has to wait for the first health checks after the router's start.
    fn awaits_first_probes(&self, request: &PendingRequest) -> bool {
        let is_write = self.settings.classes[request.class].consistency == Consistency::Write;
        let mut members = self.members.in_group(request.request.group);
        self.is_starting_up() && !is_write && members.any(|(_, member)| member.probe_in_flight)
    }

    /// Returns the time until which a response is useful: the latency objective, or shortly before the
    /// client's deadline if a late reply still has value.
    pub(super) fn useful_until(&self, request: &PendingRequest) -> Time {
        let class = &self.settings.classes[request.class];
        let tick = self.settings.tick;
        let latest = request.request.deadline.minus(tick.times(DEADLINE_MARGIN_TICKS));
        if class.late_weight > 0.0 {
            return latest;
        }
        latest.min(request.client_sent_at.plus(class.latency_objective).minus(tick))
    }

    /// Returns whether a request may wait in the queue: only while a further attempt is allowed and its
    /// response is expected in time, and before `first_attempt_by` if the request has reached no member.
    pub(super) fn can_wait(&self, request: &PendingRequest) -> bool {
        let next_sweep = self.now.plus(BUSY_SWEEP_INTERVAL);
        let expected_s = self.service_times.get(request.class) * LATENCY_SAFETY_FACTOR;
        let in_time = next_sweep.plus(Time::from_secs(expected_s)) < self.useful_until(request);
        let client_still_waits = request.has_reached_member() || next_sweep < request.first_attempt_by;
        self.may_have_further_attempt(request) && in_time && client_still_waits
    }

    /// Returns whether the request's effect, the budgets and the endpoint list allow a further attempt.
    fn may_have_further_attempt(&self, request: &PendingRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let repeatable = class.effect == Effect::Idempotent
            || request.first_possible_execution().is_none()
            || self.window_allows_repeat(request);
        // A router that has just started may not have received its first endpoint list yet.
        let awaits_first_list = self.members.is_empty() && self.is_starting_up();
        let has_members = awaits_first_list || self.members.has_group(request.request.group);
        !self.is_exhausted(request) && repeatable && has_members
    }

    /// Starts an attempt at a member.
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

    /// Returns the timeout of an attempt that starts now: the time to the client's deadline, but at most the
    /// rest of the deduplication window, since a member that starts on a repeat after the window would
    /// execute it again.
    fn attempt_timeout(&self, request: &PendingRequest) -> Time {
        let tick = self.settings.tick;
        let next_tick = self.now.plus(tick);
        let until_deadline = request.request.deadline.since(next_tick).max(tick);
        let class = &self.settings.classes[request.class];
        match class.effect {
            Effect::IdempotentByKey => {
                until_deadline.min(request.window_left(next_tick, class.deduplication_window))
            }
            Effect::Idempotent | Effect::NonIdempotent => until_deadline,
        }
    }

    /// Removes a request that has completed or was abandoned. Its attempts in flight are cancelled if
    /// cancelling is allowed and the request is idempotent.
    pub(super) fn remove_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(request.request.group, id);
        let idempotent = self.settings.classes[request.class].effect == Effect::Idempotent;
        for (number, attempt) in request.attempts.iter().enumerate() {
            if !attempt.is_in_flight() {
                continue;
            }
            if self.settings.cancel_allowed && idempotent {
                out.push(Action::Cancel(id, Attempt(number as u16)));
            }
            if let Some(member) = self.members.get_mut(attempt.member) {
                member.in_flight = member.in_flight.saturating_sub(attempt.in_flight_count());
            }
        }
    }
}
