//! Exchanges with database hosts, which are attempts of requests or health checks: the type of an exchange in
//! flight, and the code that both kinds share. Transport passes in the result of each exchange.

use super::input::{ExchangeId, ExchangeResult};
use super::timers::TimerKey;
use super::{Effect, Router};
use basalthill_policy::api::{MemberId, Time};

/// An attempt or a health check that is in flight.
#[derive(Clone, Copy)]
pub struct InFlightExchange {
    /// The member to which it was sent.
    pub member: MemberId,
    /// When it was started.
    pub sent_at: Time,
    /// The timer of its timeout.
    pub timer: TimerKey,
}

impl InFlightExchange {
    /// An exchange that ends at once because nothing can be sent. It has no timer.
    pub fn unsent(now: Time, member: MemberId) -> InFlightExchange {
        InFlightExchange { member, sent_at: now, timer: TimerKey::default() }
    }
}

impl Router {
    /// Returns whether the query of an exchange may still be written. The policy observes a member's drain
    /// grace period, log position and role when it starts an exchange, but the grace period may end, the
    /// position may become too old, or the request may be completed, before the connection to the member is
    /// open.
    pub fn may_write(&self, now: Time, exchange: ExchangeId, member: MemberId) -> bool {
        let is_allowed = match exchange {
            ExchangeId::Attempt(id, _) => {
                let is_awaited = self.requests.get(id).is_some_and(|open| !open.progress.is_completed());
                is_awaited && self.policy.may_still_send(now, id, member)
            }
            ExchangeId::Probe(_) => true,
        };
        is_allowed && self.drain_ends_at(member).is_none_or(|end| now < end)
    }

    /// Returns when a draining member's grace period ends; `None` if the member is not draining.
    pub(super) fn drain_ends_at(&self, member: MemberId) -> Option<Time> {
        let notified_at = self.endpoints.draining_since(member)?;
        Some(notified_at.plus(self.deployment.settings.drain_grace))
    }

    /// Handles the result of an exchange.
    pub(super) fn exchange_finished(
        &mut self,
        now: Time,
        exchange: ExchangeId,
        result: ExchangeResult,
        out: &mut Vec<Effect>,
    ) {
        match exchange {
            ExchangeId::Attempt(id, number) => self.attempt_finished(now, id, number, result, out),
            ExchangeId::Probe(number) => self.probe_finished(now, number, result),
        }
    }

    /// Passes a log position to the sessions. `position` is a Unix time that a host reported in an exchange
    /// that was started at `sent_at`.
    pub(super) fn observe_position(&mut self, now: Time, sent_at: Time, position: Option<Time>) {
        let Some(position) = position else { return };
        let now = self.system_clock.to_unix_time(now);
        let sent_at = self.system_clock.to_unix_time(sent_at);
        self.sessions.observe_position(now, sent_at, position);
    }
}
