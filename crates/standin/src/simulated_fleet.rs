//! A fleet of cores in simulated time: links that lose, delay, repeat and break, clocks of different rates,
//! routers that are killed, paused and started again. The same seed gives the same run. What routers admit is
//! observed by true time, which none of them knows.

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

/// How long a datagram is on its way without faults, in microseconds.
const DELAY_US: std::ops::Range<u64> = 100..1000;
/// How old a datagram may be.
const MAX_DATAGRAM_AGE: Time = Time::ms(1000);
/// The bytes of the key that all routers sign with.
const KEY_BYTES: [u8; 16] = [7; 16];
/// Gaps between requests are drawn in steps of a millionth of their mean, up to twice the mean.
const GAP_STEPS: u64 = 2_000_000;
/// Nanoseconds of a step for one request a second.
const STEP_NS: f64 = 1e3;
/// A permit is used for at least one part in so many of the longest time.
const SHORTEST_USE: u64 = 20;

/// Something that happens at a moment.
enum Event {
    /// A datagram arrives at a router.
    Arrival { router: usize, datagram: Vec<u8> },
    /// The core of a router's incarnation is due.
    Tick { router: usize, incarnation: u64 },
    /// A request that counts under the limit on the rate; void if the demand has changed since.
    Request { router: usize, demand_version: u64 },
    /// A request that needs a permit of the limit on concurrent requests; void if the demand has changed.
    PermitRequest { router: usize, demand_version: u64 },
    /// A request that has a permit ends.
    PermitEnd { router: usize, permit: u64 },
}

/// The copy of a datagram that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedDatagram {
    /// The router that it was sent to.
    pub to: usize,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A fleet of cores. Routers are named by their numbers from 0.
pub struct SimulatedFleet {
    /// True time.
    pub now: Time,
    /// What goes wrong on the links.
    pub links: LinkFaults,
    /// What was seen from outside.
    pub observations: Observations,
    /// Whether the units that all routers may use are summed after each tick: work that grows with the square
    /// of the fleet.
    pub tracks_allocated_units: bool,
    config: FleetConfig,
    codec: DatagramCodec,
    nodes: Vec<Node>,
    /// Events by their moments and, at the same moment, in the order in which they were scheduled.
    queue: BTreeMap<(Time, u64), Event>,
    /// The last number given to an event or a permit.
    last_number: u64,
    open_permits: BTreeSet<u64>,
    rng: Rng,
    rate_limit: Option<LimitKey>,
    concurrency_limit: Option<LimitKey>,
    /// The longest time for which a router uses a permit, by its own clock.
    longest_use: Time,
    recorded: Option<Vec<RecordedDatagram>>,
}

/// The codec of datagrams, the same for all simulated routers.
fn datagram_codec() -> DatagramCodec {
    let Some(signing) = SigningKey::new(KeyId(1), KEY_BYTES.to_vec()) else {
        unreachable!("a key of 16 bytes is long enough")
    };
    DatagramCodec::new(KeyRing { signing, verifying: Vec::new(), max_age: MAX_DATAGRAM_AGE })
}

/// A roster of routers `n0`, `n1` and so on, at ports that are their numbers plus one.
pub fn numbered_roster(count: usize) -> Roster {
    let peer = |n: usize| Peer {
        name: format!("n{n}"),
        addr: SocketAddr::from(([127, 0, 0, 1], n as u16 + 1)),
        zone: None,
    };
    Roster::new((0..count).map(peer).collect()).unwrap_or_default()
}

impl SimulatedFleet {
    /// The routers of a configuration, none of them started. Requests count under `rate_limit`, those that
    /// need permits under `concurrency_limit`.
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

    /// Starts a router, or starts it again.
    pub fn start(&mut self, router: usize) {
        let local_now = self.local_now(router);
        let seed = self.rng.u64(..);
        let incarnation = self.nodes[router].system_clock_ms(self.now);
        let name = format!("n{router}");
        let core = Fleet::new(local_now, &name, incarnation, self.config.clone(), self.codec.clone(), seed);
        self.nodes[router].start(core);
        self.schedule_tick(router);
    }

    /// Kills a router.
    pub fn kill(&mut self, router: usize) {
        self.nodes[router].core = None;
    }

    /// Stops a router gracefully.
    pub fn stop(&mut self, router: usize) {
        let now = self.local_now(router);
        self.with_core(router, |core, effects| core.leave(now, effects));
        self.nodes[router].core = None;
    }

    /// Pauses a router, as SIGSTOP does with a process.
    pub fn pause(&mut self, router: usize) {
        self.nodes[router].paused = true;
    }

    /// Lets a paused router go on, with all datagrams that have arrived meanwhile.
    pub fn resume(&mut self, router: usize) {
        if !std::mem::take(&mut self.nodes[router].paused) {
            return;
        }
        for datagram in std::mem::take(&mut self.nodes[router].inbox) {
            self.inject(router, &datagram);
        }
        self.tick(router);
    }

    /// Sets a router's system clock off by so many milliseconds; it shows when the router is next started.
    pub fn set_system_clock_offset_ms(&mut self, router: usize, offset_ms: i64) {
        self.nodes[router].system_clock_offset_ms = offset_ms;
    }

    /// Whether a router runs, be it paused.
    pub fn is_running(&self, router: usize) -> bool {
        self.nodes[router].core.is_some()
    }

    /// Sets the demand at a router: requests a second that count under the rate, and that need permits.
    pub fn set_demand(&mut self, router: usize, per_s: f64, permits_per_s: f64) {
        let node = &mut self.nodes[router];
        node.per_s = per_s;
        node.permits_per_s = permits_per_s;
        node.demand_version += 1;
        self.schedule_request(router);
        self.schedule_permit_request(router);
    }

    /// A router's core, if it runs.
    pub fn core(&self, router: usize) -> Option<&Fleet> {
        self.nodes[router].core.as_ref()
    }

    /// The status that a router reports; nothing if it does not run.
    pub fn status_lines(&self, router: usize) -> Vec<String> {
        let now = self.local_now(router);
        self.core(router).map(|core| core.status_lines(now)).unwrap_or_default()
    }

    /// Has a router take another configuration while it runs.
    pub fn reload(&mut self, router: usize, config: FleetConfig) {
        let now = self.local_now(router);
        let codec = self.codec.clone();
        self.with_core(router, |core, effects| core.reload(now, config, codec, effects));
    }

    /// Sets the configuration that routers are started with from now on.
    pub fn set_config(&mut self, config: FleetConfig) {
        self.config = config;
    }

    /// Begins to copy all datagrams sent, or ends it and drops the copies.
    pub fn record_datagrams(&mut self, on: bool) {
        self.recorded = on.then(Vec::new);
    }

    /// Ends the recording. The datagrams copied, in the order in which they were sent.
    pub fn take_recorded_datagrams(&mut self) -> Vec<RecordedDatagram> {
        self.recorded.take().unwrap_or_default()
    }

    /// Hands a datagram to a router, as if it had just arrived.
    pub fn inject(&mut self, router: usize, datagram: &[u8]) {
        let node = &mut self.nodes[router];
        if node.paused {
            node.inbox.push(datagram.to_vec());
            return;
        }
        let now = self.local_now(router);
        self.with_core(router, |core, effects| core.receive_datagram(now, datagram, effects));
    }

    /// Lets time go on to a moment.
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
            Event::Arrival { router, datagram } => self.inject(router, &datagram),
            Event::Tick { router, incarnation } => {
                let node = &self.nodes[router];
                if node.incarnations == incarnation && node.core.is_some() && !node.paused {
                    self.tick(router);
                    self.track_allocated_units();
                }
            }
            Event::Request { router, demand_version } => {
                if self.nodes[router].demand_version == demand_version {
                    self.request(router);
                    self.schedule_request(router);
                }
            }
            Event::PermitRequest { router, demand_version } => {
                if self.nodes[router].demand_version == demand_version {
                    self.request_permit(router);
                    self.schedule_permit_request(router);
                }
            }
            Event::PermitEnd { router, permit } => self.end_permit(router, permit),
        }
    }

    /// A router's own clock.
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

    /// When the next of so many requests a second is due. Gaps are evenly distributed up to twice the mean.
    fn next_request(&mut self, per_s: f64) -> Option<Time> {
        if per_s <= 0.0 {
            return None;
        }
        let gap_ns = self.rng.u64(..GAP_STEPS) as f64 / per_s * STEP_NS;
        Some(self.now.plus(Time(gap_ns as u64)))
    }

    /// Calls a router's core and carries out its effects, unless the router is paused or does not run.
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
            self.schedule(at, Event::Arrival { router: to, datagram: datagram.clone() });
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

    /// A request arrives at a router and is admitted or rejected under the rate.
    fn request(&mut self, router: usize) {
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

    /// A request that needs a permit arrives at a router, and gets one or is rejected.
    fn request_permit(&mut self, router: usize) {
        let Some(key) = self.concurrency_limit else { return };
        let now = self.local_now(router);
        self.last_number += 1;
        let permit = self.last_number;
        let longest_use = self.longest_use;
        let mut is_taken = false;
        self.with_core(router, |core, _| {
            is_taken = core.free_slots(now, key, longest_use) > 0;
            match is_taken {
                true => core.occupy_slot(now, key, permit, now.plus(longest_use)),
                false => core.record_missing_slot(key),
            }
        });
        if !is_taken {
            return;
        }
        // It ends by itself, or its router has given it up by then: by a slow clock, a little later.
        let longest = (longest_use.0 as f64 / (1.0 + self.config.timing.drift)) as u64;
        let shortest = longest / SHORTEST_USE;
        let until = self.now.plus(Time(shortest + self.rng.u64(..longest - shortest)));
        self.open_permits.insert(permit);
        self.observations.permits.push(Permit { from: self.now, until, router });
        self.schedule(until, Event::PermitEnd { router, permit });
    }

    fn end_permit(&mut self, router: usize, permit: u64) {
        let now = self.local_now(router);
        if !self.open_permits.remove(&permit) {
            return;
        }
        if let Some(key) = self.concurrency_limit {
            self.with_core(router, |core, _| core.release_slot(now, key, permit));
        }
    }

    /// Sums the units of a limit that all routers may use at this moment.
    fn track_allocated_units(&mut self) {
        if !self.tracks_allocated_units {
            return;
        }
        let Some(key) = self.rate_limit.or(self.concurrency_limit) else { return };
        let usable = |node: &Node| {
            let stats = node.core.as_ref()?.account_stats(node.local_time(self.now), key)?;
            Some(stats.usable)
        };
        let sum: u64 = self.nodes.iter().filter_map(usable).sum();
        let peak = &mut self.observations.peak_allocated_units;
        *peak = sum.max(*peak);
    }
}
