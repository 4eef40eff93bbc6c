//! The configuration of one router: a JSON file (`--config` or `BALANCER_CONFIG`) and environment variables.
//!
//! At startup, an environment variable overrides the key in the file. On a reload, `discovery` is taken from
//! the file if the file has it, because the environment of a running process does not change.

mod resource_limits;
mod timeouts;

pub use resource_limits::{Limits, RESERVED_SOCKETS};
pub use timeouts::*;

use crate::error::from_json;
use crate::local_settings::{self, LocalSettings};
use crate::settings::{self, Deployment};
use crate::{ConfigError, Problem};
use basalthill_fleet::{NodeId, Subject};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// The key of errors that concern the file as a whole.
const FILE_KEY: &str = "(file)";

/// The configuration of a router after all checks.
#[derive(Debug)]
pub struct RouterConfig {
    /// The name of the router; it stays the same when the router restarts.
    pub name: String,
    /// The address on which the router accepts clients.
    pub listen: SocketAddr,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// The seed of the router's random numbers, different at each start.
    pub seed: u64,
    /// The resources that the router may use.
    pub limits: Limits,
    /// The last endpoint list that this router received, in the JSON format of service discovery; `null`
    /// if there is none.
    pub known_endpoints: Value,
    /// The settings of the deployment.
    pub deployment: Deployment,
    /// The local settings; the defaults if there is no file of local settings.
    pub local_settings: LocalSettings,
    /// The keys of the file whose values an environment variable overrides with another value.
    pub overridden_keys: Vec<String>,
}

/// When the configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPhase {
    /// While the router starts.
    Startup,
    /// While the router runs.
    Reload,
}

impl RouterConfig {
    /// Returns the keys whose values differ in a reloaded configuration and take effect only after a restart.
    pub fn keys_requiring_restart(&self, reloaded: &RouterConfig) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != reloaded.name),
            ("listen", self.listen != reloaded.listen),
            ("limits", self.limits != reloaded.limits),
            ("settings", self.deployment != reloaded.deployment),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

/// The JSON file. `known` is the last endpoint list, `settings` the settings of the deployment.
#[derive(Deserialize)]
struct RouterJson {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsJson,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsJson {
    sockets: usize,
    memory_mb: u64,
}

impl Default for LimitsJson {
    fn default() -> LimitsJson {
        LimitsJson { sockets: 1024, memory_mb: 192 }
    }
}

/// Reads the configuration file at `path`, the file of local settings if its path is given, and the
/// environment variables, whose values `variable` returns.
pub fn load(
    path: &Path,
    local_settings_path: Option<&Path>,
    variable: impl Fn(&str) -> Option<String>,
    phase: LoadPhase,
) -> Result<RouterConfig, ConfigError> {
    let text = std::fs::read(path).map_err(|error| ConfigError::unreadable(path, error))?;
    let in_file = |path: &Path, key: String| format!("{}: {key}", path.display());
    let mut config =
        parse(&text, variable, phase).map_err(|error| error.map_key(|key| in_file(path, key)))?;
    if let Some(path) = local_settings_path {
        config.local_settings = local_settings::load(path)?;
        check_fleet_names(&config).map_err(|error| error.map_key(|key| in_file(path, key)))?;
    }
    Ok(config)
}

/// Reads the text of a configuration file and the environment variables, whose values `variable` returns. The
/// local settings are the defaults.
pub fn parse(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    phase: LoadPhase,
) -> Result<RouterConfig, ConfigError> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|error| ConfigError::invalid(FILE_KEY, Problem::Syntax(error.to_string())))?;
    if !value.is_object() {
        let problem = Problem::WrongType { expected: "a JSON object" };
        return Err(ConfigError::invalid(FILE_KEY, problem));
    }
    let file: RouterJson = from_json(value)?;
    let mut sources = Sources { variable, phase, overridden_keys: Vec::new() };
    let name = sources.pick("name", "BALANCER_NAME", file.name)?;
    let listen = address("listen", &sources.pick("listen", "BALANCER_LISTEN", file.listen)?)?;
    let discovery = sources.pick("discovery", "BALANCER_DISCOVERY", file.discovery)?;
    let discovery = address("discovery", &discovery)?;
    Ok(RouterConfig {
        name,
        listen,
        discovery,
        seed: seed(file.seed)?,
        limits: limits(&file.limits)?,
        known_endpoints: known_endpoints(file.known)?,
        deployment: deployment(file.settings)?,
        local_settings: LocalSettings::default(),
        overridden_keys: sources.overridden_keys,
    })
}

/// Chooses between the file and the environment, which may both give a value for a key.
struct Sources<V> {
    variable: V,
    phase: LoadPhase,
    overridden_keys: Vec<String>,
}

impl<V: Fn(&str) -> Option<String>> Sources<V> {
    /// Returns the value in effect for a key, and records the key if the environment overrides the file.
    fn pick(
        &mut self,
        key: &str,
        variable: &'static str,
        in_file: Option<String>,
    ) -> Result<String, ConfigError> {
        let file_has_precedence = self.phase == LoadPhase::Reload && key == "discovery" && in_file.is_some();
        let in_environment =
            (self.variable)(variable).filter(|value| !value.is_empty() && !file_has_precedence);
        if in_environment.is_some() && in_file.is_some() && in_environment != in_file {
            self.overridden_keys.push(key.to_string());
        }
        let value = in_environment.or(in_file);
        value.ok_or_else(|| ConfigError::invalid(key, Problem::NotSet { variable }))
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::invalid(key, Problem::NotAnAddress { value: text.to_string() }))
}

fn seed(hexadecimal: Option<String>) -> Result<u64, ConfigError> {
    let Some(value) = hexadecimal else { return Ok(0) };
    match u64::from_str_radix(&value, 16) {
        Ok(seed) => Ok(seed),
        Err(_) => Err(ConfigError::invalid("seed", Problem::NotHexadecimal { value })),
    }
}

fn limits(json: &LimitsJson) -> Result<Limits, ConfigError> {
    let min = 2 * RESERVED_SOCKETS;
    if json.sockets < min {
        let problem = Problem::TooSmall { value: json.sockets, min };
        return Err(ConfigError::invalid("limits.sockets", problem));
    }
    Ok(Limits { sockets: json.sockets, memory_mb: json.memory_mb })
}

fn known_endpoints(value: Value) -> Result<Value, ConfigError> {
    match value.is_null() || value.is_object() {
        true => Ok(value),
        false => Err(ConfigError::invalid("known", Problem::WrongType { expected: "an object" })),
    }
}

fn deployment(settings: Value) -> Result<Deployment, ConfigError> {
    let mut deployment = settings::from_value(settings)?;
    check_ranges(&deployment).map_err(|error| error.under("settings"))?;
    deployment.settings.drain_grace = deployment.settings.drain_grace.minus(MAX_SCHEDULING_DELAY);
    Ok(deployment)
}

/// Rejects numbers that are not valid in any deployment.
fn check_ranges(deployment: &Deployment) -> Result<(), ConfigError> {
    let settings = &deployment.settings;
    positive("quantum", settings.tick.secs())?;
    positive("rules.fallMultiple", settings.overload_multiple)?;
    positive("bounds.maxAttempts", f64::from(settings.max_attempts))?;
    positive("bounds.connectTimeout", deployment.connect_timeout.secs())?;
    for (index, class) in settings.classes.iter().enumerate() {
        positive(&format!("profiles[{index}].aim"), class.latency_objective.secs())?;
        positive(&format!("profiles[{index}].deadline"), class.client_timeout.secs())?;
    }
    let value = settings.slow_start_capacity;
    match (0.0..=1.0).contains(&value) {
        true => Ok(()),
        false => Err(ConfigError::invalid("rules.coldFrom", Problem::NotAFraction { value })),
    }
}

fn positive(key: &str, value: f64) -> Result<(), ConfigError> {
    match value <= 0.0 {
        true => Err(ConfigError::invalid(key, Problem::NotPositive { value })),
        false => Ok(()),
    }
}

/// Rejects a fleet that does not list this router, and limits on tenants or classes that the deployment does
/// not have.
fn check_fleet_names(config: &RouterConfig) -> Result<(), ConfigError> {
    let Some(fleet) = &config.local_settings.fleet else { return Ok(()) };
    if fleet.roster.get(NodeId::of(&config.name)).is_none() {
        let problem = Problem::RouterNotInFleet { name: config.name.clone() };
        return Err(ConfigError::invalid("fleet.router", problem));
    }
    for limit in &fleet.limits {
        let (kind, name, in_deployment) = match &limit.subject {
            Subject::Tenant(name) => ("tenant", name, &config.deployment.tenants),
            Subject::Class(name) => ("class", name, &config.deployment.classes),
            Subject::Group(_) | Subject::EachMember | Subject::Budget(_) => continue,
        };
        if !in_deployment.contains(name) {
            let key = format!("fleet.limit {:?} {kind}", limit.name);
            return Err(ConfigError::invalid(key, Problem::NotInDeployment { name: name.clone() }));
        }
    }
    Ok(())
}
