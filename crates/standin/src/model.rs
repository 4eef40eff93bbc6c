//! Fleets of cores in simulated time: links that lose, delay, repeat and break, clocks of other rates,
//! routers that die, freeze and come back. The same seed plays the same run. What is admitted is judged
//! by true time.

use crate::fleet::Dice;
use basalthill_fleet::{DatagramCodec, Effect, Fleet, FleetConfig, LimitKey, Peer, Roster};
use basalthill_policy::api::Time;
use basalthill_session::token::{Key as Secret, KeyId, KeyRing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How the links are.
#[derive(Clone, Debug)]
pub struct Links {
    /// Datagrams lost, in a thousand.
    pub loss_per_mille: u64,
    /// Datagrams that come twice, in a thousand.
    pub duplicates_per_mille: u64,
    /// Shortest and longest time on the way, in microseconds.
    pub delay_us: std::ops::Range<u64>,
    /// Pairs whose datagrams from the first to the second are lost.
    pub cut: BTreeSet<(usize, usize)>,
}

impl Default for Links {
    fn default() -> Links {
        Links { loss_per_mille: 0, duplicates_per_mille: 0, delay_us: 100..1000, cut: BTreeSet::new() }
    }
}

impl Links {
    /// Cuts all links between groups of routers; others are whole again.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        self.cut.clear();
        for (n, one) in groups.iter().enumerate() {
            for (_, other) in groups.iter().enumerate().filter(|(m, _)| *m != n) {
                self.cut.extend(one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))));
            }
        }
    }
}

struct Node {
    fleet: Option<Fleet>,
    /// Its clock's rate, and what it shows at time zero.
    rate: f64,
    zero: u64,
    /// What its wall clock is off by, in nanoseconds.
    wall: i64,
    frozen: bool,
    inbox: Vec<Vec<u8>>,
    lives: u64,
    /// Requests a second for the rate, and for places.
    per_s: f64,
    places_per_s: f64,
    admitted: u64,
    demanded: u64,
}

enum Happens {
    Arrives(usize, Vec<u8>),
    Tick(usize, u64),
    Request(usize, u64),
    Wants(usize, u64),
    Ends(usize, u64),
}

/// A request that a router admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// True time.
    pub at: Time,
    /// The router's number.
    pub router: usize,
}

/// A permit of a limit on concurrent requests that a router took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// True time at which it was taken.
    pub from: Time,
    /// True time at which it is returned.
    pub until: Time,
    /// The router's number.
    pub router: usize,
}

/// A line that a router logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// True time.
    pub at: Time,
    /// The router's number.
    pub router: usize,
    /// Its text.
    pub text: String,
}

/// What was seen from outside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests admitted, by true time and router.
    pub admitted: Vec<Admission>,
    /// Requests that came in.
    pub requests: u64,
    /// Places taken: from, until, by whom.
    pub permits: Vec<Permit>,
    /// Places that were refused.
    pub permits_rejected: u64,
    /// Datagrams sent and their bytes.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Largest sum of units held at a time, over all routers.
    pub peak_allocated_units: u64,
    /// Lines that routers said.
    pub log_lines: Vec<LogLine>,
}

/// A fleet of cores.
pub struct SimulatedFleet {
    /// True time.
    pub now: Time,
    /// How the links are.
    pub links: Links,
    /// What was seen.
    pub observations: Observations,
    plan: FleetConfig,
    seal: DatagramCodec,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), Happens>,
    count: u64,
    places: BTreeSet<u64>,
    dice: Dice,
    rate: Option<LimitKey>,
    at_once: Option<LimitKey>,
    longest: Time,
    recorded: Option<Vec<(usize, Vec<u8>)>>,
    /// Whether what all hold is summed after each step: work that grows with the square of the fleet.
    pub sums: bool,
}

/// A seal that all stand-ins share.
pub fn seal() -> DatagramCodec {
    let Some(signing) = Secret::new(KeyId(1), vec![7; 16]) else { unreachable!("16 bytes are enough") };
    DatagramCodec::new(KeyRing { signing, verifying: Vec::new(), max_age: Time::ms(1000) })
}

/// Names `n0`, `n1` and so on, at ports of the same numbers.
pub fn numbered_names(count: usize) -> Roster {
    let peer = |n: usize| Peer {
        name: format!("n{n}"),
        addr: SocketAddr::from(([127, 0, 0, 1], n as u16 + 1)),
        zone: None,
    };
    Roster::new((0..count).map(peer).collect()).unwrap_or_default()
}

impl SimulatedFleet {
    /// Routers of a plan, none of them started. `rate` and `at_once` are the keys that requests count under.
    pub fn new(
        plan: FleetConfig,
        rate: Option<LimitKey>,
        at_once: Option<LimitKey>,
        longest: Time,
        seed: u64,
    ) -> SimulatedFleet {
        let mut dice = Dice(seed);
        let nodes = (0..plan.roster.len()).map(|_| {
            // Rates lie all over what the plan allows, the ends among them.
            let off = match dice.below(4) {
                0 => 1.0,
                1 => -1.0,
                _ => dice.below(2001) as f64 / 1000.0 - 1.0,
            };
            Node {
                fleet: None,
                rate: 1.0 + off * plan.timing.drift,
                zero: dice.below(1_000_000_000_000),
                wall: 0,
                frozen: false,
                inbox: Vec::new(),
                lives: 0,
                per_s: 0.0,
                places_per_s: 0.0,
                admitted: 0,
                demanded: 0,
            }
        });
        let nodes = nodes.collect();
        SimulatedFleet {
            now: Time(0),
            links: Links::default(),
            observations: Observations::default(),
            plan,
            seal: seal(),
            nodes,
            queue: BTreeMap::new(),
            count: 0,
            places: BTreeSet::new(),
            dice,
            rate,
            at_once,
            longest,
            recorded: None,
            sums: true,
        }
    }

    fn local(&self, n: usize) -> Time {
        Time(self.nodes[n].zero + (self.now.0 as f64 * self.nodes[n].rate) as u64)
    }

    /// The true time at which a router's clock shows a time, not before now.
    fn truly(&self, n: usize, local: Time) -> Time {
        let node = &self.nodes[n];
        let at = (local.0.saturating_sub(node.zero)) as f64 / node.rate;
        Time(at.ceil() as u64 + 1).max(self.now)
    }

    fn at(&mut self, at: Time, what: Happens) {
        self.count += 1;
        self.queue.insert((at, self.count), what);
    }

    /// Starts a router, or starts it again.
    pub fn start(&mut self, n: usize) {
        let (now, seed) = (self.local(n), self.dice.below(u64::MAX));
        let life = (self.now.0 as i64 / 1_000_000 + 1_000_000_000 + self.nodes[n].wall) as u64;
        let fleet = Fleet::new(now, &format!("n{n}"), life, self.plan.clone(), self.seal.clone(), seed);
        let node = &mut self.nodes[n];
        (node.fleet, node.frozen) = (Some(fleet), false);
        node.inbox.clear();
        node.lives += 1;
        self.tick_later(n);
    }

    /// Kills a router.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].fleet = None;
    }

    /// Ends a router in good order.
    pub fn stop(&mut self, n: usize) {
        let now = self.local(n);
        self.with(n, |fleet, out| fleet.leave(now, out));
        self.nodes[n].fleet = None;
    }

    /// Stops a router's process as SIGSTOP does.
    pub fn pause(&mut self, n: usize) {
        self.nodes[n].frozen = true;
    }

    /// Lets it go on, with all that came meanwhile.
    pub fn resume(&mut self, n: usize) {
        if std::mem::take(&mut self.nodes[n].frozen) {
            for bytes in std::mem::take(&mut self.nodes[n].inbox) {
                self.arrives(n, &bytes);
            }
            self.tick(n);
        }
    }

    /// Sets a router's wall clock off by so many milliseconds; it shows in its next life.
    pub fn set_system_clock_offset_ms(&mut self, n: usize, off_ms: i64) {
        self.nodes[n].wall = off_ms;
    }

    /// Whether a router runs.
    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].fleet.is_some()
    }

    /// What a router is asked for: requests a second for the rate, and for places.
    pub fn demand(&mut self, n: usize, per_s: f64, places_per_s: f64) {
        let node = &mut self.nodes[n];
        (node.per_s, node.places_per_s) = (per_s, places_per_s);
        node.demanded += 1;
        let turn = node.demanded;
        self.request_later(n, turn);
        self.want_later(n, turn);
    }

    fn request_later(&mut self, n: usize, turn: u64) {
        let per_s = self.nodes[n].per_s;
        if per_s > 0.0 {
            let wait = (self.dice.below(2_000_000) as f64 / per_s * 1e3) as u64;
            self.at(self.now.plus(Time(wait)), Happens::Request(n, turn));
        }
    }

    fn want_later(&mut self, n: usize, turn: u64) {
        let per_s = self.nodes[n].places_per_s;
        if per_s > 0.0 {
            let wait = (self.dice.below(2_000_000) as f64 / per_s * 1e3) as u64;
            self.at(self.now.plus(Time(wait)), Happens::Wants(n, turn));
        }
    }

    /// One router's core.
    pub fn fleet(&self, n: usize) -> Option<&Fleet> {
        self.nodes[n].fleet.as_ref()
    }

    /// One router's status.
    pub fn status_lines(&self, n: usize) -> Vec<String> {
        let now = self.local(n);
        self.nodes[n].fleet.as_ref().map(|f| f.status_lines(now)).unwrap_or_default()
    }

    /// Has a router take other settings.
    pub fn reload(&mut self, n: usize, plan: FleetConfig) {
        let (now, seal) = (self.local(n), self.seal.clone());
        self.with(n, |fleet, out| fleet.reload(now, plan, seal, out));
    }

    /// The settings that routers start with from now on.
    pub fn set_plan(&mut self, plan: FleetConfig) {
        self.plan = plan;
    }

    /// Keeps a copy of all that is sent, with whom it was sent to.
    pub fn record_datagrams(&mut self, on: bool) {
        self.recorded = on.then(Vec::new);
    }

    /// What was kept.
    pub fn take_recorded_datagrams(&mut self) -> Vec<(usize, Vec<u8>)> {
        self.recorded.take().unwrap_or_default()
    }

    /// Hands a datagram to a router, wherever it comes from.
    pub fn inject(&mut self, n: usize, bytes: &[u8]) {
        self.arrives(n, bytes);
    }

    fn with(&mut self, n: usize, f: impl FnOnce(&mut Fleet, &mut Vec<Effect>)) {
        if self.nodes[n].frozen {
            return;
        }
        let mut out = Vec::new();
        let Some(fleet) = &mut self.nodes[n].fleet else { return };
        f(fleet, &mut out);
        for effect in out {
            match effect {
                Effect::Send { to, datagram: bytes } => self.send(n, usize::from(to.port()) - 1, bytes),
                Effect::Log(line) => {
                    self.observations.log_lines.push(LogLine { at: self.now, router: n, text: line })
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.observations.datagrams += 1;
        self.observations.bytes += bytes.len() as u64;
        self.recorded.iter_mut().for_each(|r| r.push((to, bytes.clone())));
        if self.links.cut.contains(&(from, to)) || self.dice.below(1000) < self.links.loss_per_mille {
            return;
        }
        let copies = 1 + u64::from(self.dice.below(1000) < self.links.duplicates_per_mille);
        for _ in 0..copies {
            let (least, most) = (self.links.delay_us.start, self.links.delay_us.end);
            let delay = Time((least + self.dice.below(most.saturating_sub(least).max(1))) * 1000);
            self.at(self.now.plus(delay), Happens::Arrives(to, bytes.clone()));
        }
    }

    fn arrives(&mut self, n: usize, bytes: &[u8]) {
        if self.nodes[n].frozen {
            return self.nodes[n].inbox.push(bytes.to_vec());
        }
        let now = self.local(n);
        self.with(n, |fleet, out| fleet.receive_datagram(now, bytes, out));
    }

    fn tick(&mut self, n: usize) {
        let now = self.local(n);
        self.with(n, |fleet, out| {
            if now >= fleet.next_due() {
                fleet.tick(now, out);
            }
        });
        self.tick_later(n);
    }

    fn tick_later(&mut self, n: usize) {
        if let Some(due) = self.nodes[n].fleet.as_ref().map(Fleet::next_due) {
            let (at, life) = (self.truly(n, due), self.nodes[n].lives);
            self.at(at, Happens::Tick(n, life));
        }
    }

    /// Lets time go on to a moment.
    pub fn run_until(&mut self, until: Time) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            match what {
                Happens::Arrives(n, bytes) => self.arrives(n, &bytes),
                Happens::Tick(n, life) => {
                    let node = &self.nodes[n];
                    if node.lives == life && node.fleet.is_some() && !node.frozen {
                        self.tick(n);
                        self.check();
                    }
                }
                Happens::Request(n, turn) if self.nodes[n].demanded == turn => {
                    self.request(n);
                    self.request_later(n, turn);
                }
                Happens::Wants(n, turn) if self.nodes[n].demanded == turn => {
                    self.want(n);
                    self.want_later(n, turn);
                }
                Happens::Request(..) | Happens::Wants(..) => {}
                Happens::Ends(n, number) => {
                    let (now, key) = (self.local(n), self.at_once);
                    if self.places.remove(&number) {
                        self.with(n, |fleet, _| {
                            key.into_iter().for_each(|k| fleet.release_slot(now, k, number))
                        });
                    }
                }
            }
        }
        self.now = until;
    }

    fn request(&mut self, n: usize) {
        let (now, Some(key)) = (self.local(n), self.rate) else { return };
        self.observations.requests += 1;
        let mut admitted = false;
        self.with(n, |fleet, _| {
            admitted = fleet.availability(now, &[key]).fraction > 0.0;
            match admitted {
                true => fleet.spend(&[key]),
                false => fleet.record_rejection(&[key]),
            }
        });
        if admitted {
            self.nodes[n].admitted += 1;
            self.observations.admitted.push(Admission { at: self.now, router: n });
        }
    }

    fn want(&mut self, n: usize) {
        let (now, Some(key)) = (self.local(n), self.at_once) else { return };
        self.count += 1;
        let (number, longest) = (self.count, self.longest);
        let mut taken = false;
        self.with(n, |fleet, _| {
            taken = fleet.free_slots(now, key, longest) > 0;
            match taken {
                true => fleet.occupy_slot(now, key, number, now.plus(longest)),
                false => fleet.record_missing_slot(key),
            }
        });
        if taken {
            // It ends by itself, or its router has given it up by then; by a slow clock that is a little
            // later.
            let most = (longest.0 as f64 / (1.0 + self.plan.timing.drift)) as u64;
            let ends = self.now.plus(Time(most / 20 + self.dice.below(most - most / 20)));
            self.places.insert(number);
            self.observations.permits.push(Permit { from: self.now, until: ends, router: n });
            self.at(ends, Happens::Ends(n, number));
        } else {
            self.observations.permits_rejected += 1;
        }
    }

    /// Sums what all routers hold at this moment.
    fn check(&mut self) {
        if let Some(key) = self.rate.or(self.at_once).filter(|_| self.sums) {
            let held = (0..self.nodes.len()).map(|n| {
                let now = self.local(n);
                self.nodes[n].fleet.as_ref().and_then(|f| f.account_stats(now, key)).map_or(0, |f| f.usable)
            });
            self.observations.peak_allocated_units = self.observations.peak_allocated_units.max(held.sum());
        }
    }
}

/// By how much what was admitted is over a rate with a burst, at worst over all windows of time; below
/// zero if never.
pub fn rate_excess(mut admitted: Vec<Time>, per_s: f64, burst: f64) -> f64 {
    admitted.sort_unstable();
    let (mut level, mut at, mut worst) = (burst, Time(0), -burst);
    for time in admitted {
        level = (level + time.since(at).secs() * per_s).min(burst) - 1.0;
        at = time;
        worst = worst.max(-level);
    }
    worst
}

/// Most places that were taken at a time.
pub fn max_concurrent(permits: &[Permit]) -> i64 {
    let mut steps: Vec<(Time, i64)> = permits.iter().flat_map(|p| [(p.from, 1), (p.until, -1)]).collect();
    steps.sort_unstable_by_key(|s| (s.0, s.1));
    let (mut taken, mut most) = (0, 0);
    for (_, step) in steps {
        taken += step;
        most = most.max(taken);
    }
    most
}
