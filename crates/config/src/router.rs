//! What one router is told: its file (`BALANCER_CONFIG`) and variables. At the start a variable wins over the
//! file's key. When the file is read again, its `discovery` wins: the variable can't have changed since.

use crate::local_settings::{self, LocalSettings};
use crate::settings::{self, Deployment};
use crate::{typed, ConfigError};
use basalthill_fleet::{NodeId, Subject};
use basalthill_policy::api::Time;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// A router's configuration, checked.
#[derive(Debug)]
pub struct RouterConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The list of members as this router last had it, in discovery's form; `null` if there is none.
    pub known_endpoints: Value,
    /// The deployment.
    pub deployment: Deployment,
    /// Our own settings; nothing without their file.
    pub local_settings: LocalSettings,
    /// Keys of the file whose values a variable overrides.
    pub overridden_keys: Vec<String>,
}

/// When the file is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// As the router starts.
    Startup,
    /// While it runs.
    Reload,
}

impl RouterConfig {
    /// Keys in which a file read again differs from this one, but which a running router can't change.
    pub fn needs_restart(&self, again: &RouterConfig) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != again.name),
            ("listen", self.listen != again.listen),
            ("limits", self.limits != again.limits),
            ("settings", self.deployment != again.deployment),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

/// Limits of the machine, and the times that follow from them and from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// File descriptors that the program may hold.
    pub sockets: usize,
    /// Memory in MiB.
    pub memory_mb: u64,
}

/// Descriptors kept back for standard streams, the reactor, signals, the listener and discovery.
pub const RESERVED_SOCKETS: usize = 24;

impl Limits {
    /// How many descriptors exchanges and clients may hold.
    pub fn descriptors(&self) -> usize {
        self.sockets.saturating_sub(RESERVED_SOCKETS)
    }

    /// How many of them clients may hold at most: with the other half, connections to members never want for
    /// one, however many clients come.
    pub fn client_descriptors(&self) -> usize {
        self.descriptors() / 2
    }

    /// With more than this, a newcomer takes the place of the client that has been quiet for longest. Clients
    /// together use a third of all descriptors; many ask once and hold on to their connection for good, and
    /// those that have something to ask would find no room.
    pub fn client_eviction_threshold(&self) -> usize {
        self.sockets / 4
    }

    /// Most memory, in bytes, that the book of sessions may come to take: a sixteenth.
    pub fn session_table_bytes(&self) -> usize {
        (self.memory_mb << 20) as usize / 16
    }

    /// How many statements past [`LARGE_STATEMENT_LEN`] may be on the way at a time: a quarter of the
    /// memory is theirs, and
    /// one may stand in memory twice while it is taken over.
    pub fn max_large_statements(&self) -> usize {
        ((self.memory_mb << 20) as usize / 4 / (2 * LONGEST_STATEMENT)).max(1)
    }
}

/// Longest statement: a value of 64 KiB in hexadecimal digits, and room for the rest.
pub const LONGEST_STATEMENT: usize = 160 * 1024;

/// A client may have sent this much before it needs a place among the large statements.
pub const LARGE_STATEMENT_LEN: usize = 16 * 1024;

/// Of one connection so many reads are asked side by side, where a client writes many commands at once.
pub const MAX_CONCURRENT_READS: usize = 4;

/// The share of the settings' idle time after which the router closes an idle connection itself, so that no
/// request meets the member's closing.
pub const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// A member that has begun an answer writes the rest of it without pausing for this long, or it never will.
pub const ANSWER_STALL_TIMEOUT: Time = Time::ms(100);

/// After an answer, a connection to a member rests for this long before it carries the next query: what the
/// member sends right behind an answer shows itself by then, and is never taken for the next one.
pub const HOST_REUSE_DELAY: Time = Time::ms(2);

/// Where descriptors are short, a client with no open request makes room after this time: one that has just
/// connected, or has just had its answer, may be about to ask.
pub const CLIENT_EVICTION_IDLE: Time = Time::ms(20);

/// A client has this long from connecting to its first request, and for each message from its first byte to
/// its last.
pub const CLIENT_MESSAGE_TIMEOUT: Time = Time::ms(2000);

/// A router may be held up for this long between a look at its clock and its writing. A drain's grace has to
/// cover that: the router's own grace is shorter by as much.
pub const HELD_UP: Time = Time::ms(150);

/// A client takes an answer within this time, or its connection is closed.
pub const CLIENT_WRITE_TIMEOUT: Time = Time::ms(5000);

/// So many commands running that are none of ours end a client's connection.
pub const MAX_CLIENT_FAULTS: u32 = 16;

/// A router that has no list of members takes clients in after this time all the same.
pub const READY_TIMEOUT: Time = Time::ms(5000);

/// After the signal to stop, requests are taken as usual for this long: the front goes on dealing meanwhile.
pub const STOP_GRACE: Time = Time::ms(500);

/// What is unanswered this long after the signal to stop is failed; the program then ends. A machine's stop
/// takes the longest deadline (three seconds at most) and 0.7 s.
pub fn shutdown_timeout(site: &Deployment) -> Time {
    let longest = site.settings.classes.iter().map(|c| c.client_timeout).max().unwrap_or_default();
    longest.min(Time::ms(3000)).plus(Time::ms(500))
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: u64,
}

impl Default for FileLimits {
    fn default() -> FileLimits {
        FileLimits { sockets: 1024, memory_mb: 192 }
    }
}

/// Reads the file at `path`, our own settings if there is a file of them, and the variables that `variable`
/// looks up.
pub fn load(
    path: &Path,
    settings: Option<&Path>,
    variable: impl Fn(&str) -> Option<String>,
    phase: LoadPhase,
) -> Result<RouterConfig, ConfigError> {
    let shown = path.display().to_string();
    let text = std::fs::read(path).map_err(|e| ConfigError::unread(path, &e))?;
    let mut config = parse(&text, variable, phase)
        .map_err(|e| ConfigError::new(format!("{shown}: {}", e.key), e.problem))?;
    if let Some(path) = settings {
        config.local_settings = local_settings::load(path)?;
        in_fleet(&config)
            .map_err(|e| ConfigError::new(format!("{}: {}", path.display(), e.key), e.problem))?;
    }
    Ok(config)
}

/// Reads the file's text and the variables that `variable` looks up.
pub fn parse(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    phase: LoadPhase,
) -> Result<RouterConfig, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(|e| ConfigError::new("(file)", e.to_string()))?;
    if !value.is_object() {
        return Err(ConfigError::new("(file)", "must be a JSON object"));
    }
    let file: File = typed(value)?;
    let mut overridden_keys = Vec::new();
    let mut pick = |key: &str, name: &str, in_file: Option<String>| {
        let file_wins = phase == LoadPhase::Reload && key == "discovery" && in_file.is_some();
        let outside = variable(name).filter(|v| !v.is_empty() && !file_wins);
        if outside.is_some() && in_file.is_some() && outside != in_file {
            overridden_keys.push(key.to_string());
        }
        let value = outside.or(in_file);
        value.ok_or_else(|| ConfigError::new(key, format!("is missing, and {name} is not set")))
    };
    let name = pick("name", "BALANCER_NAME", file.name)?;
    let listen = address("listen", &pick("listen", "BALANCER_LISTEN", file.listen)?)?;
    let discovery = address("discovery", &pick("discovery", "BALANCER_DISCOVERY", file.discovery)?)?;
    let seed = match file.seed {
        None => 0,
        Some(hex) => u64::from_str_radix(&hex, 16).map_err(|_| {
            ConfigError::new("seed", format!("{hex:?} is not a hexadecimal number of 64 bits"))
        })?,
    };
    if file.limits.sockets < 2 * RESERVED_SOCKETS {
        let problem = format!("must be {} at least", 2 * RESERVED_SOCKETS);
        return Err(ConfigError::new("limits.sockets", problem));
    }
    if !(file.known.is_null() || file.known.is_object()) {
        return Err(ConfigError::new("known", "must be an object"));
    }
    let mut deployment = settings::from_value(file.settings)?;
    in_range(&deployment).map_err(|e| e.under("settings"))?;
    deployment.settings.drain_grace = deployment.settings.drain_grace.minus(HELD_UP);
    let limits = Limits { sockets: file.limits.sockets, memory_mb: file.limits.memory_mb };
    let (known_endpoints, local_settings) = (file.known, LocalSettings::default());
    Ok(RouterConfig {
        name,
        listen,
        discovery,
        seed,
        limits,
        known_endpoints,
        deployment,
        local_settings,
        overridden_keys,
    })
}

/// Names of a fleet that the deployment does not know.
fn in_fleet(config: &RouterConfig) -> Result<(), ConfigError> {
    let Some(fleet) = &config.local_settings.fleet else { return Ok(()) };
    if fleet.names.get(NodeId::of(&config.name)).is_none() {
        return Err(ConfigError::new(
            "fleet.router",
            format!("{:?}, this one, is not on the list", config.name),
        ));
    }
    for limit in &fleet.limits {
        let (what, name, known) = match &limit.subject {
            Subject::Tenant(name) => ("tenant", name, &config.deployment.tenants),
            Subject::Class(name) => ("class", name, &config.deployment.classes),
            Subject::Group(_) | Subject::EachMember | Subject::Budget(_) => continue,
        };
        if !known.contains(name) {
            let key = format!("fleet.limit {:?} {what}", limit.name);
            return Err(ConfigError::new(key, format!("{name:?} is none of the deployment's")));
        }
    }
    Ok(())
}

/// Figures that no deployment can have.
fn in_range(site: &Deployment) -> Result<(), ConfigError> {
    let s = &site.settings;
    let mut above_0 = vec![
        ("quantum".to_string(), s.tick.secs()),
        ("rules.fallMultiple".into(), s.overload_multiple),
        ("bounds.maxAttempts".into(), f64::from(s.max_attempts)),
        ("bounds.connectTimeout".into(), site.connect_timeout.secs()),
    ];
    for (i, class) in s.classes.iter().enumerate() {
        above_0.push((format!("profiles[{i}].aim"), class.latency_objective.secs()));
        above_0.push((format!("profiles[{i}].deadline"), class.client_timeout.secs()));
    }
    if let Some((key, value)) = above_0.into_iter().find(|(_, value)| *value <= 0.0) {
        return Err(ConfigError::new(key, format!("must be above 0, not {value}")));
    }
    match (0.0..=1.0).contains(&s.slow_start_capacity) {
        true => Ok(()),
        false => Err(ConfigError::new("rules.coldFrom", "must lie from 0 to 1")),
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::new(key, format!("{text:?} is not an address with a port")))
}
