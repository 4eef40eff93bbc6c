//! Slow start of members that are warming up: the fraction of its capacity that a member has, and the work
//! that each router may send it, so that all routers together don't overload it. The routers don't
//! coordinate; each limits itself to its own share.

use super::decaying::DecayingValue;
use super::member::Member;
use super::members::Members;
use super::pending_request::{PendingRequest, Workload};
use super::{Policy, SMALL_FLEET_ROUTERS};
use crate::api::*;
use std::collections::BTreeMap;

/// The fraction of [`Settings::overload_multiple`] up to which a warming member is used.
const OVERLOAD_SAFETY_FRACTION: f64 = 0.75;

/// The least work that a warm member is assumed to do for all routers together, in seconds of work per
/// second. It applies until more work has been measured, for example right after the start of the routers.
const MIN_WARM_RATE: f64 = 0.8;

/// Time constant, in seconds, of the decay of the work served. It is long, so that members keep receiving the
/// work that warms them up while an overload reduces what is served.
const SERVED_WORK_DECAY_S: f64 = 60.0;

/// Time constant, in seconds, of the decay of the work requested. It is short, so that a burst of requests
/// does not overload warming members.
const DEMAND_DECAY_S: f64 = 10.0;

/// The work requested, in seconds of service time, indexed by [`Workload::index`].
type WorkByWorkload = [DecayingValue; 2];

/// The work that clients have requested, in seconds of service time.
#[derive(Default)]
pub(super) struct Demand {
    by_group: BTreeMap<GroupId, WorkByWorkload>,
    total: WorkByWorkload,
    /// The total with [`Settings::overload_window`] as the time constant of its decay, since a rise of the
    /// demand can overload a warming member within this time.
    recent_total: WorkByWorkload,
}

impl Demand {
    /// Removes the groups that no longer have members.
    pub(super) fn retain_groups(&mut self, members: &Members) {
        self.by_group.retain(|group, _| members.has_group(*group));
    }
}

/// The credit of one router at a warming member: the work that it may still send there. It grows with time
/// and shrinks with each attempt.
#[derive(Default)]
pub(super) struct SlowStartCredit {
    /// The debt with which the credit starts after each start of the member, in seconds of work. It is
    /// random, so that the routers don't all send their first attempts at once.
    initial_debt: f64,
    /// The credit as of `counted_at`, in seconds of work; negative while in debt.
    balance: f64,
    counted_at: Time,
}

impl SlowStartCredit {
    /// Creates the credit for a member that has not been seen to start. After each start it begins with
    /// `initial_debt`, in seconds of work.
    pub(super) fn new(initial_debt: f64) -> SlowStartCredit {
        SlowStartCredit { initial_debt, balance: 0.0, counted_at: Time(0) }
    }

    /// Resets the credit to the initial debt after a start of the member.
    pub(super) fn reset(&mut self, now: Time) {
        self.set_balance(-self.initial_debt, now);
    }

    /// Sets the credit as of `now`, in seconds of work.
    pub(super) fn set_balance(&mut self, balance: f64, now: Time) {
        self.balance = balance;
        self.counted_at = now;
    }
}

impl Policy {
    /// Returns the least fraction of its capacity that a member has, assuming the slowest warm-up that the
    /// settings allow: linear from the slow start capacity over the slow start window.
    pub(super) fn warm_up_fraction(&self, member: &Member) -> f64 {
        let Some(started_at) = member.started_at else { return 1.0 };
        let window_s = self.settings.slow_start_window.secs().max(1e-9);
        let progress = self.now.since(started_at).secs() / window_s;
        let initial = self.settings.slow_start_capacity;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// Returns the fraction of its requests that one router of a large fleet may send to a warming member,
    /// in addition to those that its credit allows: a router that gets a request for the group only every few
    /// seconds can't accumulate credit. As with the credit, the work that all routers together may send
    /// adds up to what the member can take without being overloaded.
    ///
    /// The group's demand is assumed to be the mean of all groups, or the group's own if that is higher, and
    /// all of the demand is assumed to be sent to this member.
    pub(super) fn slow_start_request_fraction(
        &self,
        request: &PendingRequest,
        id: MemberId,
        member: &Member,
    ) -> f64 {
        let workload = Workload::of(&self.settings.classes[request.class]);
        if workload == Workload::ReplicaRead && Some(id) == self.known_primary(member.group) {
            return 0.0;
        }
        // Without a usable primary, replicas get the writes that search for one in addition to their reads,
        // so one fraction covers both workloads.
        let counted_workload = self.usable_primary(member.group).map(|_| workload);
        let in_group = self.demand.by_group.get(&member.group);
        let group_rate =
            in_group.map_or(0.0, |work| self.demand_rate(work, counted_workload, DEMAND_DECAY_S));
        // The short time constant detects a sudden rise of the demand before it can overload the member.
        let overload_window_s = self.settings.overload_window.secs();
        let usual = self.demand_rate(&self.demand.total, counted_workload, DEMAND_DECAY_S);
        let recent = self.demand_rate(&self.demand.recent_total, counted_workload, overload_window_s);
        let total_rate = usual.max(recent);
        let demand = group_rate.max(total_rate / self.members.group_count().max(1) as f64);
        let allowed_multiple = OVERLOAD_SAFETY_FRACTION * self.settings.overload_multiple;
        let fraction =
            allowed_multiple * self.warm_up_fraction(member) * self.own_rate_at(member) / demand.max(1e-9);
        fraction * (1.0 - self.shared_work_fraction())
    }

    /// Returns the requested work of one workload, or of both if `workload` is `None`, in seconds of work per
    /// second.
    fn demand_rate(&self, work: &WorkByWorkload, workload: Option<Workload>, time_constant_s: f64) -> f64 {
        let counted = work
            .iter()
            .enumerate()
            .filter(|(index, _)| workload.is_none_or(|workload| workload.index() == *index));
        let decayed = counted.map(|(_, work)| work.at(self.now, time_constant_s));
        decayed.sum::<f64>() / self.accumulation_time_s(time_constant_s)
    }

    /// Returns the time in seconds by which a decaying sum has to be divided to get a rate: the time
    /// constant, less while the router's uptime is short.
    fn accumulation_time_s(&self, time_constant_s: f64) -> f64 {
        let uptime_s = self.now.since(self.started_at.unwrap_or(self.now)).secs().max(1.0);
        time_constant_s * (1.0 - (-uptime_s / time_constant_s).exp())
    }

    /// Returns this router's mean rate of work at a warm member with the weight of `member`, in seconds of
    /// work per second.
    fn own_rate_at(&self, member: &Member) -> f64 {
        let served = self.work_served.at(self.now, SERVED_WORK_DECAY_S);
        served / self.accumulation_time_s(SERVED_WORK_DECAY_S) * member.weight / self.members.total_weight()
    }

    /// Returns the work per second that this router may send to a warming member, from the member's warm-up
    /// fraction and this router's mean rate at warm members. The rates of all routers add up to what the
    /// member can take without being overloaded.
    fn slow_start_rate(&self, member: &Member) -> f64 {
        let min_rate = MIN_WARM_RATE / f64::from(self.settings.routers).max(SMALL_FLEET_ROUTERS);
        let own_rate = (self.own_rate_at(member) * self.shared_work_fraction()).max(min_rate);
        own_rate * OVERLOAD_SAFETY_FRACTION * self.settings.overload_multiple * self.warm_up_fraction(member)
    }

    /// Returns the credit at a warming member as of now, in seconds of work. An attempt is allowed if the
    /// credit is not negative. The credit accumulates to at most what the router earns in one
    /// [`Settings::overload_window`], or to the amount of the initial debt if that is more.
    pub(super) fn slow_start_credit(&self, member: &Member) -> f64 {
        let rate = self.slow_start_rate(member);
        let credit = &member.slow_start;
        let earned = rate * self.now.since(credit.counted_at).secs();
        let max_balance = credit.initial_debt.max(rate * self.settings.overload_window.secs());
        (credit.balance + earned).min(max_balance)
    }

    /// Adds to the work that members have served.
    pub(super) fn record_served_work(&mut self, work_s: f64) {
        self.work_served.add(work_s, self.now, SERVED_WORK_DECAY_S);
    }

    /// Adds to the work that clients have requested, if the group is known.
    pub(super) fn record_demand(&mut self, group: GroupId, workload: Workload, work_s: f64) {
        if !self.members.has_group(group) {
            return;
        }
        let now = self.now;
        let index = workload.index();
        let overload_window_s = self.settings.overload_window.secs();
        let in_group = self.demand.by_group.entry(group).or_default();
        in_group[index].add(work_s, now, DEMAND_DECAY_S);
        self.demand.total[index].add(work_s, now, DEMAND_DECAY_S);
        self.demand.recent_total[index].add(work_s, now, overload_window_s);
    }
}
