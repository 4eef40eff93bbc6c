//! Cold members: how warm one is at least, and what all routers together may send it, each by itself.

use super::{needs, Job, Member, Policy, FEW_ROUTERS};
use crate::api::*;

// Tuned values.
const COLD_SHARE: f64 = 0.75; // part of the fall multiple used at a cold member
const COLD_LEAST: f64 = 0.8; // work per second that a warm member is taken to do at least
pub(super) const SERVED_OVER_S: f64 = 60.0; // memory of a router's own rate: long, or a jam starves the cold
const ASKED_OVER_S: f64 = 10.0; // and of what it is asked for: short, or a rush pushes the cold over

impl Policy {
    /// Share of its full capacity that a member has at least, by the rules' slowest warm-up.
    pub(super) fn warmth(&self, m: &Member) -> f64 {
        let Some(started) = m.started else { return 1.0 };
        let part = self.now.since(started).secs() / self.set.slow_start_window.secs().max(1e-9);
        (self.set.slow_start_capacity + (1.0 - self.set.slow_start_capacity) * part).min(1.0)
    }

    /// The part of what it is asked for in a cold member's group that one of many routers sends there: one
    /// that meets a group every few seconds can't save up. Parts add up as rates do. The group is taken to
    /// ask for as much as others, or more if it does so here, and all of it to come to this member.
    pub(super) fn cold_part(&self, job: &Job, id: MemberId, m: &Member) -> f64 {
        let needs = needs(&self.set.classes[job.c]);
        if needs == 0 && Some(id) == self.primary(m.group) {
            return 0.0;
        }
        // Without a primary, replicas are sent what looks for one beside their reads: one part of both.
        let leaderless = self.leader(m.group).is_none();
        let rate = |a: &[(f64, Time); 2], over_s: f64| {
            let kinds = a.iter().enumerate().filter(|(kind, _)| leaderless || *kind == needs);
            kinds.map(|(_, asked)| self.faded(*asked, over_s)).sum::<f64>() / self.over(over_s)
        };
        let there = self.wanted.get(&m.group).map_or(0.0, |a| rate(a, ASKED_OVER_S));
        // A rush, or the end of a quiet time, is seen within the time in which it could push the member over.
        let all =
            rate(&self.wanted_all, ASKED_OVER_S).max(rate(&self.wanted_now, self.set.overload_window.secs()));
        let asked = there.max(all / self.groups.len().max(1) as f64);
        let part = COLD_SHARE * self.set.overload_multiple * self.warmth(m) * self.own(m) / asked.max(1e-9);
        part * (1.0 - self.few())
    }

    /// The time that a figure which fades has been gathered over.
    pub(super) fn over(&self, over_s: f64) -> f64 {
        let age = self.now.since(self.begun.unwrap_or(self.now)).secs().max(1.0);
        over_s * (1.0 - (-age / over_s).exp())
    }

    /// This router's mean rate at a member of this weight.
    pub(super) fn own(&self, m: &Member) -> f64 {
        self.faded(self.served, SERVED_OVER_S) / self.over(SERVED_OVER_S) * m.weight / self.weight
    }

    /// Work a second for a cold member, by its least warmth and this router's rate at members: rates add up.
    fn cold_rate(&self, m: &Member) -> f64 {
        let least = COLD_LEAST / f64::from(self.set.routers).max(FEW_ROUTERS);
        (self.own(m) * self.few()).max(least) * COLD_SHARE * self.set.overload_multiple * self.warmth(m)
    }

    /// What a cold member may be sent by now; each router begins at another point of its first wait.
    pub(super) fn credit(&self, m: &Member) -> f64 {
        let (rate, since) = (self.cold_rate(m), self.now.since(m.credit.1).secs());
        (m.credit.0 + rate * since).min(m.dither.max(rate * self.set.overload_window.secs()))
    }

    /// Counts work that is asked for.
    pub(super) fn ask(&mut self, group: GroupId, needs: usize, work: f64) {
        if self.groups.contains_key(&group) {
            let before = self.wanted.get(&group).map_or((0.0, self.now), |a| a[needs]);
            let (there, all) =
                (self.faded(before, ASKED_OVER_S), self.faded(self.wanted_all[needs], ASKED_OVER_S));
            self.wanted.entry(group).or_default()[needs] = (there + work, self.now);
            self.wanted_all[needs] = (all + work, self.now);
            let recent = self.faded(self.wanted_now[needs], self.set.overload_window.secs());
            self.wanted_now[needs] = (recent + work, self.now);
        }
    }
}
