//! A fleet in simulated time. Each router is a core of the fleet protocol ([`Fleet`]) without sockets. Links
//! lose, duplicate and delay datagrams and can be cut, clocks run at different rates, and routers can be
//! killed, paused and restarted. The same seed gives the same run.
//!
//! Each router reads only its own clock. What routers admit is recorded by true time.

mod node;
mod observations;

pub use observations::{max_concurrent, rate_excess, Admission, LogLine, Observations, Permit};

use crate::link_faults::LinkFaults;
use crate::Rng;
use basalthill_fleet::{DatagramCodec, Effect, Fleet, FleetConfig, LimitKey, Peer, Roster};
use basalthill_policy::api::Time;
use basalthill_session::token::{Key as SigningKey, KeyId, KeyRing};
use node::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Delay of a datagram without faults, in microseconds.
const DELAY_US: std::ops::Range<u64> = 100..1000;
/// The maximum age of session tokens in the key ring. The datagram codec ignores it.
const MAX_SESSION_TOKEN_AGE: Time = Time::ms(1000);
/// The key with which all routers sign datagrams.
const KEY_BYTES: [u8; 16] = [7; 16];
/// An interval between requests is a random number of steps below this. A step is a millionth of the mean
/// interval, so intervals are below twice the mean.
const INTERVAL_STEPS: u64 = 2_000_000;
/// Length of a step in nanoseconds at a mean rate of one request per second.
const INTERVAL_STEP_NS: f64 = 1e3;
/// The shortest use of a permit is the longest use divided by this.
const SHORTEST_USE_DIVISOR: u64 = 20;

/// A scheduled event.
enum Event {
    /// A datagram is delivered to a router.
    Delivery { router: usize, datagram: Vec<u8> },
    /// The next tick of a router's core is due; ignored if the router has been restarted since.
    Tick { router: usize, incarnation: u64 },
    /// A request under the rate limit; ignored if the demand has been changed since.
    Request { router: usize, demand_version: u64 },
    /// A request under the concurrency limit; ignored if the demand has been changed since.
    PermitRequest { router: usize, demand_version: u64 },
    /// A request that holds a permit completes.
    PermitRelease { router: usize, permit: u64 },
}

/// A copy of a datagram that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedDatagram {
    /// Number of the router that it was sent to.
    pub to: usize,
    /// Contents of the datagram.
    pub bytes: Vec<u8>,
}

/// A simulated fleet. Routers are identified by their numbers, counted from 0.
pub struct SimulatedFleet {
    /// Current true time.
    pub now: Time,
    /// Faults of the links.
    pub links: LinkFaults,
    /// What an observer outside the routers has recorded.
    pub observations: Observations,
    /// Whether the units that all routers may use are summed after each tick. The cost of the sums grows with
    /// the square of the number of routers.
    pub tracks_allocated_units: bool,
    config: FleetConfig,
    codec: DatagramCodec,
    nodes: Vec<Node>,
    /// Scheduled events by true time; events at the same time are in the order in which they were scheduled.
    queue: BTreeMap<(Time, u64), Event>,
    /// The last number that was assigned to an event or a permit.
    last_number: u64,
    open_permits: BTreeSet<u64>,
    rng: Rng,
    rate_limit: Option<LimitKey>,
    concurrency_limit: Option<LimitKey>,
    /// The longest time for which a router holds a permit, by its own clock.
    longest_use: Time,
    /// Copies of the datagrams sent, while they are recorded.
    recorded: Option<Vec<RecordedDatagram>>,
}

/// Returns the datagram codec, which is the same for all routers.
fn datagram_codec() -> DatagramCodec {
    let Some(signing) = SigningKey::new(KeyId(1), KEY_BYTES.to_vec()) else {
        unreachable!("a key of 16 bytes is long enough")
    };
    DatagramCodec::new(KeyRing { signing, verifying: Vec::new(), max_age: MAX_SESSION_TOKEN_AGE })
}

/// Returns a roster of routers named `n0`, `n1` and so on. The port of each router is its number plus one.
pub fn numbered_roster(count: usize) -> Roster {
    let peer = |n: usize| Peer {
        name: format!("n{n}"),
        addr: SocketAddr::from(([127, 0, 0, 1], n as u16 + 1)),
        zone: None,
    };
    Roster::new((0..count).map(peer).collect()).unwrap_or_default()
}

impl SimulatedFleet {
    /// Creates a fleet of the routers in the roster of `config`, none of which is started. Requests without
    /// permits count under `rate_limit`, and requests with permits under `concurrency_limit`. `longest_use`
    /// is the longest time for which a router holds a permit, by its own clock.
    pub fn new(
        config: FleetConfig,
        rate_limit: Option<LimitKey>,
        concurrency_limit: Option<LimitKey>,
        longest_use: Time,
        seed: u64,
    ) -> SimulatedFleet {
        let mut rng = Rng::with_seed(seed);
        let nodes = (0..config.roster.len()).map(|_| Node::new(config.timing.drift, &mut rng)).collect();
        SimulatedFleet {
            now: Time(0),
            links: LinkFaults::none(DELAY_US),
            observations: Observations::default(),
            tracks_allocated_units: true,
            config,
            codec: datagram_codec(),
            nodes,
            queue: BTreeMap::new(),
            last_number: 0,
            open_permits: BTreeSet::new(),
            rng,
            rate_limit,
            concurrency_limit,
            longest_use,
            recorded: None,
        }
    }

    /// Starts or restarts a router.
    pub fn start(&mut self, router: usize) {
        let local_now = self.local_now(router);
        let seed = self.rng.u64(..);
        let incarnation = self.nodes[router].system_clock_ms(self.now);
        let name = format!("n{router}");
        let core = Fleet::new(local_now, &name, incarnation, self.config.clone(), self.codec.clone(), seed);
        self.nodes[router].start(core);
        self.schedule_tick(router);
    }

    /// Kills a router, which sends nothing more.
    pub fn kill(&mut self, router: usize) {
        self.nodes[router].core = None;
    }

    /// Stops a router gracefully: it announces to its peers that it leaves the fleet.
    pub fn stop(&mut self, router: usize) {
        let now = self.local_now(router);
        self.with_core(router, |core, effects| core.leave(now, effects));
        self.nodes[router].core = None;
    }

    /// Pauses a router, as SIGSTOP pauses a process.
    pub fn pause(&mut self, router: usize) {
        self.nodes[router].paused = true;
    }

    /// Resumes a paused router and delivers the datagrams that were received while it was paused.
    pub fn resume(&mut self, router: usize) {
        if !std::mem::take(&mut self.nodes[router].paused) {
            return;
        }
        for datagram in std::mem::take(&mut self.nodes[router].inbox) {
            self.inject(router, &datagram);
        }
        self.tick(router);
    }

    /// Sets how far a router's system clock is ahead of the clocks of routers without an offset, in
    /// milliseconds; negative if it is behind. The router reads its system clock only when it starts.
    pub fn set_system_clock_offset_ms(&mut self, router: usize, offset_ms: i64) {
        self.nodes[router].system_clock_offset_ms = offset_ms;
    }

    /// Returns whether a router is running; it may be paused.
    pub fn is_running(&self, router: usize) -> bool {
        self.nodes[router].core.is_some()
    }

    /// Sets the demand at a router: the rates of requests under the rate limit and of requests that need
    /// permits, both per second.
    pub fn set_demand(&mut self, router: usize, per_s: f64, permits_per_s: f64) {
        let node = &mut self.nodes[router];
        node.per_s = per_s;
        node.permits_per_s = permits_per_s;
        node.demand_version += 1;
        self.schedule_request(router);
        self.schedule_permit_request(router);
    }

    /// Returns the core of a router, if the router is running.
    pub fn core(&self, router: usize) -> Option<&Fleet> {
        self.nodes[router].core.as_ref()
    }

    /// Returns the status that a router reports; empty if the router is not running.
    pub fn status_lines(&self, router: usize) -> Vec<String> {
        let now = self.local_now(router);
        self.core(router).map(|core| core.status_lines(now)).unwrap_or_default()
    }

    /// Replaces the configuration of a running router.
    pub fn reload(&mut self, router: usize, config: FleetConfig) {
        let now = self.local_now(router);
        let codec = self.codec.clone();
        self.with_core(router, |core, effects| core.reload(now, config, codec, effects));
    }

    /// Sets the configuration of routers that are started later.
    pub fn set_config(&mut self, config: FleetConfig) {
        self.config = config;
    }

    /// Starts recording all datagrams sent, or stops recording and drops the recorded datagrams.
    pub fn record_datagrams(&mut self, on: bool) {
        self.recorded = on.then(Vec::new);
    }

    /// Stops recording and returns the recorded datagrams in the order in which they were sent.
    pub fn take_recorded_datagrams(&mut self) -> Vec<RecordedDatagram> {
        self.recorded.take().unwrap_or_default()
    }

    /// Delivers a datagram to a router. If the router is paused, it gets the datagram when it is resumed.
    pub fn inject(&mut self, router: usize, datagram: &[u8]) {
        let node = &mut self.nodes[router];
        if node.paused {
            node.inbox.push(datagram.to_vec());
            return;
        }
        let now = self.local_now(router);
        self.with_core(router, |core, effects| core.receive_datagram(now, datagram, effects));
    }

    /// Runs all events up to `until` and advances true time to it.
    pub fn run_until(&mut self, until: Time) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Delivery { router, datagram } => self.inject(router, &datagram),
            Event::Tick { router, incarnation } => {
                let node = &self.nodes[router];
                if node.incarnations == incarnation && node.core.is_some() && !node.paused {
                    self.tick(router);
                    self.track_allocated_units();
                }
            }
            Event::Request { router, demand_version } => {
                if self.nodes[router].demand_version == demand_version {
                    self.make_request(router);
                    self.schedule_request(router);
                }
            }
            Event::PermitRequest { router, demand_version } => {
                if self.nodes[router].demand_version == demand_version {
                    self.make_permit_request(router);
                    self.schedule_permit_request(router);
                }
            }
            Event::PermitRelease { router, permit } => self.release_permit(router, permit),
        }
    }

    /// Returns the current time by a router's own clock.
    fn local_now(&self, router: usize) -> Time {
        self.nodes[router].local_time(self.now)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.last_number += 1;
        self.queue.insert((at, self.last_number), event);
    }

    fn schedule_tick(&mut self, router: usize) {
        let node = &self.nodes[router];
        let Some(due) = node.core.as_ref().map(Fleet::next_due) else { return };
        let at = node.true_time(due).max(self.now);
        let incarnation = node.incarnations;
        self.schedule(at, Event::Tick { router, incarnation });
    }

    fn schedule_request(&mut self, router: usize) {
        let Node { per_s, demand_version, .. } = self.nodes[router];
        if let Some(at) = self.next_request(per_s) {
            self.schedule(at, Event::Request { router, demand_version });
        }
    }

    fn schedule_permit_request(&mut self, router: usize) {
        let Node { permits_per_s, demand_version, .. } = self.nodes[router];
        if let Some(at) = self.next_request(permits_per_s) {
            self.schedule(at, Event::PermitRequest { router, demand_version });
        }
    }

    /// Returns when the next request is due at this rate per second, or `None` if the rate is 0. The
    /// intervals are uniformly distributed between 0 and twice the mean.
    fn next_request(&mut self, per_s: f64) -> Option<Time> {
        if per_s <= 0.0 {
            return None;
        }
        let interval_ns = self.rng.u64(..INTERVAL_STEPS) as f64 / per_s * INTERVAL_STEP_NS;
        Some(self.now.plus(Time(interval_ns as u64)))
    }

    /// Calls the core of a router and executes the effects, unless the router is paused or not running.
    fn with_core(&mut self, router: usize, call: impl FnOnce(&mut Fleet, &mut Vec<Effect>)) {
        let node = &mut self.nodes[router];
        if node.paused {
            return;
        }
        let Some(core) = &mut node.core else { return };
        let mut effects = Vec::new();
        call(core, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, datagram } => self.send(router, usize::from(to.port()) - 1, datagram),
                Effect::Log(text) => {
                    self.observations.log_lines.push(LogLine { at: self.now, router, text });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        self.observations.datagrams += 1;
        self.observations.bytes += datagram.len() as u64;
        if let Some(recorded) = &mut self.recorded {
            recorded.push(RecordedDatagram { to, bytes: datagram.clone() });
        }
        let delays = self.links.deliveries(from, to, |bound| self.rng.u64(..bound));
        for delay in delays {
            let at = self.now.plus(Time(delay.as_nanos() as u64));
            self.schedule(at, Event::Delivery { router: to, datagram: datagram.clone() });
        }
    }

    fn tick(&mut self, router: usize) {
        let now = self.local_now(router);
        self.with_core(router, |core, effects| {
            if now >= core.next_due() {
                core.tick(now, effects);
            }
        });
        self.schedule_tick(router);
    }

    /// Makes a request at a router, which admits or rejects it under the rate limit.
    fn make_request(&mut self, router: usize) {
        let Some(key) = self.rate_limit else { return };
        let now = self.local_now(router);
        self.observations.requests += 1;
        let mut is_admitted = false;
        self.with_core(router, |core, _| {
            is_admitted = core.availability(now, &[key]).fraction > 0.0;
            match is_admitted {
                true => core.spend(&[key]),
                false => core.record_rejection(&[key]),
            }
        });
        if is_admitted {
            self.observations.admitted.push(Admission { at: self.now, router });
        }
    }

    /// Makes a request that needs a permit at a router, which grants one or rejects the request.
    fn make_permit_request(&mut self, router: usize) {
        let Some(key) = self.concurrency_limit else { return };
        let now = self.local_now(router);
        self.last_number += 1;
        let permit = self.last_number;
        let longest_use = self.longest_use;
        let mut is_granted = false;
        self.with_core(router, |core, _| {
            is_granted = core.free_slots(now, key, longest_use) > 0;
            match is_granted {
                true => core.occupy_slot(now, key, permit, now.plus(longest_use)),
                false => core.record_missing_slot(key),
            }
        });
        if !is_granted {
            return;
        }
        // The request completes within `longest_ns`, the true time after which a router with the fastest
        // allowed clock would reclaim the permit. Routers with slower clocks would reclaim it later.
        let longest_ns = (longest_use.0 as f64 / (1.0 + self.config.timing.drift)) as u64;
        let shortest_ns = longest_ns / SHORTEST_USE_DIVISOR;
        let until = self.now.plus(Time(shortest_ns + self.rng.u64(..longest_ns - shortest_ns)));
        self.open_permits.insert(permit);
        self.observations.permits.push(Permit { from: self.now, until, router });
        self.schedule(until, Event::PermitRelease { router, permit });
    }

    fn release_permit(&mut self, router: usize, permit: u64) {
        let now = self.local_now(router);
        if !self.open_permits.remove(&permit) {
            return;
        }
        if let Some(key) = self.concurrency_limit {
            self.with_core(router, |core, _| core.release_slot(now, key, permit));
        }
    }

    /// Adds up the units of a limit that all routers may use at this time, and records the largest sum.
    fn track_allocated_units(&mut self) {
        if !self.tracks_allocated_units {
            return;
        }
        let Some(key) = self.rate_limit.or(self.concurrency_limit) else { return };
        let usable_units = |node: &Node| {
            let stats = node.core.as_ref()?.account_stats(node.local_time(self.now), key)?;
            Some(stats.usable)
        };
        let sum: u64 = self.nodes.iter().filter_map(usable_units).sum();
        let peak = &mut self.observations.peak_allocated_units;
        *peak = sum.max(*peak);
    }
}
