//! The router without its sockets: translates messages into the policy's events, and the policy's actions
//! into messages. It is sans-I/O: the caller passes in an [`Input`] and the time, and gets a list of
//! [`Effect`]s back. All routing decisions are made by the policy.
//!
//! [`Router`] owns all state. Each submodule implements one part of the router and defines the state of that
//! part:
//!
//! | module | state |
//! | --- | --- |
//! | `input`, `effect` | none: the types of the interface to transport |
//! | `requests`, `request_table` | open requests of clients |
//! | `exchanges`, `attempts`, `probes` | exchanges with hosts in flight |
//! | `sessions` | read floors and session tokens |
//! | `proxy_leases` | leases of other proxies |
//! | `fleet`, `fleet_limits` | limits that all routers of the fleet share |
//! | `endpoints` | the list of members |
//! | `timers` | timers |
//! | `clock`, `system_clock` | the router's clock and the system clock's offset from it |
//! | `counters` | counters for the periodic log line |
//! | `outcomes` | none: translates hosts' responses into the policy's types |

mod attempts;
mod clock;
mod counters;
mod effect;
mod endpoints;
mod exchanges;
mod fleet;
mod fleet_limits;
mod input;
mod outcomes;
mod probes;
mod proxy_leases;
mod request_table;
mod requests;
mod sessions;
mod system_clock;
mod timers;

pub use clock::Clock;
pub use counters::RequestCounters;
pub use effect::{Effect, ExchangeStart, Query, Reply, Requester};
pub use input::{
    ClientId, ClientRequest, CommandId, ExchangeId, ExchangeResult, FleetInput, Input, ProxyMessage,
};

use crate::protocol::discovery::HostList;
use basalthill_config::settings::Deployment;
use basalthill_extproc::LeaseCoordinator;
use basalthill_policy::api::{Action, EndpointUpdate, Event, Status, Time};
use basalthill_policy::Policy;
use basalthill_session::{SessionCounts, Sessions};
use endpoints::EndpointTable;
use fleet_limits::FleetLimits;
use probes::ProbeTable;
use request_table::RequestTable;
use std::collections::{BTreeMap, VecDeque};
use system_clock::SystemClockOffset;
use timers::{Timer, Timers};

/// The router without its sockets. Transport owns it, passes it each input, and carries out the effects.
pub struct Router {
    policy: Policy,
    deployment: Deployment,
    sessions: Sessions,
    /// The leases of other proxies; `None` unless [`Router::serve_proxies`] has been called.
    coordinator: Option<LeaseCoordinator>,
    /// The limits shared by all routers; `None` unless the router has joined a fleet.
    fleet_limits: Option<FleetLimits>,
    endpoints: EndpointTable,
    system_clock: SystemClockOffset,
    /// When each client's connection was accepted.
    accepted_at: BTreeMap<ClientId, Time>,
    requests: RequestTable,
    probes: ProbeTable,
    timers: Timers,
    counters: RequestCounters,
    /// Whether the process is about to exit: new requests are rejected.
    shutting_down: bool,
    /// Events that the policy has not processed yet.
    events: VecDeque<Event>,
    /// A buffer for the policy's actions, empty between two events and reused.
    actions: Vec<Action>,
}

/// The number of entries in the router's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outstanding {
    /// Requests that await a reply or have attempts in flight.
    pub requests: usize,
    /// Health checks in flight.
    pub probes: usize,
    /// Timers that are set, including the policy's own.
    pub timers: usize,
}

impl Router {
    /// Creates a router that starts with `known_endpoints`, the endpoint list in the configuration, if there
    /// is one. The effects of the start are appended to `out`.
    pub fn new(
        now: Time,
        deployment: Deployment,
        sessions: Sessions,
        seed: u64,
        known_endpoints: Option<HostList>,
        out: &mut Vec<Effect>,
    ) -> Router {
        let policy = Policy::new(deployment.settings.clone(), seed);
        let system_clock = SystemClockOffset::default();
        let mut endpoints = EndpointTable::new(&deployment.zones, deployment.settings.ignore_removal);
        let entries = known_endpoints.map(|list| endpoints.apply(list, now, system_clock).entries);
        let cached = Event::Endpoints(EndpointUpdate::Cached, entries.unwrap_or_default());
        let mut router = Router {
            policy,
            deployment,
            sessions,
            coordinator: None,
            fleet_limits: None,
            endpoints,
            system_clock,
            accepted_at: BTreeMap::new(),
            requests: RequestTable::default(),
            probes: ProbeTable::default(),
            timers: Timers::default(),
            counters: RequestCounters::default(),
            shutting_down: false,
            events: VecDeque::from([cached]),
            actions: Vec::new(),
        };
        router.run_policy(now, out);
        router
    }

    /// Records how far the system clock is ahead of the router's clock, in nanoseconds. If the system clock
    /// has been stepped, log positions reported before the step can't be compared with later ones, and the
    /// start time of each member is computed with the old or the new offset, whichever gives the later time.
    pub fn observe_system_clock(&mut self, now: Time, offset_ns: i64, out: &mut Vec<Effect>) {
        if !self.system_clock.update(offset_ns) {
            return;
        }
        tracing::warn!(
            offset_ms = self.system_clock.offset_ms(),
            "the system clock has been stepped; log positions reported so far are discarded"
        );
        let restarted = self.endpoints.move_starts_later(self.system_clock);
        self.events.push_back(Event::ClockSet);
        self.events.push_back(Event::Endpoints(EndpointUpdate::Delta, restarted));
        self.run_policy(now, out);
    }

    /// Converts a time of the router's clock to a Unix time.
    pub fn unix_time(&self, now: Time) -> Time {
        self.system_clock.to_unix_time(now)
    }

    /// Handles an input and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ClientConnected(client) => {
                self.accepted_at.insert(client, now);
            }
            Input::Request(request) => self.handle_request(now, request, out),
            Input::ClientDisconnected(client) => self.client_disconnected(now, client),
            Input::CancelRequested(client) => self.cancel_first_request(now, client, out),
            Input::ExchangeFinished(exchange, result) => self.exchange_finished(now, exchange, result, out),
            Input::EndpointList { list, valid_since } => {
                self.apply_endpoint_list(now, list, valid_since, out)
            }
            Input::Fleet(input) => self.handle_fleet_input(now, input, out),
            Input::Proxy(stream, message) => self.handle_proxy_message(now, stream, message, out),
            Input::Tick => self.fire_due_timers(now, out),
            Input::Shutdown => self.shut_down(now, out),
        }
        self.run_policy(now, out);
    }

    /// Returns when the next timer, lease or fleet timer is due.
    pub fn next_due(&self) -> Option<Time> {
        let timer = self.timers.next_due();
        let lease = self.coordinator.as_ref().and_then(LeaseCoordinator::next_due);
        let fleet = self.fleet_limits.as_ref().map(|limits| limits.fleet.next_due());
        [timer, lease, fleet].into_iter().flatten().min()
    }

    /// Returns the number of requests whose clients await a reply.
    pub fn unanswered(&self) -> usize {
        self.requests.unanswered()
    }

    /// Returns the number of bytes that requests hold in memory whose clients have their reply or have
    /// disconnected, while an attempt is in flight.
    pub fn completed_request_memory(&self) -> usize {
        self.requests.completed_memory()
    }

    /// Returns the request counters and resets them.
    pub fn take_request_counters(&mut self) -> RequestCounters {
        std::mem::take(&mut self.counters)
    }

    /// Returns the state of the sessions, in which all times are Unix times.
    pub fn sessions(&mut self) -> &mut Sessions {
        &mut self.sessions
    }

    /// Returns the session counters and resets them.
    pub fn take_session_counts(&mut self) -> SessionCounts {
        self.sessions.take_counts()
    }

    /// Returns the number of entries in the router's tables.
    pub fn outstanding(&self) -> Outstanding {
        Outstanding { requests: self.requests.len(), probes: self.probes.len(), timers: self.timers.len() }
    }

    /// Passes queued events to the policy until none is left, and carries out the resulting actions.
    fn run_policy(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let event = self.with_current_capacity(now, event);
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, out);
            }
            self.actions = actions;
        }
    }

    /// Carries out one action of the policy.
    fn apply_action(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        if proxy_leases::is_proxy_action(&action) {
            return self.apply_proxy_action(now, &action, out);
        }
        match action {
            Action::Send(id, member, timeout) => self.start_attempt(now, id, member, timeout, out),
            Action::Reject(id, retry_after) => self.reject_request(now, id, retry_after, out),
            Action::Fail(id) => self.fail_request(now, id, out),
            Action::Cancel(id, attempt) => self.abort_attempt(now, id, attempt, Status::Cancelled, out),
            Action::Timer(after, token) => {
                self.timers.add(now.plus(after), Timer::Policy(token));
            }
            Action::Probe(member) => self.start_probe(now, member, out),
            Action::CloseIdle(member) => {
                out.extend(self.endpoints.addr(member).map(Effect::CloseIdleConnections));
            }
            // Transport always keeps a watch open, which delivers every change. Polling the complete list as
            // well would only delay the other routers that use the same discovery service.
            Action::WatchEndpoints | Action::PollEndpoints => {}
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Fires the timers that are due now. A timer that is set while these fire waits for the next call, even
    /// if it is already due.
    fn fire_due_timers(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.expire_leases(now, out);
        self.run_policy(now, out);
        self.fire_fleet_timer(now, out);
        self.run_policy(now, out);
        for (key, timer) in self.timers.due(now) {
            match timer {
                Timer::Policy(token) => {
                    self.timers.cancel(key);
                    self.events.push_back(Event::Timer(token));
                }
                Timer::Attempt(id, attempt) => self.abort_attempt(now, id, attempt, Status::Timeout, out),
                Timer::Probe(number) => self.probe_timed_out(now, number, out),
            }
            self.run_policy(now, out);
        }
    }
}
