//! The decisions of one router: [`Policy`] takes events and appends actions.
//!
//! This module owns the router's state, its clock and its housekeeping timer, and hands each event to the
//! module that decides on it. `docs/design.md` says which rules come from the design and which depart from
//! it.

mod admission;
mod breaker;
mod client_timeouts;
mod connections;
mod decaying;
mod eligibility;
mod endpoints;
mod health_checks;
mod load;
mod member;
mod members;
mod outcomes;
mod pending_request;
mod primary_search;
mod queue;
mod replication;
mod selection;
mod slow_start;

use crate::api::*;
use client_timeouts::FrequentTimeouts;
use decaying::Decaying;
use fastrand::Rng;
use health_checks::PROBE_INTERVAL;
use load::ServiceTimes;
use members::Members;
use pending_request::PendingRequest;
use queue::RequestQueue;
use replication::DEFAULT_LAG_MARGIN;
use slow_start::Demand;
use std::collections::BTreeMap;

/// Interval of the housekeeping sweep while requests are queued.
const BUSY_SWEEP_INTERVAL: Time = Time::ms(10);

/// Interval of the housekeeping sweep while nothing is queued.
const IDLE_SWEEP_INTERVAL: Time = Time::ms(100);

/// For this long after its start a router queues requests for its first endpoint list and first health
/// checks.
const STARTUP_WINDOW: Time = Time::ms(250);

/// A fleet of more routers than this spreads work that each router of a small fleet does alone: searches,
/// health checks and attempts at crowded members.
const SMALL_FLEET: f64 = 4.0;

/// Token of the only timer that the policy sets.
const SWEEP_TIMER: u64 = 0;

/// What budgets over all routers leave to this one, counted down with each use; `None` without a budget.
#[derive(Clone, Copy, Debug, Default)]
struct RemainingBudgets {
    /// Attempts after a request's first.
    retries: Option<u32>,
    /// Health checks.
    probes: Option<u32>,
}

/// The decisions of one router. It has no clock and does no I/O: the same settings, seed and events always
/// give the same actions.
pub struct Policy {
    settings: Settings,
    /// The time of the event that is being handled.
    now: Time,
    rng: Rng,
    /// When the first event came; `None` before that.
    started_at: Option<Time>,
    members: Members,
    /// Requests without a final answer.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Those of them that wait for a member to accept them.
    queue: RequestQueue,
    service_times: ServiceTimes,
    /// The usual client timeouts of each class.
    client_timeouts: Vec<FrequentTimeouts>,
    /// A replica further behind the most advanced member than this is ejected from reads that need freshness.
    lag_margin: Time,
    /// Health checks that this router has earned and not yet sent.
    probe_tokens: f64,
    budgets: RemainingBudgets,
    /// When the next sweep is due; sweep timers that fire earlier are stale.
    next_sweep: Time,
    last_list_poll: Time,
    /// When a member that is up last turned out to lack connections; zero if never.
    connection_shortage_at: Time,
    /// Work that members served for this router, in seconds of service time.
    work_served: Decaying,
    /// Work that clients requested of this router.
    demand: Demand,
    /// Mean excess latency at replicas and at primaries, indexed by [`member::Member::role_index`], in
    /// seconds.
    excess_latency_by_role: [Decaying; 2],
    /// How long this router itself stood still before this round of events, beyond its sweep interval.
    stalled_for: Time,
}

impl Policy {
    /// A router that has just started and knows no members. `seed` determines all its random choices.
    pub fn new(settings: Settings, seed: u64) -> Policy {
        let staleness_bound = |class: &Class| match class.consistency {
            Consistency::BoundedStaleness(bound) => bound,
            _ => DEFAULT_LAG_MARGIN,
        };
        let widest_bound = settings.classes.iter().map(staleness_bound).max();
        let lag_margin = widest_bound.unwrap_or(DEFAULT_LAG_MARGIN).max(DEFAULT_LAG_MARGIN);
        let service_times = ServiceTimes::new(&settings.classes);
        let client_timeouts = vec![FrequentTimeouts::default(); settings.classes.len()];
        Policy {
            settings,
            now: Time(0),
            rng: Rng::with_seed(seed),
            started_at: None,
            members: Members::default(),
            requests: BTreeMap::new(),
            queue: RequestQueue::default(),
            service_times,
            client_timeouts,
            lag_margin,
            probe_tokens: 0.0,
            budgets: RemainingBudgets::default(),
            next_sweep: Time(u64::MAX),
            last_list_poll: Time(0),
            connection_shortage_at: Time(0),
            work_served: Decaying::default(),
            demand: Demand::default(),
            excess_latency_by_role: [Decaying::default(); 2],
            stalled_for: Time(0),
        }
    }

    /// Handles one event at time `now`, which never goes back; appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.advance_clock(now);
        if self.started_at.is_none() {
            self.start(out);
        }
        self.dispatch(event, out);
        self.schedule_sweep(out);
    }

    /// Moves the clock on, notes a standstill of the router itself and earns health checks for the time
    /// passed.
    fn advance_clock(&mut self, now: Time) {
        if now > self.now {
            let previous = self.now.max(self.started_at.unwrap_or(now));
            let gap = now.since(previous);
            // Timers fire a moment late, so that a gap of one tick beyond the sweep is no standstill.
            self.stalled_for = gap.since(IDLE_SWEEP_INTERVAL.plus(self.settings.tick));
            let intervals = gap.secs() / PROBE_INTERVAL.secs();
            self.earn_probes(intervals * self.small_fleet_fraction() * self.members.len() as f64);
        }
        self.now = now;
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        self.started_at = Some(self.now);
        self.last_list_poll = self.now;
        if self.settings.poll_endpoint_list {
            out.push(Action::WatchEndpoints);
        }
    }

    fn dispatch(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Timer(_) if self.now >= self.next_sweep => self.sweep(out),
            Event::Timer(_) => {}
            Event::Endpoints(EndpointUpdate::Failed, _) => {}
            Event::Endpoints(update, endpoints) => self.update_endpoints(update, endpoints, out),
            Event::Request(request) => self.admit(request, out),
            Event::LimitedRequest { request, open_fraction, retry_after } => {
                self.admit_limited(request, open_fraction, retry_after, out);
            }
            Event::Budgets { retries, probes } => self.budgets = RemainingBudgets { retries, probes },
            Event::MemberCapacity { member, attempts } => {
                if let Some(member) = self.members.get_mut(member) {
                    member.attempts_allowed = Some(attempts);
                }
            }
            Event::Outcome(outcome) => self.finish_attempt(outcome, out),
            Event::ClientGone(id) => self.forget(id, out),
            Event::ClockSet => self.distrust_positions(),
            Event::ProbeFinished { member, status, report, .. } => {
                self.finish_probe(member, status, report, out);
            }
            Event::ResponseStarted(..) | Event::Message(..) => {}
        }
    }

    /// Sets the sweep timer, unless it is set for that time or an earlier one.
    fn schedule_sweep(&mut self, out: &mut Vec<Action>) {
        let interval = if self.queue.is_empty() { IDLE_SWEEP_INTERVAL } else { BUSY_SWEEP_INTERVAL };
        let due = self.now.plus(interval);
        if due < self.next_sweep {
            self.next_sweep = due;
            out.push(Action::Timer(due.since(self.now), SWEEP_TIMER));
        }
    }

    /// Housekeeping: polls the endpoint list, rejects requests that wait in vain, looks for silent members,
    /// sends health checks and places queued requests.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        self.next_sweep = Time(u64::MAX);
        self.poll_endpoints(out);
        self.reject_expired(out);
        if self.stalled_for == Time(0) {
            // After a standstill, responses may still lie unread in the same round of events.
            self.detect_silence();
        }
        self.send_due_probes(out);
        for group in self.queue.groups() {
            self.search_primary(group, out);
            self.place_queued(group, out);
        }
    }

    /// Whether the router has started so lately that its first list or first health checks may be on their
    /// way.
    fn is_starting_up(&self) -> bool {
        self.started_at.is_some_and(|at| self.now.since(at) < STARTUP_WINDOW)
    }

    /// The fraction of what a router of a small fleet does alone that this router may do, so that a large
    /// fleet does no more altogether: 1 for up to [`SMALL_FLEET`] routers.
    fn small_fleet_fraction(&self) -> f64 {
        (SMALL_FLEET / f64::from(self.settings.routers)).min(1.0)
    }
}

/// A number from 0 up to 1 that depends on the request alone, so that each check of it draws the same one.
fn request_draw(id: RequestId) -> f64 {
    Rng::with_seed(id.0).f64()
}
