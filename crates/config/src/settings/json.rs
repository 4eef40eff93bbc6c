//! The JSON form of the settings. The platform defines the keys; all times are in nanoseconds.

use serde::Deserialize;

/// The default of `overShareWorth`: a request beyond its tenant's quota has the same weight as one within it.
fn default_over_quota_weight() -> f64 {
    1.0
}

/// The default of `bounds.connIdle`: 15 s.
fn default_idle_timeout_ns() -> u64 {
    15_000_000_000
}

/// The default of `bounds.connectTimeout`: 250 ms.
fn default_connect_timeout_ns() -> u64 {
    250_000_000
}

#[derive(Deserialize)]
pub(super) struct SettingsJson {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(rename = "balancers")]
    pub router_count: u32,
    #[serde(rename = "me")]
    pub router_id: u16,
    #[serde(default)]
    pub zone: u16,
    #[serde(rename = "quantum")]
    pub tick_ns: u64,
    #[serde(rename = "profiles")]
    pub classes: Vec<ClassJson>,
    #[serde(rename = "parties", default)]
    pub tenants: Vec<TenantJson>,
    #[serde(rename = "overShareWorth", default = "default_over_quota_weight")]
    pub over_quota_weight: f64,
    pub discovery: String,
    #[serde(default)]
    pub weights: String,
    #[serde(rename = "familyInfo")]
    pub replication: ReplicationJson,
    pub bounds: BoundsJson,
    pub rules: RulesJson,
    pub reporting: ReportingJson,
    #[serde(default)]
    pub prices: PricesJson,
}

/// A class of requests.
#[derive(Deserialize)]
pub(super) struct ClassJson {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "aim")]
    pub latency_objective_ns: u64,
    #[serde(rename = "deadline")]
    pub deadline_ns: u64,
    pub effect: String,
    #[serde(rename = "keyScope", default)]
    pub key_scope: String,
    #[serde(rename = "lateWorth", default)]
    pub late_weight: f64,
    #[serde(rename = "window", default)]
    pub window_ns: u64,
    #[serde(rename = "credit")]
    pub priority_weight: f64,
}

#[derive(Deserialize)]
pub(super) struct TenantJson {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "quotaPerS")]
    pub quota_per_s: f64,
}

/// How members replicate, and which consistency each class of requests needs.
#[derive(Deserialize)]
pub(super) struct ReplicationJson {
    /// The consistency of each class, in the order of `profiles`.
    pub consistency: Vec<String>,
    /// The maximum lag for each class, in the order of `profiles`; only classes of bounded staleness use it.
    #[serde(rename = "lagAllowed", default)]
    pub max_lag_ns: Vec<u64>,
    #[serde(rename = "patience", default)]
    pub wait_limit_ns: u64,
    pub positions: bool,
    #[serde(rename = "roleListed")]
    pub role_listed: String,
    #[serde(rename = "tokenMode")]
    pub token_mode: String,
    #[serde(rename = "whenBehind")]
    pub when_behind: String,
    #[serde(rename = "zero")]
    pub position_epoch_ns: u64,
}

#[derive(Deserialize)]
pub(super) struct BoundsJson {
    #[serde(rename = "connIdle", default = "default_idle_timeout_ns")]
    pub idle_timeout_ns: u64,
    #[serde(rename = "connectTimeout", default = "default_connect_timeout_ns")]
    pub connect_timeout_ns: u64,
    pub cancel: bool,
    #[serde(rename = "maxAttempts")]
    pub max_attempts: u32,
    #[serde(rename = "maxRetryAfter", default)]
    pub max_retry_after_ns: u64,
    #[serde(rename = "parallelTries")]
    pub hedging: bool,
    pub probes: bool,
    #[serde(rename = "retryAfter")]
    pub retry_after: bool,
}

#[derive(Deserialize)]
pub(super) struct RulesJson {
    #[serde(rename = "askEvery", default)]
    pub poll_interval_ns: u64,
    #[serde(rename = "coldFrom")]
    pub slow_start_capacity: f64,
    #[serde(rename = "drainGrace")]
    pub drain_grace_ns: u64,
    #[serde(rename = "fall")]
    pub overload_window_ns: u64,
    #[serde(rename = "fallMultiple")]
    pub overload_multiple: f64,
    #[serde(rename = "warmWithin")]
    pub slow_start_window_ns: u64,
    #[serde(rename = "softRemoval", default)]
    pub soft_removal: bool,
}

/// The load reports of members: their columns, and which responses contain them.
#[derive(Deserialize)]
pub(super) struct ReportingJson {
    #[serde(default)]
    pub columns: Vec<String>,
    pub via: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct PricesJson {
    #[serde(rename = "crossZone")]
    pub cross_zone: f64,
    pub waste: f64,
}
