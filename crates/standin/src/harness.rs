//! A fleet of router processes with hosts that count the statements they receive, and a lossy network between
//! the routers. Tests check how many requests the routers admit against the records of the hosts.

pub use crate::paced_clients::{ClientTotals, PacedClients};

use crate::discovery::{endpoint_list, Discovery, Endpoint};
use crate::group::{PRIMARY_RANK, REPLICA_RANK};
use crate::host::{Host, Response};
use crate::router_process::{write_unique_file, RouterOptions, RouterProcess};
use crate::udp_proxy::UdpProxy;
use crate::{simulated_fleet, unix_ms, StandinError, SETTINGS};
use basalthill_policy::api::Time;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The key with which all routers sign their datagrams: 16 bytes in hexadecimal digits.
const KEY: &str = "51e0a8c97b3d2f6604de8f13c5a97b20";
/// Number of the group that all hosts belong to, as given in statements (`cluster=2`).
const GROUP: u32 = 2;
/// Limits of sockets and memory in the run configuration, which no test or experiment reaches.
const LIMITS: &str = r#"{"sockets":4096,"memory_mb":192}"#;
/// Text before the address of a router's fleet socket in the line that it logs when it opens the socket.
const FLEET_LISTENING_MARKER: &str = "names, listens on ";
/// With [`HostBehavior::FailSome`], the interval of the requests that fail at each host: every third request.
const FAIL_EVERY: usize = 3;

/// Configuration of a fleet and its hosts.
#[derive(Clone, Debug)]
pub struct HarnessConfig {
    /// Number of routers.
    pub routers: usize,
    /// Number of hosts, all of one group.
    pub hosts: usize,
    /// Time that a host takes to execute a statement of a client.
    pub service_time: Duration,
    /// Responses of the hosts.
    pub host_behavior: HostBehavior,
    /// KDL nodes inside `fleet`, in addition to the routers and keys. If `None`, the routers have no fleet.
    pub limits: Option<String>,
    /// Whether the list of routers in each router's settings contains only that router.
    pub isolated: bool,
    /// Whether the routers send datagrams to each other directly instead of through the proxy.
    pub direct: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Responses of hosts to statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostBehavior {
    /// Serves all statements.
    #[default]
    Serve,
    /// One request in three fails with an error; other statements are served.
    FailSome,
    /// Serves each statement and then closes the connection. The routers are configured to send no probes.
    ServeThenClose,
}

/// A host that counts the requests that it executes concurrently.
#[derive(Clone)]
pub struct CountingHost {
    /// The host.
    pub host: Host,
    /// Maximum number of requests that the host has executed concurrently so far.
    pub max_concurrent: Arc<AtomicUsize>,
}

/// Router processes of a fleet, with their hosts, discovery and network.
pub struct FleetHarness {
    /// The hosts.
    pub hosts: Vec<CountingHost>,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// The proxy between the routers, unless [`HarnessConfig::direct`] is set.
    pub proxy: Option<UdpProxy>,
    /// File with the local settings (KDL) of each router, which [`Self::status`] uses too; `None` without a
    /// fleet.
    pub settings: Vec<Option<PathBuf>>,
    config: PathBuf,
    discovery: Discovery,
}

impl FleetHarness {
    /// Starts the hosts, discovery, the proxy and routers that run `program`. Files are written to `folder`.
    pub fn start(
        program: &Path,
        folder: &Path,
        config: &HarnessConfig,
    ) -> Result<FleetHarness, StandinError> {
        let hosts: Vec<CountingHost> =
            (0..config.hosts).map(|_| CountingHost::start(config)).collect::<io::Result<_>>()?;
        let known = known_list(&hosts);
        let discovery = Discovery::start(known.clone())?;
        let settings = platform_settings(config);
        let text = format!(r#"{{"seed":"1","limits":{LIMITS},"known":{known},"settings":{settings}}}"#);
        let mut harness = FleetHarness {
            hosts,
            routers: Vec::new(),
            proxy: (!config.direct).then(|| UdpProxy::start(config.routers, config.seed)).transpose()?,
            settings: Vec::new(),
            config: write_unique_file(folder, "harness.json", &text)?,
            discovery,
        };
        let direct_addrs = free_addrs(if config.direct { config.routers } else { 0 })?;
        for n in 0..config.routers {
            let peers: Vec<SocketAddr> = match &harness.proxy {
                Some(proxy) => (0..config.routers).map(|m| proxy.link_addr(n, m)).collect(),
                None => direct_addrs.clone(),
            };
            let text = config.limits.as_ref().map(|limits| fleet_settings(config, n, &peers, limits));
            let settings = text.map(|text| write_unique_file(folder, "harness.kdl", &text)).transpose()?;
            harness.start_router(program, n, settings)?;
        }
        Ok(harness)
    }

    fn start_router(
        &mut self,
        program: &Path,
        n: usize,
        settings: Option<PathBuf>,
    ) -> Result<(), StandinError> {
        let options = RouterOptions {
            program: program.into(),
            config: self.config.clone(),
            settings: settings.clone(),
            discovery: self.discovery.addr,
        };
        self.routers.push(RouterProcess::start(&format!("n{n}"), options)?);
        self.settings.push(settings);
        self.update_proxy_target(n);
        Ok(())
    }

    /// Sets the address to which the proxy forwards datagrams for a router, after the router has started.
    fn update_proxy_target(&mut self, n: usize) {
        let Some(proxy) = self.proxy.as_ref().filter(|_| self.settings[n].is_some()) else { return };
        let addr = self.fleet_addr(n);
        proxy.links().targets[n] = addr;
    }

    /// Returns the address of a router's fleet socket, waiting until the router has logged it. Returns `None`
    /// after [`crate::TIMEOUT`].
    pub fn fleet_addr(&self, n: usize) -> Option<SocketAddr> {
        let restarts = self.routers[n].restarts();
        self.routers[n].log.wait(|lines| {
            let addrs = lines.iter().filter_map(|l| l.split_once(FLEET_LISTENING_MARKER));
            addrs.filter_map(|(_, addr)| addr.trim().parse().ok()).nth(restarts)
        })
    }

    /// Returns the path of the configuration file (JSON) of all routers.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// Cuts all links between the groups of routers in both directions, and repairs all other links.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        if let Some(proxy) = &self.proxy {
            proxy.partition(groups);
        }
    }

    /// Repairs all cut links.
    pub fn heal(&mut self) {
        if let Some(proxy) = &self.proxy {
            proxy.heal();
        }
    }

    /// Sets the loss rate and the range of delays of all links.
    pub fn set_link_quality(&mut self, loss_per_mille: u64, delay_us: Range<u64>) {
        if let Some(proxy) = &self.proxy {
            let mut links = proxy.links();
            links.faults.loss_per_mille = loss_per_mille;
            links.faults.delay_us = delay_us;
        }
    }

    /// Kills a router with SIGKILL and waits until it has exited.
    pub fn kill(&mut self, n: usize) -> io::Result<()> {
        self.routers[n].kill()
    }

    /// Restarts a router with its name and address after it has exited.
    pub fn restart(&mut self, n: usize) -> Result<(), StandinError> {
        self.routers[n].restart()?;
        self.update_proxy_target(n);
        Ok(())
    }

    /// Pauses a router's process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_paused(&mut self, n: usize, paused: bool) -> Result<(), StandinError> {
        self.routers[n].signal(if paused { "STOP" } else { "CONT" })
    }

    /// Returns the times at which hosts received statements that contain `part`, in order.
    pub fn arrivals(&self, part: &str) -> Vec<Instant> {
        let mut arrivals = Vec::new();
        for counting_host in &self.hosts {
            let record = counting_host.host.record.lock();
            let statements = record.statements.iter().filter(|s| s.text.contains(part));
            arrivals.extend(statements.map(|s| s.received_at));
        }
        arrivals.sort_unstable();
        arrivals
    }

    /// Returns the status of the fleet that a router reports to the command `basalthill fleet`.
    pub fn status(&self, program: &Path, n: usize) -> Result<String, StandinError> {
        let settings = self.settings[n].clone().unwrap_or_default();
        let addr = self.fleet_addr(n).ok_or(StandinError::NoFleetSocket { index: n })?;
        let mut command = Command::new(program);
        command.args(["fleet", "--settings"]).arg(settings).args(["--at", &addr.to_string()]);
        let output = command.output()?;
        if !output.status.success() {
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(StandinError::StatusCommandFailed { stderr });
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

impl CountingHost {
    fn start(config: &HarnessConfig) -> io::Result<CountingHost> {
        let service_time = config.service_time;
        let behavior = config.host_behavior;
        let max_concurrent = Arc::new(AtomicUsize::new(0));
        let max_seen = Arc::clone(&max_concurrent);
        let concurrent = AtomicUsize::new(0);
        let received = AtomicUsize::new(0);
        let host = Host::start(move |text| {
            // Statements of clients have a comment, and health checks don't.
            let is_request = text.contains("/*");
            if is_request {
                let executing = concurrent.fetch_add(1, Ordering::SeqCst) + 1;
                max_seen.fetch_max(executing, Ordering::SeqCst);
                std::thread::sleep(service_time);
                concurrent.fetch_sub(1, Ordering::SeqCst);
            }
            let fails = || is_request && received.fetch_add(1, Ordering::Relaxed) % FAIL_EVERY == 0;
            let response = match behavior {
                HostBehavior::FailSome if fails() => Response::Error("XX000"),
                HostBehavior::Serve | HostBehavior::FailSome => Response::Row(b"v".to_vec()),
                HostBehavior::ServeThenClose => Response::RowThenClose(b"v".to_vec()),
            };
            (response, vec![("as_of", unix_ms().to_string()), ("rank", REPLICA_RANK.to_string())])
        })?;
        Ok(CountingHost { host, max_concurrent })
    }
}

/// Returns the endpoint list with all hosts, the first one as the primary.
fn known_list(hosts: &[CountingHost]) -> String {
    let endpoint = |(n, host): (usize, &CountingHost)| {
        let rank = if n == 0 { PRIMARY_RANK } else { REPLICA_RANK };
        Endpoint::new(format!("s-{n}"), host.host.addr, GROUP, "active", rank)
    };
    let members: Vec<Endpoint> = hosts.iter().enumerate().map(endpoint).collect();
    endpoint_list(1, true, &members)
}

/// Returns the site settings (JSON). The longest deadlines are shortened to 1.5 s, so that the units of a
/// limit that a killed router owned soon become available again.
fn platform_settings(config: &HarnessConfig) -> String {
    let probes = config.host_behavior != HostBehavior::ServeThenClose;
    SETTINGS
        .replace("\"balancers\": 2", &format!("\"balancers\": {}", config.routers))
        .replace("6000000000", "1500000000")
        .replace("\"probes\": true", &format!("\"probes\": {probes}"))
        .replace("\"deadline\": 3000000000", "\"deadline\": 1500000000")
}

/// Returns the `fleet` node (KDL) of the local settings of router `n`. `peers` are the addresses at which it
/// reaches the routers.
fn fleet_settings(config: &HarnessConfig, n: usize, peers: &[SocketAddr], limits: &str) -> String {
    let listen = if config.direct { peers[n].to_string() } else { "127.0.0.1:0".into() };
    let listed = (0..config.routers).filter(|m| *m == n || !config.isolated);
    let peers: String = listed.map(|m| format!("router \"n{m}\" \"{}\"\n", peers[m])).collect();
    format!("fleet {{\nlisten \"{listen}\"\nkey 1 \"{KEY}\" signs=#true\n{peers}{limits}\n}}\n")
}

/// Returns loopback addresses with UDP ports that were free when this function checked them.
fn free_addrs(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets = (0..count).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)));
    let sockets = sockets.collect::<io::Result<Vec<_>>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

/// Returns by how many requests `arrivals` exceed a rate with a burst, in the worst time window. The result
/// is negative if they never exceed it.
pub fn rate_excess(arrivals: &[Instant], per_s: f64, burst: f64) -> f64 {
    let Some(first) = arrivals.first() else { return -burst };
    let times = arrivals.iter().map(|at| Time((*at - *first).as_nanos() as u64));
    simulated_fleet::rate_excess(times.collect(), per_s, burst)
}
