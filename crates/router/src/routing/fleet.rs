//! The router's part in the fleet: it joins and leaves, hands over what arrives from other routers, and has
//! the policy learn of capacities and budgets. The state is in [`FleetLimits`]; without a fleet nothing here
//! acts.

use super::attempts::FinishedAttempt;
use super::fleet_limits::FleetLimits;
use super::input::FleetInput;
use super::{Effect, Router};
use basalthill_config::local_settings::FleetSettings;
use basalthill_fleet::{Budget, Effect as FleetEffect, LimitKey};
use basalthill_policy::api::{Attempt, Event, MemberId, Request, RequestId, Time};

impl Router {
    /// Joins the fleet under a name: limits hold together with the other routers from now on.
    pub fn join_fleet(
        &mut self,
        now: Time,
        name: &str,
        settings: &FleetSettings,
        seed: u64,
        out: &mut Vec<Effect>,
    ) {
        self.fleet_limits = Some(FleetLimits::new(now, name, &self.deployment, settings, seed));
        self.update_limited_members(now);
        self.queue_capacity_changes(now);
        self.run_policy(now, out);
    }

    /// Takes over the fleet's settings after they have been read again. A router that has not joined ignores
    /// them.
    pub fn reload_fleet(&mut self, now: Time, settings: &FleetSettings, out: &mut Vec<Effect>) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let mut effects = Vec::new();
        limits.reload(now, &self.deployment, settings, &mut effects);
        apply_fleet_effects(effects, out);
        self.update_limited_members(now);
        self.queue_capacity_changes(now);
        self.run_policy(now, out);
    }

    /// Leaves the fleet: the other routers are notified.
    pub fn leave_fleet(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let mut effects = Vec::new();
        limits.fleet.leave(now, &mut effects);
        apply_fleet_effects(effects, out);
    }

    /// Takes a token out of a budget of all routers. Returns whether there was one, or no fleet or no such
    /// budget. Transport may connect or call discovery only then; the policy counts its own budgets down
    /// itself.
    pub fn spend_budget(&mut self, now: Time, budget: Budget) -> bool {
        self.fleet_limits.as_mut().is_none_or(|limits| limits.spend_budget(now, budget))
    }

    /// Handles what has arrived on the fleet's socket.
    pub(super) fn handle_fleet_input(&mut self, now: Time, input: FleetInput, out: &mut Vec<Effect>) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let mut effects = Vec::new();
        match input {
            FleetInput::Packet(packet) => limits.fleet.receive_packet(now, packet, &mut effects),
            FleetInput::OperatorQuery { query, from } => {
                let response = limits.fleet.status_response(now, &query);
                effects.extend(response.map(|datagram| FleetEffect::Send { to: from, datagram }));
            }
            FleetInput::DatagramsDropped { reason, count } => limits.fleet.count_dropped(reason, count),
        }
        apply_fleet_effects(effects, out);
        self.queue_capacity_changes(now);
    }

    /// Fires the fleet's timer, if it is due.
    pub(super) fn fire_fleet_timer(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(limits) = self.fleet_limits.as_mut().filter(|limits| now >= limits.fleet.next_due()) else {
            return;
        };
        let mut effects = Vec::new();
        limits.fleet.tick(now, &mut effects);
        apply_fleet_effects(effects, out);
        self.queue_capacity_changes(now);
    }

    /// Hands the members in service to the limit on each of them.
    pub(super) fn update_limited_members(&mut self, now: Time) {
        if let Some(limits) = &mut self.fleet_limits {
            limits.set_members(now, self.endpoints.present());
        }
    }

    /// Queues events for budgets and capacities that the policy assumes wrongly.
    fn queue_capacity_changes(&mut self, now: Time) {
        if let Some(limits) = &mut self.fleet_limits {
            self.events.extend(limits.changes(now));
        }
    }

    /// An event as it is to be handed to the policy: budgets and capacities have their present values.
    pub(super) fn with_current_capacity(&mut self, now: Time, event: Event) -> Event {
        match &mut self.fleet_limits {
            Some(limits) => limits.refresh(now, event),
            None => event,
        }
    }

    /// Queues a request for the policy; the keys of the limits that count it.
    pub(super) fn queue_request(&mut self, now: Time, request: Request) -> Vec<LimitKey> {
        let Some(limits) = &mut self.fleet_limits else {
            self.events.push_back(Event::Request(request));
            return Vec::new();
        };
        let class = &self.deployment.classes[usize::from(request.class.0)];
        let tenant = self.deployment.tenants.get(usize::from(request.tenant.0));
        let tenant = tenant.map_or("", String::as_str);
        let keys = limits.keys_for(class, tenant, request.group);
        self.events.push_back(limits.request_event(now, request, &keys));
        keys
    }

    /// The policy has decided on a request: the limits that count it learn whether it was admitted.
    pub(super) fn record_admission(&mut self, id: RequestId, keys: &[LimitKey]) {
        let admitted = self.requests.get(id).is_some_and(|open| !open.answered || open.served);
        if let Some(limits) = &mut self.fleet_limits {
            limits.record_decision(admitted, keys);
        }
    }

    /// Occupies a slot at a member for an attempt that has been started.
    pub(super) fn occupy_member_slot(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        member: MemberId,
        deadline: Time,
    ) {
        if let Some(limits) = &mut self.fleet_limits {
            limits.occupy_slot(now, id, attempt, member, deadline);
        }
    }

    /// Releases the slot of a finished attempt, and has the policy learn of its member's capacity.
    pub(super) fn release_member_slot(&mut self, now: Time, finished: &FinishedAttempt) {
        let Some(limits) = &mut self.fleet_limits else { return };
        if limits.release_slot(now, finished) {
            let member = finished.exchange.member;
            self.events.push_back(Event::MemberCapacity { member, attempts: 0 });
        }
    }

    /// A request ends without a result: reports a missing retry, if it had an attempt and no retry was left.
    pub(super) fn record_missed_retry(&mut self, id: RequestId) {
        let attempted = self.requests.get(id).is_some_and(|open| !open.attempts.is_empty());
        if let Some(limits) = self.fleet_limits.as_mut().filter(|_| attempted) {
            limits.record_missed_retry();
        }
    }
}

/// Carries the fleet's effects over to the router's.
fn apply_fleet_effects(effects: Vec<FleetEffect>, out: &mut Vec<Effect>) {
    for effect in effects {
        match effect {
            FleetEffect::Send { to, datagram } => out.push(Effect::SendDatagram { to, bytes: datagram }),
            FleetEffect::Log(line) => tracing::info!("{line}"),
        }
    }
}
