//! Router processes that are killed and started again, and sessions that write and read through them, each
//! answer held against the group's oracle.

use crate::client::{Answer, Client};
use crate::discovery::{endpoint_list, Discovery};
use crate::group::{Group, GroupBehavior, StaleRead};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a router is started with.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The program.
    pub program: PathBuf,
    /// Its configuration file.
    pub config: PathBuf,
    /// Our own settings, if it is given any.
    pub settings: Option<PathBuf>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
}

/// A router's process. It is killed when dropped.
pub struct RouterProcess {
    start: RouterOptions,
    name: String,
    /// Where it listens, the same after a restart.
    pub addr: SocketAddr,
    /// How often it has been started again.
    pub lives: usize,
    child: Child,
    /// Lines of its log, of all its lives.
    pub log: Arc<crate::Watched<Vec<String>>>,
}

/// The address that a program prints after some words; the lines that it prints are kept.
fn after(
    stream: impl Read + Send + 'static,
    words: &str,
    log: &Arc<crate::Watched<Vec<String>>>,
) -> Option<SocketAddr> {
    let lines = BufReader::new(stream).lines();
    let (log, into) = (Arc::clone(log), Arc::clone(log));
    let from = log.lock().len();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| into.change(|l| l.push(line))));
    log.wait(|l| l[from..].iter().find_map(|line| line.split_once(words)?.1.trim().parse().ok()))
}

impl RouterProcess {
    /// Starts a router on a port of its own and waits until it listens.
    pub fn start(name: &str, start: RouterOptions) -> io::Result<RouterProcess> {
        let log = Arc::default();
        let (child, addr) =
            RouterProcess::spawn(name, &start, (std::net::Ipv4Addr::LOCALHOST, 0).into(), &log)?;
        Ok(RouterProcess { start, name: name.into(), addr, lives: 0, child, log })
    }

    fn spawn(
        name: &str,
        start: &RouterOptions,
        listen: SocketAddr,
        log: &Arc<crate::Watched<Vec<String>>>,
    ) -> io::Result<(Child, SocketAddr)> {
        let mut command = Command::new(&start.program);
        command
            .args(["serve", "--config"])
            .arg(&start.config)
            .env_remove("BASALTHILL_SETTINGS")
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", start.discovery.to_string())
            .stderr(Stdio::piped());
        if let Some(settings) = &start.settings {
            command.arg("--settings").arg(settings);
        }
        let mut child = command.spawn()?;
        let addr = child.stderr.take().and_then(|stream| after(stream, "listens on ", log));
        Ok((child, addr.ok_or_else(|| io::Error::other(format!("{name} does not listen")))?))
    }

    /// Kills it outright and starts it again at the same address.
    pub fn kill_and_restart(&mut self) -> io::Result<()> {
        self.kill()?;
        self.restart()
    }

    /// Stops it in good order and starts it again at the same address.
    pub fn stop_and_restart(&mut self) -> io::Result<()> {
        self.signal("TERM")?;
        self.child.wait()?;
        self.restart()
    }

    /// Kills it outright.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Starts it again at the same address.
    pub fn restart(&mut self) -> io::Result<()> {
        self.lives += 1;
        (self.child, self.addr) = RouterProcess::spawn(&self.name, &self.start, self.addr, &self.log)?;
        Ok(())
    }

    /// Its process's id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Its configuration file.
    pub fn config(&self) -> &Path {
        &self.start.config
    }

    /// Waits for its process to end by itself.
    pub fn wait_for_exit(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Descriptors that its process holds.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        match Command::new("kill").args([&format!("-{name}"), &id]).status()?.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal did not go out")),
        }
    }

    /// Waits for a line of its log.
    pub fn wait_for_log(&self, part: &str) -> Option<String> {
        self.log.wait(|l| l.iter().find(|line| line.contains(part)).cloned())
    }

    /// Processor time that its process has taken; the system counts in hundredths of a second.
    pub fn cpu(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields = stat.rsplit_once(')')?.1.split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|n| n.parse::<u64>().ok()).sum();
        Some(Duration::from_millis(ticks * 10))
    }

    /// Its process's memory that is resident, in KiB.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A file of its own in a folder, with some text.
pub fn write_unique_file(folder: &Path, name: &str, text: &str) -> io::Result<PathBuf> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = folder.join(format!("{}-{n}-{name}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

/// A group of three members, discovery, and routers.
pub struct Deployment {
    /// The group.
    pub group: Group,
    /// Discovery, which lists it.
    pub discovery: Discovery,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// The file of our own settings, if they were given any.
    pub settings: Option<PathBuf>,
}

impl Deployment {
    /// Starts so many routers, with our own settings if there are any; files are laid into a folder.
    pub fn start(
        program: &Path,
        folder: &Path,
        routers: usize,
        manner: GroupBehavior,
        own: Option<&str>,
    ) -> io::Result<Deployment> {
        let behind = match manner.stale_reads {
            StaleRead::Serve => "none",
            StaleRead::Reject => "bounce",
            StaleRead::Wait(_) => "await",
        };
        let come_back = format!("\"maxRetryAfter\": {}000000", manner.retry_after_ms);
        let aim = format!("\"aim\": {}000000", manner.latency_objective_ms);
        let group = Group::start(2, 3, manner)?;
        let known = listed(&group, 1);
        let discovery = Discovery::start(known.clone())?;
        let settings = crate::SETTINGS.replace("\"await\"", &format!("{behind:?}"));
        let settings = settings.replace("\"balancers\": 2", &format!("\"balancers\": {routers}"));
        let settings = settings.replace("\"maxRetryAfter\": 1000000000", &come_back);
        let settings = settings.replace("\"aim\": 400000000", &aim);
        let limits = r#"{"sockets":16384,"memory_mb":192}"#;
        let text = format!(r#"{{"seed":"1","limits":{limits},"known":{known},"settings":{settings}}}"#);
        let start = RouterOptions {
            program: program.into(),
            config: write_unique_file(folder, "router.json", &text)?,
            settings: own.map(|text| write_unique_file(folder, "own.kdl", text)).transpose()?,
            discovery: discovery.addr,
        };
        let router = |n| RouterProcess::start(&format!("n{n}"), start.clone());
        let routers = (0..routers).map(router).collect::<io::Result<_>>()?;
        Ok(Deployment { group, discovery, routers, settings: start.settings })
    }

    /// Tells discovery who is who by now.
    pub fn publish_members(&self, version: u64) {
        self.discovery.publish(listed(&self.group, version));
    }

    /// Plays a load while routers are killed in turn, and the group's lag goes up and down where told.
    pub fn run_load(&mut self, load: &SessionLoad, kills: usize, lags: &[u64]) -> SessionLoadReport {
        let addrs: Vec<_> = self.routers.iter().map(|r| r.addr).collect();
        let (mut killed, group, routers) = (0, self.group.clone(), &mut self.routers);
        run_load(&self.group, &addrs, load, |done| {
            if killed < kills && done > killed as f64 / kills as f64 {
                let n = killed % routers.len();
                killed += 1;
                routers[n].kill_and_restart().expect("a router that starts again");
            }
            if let Some(lag) = lags.get((done * lags.len() as f64) as usize) {
                group.reconfigure(|m| m.lag_ms = *lag);
            }
        })
    }
}

/// A group as discovery lists it, whole.
fn listed(group: &Group, version: u64) -> String {
    let members = group.members();
    endpoint_list(version, true, &members)
}

/// How sessions come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionMode {
    /// One connection at a time; a session that moves leaves it first.
    OneAtATime,
    /// Connections that many sessions share, to all routers.
    Pooled,
    /// The same, and what the router hands out as a token is given back.
    PooledTokens,
    /// One router each, over connections that many sessions share.
    OneRouter,
}

/// What sessions do.
#[derive(Clone, Debug)]
pub struct SessionLoad {
    /// How they come in.
    pub mode: ConnectionMode,
    /// So many at a time.
    pub sessions: usize,
    /// They stop after so many reads together.
    pub reads: usize,
    /// One in so many reads goes to the class `status`, which sees all writes.
    pub status_every: u64,
    /// Rests of up to this long come before reads, in microseconds.
    pub max_think_time_us: u64,
    /// For random numbers.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct SessionLoadReport {
    /// Session reads and fresh reads served.
    pub reads: usize,
    /// Of them, answers older than what had been written before the read was sent.
    pub stale: usize,
    /// Session reads served, and of them by replicas.
    pub session_reads: usize,
    /// Session reads that replicas served.
    pub by_replicas: usize,
    /// Writes answered, and writes that got no answer or a failure.
    pub writes: usize,
    /// Writes whose end the session does not know.
    pub unknown: usize,
    /// Requests refused or failed, and connections that broke.
    pub not_served: usize,
    /// How long session reads took, in microseconds.
    pub took_us: Vec<u32>,
    /// What the first stale answers were.
    pub first_stale: Vec<String>,
    /// When each of the session reads was sent, and whether a replica served it.
    sent: Vec<(Instant, bool)>,
    /// From when to when somebody waited for longer than a router does before it takes a silent member out.
    stalls: Vec<(Instant, Instant)>,
}

/// Members out of which nothing comes for 250 ms are out of service for a second: so long after a stall of
/// the machine the primary may serve what replicas could have.
const STALL: Duration = Duration::from_millis(200);
const STALLED_FOR: Duration = Duration::from_millis(1500);

impl SessionLoadReport {
    /// Adds another's figures.
    pub fn add(&mut self, other: SessionLoadReport) {
        self.reads += other.reads;
        self.stale += other.stale;
        self.session_reads += other.session_reads;
        self.by_replicas += other.by_replicas;
        self.writes += other.writes;
        self.unknown += other.unknown;
        self.not_served += other.not_served;
        self.took_us.extend(other.took_us);
        self.first_stale.extend(other.first_stale);
        self.first_stale.truncate(5);
        self.sent.extend(other.sent);
        self.stalls.extend(other.stalls);
    }

    /// The time within which this share of the session reads was served, in microseconds.
    pub fn quantile_us(&self, share: f64) -> u32 {
        let mut took = self.took_us.clone();
        took.sort_unstable();
        took.get(((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    }

    /// Of the session reads that were sent while the machine kept pace, how many, and the share that replicas
    /// served. On a machine that stalls, members answer too late and are out of service for a while, as they
    /// should.
    pub fn replica_fraction_without_stalls(&self) -> (usize, f64) {
        let near = |at: Instant| self.stalls.iter().any(|(from, to)| *from <= at && at <= *to + STALLED_FOR);
        let kept: Vec<bool> = self.sent.iter().filter(|(at, _)| !near(*at)).map(|s| s.1).collect();
        let by_replicas = kept.iter().filter(|by_replica| **by_replica).count();
        (kept.len(), by_replicas as f64 / kept.len().max(1) as f64)
    }

    /// The share of session reads that replicas served.
    pub fn replica_fraction(&self) -> f64 {
        self.by_replicas as f64 / self.session_reads.max(1) as f64
    }
}

impl std::fmt::Display for SessionLoadReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SessionLoadReport { reads, stale, writes, unknown, not_served, .. } = self;
        write!(f, "reads={reads} stale={stale} replica_share={:.4}", self.replica_fraction())?;
        write!(f, " p50_us={} p99_us={}", self.quantile_us(0.5), self.quantile_us(0.99))?;
        write!(f, " writes={writes} unknown={unknown} not_served={not_served}")
    }
}

/// A sequence of numbers that looks random and is the same for the same seed.
pub struct Dice(pub u64);

impl Dice {
    /// A number below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n.max(1)
    }
}

type Pools = Vec<Mutex<Vec<Client>>>;

struct Session<'a> {
    name: String,
    routers: &'a [SocketAddr],
    pools: &'a Pools,
    load: &'a SessionLoad,
    at: usize,
    own: Option<Client>,
    token: Option<String>,
    sequence: u64,
    dice: Dice,
    tally: SessionLoadReport,
}

impl Session<'_> {
    /// Sends one statement; none if the connection broke or did not come up.
    fn ask(&mut self, text: &str) -> Option<Answer> {
        let pooled = self.load.mode != ConnectionMode::OneAtATime;
        let pool = || self.pools[self.at].lock().unwrap_or_else(|e| e.into_inner());
        let idle = if pooled { pool().pop() } else { self.own.take() };
        let client = idle.map_or_else(|| Client::connect(self.routers[self.at]), Ok);
        let Ok(mut client) = client else {
            std::thread::sleep(Duration::from_millis(2));
            return None;
        };
        client.token = None;
        let sent = Instant::now();
        let answer = client.query(text).ok();
        if sent.elapsed() > STALL {
            self.tally.stalls.push((sent, Instant::now()));
        }
        // A token counts even where the answer did not come: it may have been sent ahead of it.
        self.token = client.token.take().or(self.token.take());
        match (&answer, pooled) {
            (Some(_), true) => pool().push(client),
            (Some(_), false) => self.own = Some(client),
            (None, _) => {}
        }
        answer
    }

    fn comment(&mut self, class: &str) -> String {
        let id = (self.dice.below(1 << 30) << 30) | self.dice.below(1 << 30);
        let token = self.token.as_ref().filter(|_| self.load.mode == ConnectionMode::PooledTokens);
        let token = token.map(|t| format!(",token={t}")).unwrap_or_default();
        format!("/* id={id:016x},c={class},t=acme,d=900,cluster=2{token} */")
    }

    fn write(&mut self) {
        self.sequence += 1;
        let comment = self.comment("write");
        let (name, n) = (&self.name, self.sequence);
        let text = format!("INSERT INTO records (k, v) VALUES ('{name}', '{n}') RETURNING v {comment}");
        match self.ask(&text) {
            Some(Answer::Row(_)) => self.tally.writes += 1,
            Some(Answer::Error(code, _)) if code == "53300" || code == "57P03" => self.tally.not_served += 1,
            _ => {
                (self.tally.unknown, self.tally.not_served) =
                    (self.tally.unknown + 1, self.tally.not_served + 1)
            }
        }
    }

    /// Reads under a key and holds the answer against the oracle.
    fn read(&mut self, class: &str, key: &str, group: &Group) -> bool {
        let comment = self.comment(class);
        let text = format!("SELECT v FROM records WHERE k = '{key}' {comment}");
        let sent = Instant::now();
        let answer = self.ask(&text);
        let took = sent.elapsed();
        let Some(Answer::Row(value)) = answer else {
            self.tally.not_served += 1;
            return false;
        };
        let value = String::from_utf8_lossy(&value).into_owned();
        let mut parts = value.split('@').skip(1);
        let seen: u64 = parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let (rank, least) = (parts.next().unwrap_or_default(), group.newest(key, sent));
        self.tally.reads += 1;
        if seen < least {
            self.tally.stale += 1;
            self.tally.first_stale.push(format!("{class} of {key}: {value:?}, but {least} was there"));
            self.tally.first_stale.truncate(5);
        }
        if class == "own" {
            self.tally.session_reads += 1;
            self.tally.by_replicas += usize::from(rank == "copy");
            self.tally.took_us.push(took.as_micros() as u32);
            self.tally.sent.push((sent, rank == "copy"));
        }
        true
    }

    /// One round: perhaps a move, a write, then reads.
    fn round(&mut self, group: &Group) -> usize {
        if self.load.mode != ConnectionMode::OneRouter && self.dice.below(2) == 0 {
            self.own = None;
            self.at = self.dice.below(self.routers.len() as u64) as usize;
        }
        self.write();
        if self.load.mode != ConnectionMode::OneRouter && self.dice.below(2) == 0 {
            self.own = None;
            self.at = self.dice.below(self.routers.len() as u64) as usize;
        }
        let mut served = 0;
        for _ in 0..1 + self.dice.below(4) {
            let rest = self.dice.below(self.load.max_think_time_us.max(1));
            // Half of the reads come at once.
            if self.dice.below(2) == 0 && rest > 0 {
                std::thread::sleep(Duration::from_micros(rest));
            }
            let fresh = self.load.status_every > 0 && self.dice.below(self.load.status_every) == 0;
            let name = self.name.clone();
            served += usize::from(match fresh {
                true => {
                    let other = format!("s{}", self.dice.below(self.load.sessions as u64));
                    self.read("status", &other, group)
                }
                false => self.read("own", &name, group),
            });
        }
        served
    }
}

/// Plays a load against routers until it has had its reads; `meanwhile` runs beside it, is told the share of
/// them that is done, and is called again until all are.
pub fn run_load(
    group: &Group,
    routers: &[SocketAddr],
    load: &SessionLoad,
    mut meanwhile: impl FnMut(f64),
) -> SessionLoadReport {
    let (done, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let pools: Pools = routers.iter().map(|_| Mutex::default()).collect();
    let mut tally = SessionLoadReport::default();
    std::thread::scope(|scope| {
        let sessions: Vec<_> = (0..load.sessions)
            .map(|n| {
                let (done, over, pools) = (&done, &over, &pools);
                scope.spawn(move || {
                    let mut session = Session {
                        name: format!("s{n}"),
                        routers,
                        pools,
                        load,
                        at: n % routers.len(),
                        own: None,
                        token: None,
                        sequence: 0,
                        dice: Dice(load.seed.wrapping_mul(1_000_003).wrapping_add(n as u64)),
                        tally: SessionLoadReport::default(),
                    };
                    while !over.load(Ordering::Relaxed) {
                        let served = session.round(group);
                        if done.fetch_add(served, Ordering::Relaxed) + served >= load.reads {
                            over.store(true, Ordering::Relaxed);
                        }
                    }
                    session.tally
                })
            })
            .collect();
        while !over.load(Ordering::Relaxed) {
            meanwhile(done.load(Ordering::Relaxed) as f64 / load.reads.max(1) as f64);
            std::thread::sleep(Duration::from_millis(5));
        }
        for session in sessions {
            if let Ok(theirs) = session.join() {
                tally.add(theirs);
            }
        }
    });
    tally
}
