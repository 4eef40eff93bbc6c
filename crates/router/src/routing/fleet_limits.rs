//! Limits that hold over all routers, where the settings name a fleet: what is open goes to the decisions
//! with each request, and what was admitted is told the fleet's core. It decides nothing.

use super::{Effect, Router};
use basalthill_config::local_settings::FleetSettings;
use basalthill_config::settings::Deployment;
use basalthill_fleet::packet::{Packet, StatusMessage};
use basalthill_fleet::{
    Bounds, Budget, DatagramCodec, DropReason, Effect as FleetEffect, Fleet, FleetConfig, Limit, LimitKey,
    Subject, Timing,
};
use basalthill_policy::api::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What the fleet's driver brings.
#[derive(Debug)]
pub enum FleetInput {
    /// A packet whose seal is right.
    Packet(Packet),
    /// An operator asks, from an address.
    OperatorQuery {
        /// What is queried.
        query: StatusMessage,
        /// Where the answer goes.
        from: SocketAddr,
    },
    /// So many datagrams have been dropped.
    DatagramsDropped {
        /// Why.
        reason: DropReason,
        /// How many.
        count: u64,
    },
}

/// A fleet's plan as a deployment's settings need it.
pub fn plan(deployment: &Deployment, fleet: &FleetSettings) -> FleetConfig {
    let max_use = deployment.settings.classes.iter().map(|c| c.client_timeout).max().unwrap_or_default();
    let at_once = fleet.limits.iter().any(|l| matches!(l.bounds, Bounds::Concurrent(_)));
    let any = Timing::new(fleet.drift, max_use);
    let max_use = if at_once { max_use } else { Time(0) };
    FleetConfig {
        roster: fleet.names.clone(),
        limits: fleet.limits.clone(),
        timing: Timing::new(fleet.drift, max_use),
        max_use,
        vote_quarantine: any.lender_span(any.lease),
    }
}

/// The fleet's core, and what routing has to know of its limits.
pub struct FleetLimits {
    pub(super) fleet: Fleet,
    /// The limit on attempts out at each member, if there is one.
    each: Option<String>,
    keys: BTreeMap<MemberId, LimitKey>,
    groups: BTreeMap<GroupId, BTreeSet<MemberId>>,
    /// What the decisions take each member's room for.
    reported_capacity: BTreeMap<MemberId, u32>,
    /// And what they take the budgets for retries and probes for.
    left: [Option<u32>; 2],
    max_use: Time,
}

impl FleetLimits {
    /// The limits of a router that has just started.
    pub fn new(
        now: Time,
        name: &str,
        deployment: &Deployment,
        settings: &FleetSettings,
        seed: u64,
    ) -> FleetLimits {
        let (plan, codec) = (plan(deployment, settings), DatagramCodec::new(settings.keys.clone()));
        let (each, max_use) = (each(&plan.limits), plan.max_use);
        let fleet = Fleet::new(now, name, now.0 / 1_000_000, plan, codec, seed);
        let (keys, groups, reported_capacity) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        FleetLimits { fleet, each, keys, groups, reported_capacity, left: [None; 2], max_use }
    }

    /// Keys of the limits that count a request.
    fn keys_for(&self, class: &str, tenant: &str, group: GroupId) -> Vec<LimitKey> {
        let counts = |limit: &&Limit| match &limit.subject {
            Subject::Tenant(name) => name == tenant,
            Subject::Class(name) => name == class,
            Subject::Group(number) => *number == group.0,
            Subject::EachMember | Subject::Budget(_) => false,
        };
        self.fleet.limits().iter().filter(counts).map(|l| LimitKey::global(&l.name)).collect()
    }

    /// What is left of the budgets that the decisions spend.
    fn left(&mut self, now: Time) -> [Option<u32>; 2] {
        [Budget::Retries, Budget::Probes]
            .map(|b| self.fleet.budget_key(b).map(|key| self.fleet.tokens_left(now, key)))
    }

    fn slot_number(id: RequestId, attempt: Attempt) -> u64 {
        id.0 << 16 | u64::from(attempt.0)
    }
}

fn each(limits: &[Limit]) -> Option<String> {
    limits.iter().find(|l| l.subject == Subject::EachMember).map(|l| l.name.clone())
}

impl Router {
    /// Keeps limits with other routers from now on.
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
        self.run(now, out);
    }

    /// Takes a fleet's settings over that have been read again.
    pub fn reload_fleet(&mut self, now: Time, settings: &FleetSettings, out: &mut Vec<Effect>) {
        let plan = plan(&self.deployment, settings);
        let Some(limits) = &mut self.fleet_limits else { return };
        (limits.each, limits.max_use) = (each(&plan.limits), plan.max_use);
        let mut effects = Vec::new();
        limits.fleet.reload(now, plan, DatagramCodec::new(settings.keys.clone()), &mut effects);
        apply_fleet_effects(effects, out);
        self.update_limited_members(now);
        self.queue_capacity_changes(now);
        self.run(now, out);
    }

    /// Leaves the fleet in good order.
    pub fn leave_fleet(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        self.fleet_limits.iter_mut().for_each(|l| l.fleet.leave(now, &mut effects));
        apply_fleet_effects(effects, out);
    }

    pub(super) fn handle_fleet_input(&mut self, now: Time, input: FleetInput, out: &mut Vec<Effect>) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let mut effects = Vec::new();
        match input {
            FleetInput::Packet(packet) => limits.fleet.receive_packet(now, packet, &mut effects),
            FleetInput::OperatorQuery { query: asked, from: addr } => {
                let answer = limits.fleet.status_response(now, &asked);
                effects.extend(answer.map(|bytes| FleetEffect::Send { to: addr, datagram: bytes }));
            }
            FleetInput::DatagramsDropped { reason: why, count } => limits.fleet.count_dropped(why, count),
        }
        apply_fleet_effects(effects, out);
        self.queue_capacity_changes(now);
    }

    pub(super) fn fire_fleet_timer(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(limits) = self.fleet_limits.as_mut().filter(|l| now >= l.fleet.next_due()) else { return };
        let mut effects = Vec::new();
        limits.fleet.tick(now, &mut effects);
        apply_fleet_effects(effects, out);
        self.queue_capacity_changes(now);
    }

    /// The members that there are, for the limit on each of them.
    pub(super) fn update_limited_members(&mut self, now: Time) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let Some(name) = &limits.each else { return };
        limits.keys.clear();
        limits.groups.clear();
        let mut ids = Vec::new();
        for (id, member, group) in self.endpoints.present() {
            limits.keys.insert(member, LimitKey::at_member(name, id));
            limits.groups.entry(group).or_default().insert(member);
            ids.push(id.to_string());
        }
        limits.fleet.set_members(now, ids);
    }

    /// Tells the decisions each member's room, and what is left of budgets, where it is not what they take it
    /// for.
    fn queue_capacity_changes(&mut self, now: Time) {
        let Some(limits) = &mut self.fleet_limits else { return };
        if limits.left(now) != limits.left {
            self.events.push_back(Event::Budgets { retries: None, probes: None });
        }
        if limits.each.is_none() {
            // A limit that is gone leaves no bound behind.
            let open = std::mem::take(&mut limits.reported_capacity).into_keys();
            return self.events.extend(open.map(|m| Event::MemberCapacity { member: m, attempts: u32::MAX }));
        }
        for (member, key) in &limits.keys {
            let capacity = limits.fleet.free_slots(now, *key, limits.max_use).min(u64::from(u32::MAX)) as u32;
            if limits.reported_capacity.get(member) != Some(&capacity) {
                self.events.push_back(Event::MemberCapacity { member: *member, attempts: capacity });
            }
        }
    }

    /// What a request is to the decisions: one that limits count brings what is open of them.
    pub(super) fn request_event(&mut self, now: Time, request: Request) -> (Event, Vec<LimitKey>) {
        let Some(limits) = &mut self.fleet_limits else { return (Event::Request(request), Vec::new()) };
        // Where a member's room is what keeps a request, more of it is wanted.
        for member in limits.groups.get(&request.group).into_iter().flatten() {
            if limits.reported_capacity.get(member) == Some(&0) {
                limits.keys.get(member).into_iter().for_each(|key| limits.fleet.record_missing_slot(*key));
            }
        }
        let class = &self.deployment.classes[usize::from(request.class.0)];
        let tenant = self.deployment.tenants.get(usize::from(request.tenant.0)).map_or("", String::as_str);
        let keys = limits.keys_for(class, tenant, request.group);
        if keys.is_empty() {
            return (Event::Request(request), keys);
        }
        let open = limits.fleet.availability(now, &keys);
        (Event::LimitedRequest { request, open_fraction: open.fraction, retry_after: open.retry_after }, keys)
    }

    /// The decisions have had a request: what it counts under has been spent, or another's turn is
    /// further off.
    pub(super) fn record_admission(&mut self, id: RequestId, keys: &[LimitKey]) {
        let taken = self.requests.get(id).is_some_and(|open| !open.answered || open.served);
        if let Some(limits) = self.fleet_limits.as_mut().filter(|_| !keys.is_empty()) {
            match taken {
                true => limits.fleet.spend(keys),
                false => limits.fleet.record_rejection(keys),
            }
        }
    }

    /// An attempt is out.
    pub(super) fn occupy_member_slot(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        member: MemberId,
        until: Time,
    ) {
        let Some(limits) = &mut self.fleet_limits else { return };
        if let Some(key) = limits.keys.get(&member) {
            limits.fleet.occupy_slot(now, *key, FleetLimits::slot_number(id, attempt), until);
            // The decisions have counted it already.
            limits.reported_capacity.entry(member).and_modify(|n| *n = n.saturating_sub(1));
        }
    }

    /// An attempt has ended. One that its host may still work on keeps its place until its time is over.
    pub(super) fn release_member_slot(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: Attempt,
        member: MemberId,
        status: Status,
    ) {
        let Some(limits) = &mut self.fleet_limits else { return };
        let Some(key) = limits.keys.get(&member) else { return };
        if !matches!(status, Status::Cancelled | Status::Timeout | Status::Reset) {
            limits.fleet.release_slot(now, *key, FleetLimits::slot_number(id, attempt));
        }
        self.events.push_back(Event::MemberCapacity { member, attempts: 0 });
    }

    /// A request ends without a value. If it had an attempt and the budget for further ones is spent, one
    /// more was wanted.
    pub(super) fn note_missed_retry(&mut self, id: RequestId) {
        let tried = self.requests.get(id).is_some_and(|open| !open.attempts.is_empty());
        let Some(limits) = self.fleet_limits.as_mut().filter(|l| tried && l.left[0] == Some(0)) else {
            return;
        };
        if let Some(key) = limits.fleet.budget_key(Budget::Retries) {
            limits.fleet.record_missing_token(key);
        }
    }

    /// One is spent of a budget: by the decisions, which count down by themselves, or by transport, which may
    /// only if it is there.
    pub fn spend_budget(&mut self, now: Time, budget: Budget) -> bool {
        let Some(limits) = &mut self.fleet_limits else { return true };
        let Some(key) = limits.fleet.budget_key(budget) else { return true };
        let available = limits.fleet.take_token(now, key);
        match budget {
            Budget::Retries => limits.left[0] = limits.left[0].map(|n| n.saturating_sub(1)),
            Budget::Probes => limits.left[1] = limits.left[1].map(|n| n.saturating_sub(1)),
            Budget::Connects | Budget::ListCalls => {}
        }
        available
    }

    /// An event as it is to be handed on: a room, and what is left, are told as they are now, after all
    /// that was sent meanwhile.
    pub(super) fn with_current_capacity(&mut self, now: Time, event: Event) -> Event {
        if let (Event::Budgets { .. }, Some(limits)) = (&event, &mut self.fleet_limits) {
            limits.left = limits.left(now);
            return Event::Budgets { retries: limits.left[0], probes: limits.left[1] };
        }
        let (Event::MemberCapacity { member, .. }, Some(limits)) = (&event, &mut self.fleet_limits) else {
            return event;
        };
        let Some(key) = limits.keys.get(member).filter(|_| limits.each.is_some()) else {
            return Event::MemberCapacity { member: *member, attempts: u32::MAX };
        };
        let capacity = limits.fleet.free_slots(now, *key, limits.max_use).min(u64::from(u32::MAX)) as u32;
        limits.reported_capacity.insert(*member, capacity);
        Event::MemberCapacity { member: *member, attempts: capacity }
    }
}

fn apply_fleet_effects(effects: Vec<FleetEffect>, out: &mut Vec<Effect>) {
    for one in effects {
        match one {
            FleetEffect::Send { to: addr, datagram: bytes } => {
                out.push(Effect::SendDatagram { to: addr, bytes })
            }
            FleetEffect::Log(line) => log::info!("{line}"),
        }
    }
}
