//! The load of members: service times of the classes, excess latency, adaptive concurrency limits.
//!
//! A class's service time is the latency of a request of the class at a member that is not overloaded. The
//! latency of a member's responses beyond that is its excess latency, which predicts the latency of its next
//! response.

use super::decaying::DecayingValue;
use super::member::Member;
use super::pending_request::PendingRequest;
use super::{request_draw, Policy};
use crate::api::*;

/// The initial concurrency limit of a member.
const INITIAL_CONCURRENCY: f64 = 16.0;

/// The lower bound of a concurrency limit.
const MIN_CONCURRENCY: f64 = 1.0;

/// A response whose latency exceeds this fraction of its class's latency objective cuts the concurrency
/// limit.
const SLOW_RESPONSE_FRACTION: f64 = 0.5;

/// A concurrency limit is multiplied by this when it is cut. Slow responses cut it at most once per round
/// trip.
const CONCURRENCY_CUT: f64 = 0.7;

/// A concurrency limit grows by at most this fraction of its value per response.
const MAX_CONCURRENCY_GROWTH: f64 = 0.3;

/// A concurrency limit grows only while at least this fraction of it is in flight.
const GROWTH_UTILIZATION: f64 = 0.5;

/// The assumed service time of a class before the first response, as a fraction of its latency objective.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.2;

/// The gain of the moving average of a service time for a response that is faster than the average.
const SERVICE_TIME_GAIN_DOWN: f64 = 0.03;

/// The gain of the moving average of a service time for a response that is slower than the average. It is
/// lower than [`SERVICE_TIME_GAIN_DOWN`], so that the service time stays close to that of a member that is
/// not overloaded.
const SERVICE_TIME_GAIN_UP: f64 = 0.015;

/// The gain of the moving average of excess latency for a response of a class with a short service time.
const EXCESS_LATENCY_GAIN: f64 = 0.15;

/// Classes whose service time is at most this multiple of the shortest one have the full
/// [`EXCESS_LATENCY_GAIN`]. Classes with longer service times have a lower gain, since one response of such a
/// class is weaker evidence of the member's load.
const FULL_GAIN_MULTIPLE: f64 = 2.0;

/// The least fraction of [`EXCESS_LATENCY_GAIN`] that a class with a long service time has.
const MIN_GAIN_FRACTION: f64 = 0.4;

/// Time constant, in seconds, of the decay of a member's own excess latency to the mean of its role.
const EXCESS_LATENCY_DECAY_S: f64 = 2.0;

/// Time constant, in seconds, of the decay of the mean of a role to zero.
const ROLE_EXCESS_LATENCY_DECAY_S: f64 = 4.0;

/// A member is overloaded for a request if the expected latency exceeds this fraction of the latency
/// objective.
const OVERLOADED_FRACTION: f64 = 0.45;

/// The value that replaces [`OVERLOADED_FRACTION`] for a member without attempts in flight.
const OVERLOADED_FRACTION_IDLE: f64 = 0.7;

/// The lower bound of the highest value per second of work of any class; it prevents a division by zero.
const MIN_VALUE: f64 = 1e-9;

/// A request may wait only while the time left exceeds its expected latency multiplied by this.
pub(super) const LATENCY_SAFETY_FACTOR: f64 = 1.2;

/// The service times of all classes in seconds: the latency of a request at a member that is not overloaded.
pub(super) struct ServiceTimes {
    by_class: Vec<f64>,
}

impl ServiceTimes {
    /// Creates initial estimates from the classes' latency objectives.
    pub(super) fn new(classes: &[Class]) -> ServiceTimes {
        let initial_estimate = |class: &Class| class.latency_objective.secs() * INITIAL_SERVICE_TIME_FRACTION;
        ServiceTimes { by_class: classes.iter().map(initial_estimate).collect() }
    }

    pub(super) fn get(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    pub(super) fn shortest(&self) -> f64 {
        self.by_class.iter().copied().fold(f64::MAX, f64::min)
    }

    /// Iterates over the classes with their service times.
    pub(super) fn zip<'a>(&'a self, classes: &'a [Class]) -> impl Iterator<Item = (&'a Class, f64)> {
        classes.iter().zip(self.by_class.iter().copied())
    }

    /// Updates the service time of a class, a moving average, with a response whose latency exceeded it by
    /// `excess` seconds, negative for a faster response.
    fn update(&mut self, class: usize, excess: f64) {
        let gain = if excess < 0.0 { SERVICE_TIME_GAIN_DOWN } else { SERVICE_TIME_GAIN_UP };
        self.by_class[class] += excess * gain;
    }
}

/// The limit on the attempts in flight at a member. Fast responses raise it, slow responses cut it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// When a slow response last cut it.
    cut_at: Time,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit { limit: INITIAL_CONCURRENCY, cut_at: Time(0) }
    }
}

impl ConcurrencyLimit {
    /// Returns whether one more attempt is within this fraction of the limit.
    fn allows(&self, in_flight: u32, fraction: f64) -> bool {
        f64::from(in_flight) < (self.limit * fraction).max(MIN_CONCURRENCY)
    }

    /// Cuts the limit below the number of attempts in flight, after the member rejected one as overloaded.
    pub(super) fn cut_below(&mut self, in_flight: u32) {
        self.limit = (f64::from(in_flight) * CONCURRENCY_CUT).max(MIN_CONCURRENCY);
    }

    /// Updates the limit with a response to an attempt sent at `sent_at`, while `in_flight` other attempts
    /// are in flight. A slow response cuts it, unless the attempt was sent before the last cut. A fast one
    /// raises it, if enough of the limit is in use.
    fn update(&mut self, slow: bool, sent_at: Time, in_flight: u32, now: Time) {
        if slow && sent_at > self.cut_at {
            self.limit = (self.limit * CONCURRENCY_CUT).max(MIN_CONCURRENCY);
            self.cut_at = now;
        } else if !slow && f64::from(in_flight) + 1.0 >= self.limit * GROWTH_UTILIZATION {
            self.limit += (1.0 / self.limit).min(MAX_CONCURRENCY_GROWTH * self.limit);
        }
    }
}

impl Policy {
    /// Returns the expected excess latency of the member's next response, in seconds: the member's own moving
    /// average, which decays to the mean of all members of its role.
    pub(super) fn excess_latency(&self, member: &Member) -> f64 {
        let own = &member.excess_latency;
        let own_fraction = own.retained_fraction(self.now, EXCESS_LATENCY_DECAY_S);
        let of_role = &self.excess_latency_by_role[member.role_index()];
        own.undecayed() * own_fraction
            + of_role.at(self.now, ROLE_EXCESS_LATENCY_DECAY_S) * (1.0 - own_fraction)
    }

    /// Returns whether the member is not in backoff and is below this fraction of its concurrency limit.
    pub(super) fn has_capacity(&self, member: &Member, fraction: f64) -> bool {
        member.backoff_until <= self.now && member.concurrency.allows(member.in_flight, fraction)
    }

    /// Returns whether the member's response to this request is expected too late. In a small fleet, an idle
    /// member never counts as overloaded.
    pub(super) fn is_overloaded_for(&self, request: &PendingRequest, member: &Member) -> bool {
        let idle = member.in_flight == 0;
        // A router of a small fleet sends to an idle member regardless of its excess latency. In a large
        // fleet, each router does so only for a fraction of its requests, since one request from every router
        // would overload the member.
        if idle && request_draw(request.request.id) < self.shared_work_fraction() {
            return false;
        }
        let class = &self.settings.classes[request.class];
        let expected = self.service_times.get(request.class) + self.excess_latency(member);
        let time_left = self.useful_until(request).since(self.now).secs();
        let useless = class.late_weight == 0.0 && expected * LATENCY_SAFETY_FACTOR > time_left;
        let fraction = if idle { OVERLOADED_FRACTION_IDLE } else { OVERLOADED_FRACTION };
        let limit = fraction * class.latency_objective.secs() * request.weight / class.priority_weight;
        useless || expected > limit
    }

    /// Records the latency of an attempt: updates the member's excess latency and concurrency limit, the
    /// class's service time and the work served.
    pub(super) fn record_latency(&mut self, outcome: &Outcome, class: usize) {
        let now = self.now;
        let Some(member) = self.members.get(outcome.member) else { return };
        let expected_excess = self.excess_latency(member);
        let Some(member) = self.members.get_mut(outcome.member) else { return };
        let elapsed_s = outcome.elapsed.secs();
        let service_time = self.service_times.get(class);
        let excess = elapsed_s - service_time;
        let gain_fraction = FULL_GAIN_MULTIPLE * self.service_times.shortest() / service_time;
        let gain = EXCESS_LATENCY_GAIN * gain_fraction.clamp(MIN_GAIN_FRACTION, 1.0);
        member.excess_latency = DecayingValue::new(expected_excess + gain * (excess - expected_excess), now);
        let of_role = &mut self.excess_latency_by_role[member.role_index()];
        of_role.update(excess, gain, now, ROLE_EXCESS_LATENCY_DECAY_S);
        let objective = self.settings.classes[class].latency_objective.secs();
        let slow = elapsed_s > SLOW_RESPONSE_FRACTION * objective;
        member.concurrency.update(slow, now.minus(outcome.elapsed), member.in_flight, now);
        self.record_served_work(if outcome.status == Status::Ok { service_time } else { 0.0 });
        self.service_times.update(class, excess);
    }

    /// Returns a class's priority weight per second of work, as a fraction of the highest of all classes,
    /// multiplied by `scale`.
    pub(super) fn relative_value(&self, class: usize, scale: f64) -> f64 {
        let values = self.service_times.zip(&self.settings.classes);
        let highest = values.map(|(class, time)| class.priority_weight / time).fold(MIN_VALUE, f64::max);
        scale * self.settings.classes[class].priority_weight / self.service_times.get(class) / highest
    }
}
