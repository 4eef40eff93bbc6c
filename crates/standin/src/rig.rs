//! Routers of a fleet as processes: hosts that count what reaches them, clients that ask at a given pace, and
//! the network between the routers. What happens is judged by the hosts' own record.

use crate::client::{Answer, Client};
use crate::discovery::{endpoint_list, Discovery, Endpoint};
use crate::fleet::{write_unique_file, Dice, RouterOptions, RouterProcess};
use crate::host::{Host, Reply};
use crate::udp_proxy::UdpProxy;
use crate::unix_ms;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What to set up.
#[derive(Clone, Debug)]
pub struct HarnessConfig {
    /// Routers.
    pub routers: usize,
    /// Hosts, all of one group.
    pub hosts: usize,
    /// How long a host works on a statement.
    pub service_time: Duration,
    /// What hosts do with statements.
    pub host_behavior: HostBehavior,
    /// Nodes of KDL inside `fleet`, besides names and keys; without any the routers have no fleet.
    pub limits: Option<String>,
    /// Each router knows of itself alone.
    pub isolated: bool,
    /// Routers reach each other without the relay.
    pub direct: bool,
    /// For random numbers.
    pub seed: u64,
}

/// What hosts do with statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostBehavior {
    /// They serve them.
    #[default]
    Serve,
    /// One in three fails.
    FailSome,
    /// They close the connection after each, and may not be probed.
    Close,
}

/// A host that counts.
#[derive(Clone)]
pub struct Counted {
    /// The host.
    pub host: Host,
    /// Most statements that it had at a time.
    pub max_concurrent: Arc<AtomicUsize>,
}

/// The processes, and what is round them.
pub struct FleetHarness {
    /// The hosts.
    pub hosts: Vec<Counted>,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// The network between them, unless they reach each other without it.
    pub relay: Option<UdpProxy>,
    /// The settings file of each, for `basalthill fleet` as well.
    pub settings: Vec<Option<PathBuf>>,
    /// What was done, and when after the start.
    pub history: Vec<(Duration, String)>,
    config: PathBuf,
    began: Instant,
    _discovery: Discovery,
}

/// The key that all rigs sign with.
const KEY: &str = "51e0a8c97b3d2f6604de8f13c5a97b20";

/// The `fleet` node of one router's settings, which reaches the others at these addresses.
fn fleet(setup: &HarnessConfig, n: usize, at: &[SocketAddr], limits: &str) -> String {
    let listen = if setup.direct { at[n].to_string() } else { "127.0.0.1:0".into() };
    let known = (0..setup.routers).filter(|m| *m == n || !setup.isolated);
    let peers: String = known.map(|m| format!("router \"n{m}\" \"{}\"\n", at[m])).collect();
    format!("fleet {{\nlisten \"{listen}\"\nkey 1 \"{KEY}\" signs=#true\n{peers}{limits}\n}}\n")
}

/// Addresses on loopback that were free a moment ago.
fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets = (0..count).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)));
    let sockets = sockets.collect::<io::Result<Vec<_>>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

impl FleetHarness {
    /// Starts it all; files are laid into a folder.
    pub fn start(program: &Path, folder: &Path, setup: &HarnessConfig) -> io::Result<FleetHarness> {
        let hosts: Vec<Counted> = (0..setup.hosts).map(|_| counted(setup)).collect::<io::Result<_>>()?;
        let rank = |n| if n == 0 { "source" } else { "copy" };
        let members = hosts.iter().enumerate();
        let members: Vec<_> = members
            .map(|(n, h)| Endpoint::new(format!("s-{n}"), h.host.addr, 2, "active", rank(n)))
            .collect();
        let known = endpoint_list(1, true, &members);
        let discovery = Discovery::start(known.clone())?;
        let settings = crate::SETTINGS
            .replace("\"balancers\": 2", &format!("\"balancers\": {}", setup.routers))
            .replace("6000000000", "1500000000")
            .replace(
                "\"probes\": true",
                &format!("\"probes\": {}", setup.host_behavior != HostBehavior::Close),
            )
            .replace("\"deadline\": 3000000000", "\"deadline\": 1500000000");
        let limits = r#"{"sockets":4096,"memory_mb":192}"#;
        let text = format!(r#"{{"seed":"1","limits":{limits},"known":{known},"settings":{settings}}}"#);
        let config = write_unique_file(folder, "rig.json", &text)?;
        let relay = (!setup.direct).then(|| UdpProxy::start(setup.routers, setup.seed)).transpose()?;
        let direct = free(if setup.direct { setup.routers } else { 0 })?;
        let mut rig = FleetHarness {
            hosts,
            routers: Vec::new(),
            relay,
            settings: Vec::new(),
            history: Vec::new(),
            config: config.clone(),
            began: Instant::now(),
            _discovery: discovery,
        };
        for n in 0..setup.routers {
            let ports = |relay: &UdpProxy| (0..setup.routers).map(|m| relay.port(n, m)).collect();
            let at: Vec<SocketAddr> = rig.relay.as_ref().map_or(direct.clone(), ports);
            let own = setup.limits.as_ref().map(|l| fleet(setup, n, &at, l));
            let own = own.map(|text| write_unique_file(folder, "rig.kdl", &text)).transpose()?;
            let (config, program, discovery) = (config.clone(), program.into(), rig._discovery.addr);
            let start = RouterOptions { program, config, settings: own.clone(), discovery };
            rig.routers.push(RouterProcess::start(&format!("n{n}"), start)?);
            rig.settings.push(own);
            rig.target(n);
        }
        Ok(rig)
    }

    /// Takes note of where a router that has just started listens for the others.
    fn target(&mut self, n: usize) {
        let Some(relay) = self.relay.clone().filter(|_| self.settings[n].is_some()) else { return };
        let addr = self.fleet_addr(n);
        relay.links().targets[n] = addr;
    }

    /// Where a router listens for the others.
    pub fn fleet_addr(&self, n: usize) -> Option<SocketAddr> {
        let lives = self.routers[n].lives;
        self.routers[n].log.wait(|lines| {
            let told = lines.iter().filter_map(|l| l.split_once("names, listens on "));
            told.filter_map(|l| l.1.trim().parse().ok()).nth(lives)
        })
    }

    /// The configuration that all of them have.
    pub fn config(&self) -> &Path {
        &self.config
    }

    fn note(&mut self, what: String) {
        self.history.push((self.began.elapsed(), what));
    }

    /// Splits the fleet.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        self.relay.iter().for_each(|r| r.split(groups));
        self.note(format!("split {groups:?}"));
    }

    /// Makes all links whole.
    pub fn heal(&mut self) {
        self.relay.iter().for_each(UdpProxy::heal);
        self.note("healed".into());
    }

    /// Makes all links lose so many datagrams in a thousand, and take their time.
    pub fn lossy(&mut self, loss: u64, delay_us: (u64, u64)) {
        if let Some(relay) = &self.relay {
            let mut links = relay.links();
            (links.loss, links.delay_us) = (loss, delay_us);
        }
        self.note(format!("loss {loss}, delay {delay_us:?}"));
    }

    /// Kills a router outright.
    pub fn kill(&mut self, n: usize) -> io::Result<()> {
        self.note(format!("kill n{n}"));
        self.routers[n].kill()
    }

    /// Starts it again under its name and address.
    pub fn restart(&mut self, n: usize) -> io::Result<()> {
        self.routers[n].restart()?;
        self.target(n);
        self.note(format!("start n{n}"));
        Ok(())
    }

    /// Stops a router's process, or lets it go on.
    pub fn set_paused(&mut self, n: usize, on: bool) -> io::Result<()> {
        self.note(format!("{} n{n}", if on { "freeze" } else { "thaw" }));
        self.routers[n].signal(if on { "STOP" } else { "CONT" })
    }

    /// When statements that hold `part` came to hosts, in order.
    pub fn arrivals(&self, part: &str) -> Vec<Instant> {
        let mut all = Vec::new();
        for host in &self.hosts {
            let seen = host.host.seen.lock();
            let arrived = seen.statements.iter().filter(|s| s.text.contains(part));
            all.extend(arrived.map(|s| s.received_at));
        }
        all.sort_unstable();
        all
    }

    /// What a router says of its fleet, by the program's own command.
    pub fn status(&self, program: &Path, n: usize) -> io::Result<String> {
        let settings = self.settings[n].clone().unwrap_or_default();
        let addr = self.fleet_addr(n).ok_or_else(|| io::Error::other("it does not listen"))?;
        let mut command = std::process::Command::new(program);
        command.args(["fleet", "--settings"]).arg(settings).args(["--at", &addr.to_string()]);
        let output = command.output()?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned())),
        }
    }
}

fn counted(setup: &HarnessConfig) -> io::Result<Counted> {
    let (work, host_behavior) = (setup.service_time, setup.host_behavior);
    let had = AtomicUsize::new(0);
    let (busy, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (working, highest) = (busy, Arc::clone(&most));
    let host = Host::start(move |text| {
        let asks = text.contains("/*");
        if asks {
            let now = working.fetch_add(1, Ordering::SeqCst) + 1;
            highest.fetch_max(now, Ordering::SeqCst);
            std::thread::sleep(work);
            working.fetch_sub(1, Ordering::SeqCst);
        }
        let telling = vec![("as_of", unix_ms().to_string()), ("rank", "copy".to_string())];
        let reply = match host_behavior {
            HostBehavior::FailSome if asks && had.fetch_add(1, Ordering::Relaxed) % 3 == 0 => {
                Reply::Error("XX000")
            }
            HostBehavior::Close => Reply::RowThenClose(b"v".to_vec()),
            _ => Reply::Row(b"v".to_vec()),
        };
        (reply, telling)
    })?;
    Ok(Counted { host, max_concurrent: most })
}

/// Answers that clients have received, over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTotals {
    /// Values.
    pub served: u64,
    /// Rejections.
    pub rejected: u64,
    /// Anything else, and connections that broke.
    pub failed: u64,
}

/// What clients have had.
#[derive(Debug, Default)]
pub struct Had {
    /// Values.
    pub served: AtomicU64,
    /// Refusals.
    pub rejected: AtomicU64,
    /// Anything else, and connections that broke.
    pub failed: AtomicU64,
    /// How long values took, in microseconds.
    pub latencies_us: Mutex<Vec<u32>>,
}

/// Clients that ask one router each at a pace; they end when dropped.
pub struct PacedClients {
    /// What they have had, by router.
    pub counts: Vec<Arc<Had>>,
    paces: Vec<Arc<AtomicU64>>,
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl PacedClients {
    /// So many connections to each router, asking nothing yet. `comment` goes into each statement.
    pub fn start(addrs: &[SocketAddr], connections: usize, comment: &str, seed: u64) -> PacedClients {
        let ended = Arc::new(AtomicBool::new(false));
        let (mut had, mut paces, mut threads) = (Vec::new(), Vec::new(), Vec::new());
        for (n, addr) in addrs.iter().enumerate() {
            let (mine, pace) = (Arc::new(Had::default()), Arc::new(AtomicU64::new(0)));
            for c in 0..connections {
                let client = Asking {
                    addr: *addr,
                    had: Arc::clone(&mine),
                    pace: Arc::clone(&pace),
                    share: connections as f64,
                    ended: Arc::clone(&ended),
                    comment: comment.into(),
                    dice: Dice(seed ^ (n as u64) << 32 ^ (c as u64) << 16),
                };
                threads.push(std::thread::spawn(move || client.run()));
            }
            had.push(mine);
            paces.push(pace);
        }
        PacedClients { counts: had, paces, ended, threads }
    }

    /// Requests a second that a router is asked from now on.
    pub fn set_rate(&self, n: usize, per_s: f64) {
        self.paces[n].store((per_s * 1000.0) as u64, Ordering::Relaxed);
    }

    /// Values, refusals and the rest, over all routers.
    pub fn totals(&self) -> ClientTotals {
        let sum = |f: fn(&Had) -> &AtomicU64| self.counts.iter().map(|h| f(h).load(Ordering::Relaxed)).sum();
        ClientTotals {
            served: sum(|h| &h.served),
            rejected: sum(|h| &h.rejected),
            failed: sum(|h| &h.failed),
        }
    }
}

impl Drop for PacedClients {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Asking {
    addr: SocketAddr,
    had: Arc<Had>,
    pace: Arc<AtomicU64>,
    share: f64,
    ended: Arc<AtomicBool>,
    comment: String,
    dice: Dice,
}

/// How long a client waits for an answer before it connects anew.
const GIVES_UP: Duration = Duration::from_millis(1800);
/// How often one who asks nothing looks whether it shall.
const LOOKS: Duration = Duration::from_millis(20);

impl Asking {
    fn run(mut self) {
        let mut client: Option<Client> = None;
        let mut next = Instant::now();
        while !self.ended.load(Ordering::Relaxed) {
            let per_s = self.pace.load(Ordering::Relaxed) as f64 / 1000.0 / self.share;
            let now = Instant::now();
            if per_s <= 0.0 || now < next {
                let wait = if per_s <= 0.0 { LOOKS } else { (next - now).min(LOOKS) };
                std::thread::sleep(wait);
                next = if per_s <= 0.0 { Instant::now() } else { next };
                continue;
            }
            // One that comes late by its router's doing does not catch up by a burst.
            let gap = Duration::from_secs_f64(self.dice.below(2_000_001) as f64 / 1e6 / per_s);
            next = next.max(now - Duration::from_millis(100)) + gap;
            if client.is_none() {
                let fresh = Client::connect(self.addr).ok();
                client = fresh.filter(|c| c.stream.set_read_timeout(Some(GIVES_UP)).is_ok());
            }
            let id = (self.dice.below(1 << 31) << 32) | self.dice.below(1 << 32);
            let comment = &self.comment;
            let text = format!("SELECT v FROM records WHERE k = 'x' /* id={id:016x},{comment} */");
            let began = Instant::now();
            let answer = client.as_mut().map(|c| c.query(&text));
            match answer {
                Some(Ok(Answer::Row(_))) => {
                    self.had.served.fetch_add(1, Ordering::Relaxed);
                    let took = began.elapsed().as_micros() as u32;
                    self.had.latencies_us.lock().unwrap_or_else(PoisonError::into_inner).push(took);
                }
                Some(Ok(Answer::Error(code, _))) if code == "53300" || code == "57P03" => {
                    self.had.rejected.fetch_add(1, Ordering::Relaxed);
                }
                other => {
                    self.had.failed.fetch_add(1, Ordering::Relaxed);
                    if !matches!(other, Some(Ok(_))) {
                        client = None;
                        std::thread::sleep(LOOKS);
                    }
                }
            }
        }
    }
}

/// By how much what came is over a rate with a burst, at worst over all windows of time; below zero if never.
pub fn rate_excess(came: &[Instant], per_s: f64, burst: f64) -> f64 {
    let Some(first) = came.first() else { return -burst };
    let times = came.iter().map(|at| basalthill_policy::api::Time((*at - *first).as_nanos() as u64));
    crate::simulated_fleet::rate_excess(times.collect(), per_s, burst)
}
