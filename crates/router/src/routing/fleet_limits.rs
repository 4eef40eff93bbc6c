//! The limits that all routers of the fleet share, as seen by this router. [`FleetLimits`] owns the fleet
//! protocol's state and the values of member capacities and budgets that the policy was last given;
//! `fleet.rs` connects it with the router.

use super::attempts::FinishedAttempt;
use super::endpoints::ActiveMember;
use super::system_clock::NS_PER_MS;
use basalthill_config::local_settings::FleetSettings;
use basalthill_config::settings::Deployment;
use basalthill_fleet::{Bounds, Budget, DatagramCodec, Fleet, FleetConfig, Limit, LimitKey, Subject, Timing};
use basalthill_policy::api::{Attempt, Event, GroupId, MemberId, Request, RequestId, Status, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The number of low bits of a slot's number that hold the attempt's number. The other bits hold the
/// request's id.
const ATTEMPT_BITS: u32 = 16;

/// The capacity of a member without a limit.
const UNLIMITED: u32 = u32::MAX;

/// The tokens left in the budgets that the policy spends; `None` if there is no such budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PolicyBudgets {
    retries: Option<u32>,
    probes: Option<u32>,
}

/// Returns the fleet's configuration for a deployment. If a limit bounds concurrency, an attempt may occupy
/// its slot for up to the longest client timeout of all classes.
fn fleet_config(deployment: &Deployment, fleet: &FleetSettings) -> FleetConfig {
    let timeouts = deployment.settings.classes.iter().map(|class| class.client_timeout);
    let longest_timeout = timeouts.max().unwrap_or_default();
    let bounds_concurrency = fleet.limits.iter().any(|limit| matches!(limit.bounds, Bounds::Concurrent(_)));
    let max_use = if bounds_concurrency { longest_timeout } else { Time(0) };
    // A voter that has just started grants no votes until all votes of its earlier incarnation have expired.
    // Those votes may have been granted under other limits, so the longest client timeout applies here even
    // if no present limit bounds concurrency.
    let longest_timing = Timing::new(fleet.drift, longest_timeout);
    FleetConfig {
        roster: fleet.roster.clone(),
        limits: fleet.limits.clone(),
        timing: Timing::new(fleet.drift, max_use),
        max_use,
        vote_quarantine: longest_timing.lender_span(longest_timing.lease_span),
    }
}

/// Returns the name of the limit on concurrent attempts at each member, if there is one.
fn per_member_limit(limits: &[Limit]) -> Option<String> {
    limits.iter().find(|limit| limit.subject == Subject::EachMember).map(|limit| limit.name.clone())
}

/// The limits that all routers of the fleet share, and the values of them that the policy has been given.
pub struct FleetLimits {
    pub(super) fleet: Fleet,
    /// The name of the limit on concurrent attempts at each member, if there is one.
    per_member_limit: Option<String>,
    /// The key of that limit for each member in service.
    member_keys: BTreeMap<MemberId, LimitKey>,
    /// The members in service, by group.
    group_members: BTreeMap<GroupId, BTreeSet<MemberId>>,
    /// The policy's value of the free capacity at each member, in attempts. It is decremented for each
    /// attempt that the policy starts.
    policy_capacity: BTreeMap<MemberId, u32>,
    /// The policy's values of the budgets. They are decremented for each token that the policy spends.
    policy_budgets: PolicyBudgets,
    /// How long an attempt may occupy a slot.
    max_use: Time,
}

impl FleetLimits {
    /// Creates the limits of a router that has just started under `name`.
    pub fn new(
        now: Time,
        name: &str,
        deployment: &Deployment,
        settings: &FleetSettings,
        seed: u64,
    ) -> FleetLimits {
        let config = fleet_config(deployment, settings);
        let per_member_limit = per_member_limit(&config.limits);
        let max_use = config.max_use;
        let incarnation = now.0 / NS_PER_MS;
        let codec = DatagramCodec::new(settings.keys.clone());
        FleetLimits {
            fleet: Fleet::new(now, name, incarnation, config, codec, seed),
            per_member_limit,
            member_keys: BTreeMap::new(),
            group_members: BTreeMap::new(),
            policy_capacity: BTreeMap::new(),
            policy_budgets: PolicyBudgets::default(),
            max_use,
        }
    }

    /// Applies a changed configuration. The fleet's effects are appended to `effects`.
    pub fn reload(
        &mut self,
        now: Time,
        deployment: &Deployment,
        settings: &FleetSettings,
        effects: &mut Vec<basalthill_fleet::Effect>,
    ) {
        let config = fleet_config(deployment, settings);
        self.per_member_limit = per_member_limit(&config.limits);
        self.max_use = config.max_use;
        let codec = DatagramCodec::new(settings.keys.clone());
        self.fleet.reload(now, config, codec, effects);
    }

    /// Sets the members in service, to each of which the per-member limit applies.
    pub fn set_members<'a>(&mut self, now: Time, members: impl Iterator<Item = ActiveMember<'a>>) {
        let Some(limit) = &self.per_member_limit else { return };
        self.member_keys.clear();
        self.group_members.clear();
        let mut names = Vec::new();
        for ActiveMember { name, member, group } in members {
            self.member_keys.insert(member, LimitKey::at_member(limit, name));
            self.group_members.entry(group).or_default().insert(member);
            names.push(name.to_string());
        }
        self.fleet.set_members(now, names);
    }

    /// Returns the keys of the limits that count a request.
    pub fn keys_for(&self, class: &str, tenant: &str, group: GroupId) -> Vec<LimitKey> {
        let counts = |limit: &&Limit| match &limit.subject {
            Subject::Tenant(name) => name == tenant,
            Subject::Class(name) => name == class,
            Subject::Group(number) => *number == group.0,
            Subject::EachMember | Subject::Budget(_) => false,
        };
        self.fleet.limits().iter().filter(counts).map(|limit| LimitKey::global(&limit.name)).collect()
    }

    /// Returns the event for a request that is counted by the limits with these keys.
    pub fn request_event(&mut self, now: Time, request: Request, keys: &[LimitKey]) -> Event {
        self.record_capacity_demand(request.group);
        if keys.is_empty() {
            return Event::Request(request);
        }
        let available = self.fleet.availability(now, keys);
        Event::LimitedRequest {
            request,
            available_fraction: available.fraction,
            retry_after: available.retry_after,
        }
    }

    /// Records demand for capacity at those members of a group at which the policy has no capacity left.
    fn record_capacity_demand(&mut self, group: GroupId) {
        for member in self.group_members.get(&group).into_iter().flatten() {
            if self.policy_capacity.get(member) != Some(&0) {
                continue;
            }
            if let Some(key) = self.member_keys.get(member) {
                self.fleet.record_missing_slot(*key);
            }
        }
    }

    /// Records whether the policy has admitted a request. Each limit that counts the request spends a token
    /// if the request was admitted, and records the demand if the request was rejected.
    pub fn record_decision(&mut self, admitted: bool, keys: &[LimitKey]) {
        if keys.is_empty() {
            return;
        }
        match admitted {
            true => self.fleet.spend(keys),
            false => self.fleet.record_rejection(keys),
        }
    }

    /// Occupies a slot at a member for an attempt that ends by `deadline`.
    pub fn occupy_slot(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: Attempt,
        member: MemberId,
        deadline: Time,
    ) {
        let Some(key) = self.member_keys.get(&member) else { return };
        self.fleet.occupy_slot(now, *key, slot_number(request, attempt), deadline);
        // The policy has already decremented its own value for the attempt.
        if let Some(capacity) = self.policy_capacity.get_mut(&member) {
            *capacity = capacity.saturating_sub(1);
        }
    }

    /// Releases the slot of an attempt that has ended, unless the host may still be working on it: in that
    /// case the slot stays occupied until the attempt's deadline. Returns whether the attempt's member has a
    /// limit.
    pub fn release_slot(&mut self, now: Time, finished: &FinishedAttempt) -> bool {
        let Some(key) = self.member_keys.get(&finished.exchange.member) else { return false };
        let may_still_run = matches!(finished.status, Status::Cancelled | Status::Timeout | Status::Reset);
        if !may_still_run {
            let slot = slot_number(finished.request, finished.number);
            self.fleet.release_slot(now, *key, slot);
        }
        true
    }

    /// Records that a request with at least one attempt has completed without a host's response. If the retry
    /// budget is exhausted, this counts as demand for another retry.
    pub fn record_retry_demand(&mut self) {
        if self.policy_budgets.retries != Some(0) {
            return;
        }
        if let Some(key) = self.fleet.budget_key(Budget::Retries) {
            self.fleet.record_missing_token(key);
        }
    }

    /// Takes a token from a budget. Returns true if a token was available, or if the budget does not exist.
    /// The policy decrements its own values in the same way.
    pub fn spend_budget(&mut self, now: Time, budget: Budget) -> bool {
        let Some(key) = self.fleet.budget_key(budget) else { return true };
        let available = self.fleet.take_token(now, key);
        let decremented = |tokens: Option<u32>| tokens.map(|n| n.saturating_sub(1));
        match budget {
            Budget::Retries => self.policy_budgets.retries = decremented(self.policy_budgets.retries),
            Budget::Probes => self.policy_budgets.probes = decremented(self.policy_budgets.probes),
            Budget::Connects | Budget::ListCalls => {}
        }
        available
    }

    /// Returns events for the budgets and capacities that differ from the policy's values.
    /// [`FleetLimits::refresh`] fills in the present values when the events are passed to the policy.
    pub fn capacity_changes(&mut self, now: Time) -> Vec<Event> {
        let mut changes = Vec::new();
        if self.budgets(now) != self.policy_budgets {
            changes.push(Event::Budgets { retries: None, probes: None });
        }
        if self.per_member_limit.is_none() {
            // Once the limit has been removed from the settings, no member has a bound.
            for member in std::mem::take(&mut self.policy_capacity).into_keys() {
                changes.push(Event::MemberCapacity { member, attempts: UNLIMITED });
            }
            return changes;
        }
        for (member, key) in &self.member_keys {
            let capacity = free_slots(&mut self.fleet, now, *key, self.max_use);
            if self.policy_capacity.get(member) != Some(&capacity) {
                changes.push(Event::MemberCapacity { member: *member, attempts: capacity });
            }
        }
        changes
    }

    /// Replaces the budgets and capacities in an event with their present values, because tokens and slots
    /// may have been used or released since the event was queued.
    pub fn refresh(&mut self, now: Time, event: Event) -> Event {
        match event {
            Event::Budgets { .. } => {
                self.policy_budgets = self.budgets(now);
                let PolicyBudgets { retries, probes } = self.policy_budgets;
                Event::Budgets { retries, probes }
            }
            Event::MemberCapacity { member, .. } => {
                let attempts = self.refresh_capacity(now, member);
                Event::MemberCapacity { member, attempts }
            }
            other => other,
        }
    }

    fn refresh_capacity(&mut self, now: Time, member: MemberId) -> u32 {
        let key = self.member_keys.get(&member).filter(|_| self.per_member_limit.is_some());
        let Some(key) = key else { return UNLIMITED };
        let capacity = free_slots(&mut self.fleet, now, *key, self.max_use);
        self.policy_capacity.insert(member, capacity);
        capacity
    }

    fn budgets(&mut self, now: Time) -> PolicyBudgets {
        PolicyBudgets {
            retries: self.tokens_left(now, Budget::Retries),
            probes: self.tokens_left(now, Budget::Probes),
        }
    }

    fn tokens_left(&mut self, now: Time, budget: Budget) -> Option<u32> {
        let key = self.fleet.budget_key(budget)?;
        Some(self.fleet.tokens_left(now, key))
    }
}

/// Returns the number of attempts that may be started now under a key, if each ends within `max_use`.
fn free_slots(fleet: &mut Fleet, now: Time, key: LimitKey, max_use: Time) -> u32 {
    let slots = fleet.free_slots(now, key, max_use);
    u32::try_from(slots).unwrap_or(UNLIMITED)
}

/// Returns the number of an attempt's slot, which is unique at this router.
fn slot_number(request: RequestId, attempt: Attempt) -> u64 {
    request.0 << ATTEMPT_BITS | u64::from(attempt.0)
}
