//! The decisions of one router: [`Policy`] handles events and appends actions.
//!
//! This module owns the router's state, its clock and its sweep timer, and dispatches each event to the
//! module responsible for it. `docs/design.md` says which rules come from the design and which depart from
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
mod rejection;
mod replication;
mod selection;
mod slow_start;

use crate::api::*;
use client_timeouts::FrequentTimeouts;
use decaying::DecayingValue;
use fastrand::Rng;
use health_checks::PROBE_INTERVAL;
use load::ServiceTimes;
use members::Members;
use pending_request::PendingRequest;
use queue::RequestQueue;
use replication::DEFAULT_LAG_MARGIN;
use slow_start::Demand;
use std::collections::BTreeMap;

/// The interval of the periodic sweep while requests are queued.
const BUSY_SWEEP_INTERVAL: Time = Time::ms(10);

/// The interval of the periodic sweep while no request is queued.
const IDLE_SWEEP_INTERVAL: Time = Time::ms(100);

/// How long after its start a router queues requests that wait for the first endpoint list and the first
/// health checks.
const STARTUP_WINDOW: Time = Time::ms(250);

/// In a fleet of at most this many routers, each router performs all of the work that a larger fleet divides
/// among its routers: health checks, reads that test whether a replica has caught up, and attempts at
/// overloaded members.
const SMALL_FLEET_ROUTERS: f64 = 4.0;

/// The token of the sweep timer, the only timer that the policy sets.
const SWEEP_TIMER: u64 = 0;

/// What is left of the fleet-wide budgets that this router may use, counted down with each use; `None`
/// without a budget.
#[derive(Clone, Copy, Debug, Default)]
struct RemainingBudgets {
    /// Attempts after the first of a request.
    retries: Option<u32>,
    /// Health checks.
    probes: Option<u32>,
}

/// The decision state of one router. It reads no clock and does no I/O: the same settings, seed and events
/// always produce the same actions.
pub struct Policy {
    settings: Settings,
    /// The time of the current event.
    now: Time,
    rng: Rng,
    /// The time of the first event; `None` before it.
    started_at: Option<Time>,
    members: Members,
    /// Requests that have not completed.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The pending requests that wait for a member with capacity.
    queue: RequestQueue,
    service_times: ServiceTimes,
    /// The most frequent client timeouts of each class.
    client_timeouts: Vec<FrequentTimeouts>,
    /// A replica that lags behind the most advanced member by more than this is ejected for reads that need
    /// freshness.
    lag_margin: Time,
    /// The token bucket for health checks: the number that this router may send now.
    probe_tokens: f64,
    budgets: RemainingBudgets,
    /// When the next sweep is due; a sweep timer that fires earlier is ignored as outdated.
    next_sweep: Time,
    last_list_poll: Time,
    /// When a connection shortage at a member that is up was last detected; zero if never.
    connection_shortage_at: Time,
    /// The work that members served for this router, in seconds of service time.
    work_served: DecayingValue,
    /// The work that clients requested from this router.
    demand: Demand,
    /// The mean excess latency of replicas and of primaries in seconds, indexed by
    /// [`member::Member::role_index`].
    excess_latency_by_role: [DecayingValue; 2],
    /// How long this router's process was stalled before this round of events: the time since the previous
    /// event beyond the idle sweep interval and one tick.
    stalled_for: Time,
}

impl Policy {
    /// Creates the state of a router that has just started and has no endpoint list yet. `seed` determines
    /// all random choices.
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
            work_served: DecayingValue::default(),
            demand: Demand::default(),
            excess_latency_by_role: [DecayingValue::default(); 2],
            stalled_for: Time(0),
        }
    }

    /// Handles one event at time `now`, which must not be before the previous event, and appends the
    /// resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.advance_clock(now);
        if self.started_at.is_none() {
            self.start(out);
        }
        self.dispatch(event, out);
        self.schedule_sweep(out);
    }

    /// Advances the clock, records a stall of the router's own process, and adds tokens for health checks in
    /// proportion to the time passed.
    fn advance_clock(&mut self, now: Time) {
        if now > self.now {
            let previous = self.now.max(self.started_at.unwrap_or(now));
            let gap = now.since(previous);
            // Timers fire up to one tick late, so a gap of one tick beyond the sweep interval is not a stall.
            self.stalled_for = gap.since(IDLE_SWEEP_INTERVAL.plus(self.settings.tick));
            let intervals = gap.secs() / PROBE_INTERVAL.secs();
            self.add_probe_tokens(intervals * self.shared_work_fraction() * self.members.len() as f64);
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
            Event::LimitedRequest { request, available_fraction, retry_after } => {
                self.admit_limited(request, available_fraction, retry_after, out);
            }
            Event::Budgets { retries, probes } => self.budgets = RemainingBudgets { retries, probes },
            Event::MemberCapacity { member, attempts } => {
                if let Some(member) = self.members.get_mut(member) {
                    member.attempts_allowed = Some(attempts);
                }
            }
            Event::Outcome(outcome) => self.finish_attempt(outcome, out),
            Event::ClientGone(id) => self.remove_request(id, out),
            Event::ClockSet => self.discard_positions(),
            Event::ProbeFinished { member, status, report, .. } => {
                self.finish_probe(member, status, report, out);
            }
            Event::ResponseStarted(..) | Event::Message(..) => {}
        }
    }

    /// Sets the sweep timer, unless it is already set for the same or an earlier time.
    fn schedule_sweep(&mut self, out: &mut Vec<Action>) {
        let interval = if self.queue.is_empty() { IDLE_SWEEP_INTERVAL } else { BUSY_SWEEP_INTERVAL };
        let due = self.now.plus(interval);
        if due < self.next_sweep {
            self.next_sweep = due;
            out.push(Action::Timer(due.since(self.now), SWEEP_TIMER));
        }
    }

    /// Performs the periodic work: polls the endpoint list, rejects queued requests that can't be served in
    /// time, detects unresponsive members, sends health checks and places queued requests.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        self.next_sweep = Time(u64::MAX);
        self.poll_endpoints(out);
        self.reject_expired(out);
        if self.stalled_for == Time(0) {
            // After a stall, responses that have already arrived may follow later in the same round of
            // events, so a missing response does not show that its member is unresponsive.
            self.detect_unresponsive_members();
        }
        self.send_due_probes(out);
        for group in self.queue.groups() {
            self.search_primary(group, out);
            self.place_queued(group, out);
        }
    }

    /// Returns whether the router started so recently that it may not have received its first endpoint list
    /// or the results of its first health checks.
    fn is_starting_up(&self) -> bool {
        self.started_at.is_some_and(|at| self.now.since(at) < STARTUP_WINDOW)
    }

    /// Returns the fraction of shared work (such as health checks) that this router performs: 1 for up to
    /// [`SMALL_FLEET_ROUTERS`] routers, and less in a larger fleet, so that the total of all routers does not
    /// grow with the fleet.
    fn shared_work_fraction(&self) -> f64 {
        (SMALL_FLEET_ROUTERS / f64::from(self.settings.routers)).min(1.0)
    }
}

/// Returns a pseudorandom number in `0.0..1.0` that depends only on the request id, so that repeated checks
/// of the same request use the same number.
fn request_draw(id: RequestId) -> f64 {
    Rng::with_seed(id.0).f64()
}
