//! How loaded members are: service times of the classes, excess latency, adaptive concurrency limits.
//!
//! A class's service time is what an uncrowded member takes for it. What a member's responses take beyond
//! that is its excess latency, which predicts how late the next response will be.

use super::decaying::Decaying;
use super::member::Member;
use super::pending_request::PendingRequest;
use super::{request_draw, Policy};
use crate::api::*;

/// Concurrency limit of a member at first.
const INITIAL_CONCURRENCY: f64 = 16.0;

/// A concurrency limit never falls below this.
const MIN_CONCURRENCY: f64 = 1.0;

/// A response that takes more than this fraction of its latency objective cuts the concurrency limit.
const SLOW_RESPONSE_FRACTION: f64 = 0.5;

/// Factor by which a concurrency limit is cut, once a round trip at most.
const CONCURRENCY_CUT: f64 = 0.7;

/// A concurrency limit grows by this fraction of itself at most.
const MAX_CONCURRENCY_GROWTH: f64 = 0.3;

/// A concurrency limit grows only while at least this fraction of it is in flight.
const GROWTH_UTILIZATION: f64 = 0.5;

/// Service time of a class before any response, as a fraction of its latency objective.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.2;

/// Fraction by which a service time follows a faster response.
const SERVICE_TIME_GAIN_DOWN: f64 = 0.03;

/// Fraction by which it follows a slower one: less, since it is what an uncrowded member takes.
const SERVICE_TIME_GAIN_UP: f64 = 0.015;

/// Fraction by which excess latency follows a response of a class with a short service time.
const EXCESS_LATENCY_GAIN: f64 = 0.15;

/// A class whose service time is up to this multiple of the shortest has the full gain. Longer ones have
/// less, as one such response says less of the member.
const FULL_GAIN_MULTIPLE: f64 = 2.0;

/// The fraction of the gain, at least, for classes with long service times.
const MIN_GAIN_FRACTION: f64 = 0.4;

/// Time constant, in seconds, with which a member's own excess latency fades into its role's mean.
const EXCESS_LATENCY_FADE_S: f64 = 2.0;

/// Time constant, in seconds, with which the mean of a role fades.
const ROLE_EXCESS_LATENCY_FADE_S: f64 = 4.0;

/// A member is crowded for a request if its response is expected past this fraction of the latency objective.
const CROWDED_FRACTION: f64 = 0.45;

/// The same fraction for a member with nothing in flight.
const CROWDED_FRACTION_IDLE: f64 = 0.7;

/// The value of a class for its work counts as this at least, so that it can be divided by.
const MIN_VALUE: f64 = 1e-9;

/// A request is waited for only while this multiple of its expected latency is left.
pub(super) const LATENCY_SAFETY_FACTOR: f64 = 1.2;

/// The service times of all classes: what an uncrowded member takes for one request, in seconds.
pub(super) struct ServiceTimes {
    by_class: Vec<f64>,
}

impl ServiceTimes {
    /// First guesses, from the classes' latency objectives.
    pub(super) fn new(classes: &[Class]) -> ServiceTimes {
        let guess = |class: &Class| class.latency_objective.secs() * INITIAL_SERVICE_TIME_FRACTION;
        ServiceTimes { by_class: classes.iter().map(guess).collect() }
    }

    pub(super) fn get(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    pub(super) fn shortest(&self) -> f64 {
        self.by_class.iter().copied().fold(f64::MAX, f64::min)
    }

    /// Each class with its service time.
    pub(super) fn zip<'a>(&'a self, classes: &'a [Class]) -> impl Iterator<Item = (&'a Class, f64)> {
        classes.iter().zip(self.by_class.iter().copied())
    }

    /// Follows a response that took longer than the service time by `excess` seconds, or shorter if negative.
    fn follow(&mut self, class: usize, excess: f64) {
        let gain = if excess < 0.0 { SERVICE_TIME_GAIN_DOWN } else { SERVICE_TIME_GAIN_UP };
        self.by_class[class] += excess * gain;
    }
}

/// How many attempts may be in flight at a member: it grows with fast responses and is cut by slow ones.
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
    /// Whether one more attempt fits below this fraction of the limit.
    fn allows(&self, in_flight: u32, fraction: f64) -> bool {
        f64::from(in_flight) < (self.limit * fraction).max(MIN_CONCURRENCY)
    }

    /// Cuts the limit below what is in flight at a member that rejected an attempt as overloaded.
    pub(super) fn cut_below(&mut self, in_flight: u32) {
        self.limit = (f64::from(in_flight) * CONCURRENCY_CUT).max(MIN_CONCURRENCY);
    }

    /// Follows a response to an attempt sent at `sent_at`, slow or not, with `in_flight` others still out.
    fn follow(&mut self, slow: bool, sent_at: Time, in_flight: u32, now: Time) {
        if slow && sent_at > self.cut_at {
            self.limit = (self.limit * CONCURRENCY_CUT).max(MIN_CONCURRENCY);
            self.cut_at = now;
        } else if !slow && f64::from(in_flight) + 1.0 >= self.limit * GROWTH_UTILIZATION {
            self.limit += (1.0 / self.limit).min(MAX_CONCURRENCY_GROWTH * self.limit);
        }
    }
}

impl Policy {
    /// Seconds by which a response of the member is expected to exceed its class's service time: what was
    /// seen at the member of late, which fades into what was seen at all members of its role.
    pub(super) fn excess_latency(&self, member: &Member) -> f64 {
        let own = &member.excess_latency;
        let known = own.retained(self.now, EXCESS_LATENCY_FADE_S);
        let of_role = &self.excess_latency_by_role[member.role_index()];
        own.undecayed() * known + of_role.at(self.now, ROLE_EXCESS_LATENCY_FADE_S) * (1.0 - known)
    }

    /// Whether the member is in no backoff and below this fraction of its concurrency limit.
    pub(super) fn has_capacity(&self, member: &Member, fraction: f64) -> bool {
        member.backoff_until <= self.now && member.concurrency.allows(member.in_flight, fraction)
    }

    /// Whether this request's response is expected too late at the member.
    pub(super) fn is_crowded(&self, request: &PendingRequest, member: &Member) -> bool {
        let idle = member.in_flight == 0;
        // A router sends to an idle member all the same, but of many routers only a few do.
        if idle && request_draw(request.request.id) < self.small_fleet_fraction() {
            return false;
        }
        let class = &self.settings.classes[request.class];
        let expected = self.service_times.get(request.class) + self.excess_latency(member);
        let time_left = self.useful_until(request).since(self.now).secs();
        let useless = class.late_weight == 0.0 && expected * LATENCY_SAFETY_FACTOR > time_left;
        let fraction = if idle { CROWDED_FRACTION_IDLE } else { CROWDED_FRACTION };
        let limit = fraction * class.latency_objective.secs() * request.weight / class.priority_weight;
        useless || expected > limit
    }

    /// Learns from the time that an attempt of a class took: the member's excess latency and concurrency
    /// limit, the class's service time and the work served.
    pub(super) fn record_latency(&mut self, outcome: &Outcome, class: usize) {
        let now = self.now;
        let Some(member) = self.members.get(outcome.member) else { return };
        let expected_excess = self.excess_latency(member);
        let Some(member) = self.members.get_mut(outcome.member) else { return };
        let took = outcome.elapsed.secs();
        let service_time = self.service_times.get(class);
        let excess = took - service_time;
        let gain_fraction = FULL_GAIN_MULTIPLE * self.service_times.shortest() / service_time;
        let gain = EXCESS_LATENCY_GAIN * gain_fraction.clamp(MIN_GAIN_FRACTION, 1.0);
        member.excess_latency = Decaying::new(expected_excess + gain * (excess - expected_excess), now);
        let of_role = &mut self.excess_latency_by_role[member.role_index()];
        of_role.follow(excess, gain, now, ROLE_EXCESS_LATENCY_FADE_S);
        let objective = self.settings.classes[class].latency_objective.secs();
        let slow = took > SLOW_RESPONSE_FRACTION * objective;
        member.concurrency.follow(slow, now.minus(outcome.elapsed), member.in_flight, now);
        self.record_served_work(if outcome.status == Status::Ok { service_time } else { 0.0 });
        self.service_times.follow(class, excess);
    }

    /// A class's priority weight for its work, as a fraction of the best class's.
    pub(super) fn relative_value(&self, class: usize, scale: f64) -> f64 {
        let values = self.service_times.zip(&self.settings.classes);
        let best = values.map(|(class, time)| class.priority_weight / time).fold(MIN_VALUE, f64::max);
        scale * self.settings.classes[class].priority_weight / self.service_times.get(class) / best
    }
}
