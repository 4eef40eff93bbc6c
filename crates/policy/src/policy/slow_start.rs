//! Slow start of members that are warming up: how much of its capacity a member has, and how much each router
//! may send it, so that all together do not overload it. Routers do not talk to each other: each keeps to its
//! part.

use super::decaying::Decaying;
use super::member::Member;
use super::members::Members;
use super::pending_request::{PendingRequest, Workload};
use super::{Policy, SMALL_FLEET};
use crate::api::*;
use std::collections::BTreeMap;

/// Fraction of the overload multiple that is used at a warming member.
const OVERLOAD_SAFETY_FRACTION: f64 = 0.75;

/// Work per second that a warm member is taken to do at least, where nothing has been served yet.
const MIN_WARM_RATE: f64 = 0.8;

/// Time constant, in seconds, of the work served: long, so that a jam does not starve warming members of the
/// work that warms them.
const SERVED_FADE_S: f64 = 60.0;

/// Time constant, in seconds, of the work requested: short, so that a rush does not overload them.
const DEMAND_FADE_S: f64 = 10.0;

/// Work requested, in seconds of service time, by [`Workload::index`].
type WorkByWorkload = [Decaying; 2];

/// Work that clients have requested, in seconds of service time.
#[derive(Default)]
pub(super) struct Demand {
    by_group: BTreeMap<GroupId, WorkByWorkload>,
    total: WorkByWorkload,
    /// The total, fading within the time in which a warming member could be overloaded.
    recent_total: WorkByWorkload,
}

impl Demand {
    /// Drops the groups that have no members any more.
    pub(super) fn retain_groups(&mut self, members: &Members) {
        self.by_group.retain(|group, _| members.has_group(*group));
    }
}

/// The work that one router may send a warming member beyond its earned rate.
#[derive(Default)]
pub(super) struct SlowStartCredit {
    /// Work by which each start begins in debt: random for each router, so that not all send first at once.
    initial_debt: f64,
    /// Work that might be sent, as of `counted_at`; negative while in debt.
    balance: f64,
    counted_at: Time,
}

impl SlowStartCredit {
    /// Credit of a member that has not been seen to start; each start begins with this debt in seconds of
    /// work.
    pub(super) fn new(initial_debt: f64) -> SlowStartCredit {
        SlowStartCredit { initial_debt, balance: 0.0, counted_at: Time(0) }
    }

    /// Begins anew after a start of the member.
    pub(super) fn reset(&mut self, now: Time) {
        self.set_balance(-self.initial_debt, now);
    }

    /// Sets what may be sent as of `now`, in seconds of work.
    pub(super) fn set_balance(&mut self, balance: f64, now: Time) {
        self.balance = balance;
        self.counted_at = now;
    }
}

impl Policy {
    /// Fraction of its capacity that a member has at least, by the slowest warm-up that the settings allow.
    pub(super) fn warm_up_fraction(&self, member: &Member) -> f64 {
        let Some(started_at) = member.started_at else { return 1.0 };
        let window_s = self.settings.slow_start_window.secs().max(1e-9);
        let progress = self.now.since(started_at).secs() / window_s;
        let initial = self.settings.slow_start_capacity;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// The fraction of its requests that one router of a large fleet sends a warming member: a router that
    /// meets a group every few seconds could never save up credit. Fractions of many routers add up as their
    /// rates do.
    ///
    /// The group's demand is taken to be that of other groups, or more if it is so here, and all of it to
    /// come to this member.
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
        // Without a primary, replicas get the writes that search for one beside their reads: one fraction
        // covers both.
        let only = self.usable_primary(member.group).map(|_| workload);
        let in_group = self.demand.by_group.get(&member.group);
        let group_rate = in_group.map_or(0.0, |work| self.demand_rate(work, only, DEMAND_FADE_S));
        // A rush, or the end of a quiet time, is seen within the time in which it could overload the member.
        let overload_window_s = self.settings.overload_window.secs();
        let usual = self.demand_rate(&self.demand.total, only, DEMAND_FADE_S);
        let recent = self.demand_rate(&self.demand.recent_total, only, overload_window_s);
        let total_rate = usual.max(recent);
        let demand = group_rate.max(total_rate / self.members.group_count().max(1) as f64);
        let bearable = OVERLOAD_SAFETY_FRACTION * self.settings.overload_multiple;
        let fraction = bearable * self.warm_up_fraction(member) * self.own_rate_at(member) / demand.max(1e-9);
        fraction * (1.0 - self.small_fleet_fraction())
    }

    /// Work requested per second, of one workload or of both.
    fn demand_rate(&self, work: &WorkByWorkload, only: Option<Workload>, time_constant_s: f64) -> f64 {
        let counted = work
            .iter()
            .enumerate()
            .filter(|(index, _)| only.is_none_or(|workload| workload.index() == *index));
        let decayed = counted.map(|(_, work)| work.at(self.now, time_constant_s));
        decayed.sum::<f64>() / self.accumulation_time_s(time_constant_s)
    }

    /// The time, in seconds, over which a decaying sum has gathered since the router started.
    fn accumulation_time_s(&self, time_constant_s: f64) -> f64 {
        let age = self.now.since(self.started_at.unwrap_or(self.now)).secs().max(1.0);
        time_constant_s * (1.0 - (-age / time_constant_s).exp())
    }

    /// This router's mean rate of work at a member of this weight, in seconds of work per second.
    fn own_rate_at(&self, member: &Member) -> f64 {
        let served = self.work_served.at(self.now, SERVED_FADE_S);
        served / self.accumulation_time_s(SERVED_FADE_S) * member.weight / self.members.total_weight()
    }

    /// Work per second that this router may send a warming member, by its warm-up and this router's usual
    /// rate at members. Rates of all routers add up to what the member can bear.
    fn slow_start_rate(&self, member: &Member) -> f64 {
        let min_rate = MIN_WARM_RATE / f64::from(self.settings.routers).max(SMALL_FLEET);
        let own_rate = (self.own_rate_at(member) * self.small_fleet_fraction()).max(min_rate);
        own_rate * OVERLOAD_SAFETY_FRACTION * self.settings.overload_multiple * self.warm_up_fraction(member)
    }

    /// Work that a warming member may be sent by now, in seconds; an attempt is allowed from zero up. Credit
    /// for about one request may be saved up.
    pub(super) fn slow_start_credit(&self, member: &Member) -> f64 {
        let rate = self.slow_start_rate(member);
        let credit = &member.slow_start;
        let earned = rate * self.now.since(credit.counted_at).secs();
        let most = credit.initial_debt.max(rate * self.settings.overload_window.secs());
        (credit.balance + earned).min(most)
    }

    /// Counts work that members have served.
    pub(super) fn record_served_work(&mut self, work_s: f64) {
        self.work_served.add(work_s, self.now, SERVED_FADE_S);
    }

    /// Counts work that a client requests of a known group.
    pub(super) fn record_demand(&mut self, group: GroupId, workload: Workload, work_s: f64) {
        if !self.members.has_group(group) {
            return;
        }
        let now = self.now;
        let index = workload.index();
        let overload_window_s = self.settings.overload_window.secs();
        let in_group = self.demand.by_group.entry(group).or_default();
        in_group[index].add(work_s, now, DEMAND_FADE_S);
        self.demand.total[index].add(work_s, now, DEMAND_FADE_S);
        self.demand.recent_total[index].add(work_s, now, overload_window_s);
    }
}
