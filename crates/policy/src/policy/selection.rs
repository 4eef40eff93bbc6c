//! Selection of the member for the next attempt: the eligible replica with the lowest cost, which is its
//! number of requests in flight adjusted for expected latency, failures, weight, zone and warm-up. The
//! primary gets the requests that only it can serve, and reads as a last resort.

use super::breaker::{Breaker, EjectReason};
use super::eligibility::PositionBasis;
use super::member::Member;
use super::pending_request::{PendingRequest, Workload};
use super::replication::DEFAULT_LAG_MARGIN;
use super::Policy;
use crate::api::*;
use fastrand::Rng;

/// A known log position older than this is outdated; a read may be sent to the member to learn a newer one,
/// even if the read is likely to be rejected. In a fleet of more than
/// [`SMALL_FLEET_ROUTERS`](super::SMALL_FLEET_ROUTERS) routers the limit is proportionally longer, so that
/// all routers together send no more of these reads than the routers of a small fleet.
const POSITION_FRESHNESS: Time = Time::ms(100);

/// Time constant, in seconds, of the decay of a member's failure rate between outcomes of attempts.
pub(super) const FAILURE_RATE_DECAY_S: f64 = 10.0;

/// An eventual read is long if its service time is more than this multiple of that of the shortest class.
const LONG_READ_MULTIPLE: f64 = 4.0;

/// The cost of an idle member, in requests in flight.
const IDLE_COST: f64 = 0.5;

/// The divisor of member ids that are added to a cost only to break ties.
const ID_TIE_BREAK: f64 = 1e10;

/// The factor from [`Settings::price_cross_zone`] to the relative cost added to an attempt in another zone.
/// Both are dimensionless: a price of 0.05 adds 1.5, which multiplies the cost by 2.5.
const CROSS_ZONE_COST_FACTOR: f64 = 30.0;

/// The cost of a member that may get the read although its breaker is not closed, usually because the member
/// was ejected for lag, is multiplied by this. The factor is below 1, so that reads that need no freshness
/// prefer the member.
const LAGGING_MEMBER_COST_FACTOR: f64 = 0.5;

/// The lower bound of a member's success rate in the cost.
const MIN_SUCCESS_RATE: f64 = 0.1;

/// The lower bound of a member's expected latency in the cost, as a multiple of the service time.
const MIN_LATENCY_FACTOR: f64 = 0.5;

/// Reads may be sent to the primary as long as the expected latency of its writes is within this fraction of
/// their latency objective, plus a part that depends on the read's value.
const SPILL_BASE_FRACTION: f64 = 0.25;

/// The part added to [`SPILL_BASE_FRACTION`] for a read of the class with the highest value per second of
/// work; proportionally less for other classes.
const SPILL_VALUE_FRACTION: f64 = 0.35;

/// The result of scanning all replicas of a group for a request.
#[derive(Default)]
struct ReplicaScan {
    /// The replica of the lowest cost that may serve it now.
    best: Option<MemberId>,
    /// Whether some replica is fresh enough, even if it has no capacity now.
    any_fresh: bool,
    /// Whether some replica is expected to be fresh enough within the request's [`lead`](Request::lead).
    any_catching_up: bool,
}

impl Policy {
    /// Returns the member for the next attempt, or `None` if no attempt may be sent now.
    pub(super) fn choose_member(&self, request: &PendingRequest, rng: &mut Rng) -> Option<MemberId> {
        let primary = self.known_primary(request.request.group);
        if Workload::of(&self.settings.classes[request.class]) == Workload::PrimaryOnly {
            return primary.filter(|id| self.primary_accepts(request, *id));
        }
        let scan = self.scan_replicas(request, primary, rng);
        if scan.any_catching_up && !scan.any_fresh {
            // The request waits for this replica instead of using the primary.
            return None;
        }
        if scan.best.is_some() {
            return scan.best;
        }
        let outdated = if scan.any_fresh { None } else { self.outdated_replica(request, primary) };
        outdated.or_else(|| primary.filter(|id| self.may_spill_to_primary(request, *id)))
    }

    /// Scans all replicas of the request's group, and draws one random number for each that may serve it.
    fn scan_replicas(
        &self,
        request: &PendingRequest,
        primary: Option<MemberId>,
        rng: &mut Rng,
    ) -> ReplicaScan {
        let basis = match self.settings.when_behind {
            WhenBehind::ServeStale => PositionBasis::Known,
            WhenBehind::Reject | WhenBehind::Wait(_) => PositionBasis::Estimated,
        };
        let is_long = self.is_long_read(request);
        let mut scan = ReplicaScan::default();
        let mut lowest_cost = f64::INFINITY;
        for (id, member) in self.members.in_group(request.request.group) {
            if Some(id) == primary || !self.breaker_admits(request, member) {
                continue;
            }
            let fresh = self.is_fresh_enough(self.now, request, id, member, basis);
            scan.any_fresh |= fresh;
            scan.any_catching_up |= self.is_catching_up(request, member);
            let is_candidate = fresh && self.has_capacity_for_read(request, id, member);
            if !is_candidate || self.is_overloaded_for(request, member) || !self.may_send(request, id) {
                continue;
            }
            let noise = rng.f64();
            let cost = match is_long {
                true => self.long_read_cost(id, member),
                false => self.read_cost(request, member, noise),
            };
            if scan.best.is_none() || cost < lowest_cost {
                scan.best = Some(id);
                lowest_cost = cost;
            }
        }
        scan
    }

    /// Returns whether this is an eventual read that takes far longer than a request of the shortest class.
    fn is_long_read(&self, request: &PendingRequest) -> bool {
        let eventual = self.settings.classes[request.class].consistency == Consistency::Eventual;
        let service_time = self.service_times.get(request.class);
        eventual && service_time > LONG_READ_MULTIPLE * self.service_times.shortest()
    }

    /// Returns whether the replica's estimated log position is behind the required one, but by no more than
    /// the request's `lead`.
    fn is_catching_up(&self, request: &PendingRequest, member: &Member) -> bool {
        let estimate = self.estimated_position(member).unwrap_or(request.min_position);
        let behind = request.min_position.since(estimate);
        member.draining_since.is_none() && behind > Time(0) && behind <= request.request.lead
    }

    /// Returns whether the replica is not draining, has capacity for the read, and has had no attempt of the
    /// request, except for attempts that it rejected for lack of capacity.
    fn has_capacity_for_read(&self, request: &PendingRequest, id: MemberId, member: &Member) -> bool {
        let excluded =
            request.attempts.iter().any(|attempt| attempt.member == id && !attempt.allows_same_member());
        // Reads compete for CPU time with the replay of the replication log: the larger the replica's lag,
        // the fewer concurrent reads it gets.
        let lag_factor = match self.settings.classes[request.class].consistency {
            Consistency::Eventual => 1.0,
            _ => 1.0 - (self.estimated_lag_s(member) / self.lag_margin.secs()).powi(2),
        };
        let has_capacity = self.has_capacity(member, self.warm_up_fraction(member) * lag_factor);
        has_capacity && !excluded && member.draining_since.is_none()
    }

    /// Returns the cost of a read that is not long at the member: the requests in flight there, multiplied by
    /// factors for latency, failures, weight, warm-up, zone and lag. `noise`, from 0 to 1, breaks ties.
    fn read_cost(&self, request: &PendingRequest, member: &Member, noise: f64) -> f64 {
        // A member that fails fast has few requests in flight, so its failure rate raises its cost.
        let failure_rate = member.failure_rate.at(self.now, FAILURE_RATE_DECAY_S);
        let success_rate = (1.0 - failure_rate).max(MIN_SUCCESS_RATE);
        let relative_latency = 1.0 + self.excess_latency(member) / self.service_times.get(request.class);
        let slowness = relative_latency.max(MIN_LATENCY_FACTOR) / (success_rate * success_rate);
        let load = f64::from(member.in_flight) + IDLE_COST + noise + self.connection_cost(member);
        let mut cost = load * slowness / (member.weight * self.warm_up_fraction(member));
        if member.zone != self.settings.zone {
            cost *= 1.0 + CROSS_ZONE_COST_FACTOR * self.settings.price_cross_zone;
        }
        if member.breaker != Breaker::Closed {
            cost *= LAGGING_MEMBER_COST_FACTOR;
        }
        cost
    }

    /// Returns the cost of a long read at the member. Long reads block the replay of the replication log on
    /// the replica that serves them, so all routers send them to the member with the largest lag, or to the
    /// one with the lowest id if none lags by more than [`DEFAULT_LAG_MARGIN`].
    fn long_read_cost(&self, id: MemberId, member: &Member) -> f64 {
        let lag = self.estimated_lag_s(member);
        let counted_lag = if lag > DEFAULT_LAG_MARGIN.secs() { lag } else { 0.0 };
        f64::from(id.0) / ID_TIE_BREAK - counted_lag
    }

    /// Returns the most advanced replica whose known log position is outdated, if members reject reads that
    /// they are too far behind for. One read at a time is sent to it, which shows whether it has caught up.
    fn outdated_replica(&self, request: &PendingRequest, primary: Option<MemberId>) -> Option<MemberId> {
        if self.settings.when_behind != WhenBehind::Reject {
            return None;
        }
        let candidates = self.members.in_group(request.request.group).filter(|(id, member)| {
            Some(*id) != primary
                && self.is_position_outdated(member)
                && self.is_idle_and_healthy(member)
                && self.may_send(request, *id)
        });
        candidates.max_by_key(|(_, member)| self.estimated_position(member)).map(|(id, _)| id)
    }

    fn is_position_outdated(&self, member: &Member) -> bool {
        member.position.is_none_or(|known| {
            let age = self.now.since(known.as_of);
            age.times(self.shared_work_fraction()) > POSITION_FRESHNESS
        })
    }

    fn is_idle_and_healthy(&self, member: &Member) -> bool {
        let in_use = matches!(member.breaker, Breaker::Closed | Breaker::HalfOpen(EjectReason::Lag));
        let idle = member.in_flight == 0 && member.backoff_until <= self.now;
        in_use && !member.suspect && idle && member.draining_since.is_none()
    }

    /// Returns whether the primary can serve a write or strong read now. Neither its latency nor an ejection
    /// for lag excludes it, since no other member can serve the request.
    fn primary_accepts(&self, request: &PendingRequest, id: MemberId) -> bool {
        let Some(member) = self.members.get(id) else { return false };
        let admitted = match member.breaker {
            Breaker::Closed => !member.suspect,
            Breaker::Open { reason, .. } => reason == EjectReason::Lag,
            Breaker::HalfOpen(EjectReason::Lag) => true,
            Breaker::HalfOpen(EjectReason::Unresponsive) => member.in_flight == 0,
            Breaker::HalfOpen(EjectReason::Transport) => false,
        };
        admitted && self.has_capacity(member, 1.0) && self.may_send(request, id)
    }

    /// Returns whether a read may be sent to the primary as a last resort: only while the expected latency of
    /// the primary's writes is within a fraction of their latency objective. The fraction is larger for reads
    /// of higher value.
    fn may_spill_to_primary(&self, request: &PendingRequest, id: MemberId) -> bool {
        let Some(member) = self.members.get(id) else { return false };
        let excess = self.excess_latency(member);
        let classes = self.service_times.zip(&self.settings.classes);
        let writes = classes.filter(|(class, _)| class.consistency == Consistency::Write);
        let expected = writes.map(|(class, time)| (time + excess) / class.latency_objective.secs());
        let write_latency_fraction = expected.fold(0.0, f64::max);
        let allowed = SPILL_BASE_FRACTION + self.relative_value(request.class, SPILL_VALUE_FRACTION);
        let class = &self.settings.classes[request.class];
        let limit = allowed * request.weight / class.priority_weight;
        write_latency_fraction <= limit
            && !self.is_overloaded_for(request, member)
            && self.primary_accepts(request, id)
    }
}
