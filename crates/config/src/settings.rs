//! The settings of a deployment: one JSON object, on the bench's wire and in the router's file alike.

use crate::{typed, ConfigError};
use basalthill_policy::api::*;
use basalthill_session::PlatformFloors;
use serde::Deserialize;
use serde_json::Value;

/// How members report on themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// In answers and in answers to probes.
    InAnswers,
    /// In answers to probes alone.
    InProbes,
    /// Not at all.
    None,
}

/// A deployment: what the decisions are told, and what only the parts round them need.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// What the decisions are told.
    pub settings: Settings,
    /// How session floors are known.
    pub tokens: PlatformFloors,
    /// Where positions count from on the bench's wire. On sockets they are Unix times.
    pub zero: Time,
    /// Names of a report's values.
    pub report_columns: Vec<String>,
    /// How members report.
    pub load_reports: LoadReportSource,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their ids.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// A connection idle for this long is closed by its member.
    pub conn_idle: Time,
    /// A connection that is not up within this has failed.
    pub connect_timeout: Time,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Text {
    #[serde(default)]
    zones: Vec<String>,
    balancers: u32,
    me: u16,
    #[serde(default)]
    zone: u16,
    quantum: u64,
    profiles: Vec<Profile>,
    #[serde(default)]
    parties: Vec<Party>,
    #[serde(default = "one")]
    over_share_worth: f64,
    discovery: String,
    #[serde(default)]
    weights: String,
    family_info: Family,
    bounds: Bounds,
    rules: Rules,
    reporting: Reporting,
    #[serde(default)]
    prices: Prices,
}

fn one() -> f64 {
    1.0
}

fn conn_idle() -> u64 {
    15_000_000_000
}

fn connect_timeout() -> u64 {
    250_000_000
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Profile {
    #[serde(default)]
    name: String,
    aim: u64,
    deadline: u64,
    effect: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    window: u64,
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Party {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    consistency: Vec<String>,
    #[serde(default)]
    lag_allowed: Vec<u64>,
    #[serde(default)]
    patience: u64,
    positions: bool,
    role_listed: String,
    token_mode: String,
    when_behind: String,
    zero: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    #[serde(default = "conn_idle")]
    conn_idle: u64,
    #[serde(default = "connect_timeout")]
    connect_timeout: u64,
    cancel: bool,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: u64,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    ask_every: u64,
    cold_from: f64,
    drain_grace: u64,
    fall: u64,
    fall_multiple: f64,
    warm_within: u64,
    #[serde(default)]
    soft_removal: bool,
}

#[derive(Deserialize)]
struct Reporting {
    #[serde(default)]
    columns: Vec<String>,
    via: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Prices {
    cross_zone: f64,
    waste: f64,
}

/// Reads the settings from their text.
pub fn read(text: &[u8]) -> Result<Deployment, ConfigError> {
    let value = serde_json::from_slice(text).map_err(|e| ConfigError::new("settings", e.to_string()))?;
    from_value(value)
}

/// Reads the settings from a JSON value.
pub fn from_value(value: Value) -> Result<Deployment, ConfigError> {
    if !value.is_object() {
        return Err(ConfigError::new("settings", "must be an object"));
    }
    site(typed(value).map_err(|e| e.under("settings"))?).map_err(|e| e.under("settings"))
}

fn site(t: Text) -> Result<Deployment, ConfigError> {
    let f = &t.family_info;
    if f.consistency.len() != t.profiles.len() {
        let (has, wants) = (f.consistency.len(), t.profiles.len());
        let problem = format!("has {has} entries, but profiles has {wants}");
        return Err(ConfigError::new("familyInfo.consistency", problem));
    }
    if t.profiles.is_empty() {
        return Err(ConfigError::new("profiles", "must not be empty"));
    }
    let unknown = |key: String, word: &str| ConfigError::new(key, format!("{word:?} is unknown"));
    let mut classes = Vec::new();
    for (i, p) in t.profiles.iter().enumerate() {
        let consistency = match f.consistency[i].as_str() {
            "eventual" => Consistency::Eventual,
            "lag_bound" => {
                let missing = || ConfigError::new(format!("familyInfo.lagAllowed[{i}]"), "is missing");
                Consistency::BoundedStaleness(Time(f.lag_allowed.get(i).copied().ok_or_else(missing)?))
            }
            "causal" => Consistency::Session,
            "strong" => Consistency::Strong,
            "mutate" => Consistency::Write,
            other => return Err(unknown(format!("familyInfo.consistency[{i}]"), other)),
        };
        let effect = match p.effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "deduplicated" => Effect::IdempotentByKey,
            "at_most_once" => Effect::NonIdempotent,
            other => return Err(unknown(format!("profiles[{i}].effect"), other)),
        };
        let scope = match p.key_scope.as_str() {
            "" | "all" => KeyScope::All,
            "zone" => KeyScope::Zone,
            "cell" => KeyScope::Group,
            other => return Err(unknown(format!("profiles[{i}].keyScope"), other)),
        };
        classes.push(Class {
            consistency,
            effect,
            scope,
            window: Time(p.window),
            latency_objective: Time(p.aim),
            client_timeout: Time(p.deadline),
            priority_weight: p.credit,
            late_weight: p.late_worth,
        });
    }
    let reports = match t.reporting.via.as_str() {
        "answers" => LoadReportSource::InAnswers,
        "probe" => LoadReportSource::InProbes,
        "none" => LoadReportSource::None,
        other => return Err(unknown("reporting.via".into(), other)),
    };
    let column =
        |name: &str| reports != LoadReportSource::None && t.reporting.columns.iter().any(|c| c == name);
    let settings = Settings {
        router: RouterId(t.me),
        routers: t.balancers.max(1),
        zone: ZoneId(t.zone),
        tick: Time(t.quantum),
        classes,
        tenants: t.parties.iter().map(|p| Tenant { quota_per_s: p.quota_per_s }).collect(),
        over_quota_weight: t.over_share_worth,
        poll_endpoint_list: t.discovery == "subscribe",
        list_role: match f.role_listed.as_str() {
            "trailing" => ListRole::Late,
            "static" => ListRole::Start,
            "none" => ListRole::None,
            other => return Err(unknown("familyInfo.roleListed".into(), other)),
        },
        weights: t.weights != "none",
        positions: f.positions,
        probe_positions: column("x0"),
        probe_roles: column("x1"),
        when_behind: match f.when_behind.as_str() {
            "none" => WhenBehind::ServeStale,
            "bounce" => WhenBehind::Reject,
            "await" => WhenBehind::Wait(Time(f.patience)),
            other => return Err(unknown("familyInfo.whenBehind".into(), other)),
        },
        max_attempts: t.bounds.max_attempts,
        hedging: t.bounds.parallel_tries,
        cancel: t.bounds.cancel,
        conn_idle: Time(t.bounds.conn_idle),
        probes: t.bounds.probes,
        retry_after: t.bounds.retry_after,
        max_retry_after: Time(t.bounds.max_retry_after),
        drain_grace: Time(t.rules.drain_grace),
        only_draining_binds: t.rules.soft_removal,
        slow_start_capacity: t.rules.cold_from,
        slow_start_window: Time(t.rules.warm_within),
        overload_multiple: t.rules.fall_multiple,
        overload_window: Time(t.rules.fall),
        poll_interval: Time(t.rules.ask_every),
        price_cross_zone: t.prices.cross_zone,
        price_waste: t.prices.waste,
    };
    let tokens = match f.token_mode.as_str() {
        "brought" => PlatformFloors::FromRequest,
        "kept" => PlatformFloors::Remembered,
        other => return Err(unknown("familyInfo.tokenMode".into(), other)),
    };
    Ok(Deployment {
        settings,
        tokens,
        zero: Time(f.zero),
        report_columns: t.reporting.columns,
        load_reports: reports,
        classes: t.profiles.into_iter().map(|p| p.name).collect(),
        tenants: t.parties.into_iter().map(|p| p.name).collect(),
        zones: t.zones,
        conn_idle: Time(t.bounds.conn_idle),
        connect_timeout: Time(t.bounds.connect_timeout),
    })
}
