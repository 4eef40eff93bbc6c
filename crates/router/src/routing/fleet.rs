//! The router's part in a fleet: joins and leaves the fleet, passes on the packets of other routers, and
//! keeps the policy informed of capacities and budgets. The state is in [`FleetLimits`]; a router that has
//! joined no fleet ignores all calls.

use super::attempts::FinishedAttempt;
use super::fleet_limits::FleetLimits;
use super::input::FleetInput;
use super::{Effect, Router};
use basalthill_config::local_settings::FleetSettings;
use basalthill_fleet::{Budget, Effect as FleetEffect, LimitKey};
use basalthill_policy::api::{Attempt, Event, MemberId, Request, RequestId, Time};

impl Router {
    /// Joins the fleet under `name`: from now on, limits apply to all routers of the fleet together.
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

    /// Applies the fleet's settings after they have been reloaded. Has no effect unless the router has joined
    /// a fleet.
    pub fn reload_fleet(&mut self, now: Time, settings: &FleetSettings, out: &mut Vec<Effect>) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let mut effects = Vec::new();
        limits.reload(now, &self.deployment, settings, &mut effects);
        apply_fleet_effects(effects, out);
        self.update_limited_members(now);
        self.queue_capacity_changes(now);
        self.run_policy(now, out);
    }

    /// Leaves the fleet and notifies the other routers.
    pub fn leave_fleet(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let mut effects = Vec::new();
        limits.fleet.leave(now, &mut effects);
        apply_fleet_effects(effects, out);
    }

    /// Takes a token from a budget that all routers share. Returns true if a token was available, or if there
    /// is no fleet or no such budget. If it returns false, transport must not open the connection or call
    /// service discovery. The policy needs no result: it decrements its own values of the budgets for retries
    /// and health checks.
    pub fn spend_budget(&mut self, now: Time, budget: Budget) -> bool {
        self.fleet_limits.as_mut().is_none_or(|limits| limits.spend_budget(now, budget))
    }

    /// Handles an event on the fleet's socket.
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

    /// Passes the members in service to the limit on concurrent attempts at each member.
    pub(super) fn update_limited_members(&mut self, now: Time) {
        if let Some(limits) = &mut self.fleet_limits {
            limits.set_members(now, self.endpoints.active_members());
        }
    }

    /// Queues events for the budgets and capacities that differ from the policy's values.
    fn queue_capacity_changes(&mut self, now: Time) {
        if let Some(limits) = &mut self.fleet_limits {
            self.events.extend(limits.capacity_changes(now));
        }
    }

    /// Replaces the budgets and capacities in an event with their present values. Called just before the
    /// event is passed to the policy.
    pub(super) fn with_current_capacity(&mut self, now: Time, event: Event) -> Event {
        match &mut self.fleet_limits {
            Some(limits) => limits.refresh(now, event),
            None => event,
        }
    }

    /// Queues a request for the policy. Returns the keys of the limits that count the request.
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

    /// Reports the policy's decision on a request to the limits that count the request.
    pub(super) fn record_admission(&mut self, id: RequestId, keys: &[LimitKey]) {
        let admitted = self
            .requests
            .get(id)
            .is_some_and(|open| !open.progress.is_completed() || open.progress.is_served());
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

    /// Releases the slot of an attempt that has ended, and queues an event that gives the policy the member's
    /// new capacity.
    pub(super) fn release_member_slot(&mut self, now: Time, finished: &FinishedAttempt) {
        let Some(limits) = &mut self.fleet_limits else { return };
        if limits.release_slot(now, finished) {
            let member = finished.exchange.member;
            // `with_current_capacity` replaces the 0 when the event is passed to the policy.
            self.events.push_back(Event::MemberCapacity { member, attempts: 0 });
        }
    }

    /// Records that a request completes without a host's response. If the request has had an attempt and the
    /// retry budget is exhausted, this counts as demand for another retry.
    pub(super) fn record_retry_demand(&mut self, id: RequestId) {
        let attempted = self.requests.get(id).is_some_and(|open| open.progress.next_attempt() > Attempt(0));
        if let Some(limits) = self.fleet_limits.as_mut().filter(|_| attempted) {
            limits.record_retry_demand();
        }
    }
}

/// Converts the fleet's effects into effects of the router.
fn apply_fleet_effects(effects: Vec<FleetEffect>, out: &mut Vec<Effect>) {
    for effect in effects {
        match effect {
            FleetEffect::Send { to, datagram } => out.push(Effect::SendDatagram { to, bytes: datagram }),
            FleetEffect::Log(line) => tracing::info!("{line}"),
        }
    }
}
