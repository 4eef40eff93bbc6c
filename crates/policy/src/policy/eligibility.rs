//! Which attempts are allowed: every attempt has to pass [`Policy::may_send`].
//!
//! It enforces the rules of the settings: groups, the number of attempts and budgets, hedging, drain grace,
//! effects and their deduplication windows, freshness, and the load of members that are warming up.

use super::breaker::{Breaker, EjectReason};
use super::member::Member;
use super::pending_request::PendingRequest;
use super::{request_draw, Policy};
use crate::api::*;

impl Policy {
    /// Returns whether the rules allow an attempt of this request at this member now.
    pub(super) fn may_send(&self, request: &PendingRequest, id: MemberId) -> bool {
        let Some(member) = self.members.get(id) else { return false };
        member.group == request.request.group
            && member.attempts_allowed != Some(0)
            && !self.is_exhausted(request)
            && self.may_add_attempt(request)
            && !self.has_drained(member)
            && self.may_repeat_at(request, member)
            && self.has_required_position(self.now, request, id, member)
            && self.warm_up_allows(request, id, member)
    }

    /// Returns whether an attempt that was decided earlier may be sent at `now`, after a wait for a
    /// connection: whether the member's known position and role still allow it. A bounded read's data ages
    /// meanwhile, and a strong read's member may no longer be the primary.
    pub fn may_still_send(&self, now: Time, id: RequestId, target: MemberId) -> bool {
        let (Some(request), Some(member)) = (self.requests.get(&id), self.members.get(target)) else {
            return false;
        };
        self.has_required_position(now, request, target, member)
    }

    /// Returns whether the request has used up its attempts, or the retry budget is spent.
    pub(super) fn is_exhausted(&self, request: &PendingRequest) -> bool {
        let attempts = request.attempts.len();
        let out_of_retries = attempts > 0 && self.budgets.retries == Some(0);
        attempts >= self.settings.max_attempts as usize || out_of_retries
    }

    /// Returns whether one more attempt may be in flight: the only one, or a second one as a hedge.
    fn may_add_attempt(&self, request: &PendingRequest) -> bool {
        let class = &self.settings.classes[request.class];
        match request.attempts_in_flight() {
            0 => true,
            1 => self.settings.hedging_allowed && class.effect != Effect::NonIdempotent,
            _ => false,
        }
    }

    /// Returns whether the member's drain grace period is over, or will be within a tick.
    fn has_drained(&self, member: &Member) -> bool {
        let next_tick = self.now.plus(self.settings.tick);
        member.draining_since.is_some_and(|since| since.plus(self.settings.drain_grace) <= next_tick)
    }

    /// Returns whether the request may be sent to the member given that it may already have been executed.
    fn may_repeat_at(&self, request: &PendingRequest, member: &Member) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(first) = request.first_possible_execution() else { return true };
        if class.effect == Effect::Idempotent {
            return true;
        }
        // All attempts of a request go to one group, so of the scopes only a zone can exclude the member.
        let first_zone = self.members.get(first.member).map(|member| member.zone);
        let in_scope = class.key_scope != KeyScope::Zone || first_zone == Some(member.zone);
        in_scope && self.window_allows_repeat(request)
    }

    /// Returns whether the rest of the deduplication window of a request with an idempotency key is longer
    /// than the service time, so that a repeat is expected to be executed within the window.
    pub(super) fn window_allows_repeat(&self, request: &PendingRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let left = request.window_left(self.now.plus(self.settings.tick), class.deduplication_window);
        class.effect == Effect::IdempotentByKey && left.secs() > self.service_times.get(request.class)
    }

    /// Returns whether the member is known to be fresh enough at `now`. Always true if members check the
    /// freshness of reads themselves.
    fn has_required_position(
        &self,
        now: Time,
        request: &PendingRequest,
        id: MemberId,
        member: &Member,
    ) -> bool {
        self.settings.when_behind != WhenBehind::ServeStale
            || self.is_fresh_enough(now, request, id, member, PositionBasis::Known)
    }

    /// Returns whether slow start allows the attempt at the member: the member has warmed up, it has credit
    /// left, or the request is among the fraction of requests that may be sent to it.
    fn warm_up_allows(&self, request: &PendingRequest, id: MemberId, member: &Member) -> bool {
        if self.warm_up_fraction(member) >= 1.0 || self.slow_start_credit(member) >= 0.0 {
            return true;
        }
        // The fraction counts requests, not attempts: a request among them gets only one attempt there.
        let already_attempted =
            request.attempts.iter().any(|attempt| attempt.member == id && attempt.may_have_reached_member());
        let fraction = self.slow_start_request_fraction(request, id, member);
        request_draw(request.request.id) < fraction && !already_attempted
    }

    /// Returns whether the member is fresh enough at `now` for the request's class. The last known primary
    /// always is.
    pub(super) fn is_fresh_enough(
        &self,
        now: Time,
        request: &PendingRequest,
        id: MemberId,
        member: &Member,
        basis: PositionBasis,
    ) -> bool {
        let consistency = self.settings.classes[request.class].consistency;
        if matches!(consistency, Consistency::Eventual | Consistency::Write) {
            return true;
        }
        if self.known_primary(request.request.group) == Some(id) {
            return true;
        }
        let estimated = basis == PositionBasis::Estimated;
        if estimated && member.position.is_none() && consistency != Consistency::Strong {
            return true;
        }
        let position = match basis {
            PositionBasis::Estimated => self.estimated_position(member),
            PositionBasis::Known => member.position.map(|known| known.position),
        };
        match consistency {
            Consistency::Eventual | Consistency::Write => true,
            Consistency::Strong => false,
            Consistency::Session => {
                let waits = estimated && matches!(self.settings.when_behind, WhenBehind::Wait(_));
                let lead = if waits { request.request.lead } else { Time(0) };
                let needed = request.min_position.minus(lead);
                request.min_position == Time(0) || position.is_some_and(|position| position >= needed)
            }
            Consistency::BoundedStaleness(bound) => {
                position.is_some_and(|position| now.since(position) <= bound)
            }
        }
    }

    /// Returns whether the member's breaker admits a read. An ejection for lag applies only to reads that
    /// need freshness.
    pub(super) fn breaker_admits(&self, request: &PendingRequest, member: &Member) -> bool {
        let needs_freshness = match self.settings.classes[request.class].consistency {
            Consistency::Eventual => false,
            Consistency::Session => request.min_position > Time(0),
            Consistency::BoundedStaleness(_) | Consistency::Strong | Consistency::Write => true,
        };
        let idle = member.in_flight == 0;
        match member.breaker {
            Breaker::Closed => true,
            Breaker::Open { reason, .. } => reason == EjectReason::Lag && !needs_freshness,
            Breaker::HalfOpen(EjectReason::Transport) => false,
            Breaker::HalfOpen(EjectReason::Lag) => idle || !needs_freshness,
            Breaker::HalfOpen(EjectReason::Unresponsive) => idle,
        }
    }
}

/// The log position of a member that is compared with the required one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PositionBasis {
    /// The last known position.
    Known,
    /// The last known position plus the time since then, assuming that the lag has not changed. An unknown
    /// position is accepted, except for strong reads. Used only if members check reads themselves.
    Estimated,
}
