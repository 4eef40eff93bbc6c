//! Every decision of basalthill, with every table and tuned value; what cold members get is in
//! `policy/cold.rs`. The interface (settings, events, actions, ids) is `api.rs`. `docs/design.md` says what
//! is the design's and what is a departure from it.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet};

mod cold;

use cold::SERVED_OVER_S;

// Tuned values: times, then counts and shares.
const SWEEP: Time = Time::ms(10); // housekeeping while requests are held or members in doubt,
const REST_SWEEP: Time = Time::ms(100); // and otherwise
const PROBE_EVERY: Time = Time::ms(2000); // a member that no answer has refreshed for this long is probed
const PROBE_SUSPECT: Time = Time::ms(200); // and one in doubt after this
const REPORT_AGE: Time = Time::ms(150); // a probe's position is taken to be this old, its role twice that
const LIST_AGE: Time = Time::ms(5000); // and what the list says of roles this
const KNOWN_FRESH: Time = Time::ms(100); // an older position is asked for again before it fails a read
const MARGIN: Time = Time::ms(1000); // behind by more than this (or the widest bound) ejects
const LAG_COOLDOWN: Time = Time::ms(500); // cooldown of an ejection for lag,
const COOLDOWN: Time = Time::ms(1000); // for transport failures or silence
const SILENT_LEAST: Time = Time::ms(250); // no attempt is overdue before this
const FULL_BACKOFF: Time = Time::ms(100); // rest of a full member; a connect that fails sooner was refused
const WANT_WITHIN: Time = Time::ms(1000); // one heard so soon after refusing a connect is up, and full:
const SHORT_FOR: Time = Time::ms(10_000); // idle connections are closed for this long
const PARTED: Time = Time::ms(30_000); // so long after its parting was told, nothing of a member is looked at
const SEEK_EVERY: Time = Time::ms(40); // pace of the search for a primary
const START_HOLD: Time = Time::ms(250); // a started router holds requests for its list and probes no longer

const FAILURES: u32 = 3; // transport failures running that eject
const CAP_START: f64 = 16.0; // in-flight cap of a member at first, never under one,
const CAP_LATE: f64 = 0.5; // cut when an answer takes this share of its aim
const CAP_CUT: f64 = 0.7; // by this factor, once a round trip
const CROWDED: f64 = 0.45; // expected past this share of the aim: the member counts as at its cap
const CROWDED_ALONE: f64 = 0.7; // and with nothing in flight there
const BASE_DOWN: f64 = 0.03; // a class's own time follows answers down faster
const BASE_UP: f64 = 0.015; // than up: what an uncrowded member takes
const WAIT_GAIN: f64 = 0.15; // how fast a member's wait beyond its classes' own times follows answers
const WAIT_FADE_S: f64 = 2.0; // and fades unheard
const WAITS_FADE_S: f64 = 4.0; // and the mean over members of a role
const ERROR_GAIN: f64 = 0.2; // how fast a member's share of failures follows
const ERROR_FADE_S: f64 = 10.0; // and fades unheard
const HOLD_TIMES: f64 = 1.2; // less than this many own times left: a held request is let go
const HOLD_SHARE: f64 = 0.5; // and so is one that no member has had by this share of its client's time
const SILENT_TIMES: f64 = 6.0; // an attempt out for this many own times is overdue
const REPEAT_WORTH: f64 = 0.5; // worth of a marked repeat, at least, as a share of a first try's
const PROBE_SHARE: f64 = 0.1; // probes that a request earns its router
const SUBSET_BIAS: f64 = 1.0; // of many routers, each leans on members that it holds a connection to,
const HELD_SHARE: f64 = 0.7; // which it does for about this share of the longest idle time
const FEW_ROUTERS: f64 = 4.0; // more than these spread their searches and trials out
const LONG_TIMES: f64 = 4.0; // an any-read past this many times the shortest class's own time is long
const ZONE_TIMES: f64 = 30.0; // bias against crossing zones, times its price
const SPILL_LEAST: f64 = 0.25; // a read spills while writes are expected within this share of their aim,
const SPILL_SPAN: f64 = 0.35; // and this much more by its worth for its work
const LAST_PART: f64 = 0.5; // of a limit: the less a request is worth, the more of this it leaves

#[derive(Clone, Copy, Debug, PartialEq)]
enum Why {
    Lag,
    Transport,
    Silent,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Breaker {
    #[default]
    Closed,
    Open(Why, Time),
    HalfOpen(Why),
}

/// What this router knows of a member.
#[derive(Default)]
struct Member {
    group: GroupId,
    zone: ZoneId,
    weight: f64,
    draining: Option<Time>,
    started: Option<Time>,
    position: Option<(Time, Time)>,
    role: Option<(Role, Time)>,
    breaker: Breaker,
    failures: u32,
    suspect: bool,
    lost: Time,
    in_flight: u32,
    most: Option<u32>, // attempts that all routers' limit leaves to this one
    cap: f64,
    cut: Time,
    wait: (f64, Time),
    errors: (f64, Time),
    answered: Time,
    backoff_until: Time,
    refused: Time,
    subset_bias: f64,
    probe: Option<Time>,
    asked: Time,
    refreshed: Time,
    dither: f64,
    credit: (f64, Time), // work that it may still be sent while cold, and when that was counted
    sought: Time,
}

impl Member {
    /// 1 for a primary, else 0.
    fn leads(&self) -> usize {
        usize::from(self.role.is_some_and(|r| r.0 == Role::Primary))
    }
    fn restarted(&mut self, started: Option<Time>, now: Time) {
        (self.started, self.credit) = (started, (-self.dither, now));
    }
    fn missed(&mut self, now: Time, suspect: bool) {
        (self.failures, self.suspect) = (self.failures + 1, self.suspect || suspect);
        let open = matches!(self.breaker, Breaker::Open(Why::Transport, _));
        if (self.failures >= FAILURES && !open) || self.breaker == Breaker::HalfOpen(Why::Transport) {
            self.breaker = Breaker::Open(Why::Transport, now.plus(COOLDOWN));
        }
    }
    /// One back after failures running, a probe's among them, has likely restarted: it is cold.
    fn heard(&mut self, now: Time, proves: Why) {
        if self.failures >= FAILURES && self.lost > self.refreshed && self.started < Some(self.lost) {
            self.restarted(Some(self.lost), now);
        }
        (self.failures, self.suspect, self.refreshed) = (0, false, now);
        let silent = proves == Why::Silent && matches!(self.breaker, Breaker::Open(Why::Silent, _));
        if silent || self.breaker == Breaker::HalfOpen(proves) {
            self.breaker = Breaker::Closed;
        }
    }
}

struct Try {
    member: MemberId,
    sent: Time,
    status: Option<Status>,
    lost: bool, // overdue, though its member goes on answering: it counts no longer as in flight
}

struct Job {
    req: Request,
    c: usize,
    arrived: Time,
    untried: Time, // until when it is held if no member has had it: its client can then still go elsewhere
    floor: Time,   // position that a session or fresh read needs
    worth: f64,    // less for a client's repeat, which mostly comes after the first try's aim
    tries: Vec<Try>,
}

impl Job {
    fn out(&self) -> usize {
        self.tries.iter().filter(|t| t.status.is_none()).count()
    }
    fn may_have_run(&self) -> Option<&Try> {
        self.tries.iter().find(|t| t.status.is_none_or(|s| !s.proves_not_executed()))
    }
    /// What a window, counted from the first attempt that may have run, leaves of itself: all of time if none
    /// may have run.
    fn window_left(&self, now: Time, window: Time) -> Time {
        self.may_have_run().map_or(Time(u64::MAX), |first| first.sent.plus(window).since(now))
    }
}

/// 1 for what only the primary takes, else 0.
fn needs(class: &Class) -> usize {
    usize::from(matches!(class.consistency, Consistency::Write | Consistency::Strong))
}

/// Whether a member may be the primary as far as is known: it is up, and stays.
fn usable(m: &Member) -> bool {
    let up = matches!(m.breaker, Breaker::Closed | Breaker::Open(Why::Lag, _) | Breaker::HalfOpen(Why::Lag));
    !m.suspect && up && m.draining.is_none()
}

/// A number from 0 to 1 of the seed's sequence.
fn dice(random: &mut u64) -> f64 {
    *random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
    (*random >> 40) as f64 / (1u64 << 24) as f64
}

/// The decisions of one router.
#[derive(Default)]
pub struct Policy {
    set: Settings,
    now: Time,
    random: u64,
    begun: Option<Time>,
    members: BTreeMap<MemberId, Member>,
    jobs: BTreeMap<RequestId, Job>,
    held: BTreeSet<(GroupId, RequestId)>,
    base: Vec<f64>,               // own time of each class, in seconds
    usual: Vec<[(Time, u32); 3]>, // times left that many clients of each class come with, and their votes
    margin: Time,
    groups: BTreeMap<GroupId, Vec<MemberId>>,
    probes: f64,            // that may still be sent
    left: [Option<u32>; 2], // retries and probes that all routers' budgets leave to this one
    next: Time,             // of the timer that counts
    asked: Time,
    short: Time,         // when a member that is up was last known to want for connections
    served: (f64, Time), // work, fading
    wanted: BTreeMap<GroupId, [(f64, Time); 2]>, // work asked for, fading: what replicas may do, and the rest
    wanted_all: [(f64, Time); 2],
    wanted_now: [(f64, Time); 2], // the same, fading within the time that a cold member can bear
    waits: [(f64, Time); 2],      // mean wait at replicas and at primaries
    weight: f64,                  // of all members listed
    stood: Time, // how long this router itself stood still before this round, beyond its sweeps
}

impl Policy {
    /// A router that has just started and knows nothing.
    pub fn new(set: Settings, seed: u64) -> Policy {
        let bound =
            |c: &Class| if let Consistency::BoundedStaleness(bound) = c.consistency { bound } else { MARGIN };
        let margin = set.classes.iter().map(bound).max().unwrap_or(MARGIN).max(MARGIN);
        let base: Vec<f64> = set.classes.iter().map(|c| c.latency_objective.secs() * 0.2).collect();
        let usual = vec![[(Time(0), 0); 3]; base.len()];
        let (next, weight) = (Time(u64::MAX), 1.0);
        Policy { set, random: seed, margin, base, usual, next, weight, ..Policy::default() }
    }

    /// Takes one event; appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if now > self.now {
            let gap = now.since(self.now.max(self.begun.unwrap_or(now)));
            self.stood = gap.since(REST_SWEEP.plus(self.set.tick)); // timers fire a moment late
            self.earn(gap.secs() / PROBE_EVERY.secs() * self.few() * self.members.len() as f64);
        }
        self.now = now;
        if self.begun.is_none() {
            (self.begun, self.asked) = (Some(now), now);
            if self.set.poll_endpoint_list {
                out.push(Action::WatchEndpoints);
            }
        }
        match event {
            Event::Timer(_) if now >= self.next => self.sweep(out),
            Event::Endpoints(EndpointUpdate::Failed, _)
            | Event::ResponseStarted(..)
            | Event::Message(..)
            | Event::Timer(_) => {}
            Event::Endpoints(form, entries) => self.list(form, entries, out),
            Event::Request(req) => self.request(req, out),
            Event::LimitedRequest { request, open_fraction, retry_after } => {
                self.scarce(request, open_fraction, retry_after, out)
            }
            Event::Budgets { retries, probes } => self.left = [retries, probes],
            Event::MemberCapacity { member: id, attempts: most } => {
                self.members.get_mut(&id).into_iter().for_each(|m| m.most = Some(most))
            }
            Event::Outcome(o) => self.outcome(o, out),
            Event::ClientGone(id) => self.forget(id, out),
            Event::ClockSet => self.clock_set(),
            Event::ProbeFinished { member, status, report, .. } => self.probed(member, status, report, out),
        }
        let due = now.plus(if self.held.is_empty() { REST_SWEEP } else { SWEEP });
        if due < self.next {
            self.next = due;
            out.push(Action::Timer(due.since(now), 0));
        }
    }

    /// Positions are Unix times. Once the clock that they are read by has been set, those told before lie
    /// wrong by as much; what a read that is under way has to see is all that has been so far.
    fn clock_set(&mut self) {
        for m in self.members.values_mut() {
            m.position = None;
        }
        self.jobs.values_mut().filter(|j| j.floor > Time(0)).for_each(|j| j.floor = j.floor.max(self.now));
    }

    fn list(&mut self, form: EndpointUpdate, entries: Vec<Endpoint>, out: &mut Vec<Action>) {
        if form != EndpointUpdate::Delta && !self.set.only_draining_binds {
            let named: BTreeSet<_> = entries.iter().map(|e| e.member).collect();
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                m.draining = m.draining.or(Some(self.now));
            }
        }
        let shortest = self.base.iter().copied().fold(f64::MAX, f64::min);
        // A few routers probe a newcomer at once; many would do so all together.
        let asked = if self.few() < 1.0 { self.now } else { Time(0) };
        for e in entries {
            let subset_bias = dice(&mut self.random);
            let (m, dither) = (self.members.entry(e.member), subset_bias * shortest);
            let m = m.or_insert_with(|| Member {
                cap: CAP_START,
                dither,
                subset_bias,
                asked,
                ..Member::default()
            });
            (m.group, m.zone) = (e.group, e.zone);
            m.weight = if self.set.weights && e.weight > 0.0 { e.weight } else { 1.0 };
            if e.started > m.started {
                (m.failures, m.draining) = (0, None);
                m.restarted(e.started, self.now);
            }
            match e.state {
                EndpointState::Ready => m.draining = None,
                EndpointState::Removed if self.set.only_draining_binds => {}
                _ => m.draining = m.draining.or(Some(e.notified_at.min(self.now))),
            }
            // Late: counts where no answer has told since, never against one if members don't check reads.
            let as_of = self.now.minus(LIST_AGE);
            let strict = self.set.when_behind == WhenBehind::ServeStale;
            let told = m.role.is_some_and(|(r, at)| at >= as_of || (strict && r == Role::Replica));
            if e.primary && self.set.list_role != ListRole::None && !told {
                m.role = Some((Role::Primary, as_of));
            }
        }
        // Members come and go for weeks: a group that kept all would cost each request more and more.
        self.groups.clear();
        let parted = |m: &Member| m.draining.is_some_and(|at| self.now.since(at) > PARTED);
        for (id, m) in self.members.iter().filter(|(_, m)| m.in_flight > 0 || !parted(m)) {
            self.groups.entry(m.group).or_default().push(*id);
        }
        self.wanted.retain(|group, _| self.groups.contains_key(group));
        let there = self.members.values().filter(|m| m.draining.is_none());
        self.weight = there.map(|m| m.weight).sum::<f64>().max(1.0);
        if form == EndpointUpdate::Cached {
            self.earn(self.members.len() as f64 * self.few());
            let mut ids: Vec<MemberId> = self.members.keys().copied().collect();
            let first = (dice(&mut self.random) * ids.len() as f64) as usize;
            ids.rotate_left(first);
            ids.into_iter().for_each(|id| self.probe(id, out));
        }
    }

    fn probe(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(&id) else { return };
        let told = m.draining.is_some_and(|at| self.now.since(at) >= self.set.drain_grace);
        if self.set.probes && m.probe.is_none() && !told && self.probes >= 1.0 && self.left[1] != Some(0) {
            (self.probes, self.left[1]) = (self.probes - 1.0, self.left[1].map(|n| n - 1));
            (m.probe, m.asked) = (Some(self.now), self.now);
            out.push(Action::Probe(id));
        }
    }

    /// Notes a replication: positions never go back, and the newest evidence of a role wins.
    fn learn(&mut self, id: MemberId, s: ReplicationState, as_of: Time) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(role) = s.role {
            m.role = m.role.filter(|(_, at)| *at > as_of).or(Some((role, as_of)));
        }
        let Some(p) = s.position.filter(|p| m.position.is_none_or(|(old, _)| *p >= old)) else { return };
        m.position = Some((p, as_of));
        let (group, is_primary) = (m.group, m.role.is_some_and(|r| r.0 == Role::Primary));
        let high = self.in_group(group).filter_map(|(_, m)| m.position).map(|p| p.0).max().unwrap_or(p);
        let behind = !is_primary && high.since(p) > self.margin;
        let Some(m) = self.members.get_mut(&id) else { return };
        if behind && !matches!(m.breaker, Breaker::Open(..)) {
            m.breaker = Breaker::Open(Why::Lag, now.plus(LAG_COOLDOWN));
        } else if !behind && matches!(m.breaker, Breaker::HalfOpen(Why::Lag)) {
            m.breaker = Breaker::Closed;
        }
    }

    fn in_group(&self, group: GroupId) -> impl Iterator<Item = (MemberId, &Member)> {
        let ids = self.groups.get(&group).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id).map(|m| (*id, m)))
    }

    /// What a connection that is not there weighs. A router that meets a group seldom would open, and let
    /// lapse, one to each member: of many routers each keeps to a part of the group, drawn by itself so that
    /// the parts cover it evenly, and goes beyond when more are in flight or answers come late there.
    fn connection_cost(&self, m: &Member) -> f64 {
        let held = self.now.since(m.answered) < self.set.conn_idle.times(HELD_SHARE);
        let weight = if held { 0.0 } else { 1.0 - self.few() };
        weight * (SUBSET_BIAS + m.subset_bias)
    }

    /// Part of what one of a few routers would do alone, so that all together do no more.
    fn few(&self) -> f64 {
        (FEW_ROUTERS / f64::from(self.set.routers)).min(1.0)
    }

    /// Probes are earned: all routers together one of each member an interval, and a few for their requests.
    fn earn(&mut self, probes: f64) {
        self.probes = (self.probes + probes).min(self.members.len() as f64);
    }

    /// Where a member stands now if it kept up since its last position; a miss tells where it did not.
    fn estimate(&self, m: &Member) -> Option<Time> {
        m.position.map(|(p, at)| p.plus(self.now.since(at)))
    }

    /// The last known primary: the newest claim in the group.
    fn primary(&self, group: GroupId) -> Option<MemberId> {
        let claim = |(id, m): (_, &Member)| m.role.filter(|r| r.0 == Role::Primary).map(|r| (r.1, id));
        self.in_group(group).filter_map(claim).max().map(|(_, id)| id)
    }

    /// The last known primary, if there is a point in sending to it; else one is looked for.
    fn leader(&self, group: GroupId) -> Option<MemberId> {
        self.primary(group).filter(|id| self.members.get(id).is_some_and(usable))
    }

    /// Seconds beyond their class's own time that answers take there: as shown of late, then its role's.
    fn wait(&self, m: &Member) -> f64 {
        let known = self.faded((1.0, m.wait.1), WAIT_FADE_S);
        m.wait.0 * known + self.faded(self.waits[m.leads()], WAITS_FADE_S) * (1.0 - known)
    }

    /// A figure that fades from when it was last renewed.
    fn faded(&self, (value, at): (f64, Time), over_s: f64) -> f64 {
        value * (-self.now.since(at).secs() / over_s).exp()
    }

    /// Whether a member is below this share of its cap.
    fn room(&self, m: &Member, share: f64) -> bool {
        m.backoff_until <= self.now && f64::from(m.in_flight) < (m.cap * share).max(1.0)
    }

    /// Whether this request's answer is expected too late there.
    fn crowded(&self, job: &Job, m: &Member) -> bool {
        let (class, took) = (&self.set.classes[job.c], self.base[job.c] + self.wait(m));
        let late =
            class.late_weight == 0.0 && took * HOLD_TIMES > self.useful_until(job).since(self.now).secs();
        // With nothing in flight one tries it all the same; of many routers few do, once it seems too late.
        let tries = m.in_flight == 0 && dice(&mut { job.req.id.0 }) < self.few();
        let share = if m.in_flight > 0 { CROWDED } else { CROWDED_ALONE };
        !tries && (late || took > share * class.latency_objective.secs() * job.worth / class.priority_weight)
    }

    // ---- The one place that every send and refusal passes ----

    fn legal(&self, job: &Job, id: MemberId) -> bool {
        let (Some(m), class) = (self.members.get(&id), &self.set.classes[job.c]) else { return false };
        let (out, spent) = (job.out(), self.spent(job));
        let copy = out > 0 && (!self.set.hedging || class.effect == Effect::NonIdempotent || out > 1);
        let drained =
            m.draining.is_some_and(|at| at.plus(self.set.drain_grace) <= self.now.plus(self.set.tick));
        if m.group != job.req.group || spent || copy || drained || m.most == Some(0) {
            return false;
        }
        if let Some(first) = job.may_have_run() {
            // All attempts are in one group, so the key's scope can only end at a zone's border.
            let zone = self.members.get(&first.member).map(|f| f.zone);
            let near = class.scope != KeyScope::Zone || zone == Some(m.zone);
            if class.effect != Effect::Idempotent && !(near && self.repeatable(job)) {
                return false;
            }
        }
        let stale = self.set.when_behind == WhenBehind::ServeStale && !self.passes(job, id, m, false);
        // A part is of requests, not of sends: one that is drawn has one there, however often it is sent.
        let reached =
            |t: &Try| t.member == id && !matches!(t.status, Some(Status::ConnectFailed | Status::NotSent));
        let drawn =
            || dice(&mut { job.req.id.0 }) < self.cold_part(job, id, m) && !job.tries.iter().any(reached);
        !stale && (self.warmth(m) >= 1.0 || self.credit(m) >= 0.0 || drawn())
    }

    /// Whether a keyed request's window leaves a repeat about the time that it takes.
    fn repeatable(&self, job: &Job) -> bool {
        let class = &self.set.classes[job.c];
        let left = job.window_left(self.now.plus(self.set.tick), class.window);
        class.effect == Effect::IdempotentByKey && left.secs() > self.base[job.c]
    }

    /// Ends a request that has no attempt out: refused where that is harmless, else failed.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.out() == 0) else { return };
        let class = &self.set.classes[job.c];
        // A client that comes again when it is told to, or by itself, still has to meet the window.
        let back = self.now.plus(self.set.max_retry_after);
        let kept = class.effect == Effect::IdempotentByKey && class.scope == KeyScope::All;
        let kept = |t: &Try| kept && back < t.sent.plus(class.window);
        let harmless = class.effect == Effect::Idempotent || job.may_have_run().is_none_or(kept);
        let after = self.set.retry_after.then_some(self.set.max_retry_after);
        out.push(if harmless { Action::Reject(id, after) } else { Action::Fail(id) });
        self.forget(id, out);
    }

    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.remove(&id) {
            self.held.remove(&(job.req.group, id));
            for (n, t) in job.tries.iter().enumerate().filter(|(_, t)| t.status.is_none()) {
                if self.set.cancel && self.set.classes[job.c].effect == Effect::Idempotent {
                    out.push(Action::Cancel(id, Attempt(n as u16)));
                }
                if let Some(m) = self.members.get_mut(&t.member) {
                    m.in_flight = m.in_flight.saturating_sub(u32::from(!t.lost));
                }
            }
        }
    }

    // ---- Choosing a member ----

    /// The class gate. Known positions pass as in the design, estimates where members check reads themselves.
    fn passes(&self, job: &Job, id: MemberId, m: &Member, estimated: bool) -> bool {
        let is_primary = self.primary(job.req.group) == Some(id);
        let at = if estimated { self.estimate(m) } else { m.position.map(|p| p.0) };
        let unknown = estimated && m.position.is_none();
        match self.set.classes[job.c].consistency {
            Consistency::Eventual | Consistency::Write => true,
            _ if is_primary => true,
            Consistency::Strong => false,
            Consistency::Session => {
                let waits = estimated && matches!(self.set.when_behind, WhenBehind::Wait(_));
                let floor = job.floor.minus(if waits { job.req.lead } else { Time(0) });
                job.floor == Time(0) || unknown || at.is_some_and(|p| p >= floor)
            }
            Consistency::BoundedStaleness(bound) => unknown || at.is_some_and(|p| self.now.since(p) <= bound),
        }
    }

    /// Whether the breaker lets a read to this member; lag ejects from reads that need freshness only.
    fn admits(&self, job: &Job, m: &Member) -> bool {
        let needs = self.set.classes[job.c].consistency;
        let fresh = needs != Consistency::Eventual && (needs != Consistency::Session || job.floor > Time(0));
        match m.breaker {
            Breaker::Closed => true,
            Breaker::Open(why, _) => why == Why::Lag && !fresh,
            Breaker::HalfOpen(why) => {
                why != Why::Transport && (m.in_flight == 0 || (why == Why::Lag && !fresh))
            }
        }
    }

    /// The member for the next attempt, if one may take it now.
    fn choose(&mut self, job: &Job) -> Option<MemberId> {
        let needs = self.set.classes[job.c].consistency;
        let primary = self.primary(job.req.group);
        if matches!(needs, Consistency::Write | Consistency::Strong) {
            return primary.filter(|id| self.primary_takes(job, *id));
        }
        let estimated = self.set.when_behind != WhenBehind::ServeStale;
        // Long any-reads stop the log where they run: all go to the one furthest behind, or of the lowest id.
        let own = self.base[job.c];
        let long = needs == Consistency::Eventual
            && own > LONG_TIMES * self.base.iter().copied().fold(f64::MAX, f64::min);
        let again = |s| matches!(s, Some(Status::Overloaded | Status::ConnectFailed));
        let (mut some, mut soon, mut best): (bool, bool, Option<(f64, MemberId)>) = (false, false, None);
        for id in self.groups.get(&job.req.group).into_iter().flatten() {
            let Some(m) = self.members.get(id) else { continue };
            let tried = job.tries.iter().any(|t| t.member == *id && !again(t.status));
            // Reads take CPU from the apply thread: the further behind, the fewer at a time.
            let lag = self.estimate(m).map_or(0.0, |p| self.now.since(p).secs());
            let near =
                if needs == Consistency::Eventual { 1.0 } else { 1.0 - (lag / self.margin.secs()).powi(2) };
            let room = self.room(m, self.warmth(m) * near) && !tried && m.draining.is_none();
            let passes = Some(*id) != primary && self.admits(job, m) && self.passes(job, *id, m, estimated);
            some |= passes;
            let ahead = job.floor.since(self.estimate(m).unwrap_or(job.floor));
            let follows = Some(*id) != primary && m.draining.is_none() && self.admits(job, m);
            soon |= follows && ahead > Time(0) && ahead <= job.req.lead;
            if !(room && passes) || self.crowded(job, m) || !self.legal(job, *id) {
                continue;
            }
            let noise = dice(&mut self.random);
            // One that fails fast looks least loaded: its share of failures weighs against it.
            let sound = (1.0 - self.faded(m.errors, ERROR_FADE_S)).max(0.1);
            let slow = (1.0 + self.wait(m) / own).max(0.5) / (sound * sound);
            let connection = self.connection_cost(m);
            let mut cost =
                (f64::from(m.in_flight) + 0.5 + noise + connection) * slow / (m.weight * self.warmth(m));
            cost *= if m.zone == self.set.zone { 1.0 } else { 1.0 + ZONE_TIMES * self.set.price_cross_zone };
            cost *= if m.breaker == Breaker::Closed { 1.0 } else { 0.5 }; // what is behind serves any-reads
            let far = if lag > MARGIN.secs() { lag } else { 0.0 };
            cost = if long { f64::from(id.0) / 1e10 - far } else { cost };
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, *id));
            }
        }
        // A replica that passes in a moment is waited for, where the request says so: no last resort yet.
        if soon && !some {
            return None;
        }
        let best = best.map(|b| b.1).or_else(|| self.trial(job, primary).filter(|_| !some));
        best.or_else(|| primary.filter(|id| self.spills(job, *id)))
    }

    /// An aged replica that turns away what it is too far behind for: one read at a time, the furthest on.
    fn trial(&self, job: &Job, primary: Option<MemberId>) -> Option<MemberId> {
        let refuses = self.set.when_behind == WhenBehind::Reject;
        let fits = self.in_group(job.req.group).filter(|(id, m)| {
            let aged = m.position.is_none_or(|(_, at)| self.now.since(at).times(self.few()) > KNOWN_FRESH);
            let well = !m.suspect && matches!(m.breaker, Breaker::Closed | Breaker::HalfOpen(Why::Lag));
            let idle = m.in_flight == 0 && m.draining.is_none() && m.backoff_until <= self.now;
            refuses && Some(*id) != primary && aged && well && idle && self.legal(job, *id)
        });
        fits.max_by_key(|(_, m)| self.estimate(m)).map(|f| f.0)
    }

    /// Whether the primary can take a write or a fresh read now.
    fn primary_takes(&self, job: &Job, id: MemberId) -> bool {
        let Some(m) = self.members.get(&id) else { return false };
        let closed = match m.breaker {
            Breaker::Closed => !m.suspect,
            Breaker::Open(why, _) => why == Why::Lag,
            Breaker::HalfOpen(why) => why == Why::Lag || (why == Why::Silent && m.in_flight == 0),
        };
        closed && self.room(m, 1.0) && self.legal(job, id)
    }

    /// The primary as last resort, while writes there are well within their aim: longer for more worth.
    fn spills(&self, job: &Job, id: MemberId) -> bool {
        let Some(m) = self.members.get(&id) else { return false };
        let (wait, classes) = (self.wait(m), self.set.classes.iter().zip(&self.base));
        let writes = classes.filter(|(c, _)| c.consistency == Consistency::Write);
        let crowding = writes.map(|(c, base)| (base + wait) / c.latency_objective.secs()).fold(0.0, f64::max);
        let limit = (SPILL_LEAST + self.value(job.c, SPILL_SPAN)) * job.worth
            / self.set.classes[job.c].priority_weight;
        crowding <= limit && !self.crowded(job, m) && self.primary_takes(job, id)
    }

    /// A class's worth for its work, times a figure, as a share of the best class's.
    fn value(&self, c: usize, times: f64) -> f64 {
        let classes = self.set.classes.iter().zip(&self.base);
        let best = classes.map(|(c, base)| c.priority_weight / base).fold(1e-9, f64::max);
        times * self.set.classes[c].priority_weight / self.base[c] / best
    }

    /// Of what is open under limits over all routers, the last part is for what is worth most for its work.
    fn scarce(&mut self, req: Request, open: f64, back: Time, out: &mut Vec<Action>) {
        if open > 0.0 && open >= LAST_PART - self.value(usize::from(req.class.0), LAST_PART) {
            return self.request(req, out);
        }
        let after = back.min(self.set.max_retry_after);
        out.push(Action::Reject(req.id, self.set.retry_after.then_some(after)));
    }

    fn request(&mut self, req: Request, out: &mut Vec<Action>) {
        let c = usize::from(req.class.0);
        let Some(class) = self.set.classes.get(c) else { return out.push(Action::Fail(req.id)) };
        let floor = match class.consistency {
            Consistency::Strong => self.now,
            Consistency::Session => req.floor,
            _ => Time(0),
        };
        let (id, left) = (req.id, req.deadline.since(self.now));
        let worth =
            class.priority_weight * if req.client_retry { class.late_weight.max(REPEAT_WORTH) } else { 1.0 };
        let needs = needs(class);
        let (arrived, untried) = (self.now.minus(self.age(c, left)), self.now.plus(left.times(HOLD_SHARE)));
        self.ask(req.group, needs, self.base[c]);
        self.earn(PROBE_SHARE);
        self.jobs.insert(id, Job { req, c, arrived, untried, floor, worth, tries: Vec::new() });
        self.place(id, out);
    }

    /// How long ago a request was asked first. Many clients of a class come with the same time left (by
    /// votes, a quarter of all); one with less waited for a router or through a try: its aim has begun.
    fn age(&mut self, c: usize, left: Time) -> Time {
        let (votes, near) = (&mut self.usual[c], self.set.tick.times(3.0));
        let same = |v: &(Time, u32)| v.1 > 0 && left.since(v.0).max(v.0.since(left)) < near;
        if let Some(v) = votes.iter_mut().find(|v| same(v)) {
            v.1 += 1;
            return Time(0);
        }
        match votes.iter_mut().find(|v| v.1 == 0) {
            Some(v) => *v = (left, 1),
            None => votes.iter_mut().for_each(|v| v.1 -= 1),
        }
        votes.iter().max_by_key(|v| v.1).map_or(Time(0), |v| v.0.since(left))
    }

    /// Sends a request on, holds it, or gives it up.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.remove(&id) else { return true };
        let late = self.now.plus(self.set.tick) >= self.useful_until(&job);
        let target = if late || self.starting(&job) { None } else { self.choose(&job) };
        let (group, worth_it) = (job.req.group, self.worth_holding(&job));
        self.jobs.insert(id, job);
        match target {
            Some(member) => self.send(id, member, out),
            None if worth_it => drop(self.held.insert((group, id))),
            None => self.give_up(id, out),
        }
        target.is_some() || !worth_it
    }

    /// A started router probes first and holds reads meanwhile.
    fn starting(&self, job: &Job) -> bool {
        let write = self.set.classes[job.c].consistency == Consistency::Write;
        self.early() && !write && self.in_group(job.req.group).any(|(_, m)| m.probe.is_some())
    }

    fn early(&self) -> bool {
        self.begun.is_some_and(|at| self.now.since(at) < START_HOLD)
    }

    /// The time until which an answer still earns something.
    fn useful_until(&self, job: &Job) -> Time {
        let class = &self.set.classes[job.c];
        let last = job.req.deadline.minus(self.set.tick.times(2.0));
        let aim = job.arrived.plus(class.latency_objective).minus(self.set.tick);
        last.min(if class.late_weight > 0.0 { last } else { aim })
    }

    /// Whether a request may have no further attempt.
    fn spent(&self, job: &Job) -> bool {
        let tries = job.tries.len();
        tries >= self.set.max_attempts as usize || (tries > 0 && self.left[0] == Some(0))
    }

    /// Held only while an attempt may still be made and can still be answered in time.
    fn worth_holding(&self, job: &Job) -> bool {
        let (class, spent) = (&self.set.classes[job.c], self.spent(job));
        let again =
            class.effect == Effect::Idempotent || job.may_have_run().is_none() || self.repeatable(job);
        // The first list is on its way to a router that has just started.
        let unlisted = self.members.is_empty() && self.early();
        let some = !spent && again && (unlisted || self.groups.contains_key(&job.req.group));
        let had = job.tries.iter().any(|t| t.status != Some(Status::ConnectFailed));
        let (soon, base) = (self.now.plus(SWEEP), Time((self.base[job.c] * HOLD_TIMES * 1e9) as u64));
        some && soon.plus(base) < self.useful_until(job) && (had || soon < job.untried)
    }

    fn send(&mut self, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (now, base, group) = (self.now, self.base[job.c], job.req.group);
        let credit = self.members.get(&member).map_or(0.0, |m| self.credit(m));
        let (Some(job), Some(m)) = (self.jobs.get_mut(&id), self.members.get_mut(&member)) else { return };
        self.held.remove(&(group, id));
        let limit = job.req.deadline.since(now.plus(self.set.tick)).max(self.set.tick);
        // A repeat that its member takes up past the window would be a second effect: it is given up by then.
        let class = &self.set.classes[job.c];
        let keyed = class.effect == Effect::IdempotentByKey;
        let left = job.window_left(now.plus(self.set.tick), class.window);
        let limit = if keyed { limit.min(left) } else { limit };
        self.left[0] = self.left[0].map(|n| n - u32::from(!job.tries.is_empty() && n > 0));
        job.tries.push(Try { member, sent: now, status: None, lost: false });
        (m.in_flight, m.credit) = (m.in_flight + 1, (credit - base, now));
        m.most = m.most.map(|n| n.saturating_sub(1));
        out.push(Action::Send(id, member, Some(limit)));
    }

    fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let (now, sent) = (self.now, self.now.minus(o.took));
        if matches!(o.status, Status::Ok | Status::Misdirected | Status::Error | Status::Overloaded) {
            self.learn(o.member, o.replication, now);
        }
        let mut class = None;
        if let Some(job) = self.jobs.get_mut(&o.request) {
            if let Some(t) = job.tries.get_mut(usize::from(o.attempt.0)).filter(|t| t.status.is_none()) {
                t.status = Some(o.status);
                class = Some(job.c);
                if let Some(m) = self.members.get_mut(&o.member) {
                    m.in_flight = m.in_flight.saturating_sub(u32::from(!t.lost));
                }
            }
        }
        self.judge(&o, class, sent, out);
        if let Some(m) = self.members.get_mut(&o.member) {
            let refused = o.status == Status::ConnectFailed && o.took < FULL_BACKOFF;
            m.refused = if refused { now } else { m.refused };
            let idle = m.in_flight == 0 && self.short > Time(0) && now.since(self.short) < SHORT_FOR;
            out.extend(idle.then_some(Action::CloseIdle(o.member)));
            if matches!(o.status, Status::Ok | Status::Misdirected) {
                self.notice_connection_want(o.member, out);
            }
        }
        if o.ended {
            self.forget(o.request, out);
        } else if self.jobs.contains_key(&o.request) {
            self.place(o.request, out);
        }
        if let Some(group) = self.members.get(&o.member).map(|m| m.group) {
            self.pump(group, out);
        }
    }

    /// One that answers right after it refused a connect is full, not dead or cut off: idle ones close.
    fn notice_connection_want(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(&id) else { return };
        let refused = std::mem::take(&mut m.refused);
        if refused > Time(0) && self.now.since(refused) < WANT_WITHIN {
            self.short = self.now;
            let idle = self.members.iter().filter(|(_, m)| m.in_flight == 0);
            out.extend(idle.map(|(id, _)| Action::CloseIdle(*id)));
        }
    }

    /// What an attempt's end says of its member.
    fn judge(&mut self, o: &Outcome, class: Option<usize>, sent: Time, out: &mut Vec<Action>) {
        let now = self.now;
        let write = class.is_some_and(|c| self.set.classes[c].consistency == Consistency::Write);
        let Some(m) = self.members.get(&o.member) else { return };
        let (wait, errors) = (self.wait(m), self.faded(m.errors, ERROR_FADE_S));
        let served = self.faded(self.served, SERVED_OVER_S);
        let waits = self.waits.map(|w| self.faded(w, WAITS_FADE_S));
        let Some(m) = self.members.get_mut(&o.member) else { return };
        match o.status {
            Status::Ok | Status::Misdirected | Status::Overloaded => {
                m.heard(now, Why::Silent);
                m.answered = now;
            }
            Status::Reset if now.since(m.answered) < SILENT_LEAST => {} // it is there, but for one connection
            Status::ConnectFailed | Status::Reset => m.missed(now, true),
            Status::Timeout if m.answered < sent => m.missed(now, false),
            _ => {}
        }
        if matches!(o.status, Status::Ok | Status::Error | Status::ConnectFailed | Status::Reset) {
            let bad = f64::from(u8::from(o.status != Status::Ok));
            m.errors = (errors + ERROR_GAIN * (bad - errors), now);
        }
        match (o.status, class) {
            (Status::ConnectFailed, _) => m.backoff_until = now.plus(FULL_BACKOFF),
            (Status::Overloaded, _) => {
                (m.backoff_until, m.cap) =
                    (now.plus(FULL_BACKOFF), (f64::from(m.in_flight) * CAP_CUT).max(1.0));
            }
            (Status::Misdirected, _) if write && m.role.is_none_or(|(_, at)| at < now) => {
                m.role = Some((Role::Replica, now));
            }
            (Status::Timeout, _) if m.answered >= sent => {} // lost: it says nothing of the member's load
            (Status::Ok | Status::Timeout, Some(c)) if self.stood == Time(0) => {
                let (took, aim, leads) =
                    (o.took.secs(), self.set.classes[c].latency_objective.secs(), m.leads());
                let off = took - self.base[c];
                let shortest = self.base.iter().copied().fold(f64::MAX, f64::min);
                let gain = WAIT_GAIN * (2.0 * shortest / self.base[c]).clamp(0.4, 1.0);
                m.wait = (wait + gain * (off - wait), now);
                self.waits[leads] = (waits[leads] + gain * (off - waits[leads]), now);
                let late = took > CAP_LATE * aim;
                if late && sent > m.cut {
                    (m.cap, m.cut) = ((m.cap * CAP_CUT).max(1.0), now);
                } else if !late && f64::from(m.in_flight) + 1.0 >= m.cap * 0.5 {
                    m.cap += (1.0 / m.cap).min(0.3 * m.cap);
                }
                self.served = (served + if o.status == Status::Ok { self.base[c] } else { 0.0 }, now);
                self.base[c] += off * if off < 0.0 { BASE_DOWN } else { BASE_UP };
            }
            _ => {}
        }
        if m.suspect && !matches!(m.breaker, Breaker::Open(Why::Transport, _)) {
            self.probe(o.member, out);
        }
    }

    fn probed(&mut self, id: MemberId, status: Status, report: ReplicationState, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(&id) else { return };
        let (now, group) = (self.now, m.group);
        m.probe = None;
        if status == Status::Ok {
            m.heard(now, Why::Transport);
            let aged = |times| now.minus(REPORT_AGE.times(times));
            self.learn(id, ReplicationState { position: None, ..report }, aged(2.0));
            self.learn(id, ReplicationState { role: None, ..report }, aged(1.0));
            self.notice_connection_want(id, out);
        } else if !matches!(status, Status::Error | Status::NotSent) && now.since(m.answered) >= SILENT_LEAST
        {
            m.lost = now;
            m.missed(now, true);
        }
        self.pump(group, out);
    }

    /// Tries what is held for a group: the most worth for its work first, then the newest (still in time).
    fn pump(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let span = (group, RequestId(0))..=(group, RequestId(u64::MAX));
        let jobs = self.held.range(span).filter_map(|(_, id)| self.jobs.get(id).map(|j| (*id, j)));
        let value = |j: &Job| (j.worth / self.base[j.c] * 1e6) as u64;
        let mut waiting: Vec<_> =
            jobs.map(|(id, j)| (u64::MAX - value(j), u64::MAX - j.arrived.0, id, j.c)).collect();
        waiting.sort();
        let mut stuck = vec![0u32; self.set.classes.len()];
        for (_, _, id, c) in waiting {
            if stuck[c] < 4 && !self.place(id, out) {
                stuck[c] += 1;
            }
        }
    }

    fn sweep(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.next = Time(u64::MAX);
        if self.set.poll_endpoint_list && now.since(self.asked).0 > self.set.poll_interval.0 / 2 {
            self.asked = now;
            out.push(Action::PollEndpoints);
        }
        let ids = self.held.iter().map(|h| h.1);
        let expired: Vec<_> = ids.filter(|id| !self.worth_holding(&self.jobs[id])).collect();
        expired.into_iter().for_each(|id| self.give_up(id, out));
        if self.stood == Time(0) {
            self.overdue(); // after a standstill, answers may still lie in the same round
        }
        // Those in doubt come first, then the one that has gone unheard for longest.
        let decides = |why| why == Why::Transport || (why == Why::Lag && self.set.probe_positions);
        // Many leave one that lags to what it answers: a probe of each would find it behind again and again.
        let lag = PROBE_SUSPECT.times(1.0 / self.few());
        let pace = |why| if why == Why::Lag { lag } else { PROBE_SUSPECT };
        let (mut ask, mut oldest) = (Vec::new(), None);
        for (id, m) in &mut self.members {
            let unheard = now.since(m.refreshed.max(m.asked));
            match m.breaker {
                Breaker::Open(why, until) if now >= until => m.breaker = Breaker::HalfOpen(why),
                Breaker::HalfOpen(why) if unheard >= pace(why) && decides(why) => ask.push(*id),
                Breaker::Closed if m.suspect && unheard >= PROBE_SUSPECT => ask.push(*id),
                Breaker::Closed if m.draining.is_none() => oldest = oldest.max(Some((unheard, *id))),
                _ => {}
            }
        }
        let every = PROBE_EVERY.times(1.0 / self.few());
        ask.extend(oldest.filter(|o| o.0 >= every).map(|o| o.1));
        ask.into_iter().for_each(|id| self.probe(id, out));
        let groups: BTreeSet<GroupId> = self.held.iter().map(|h| h.0).collect();
        for group in groups {
            self.seek_primary(group, out);
            self.pump(group, out);
        }
    }

    /// With no primary known, one held write at a time tries the members in turn: a miss is proved unrun.
    fn seek_primary(&mut self, group: GroupId, out: &mut Vec<Action>) {
        if self.leader(group).is_some()
            || self.in_group(group).any(|(_, m)| self.now.since(m.sought) < SEEK_EVERY)
        {
            return;
        }
        let span = (group, RequestId(0))..=(group, RequestId(u64::MAX));
        let jobs = self.held.range(span).filter_map(|h| self.jobs.get(&h.1).map(|j| (h.1, j)));
        let writes = jobs.filter(|(_, j)| self.set.classes[j.c].consistency == Consistency::Write);
        let Some((id, job)) = writes.min_by_key(|(_, j)| j.tries.len()) else { return };
        let fit = self.in_group(group).filter(|(id, m)| usable(m) && self.legal(job, *id));
        let tried = |id| job.tries.iter().any(|t| t.member == id);
        let turn = fit.min_by_key(|(id, m)| (tried(*id), m.sought, m.position.map(|p| u64::MAX - p.0 .0)));
        let Some(member) = turn.map(|t| t.0) else { return };
        self.members.entry(member).and_modify(|m| m.sought = self.now);
        self.send(id, member, out);
    }

    /// Out for too long: a member that answered nothing since is rested; one that goes on has lost it.
    fn overdue(&mut self) {
        let now = self.now;
        for job in self.jobs.values_mut() {
            let Some(t) = job.tries.iter_mut().rev().find(|t| t.status.is_none()) else { continue };
            let (age, Some(m)) = (now.since(t.sent), self.members.get_mut(&t.member)) else { continue };
            let long = age > SILENT_LEAST && age.secs() > SILENT_TIMES * self.base[job.c];
            if long && m.answered >= t.sent {
                (t.lost, m.in_flight) = (true, m.in_flight.saturating_sub(u32::from(!t.lost)));
            } else if long && !matches!(m.breaker, Breaker::Open(..)) {
                m.breaker = Breaker::Open(Why::Silent, now.plus(COOLDOWN));
            }
        }
    }
}
