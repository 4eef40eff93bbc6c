//! Which member the next attempt goes to: the eligible replica with the fewest requests in flight, weighed by
//! expected latency, failures, weight, zone and warm-up; the primary where only it will do, or as the last
//! resort.

use super::breaker::{Breaker, EjectReason};
use super::eligibility::PositionBasis;
use super::member::Member;
use super::pending_request::{PendingRequest, Workload};
use super::replication::DEFAULT_LAG_MARGIN;
use super::Policy;
use crate::api::*;
use fastrand::Rng;

/// A position older than this is out of date: one rejected read may bring a newer one.
const POSITION_FRESHNESS: Time = Time::ms(100);

/// Time constant, in seconds, with which a member's failure rate fades while no attempt ends there.
pub(super) const FAILURE_RATE_FADE_S: f64 = 10.0;

/// An eventual read whose service time is more than this multiple of the shortest class's is long.
const LONG_READ_MULTIPLE: f64 = 4.0;

/// What an idle member costs, in requests in flight.
const IDLE_COST: f64 = 0.5;

/// Ids are divided by this where they only decide between equals.
const ID_TIE_BREAK: f64 = 1e10;

/// Cost factor of an attempt across zones, for each point that the settings charge for it.
const CROSS_ZONE_COST: f64 = 30.0;

/// Cost factor of a member that lag has ejected from other reads: it is the first choice for eventual ones.
const LAGGING_MEMBER_COST: f64 = 0.5;

/// A member's fraction of successes counts as this at least.
const MIN_SUCCESS_RATE: f64 = 0.1;

/// A member's expected latency counts as this multiple of the service time at least.
const MIN_LATENCY_FACTOR: f64 = 0.5;

/// Reads go to the primary while its writes are expected within this fraction of their latency objective...
const SPILL_BASE_FRACTION: f64 = 0.25;

/// ...and up to this much later, by the value of the read for its work.
const SPILL_VALUE_FRACTION: f64 = 0.35;

/// What a look at all replicas of a group found for a request.
#[derive(Default)]
struct ReplicaScan {
    /// The cheapest replica that may take it now.
    best: Option<MemberId>,
    /// Some replica is fresh enough, even if it has no capacity now.
    any_fresh: bool,
    /// Some replica will be fresh enough within the lead that the request allows.
    any_catching_up: bool,
}

impl Policy {
    /// The member for the next attempt, if one may take it now.
    pub(super) fn choose_member(&self, request: &PendingRequest, rng: &mut Rng) -> Option<MemberId> {
        let primary = self.known_primary(request.request.group);
        if Workload::of(&self.settings.classes[request.class]) == Workload::PrimaryOnly {
            return primary.filter(|id| self.primary_accepts(request, *id));
        }
        let scan = self.scan_replicas(request, primary, rng);
        if scan.any_catching_up && !scan.any_fresh {
            // It is waited for: the last resort is not due yet.
            return None;
        }
        if scan.best.is_some() {
            return scan.best;
        }
        let outdated = if scan.any_fresh { None } else { self.outdated_replica(request, primary) };
        outdated.or_else(|| primary.filter(|id| self.spills_to_primary(request, *id)))
    }

    /// Looks at all replicas of the request's group. One random number is drawn for each that may take it.
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
        let long = self.is_long_read(request);
        let mut scan = ReplicaScan::default();
        let mut lowest_cost = f64::INFINITY;
        for (id, member) in self.members.in_group(request.request.group) {
            if Some(id) == primary || !self.breaker_admits(request, member) {
                continue;
            }
            let fresh = self.is_fresh_enough(request, id, member, basis);
            scan.any_fresh |= fresh;
            scan.any_catching_up |= self.is_catching_up(request, member);
            let fits = fresh && self.has_capacity_for_read(request, id, member);
            if !fits || self.is_crowded(request, member) || !self.may_send(request, id) {
                continue;
            }
            let noise = rng.f64();
            let cost = match long {
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

    /// Whether this is an eventual read that takes far longer than the shortest class.
    fn is_long_read(&self, request: &PendingRequest) -> bool {
        let eventual = self.settings.classes[request.class].consistency == Consistency::Eventual;
        let service_time = self.service_times.get(request.class);
        eventual && service_time > LONG_READ_MULTIPLE * self.service_times.shortest()
    }

    /// Whether the replica's position lies behind what the request needs, but within its lead.
    fn is_catching_up(&self, request: &PendingRequest, member: &Member) -> bool {
        let estimate = self.estimated_position(member).unwrap_or(request.min_position);
        let behind = request.min_position.since(estimate);
        member.draining_since.is_none() && behind > Time(0) && behind <= request.request.lead
    }

    /// Whether the replica stays, has not had the request yet and has capacity for it.
    fn has_capacity_for_read(&self, request: &PendingRequest, id: MemberId, member: &Member) -> bool {
        let excluded =
            request.attempts.iter().any(|attempt| attempt.member == id && !attempt.allows_same_member());
        // Reads take processor time from the replica's apply thread: the further behind, the fewer at a time.
        let lag_factor = match self.settings.classes[request.class].consistency {
            Consistency::Eventual => 1.0,
            _ => 1.0 - (self.estimated_lag_s(member) / self.lag_margin.secs()).powi(2),
        };
        let has_capacity = self.has_capacity(member, self.warm_up_fraction(member) * lag_factor);
        has_capacity && !excluded && member.draining_since.is_none()
    }

    /// What an attempt at the member costs in terms of requests in flight; `noise` decides between equals.
    fn read_cost(&self, request: &PendingRequest, member: &Member, noise: f64) -> f64 {
        // A member that fails fast looks least loaded: its failure rate weighs against it.
        let failure_rate = member.failure_rate.at(self.now, FAILURE_RATE_FADE_S);
        let success_rate = (1.0 - failure_rate).max(MIN_SUCCESS_RATE);
        let relative_latency = 1.0 + self.excess_latency(member) / self.service_times.get(request.class);
        let slowness = relative_latency.max(MIN_LATENCY_FACTOR) / (success_rate * success_rate);
        let queue = f64::from(member.in_flight) + IDLE_COST + noise + self.connection_cost(member);
        let mut cost = queue * slowness / (member.weight * self.warm_up_fraction(member));
        if member.zone != self.settings.zone {
            cost *= 1.0 + CROSS_ZONE_COST * self.settings.price_cross_zone;
        }
        if member.breaker != Breaker::Closed {
            cost *= LAGGING_MEMBER_COST;
        }
        cost
    }

    /// Long reads stop the log where they run: all routers send them to the member furthest behind, or of the
    /// lowest id if none is behind.
    fn long_read_cost(&self, id: MemberId, member: &Member) -> f64 {
        let lag = self.estimated_lag_s(member);
        let counted_lag = if lag > DEFAULT_LAG_MARGIN.secs() { lag } else { 0.0 };
        f64::from(id.0) / ID_TIE_BREAK - counted_lag
    }

    /// The most advanced replica whose position is out of date, where members reject reads that they are too
    /// far behind for: one read at a time tries it.
    fn outdated_replica(&self, request: &PendingRequest, primary: Option<MemberId>) -> Option<MemberId> {
        if self.settings.when_behind != WhenBehind::Reject {
            return None;
        }
        let candidates = self.members.in_group(request.request.group).filter(|(id, member)| {
            Some(*id) != primary
                && self.is_position_outdated(member)
                && self.is_idle_and_sound(member)
                && self.may_send(request, *id)
        });
        candidates.max_by_key(|(_, member)| self.estimated_position(member)).map(|(id, _)| id)
    }

    fn is_position_outdated(&self, member: &Member) -> bool {
        member.position.is_none_or(|known| {
            let age = self.now.since(known.as_of);
            age.times(self.small_fleet_fraction()) > POSITION_FRESHNESS
        })
    }

    fn is_idle_and_sound(&self, member: &Member) -> bool {
        let in_use = matches!(member.breaker, Breaker::Closed | Breaker::HalfOpen(EjectReason::Lag));
        let idle = member.in_flight == 0 && member.backoff_until <= self.now;
        in_use && !member.suspect && idle && member.draining_since.is_none()
    }

    /// Whether the primary can take a write or strong read now. A member that is slow or lags keeps its
    /// writes, since it has no substitute.
    fn primary_accepts(&self, request: &PendingRequest, id: MemberId) -> bool {
        let Some(member) = self.members.get(id) else { return false };
        let admitted = match member.breaker {
            Breaker::Closed => !member.suspect,
            Breaker::Open { reason, .. } => reason == EjectReason::Lag,
            Breaker::HalfOpen(EjectReason::Lag) => true,
            Breaker::HalfOpen(EjectReason::Silence) => member.in_flight == 0,
            Breaker::HalfOpen(EjectReason::Transport) => false,
        };
        admitted && self.has_capacity(member, 1.0) && self.may_send(request, id)
    }

    /// Whether a read may go to the primary as the last resort: while its writes are well within their
    /// latency objective, and longer the more valuable the read is.
    fn spills_to_primary(&self, request: &PendingRequest, id: MemberId) -> bool {
        let Some(member) = self.members.get(id) else { return false };
        let excess = self.excess_latency(member);
        let classes = self.service_times.zip(&self.settings.classes);
        let writes = classes.filter(|(class, _)| class.consistency == Consistency::Write);
        let expected = writes.map(|(class, time)| (time + excess) / class.latency_objective.secs());
        let crowding = expected.fold(0.0, f64::max);
        let allowed = SPILL_BASE_FRACTION + self.relative_value(request.class, SPILL_VALUE_FRACTION);
        let class = &self.settings.classes[request.class];
        let limit = allowed * request.weight / class.priority_weight;
        crowding <= limit && !self.is_crowded(request, member) && self.primary_accepts(request, id)
    }
}
