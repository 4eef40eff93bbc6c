//! The settings of a deployment: a JSON object that is part of the router's configuration file and of the
//! simulator's frames.

mod json;

use crate::error::from_json;
use crate::{ConfigError, Problem};
use basalthill_policy::api::*;
use basalthill_session::PlatformFloors;
use json::{ClassJson, ReplicationJson, SettingsJson};
use serde_json::Value;

/// The column of a load report with the member's log position.
const POSITION_COLUMN: &str = "x0";
/// The column of a load report with the member's role.
const ROLE_COLUMN: &str = "x1";

/// Which responses of members contain load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Responses to requests and to health checks.
    InResponses,
    /// Responses to health checks only.
    InProbes,
    /// No responses: members do not report.
    None,
}

/// The settings of a deployment: those of the routing policy, and those that only other modules need.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The settings of the routing policy.
    pub settings: Settings,
    /// Where session floors come from according to the platform's rules.
    pub platform_floors: PlatformFloors,
    /// The time that log positions in the simulator's frames are relative to. On connections to hosts,
    /// positions are Unix times.
    pub position_epoch: Time,
    /// The columns of a load report.
    pub report_columns: Vec<String>,
    /// Which responses contain load reports.
    pub load_reports: LoadReportSource,
    /// The names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of their ids.
    pub tenants: Vec<String>,
    /// The names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The time after which a host closes an idle connection.
    pub idle_timeout: Time,
    /// The time within which a connection to a host must be established; after it, the attempt to connect
    /// fails.
    pub connect_timeout: Time,
}

/// Reads the settings from JSON text.
pub fn read(text: &[u8]) -> Result<Deployment, ConfigError> {
    let value = serde_json::from_slice(text)
        .map_err(|error| ConfigError::invalid("settings", Problem::Syntax(error.to_string())))?;
    from_value(value)
}

/// Reads the settings from a JSON value. The key of an error begins with `settings`.
pub fn from_value(value: Value) -> Result<Deployment, ConfigError> {
    if !value.is_object() {
        return Err(ConfigError::invalid("settings", Problem::WrongType { expected: "an object" }));
    }
    from_json(value).and_then(deployment).map_err(|error| error.under("settings"))
}

fn deployment(json: SettingsJson) -> Result<Deployment, ConfigError> {
    let classes = classes(&json)?;
    let load_reports = load_report_source(&json.reporting.via)?;
    let settings = policy_settings(&json, classes, load_reports)?;
    let platform_floors = platform_floors(&json.replication.token_mode)?;
    Ok(Deployment {
        settings,
        platform_floors,
        position_epoch: Time(json.replication.position_epoch_ns),
        report_columns: json.reporting.columns,
        load_reports,
        classes: json.classes.into_iter().map(|class| class.name).collect(),
        tenants: json.tenants.into_iter().map(|tenant| tenant.name).collect(),
        zones: json.zones,
        idle_timeout: Time(json.bounds.idle_timeout_ns),
        connect_timeout: Time(json.bounds.connect_timeout_ns),
    })
}

fn policy_settings(
    json: &SettingsJson,
    classes: Vec<Class>,
    load_reports: LoadReportSource,
) -> Result<Settings, ConfigError> {
    let reported = |column: &str| {
        load_reports != LoadReportSource::None && json.reporting.columns.iter().any(|name| name == column)
    };
    let SettingsJson { replication, bounds, rules, prices, .. } = json;
    Ok(Settings {
        router: RouterId(json.router_id),
        routers: json.router_count.max(1),
        zone: ZoneId(json.zone),
        tick: Time(json.tick_ns),
        classes,
        tenants: json.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
        over_quota_weight: json.over_quota_weight,
        poll_endpoint_list: json.discovery == "subscribe",
        list_role: list_role(&replication.role_listed)?,
        use_weights: json.weights != "none",
        responses_report_position: replication.positions,
        probes_report_position: reported(POSITION_COLUMN),
        probes_report_role: reported(ROLE_COLUMN),
        when_behind: when_behind(replication)?,
        max_attempts: bounds.max_attempts,
        hedging_allowed: bounds.hedging,
        cancel_allowed: bounds.cancel,
        connection_idle_timeout: Time(bounds.idle_timeout_ns),
        probes_allowed: bounds.probes,
        send_retry_after: bounds.retry_after,
        max_retry_after: Time(bounds.max_retry_after_ns),
        drain_grace: Time(rules.drain_grace_ns),
        ignore_removal: rules.soft_removal,
        slow_start_capacity: rules.slow_start_capacity,
        slow_start_window: Time(rules.slow_start_window_ns),
        overload_multiple: rules.overload_multiple,
        overload_window: Time(rules.overload_window_ns),
        poll_interval: Time(rules.poll_interval_ns),
        price_cross_zone: prices.cross_zone,
        price_waste: prices.waste,
    })
}

fn classes(json: &SettingsJson) -> Result<Vec<Class>, ConfigError> {
    let found = json.replication.consistency.len();
    let expected = json.classes.len();
    if found != expected {
        let problem = Problem::EntryCount { expected, found };
        return Err(ConfigError::invalid("familyInfo.consistency", problem));
    }
    if json.classes.is_empty() {
        return Err(ConfigError::invalid("profiles", Problem::Empty));
    }
    json.classes
        .iter()
        .enumerate()
        .map(|(index, class)| self::class(index, class, &json.replication))
        .collect()
}

fn class(index: usize, json: &ClassJson, replication: &ReplicationJson) -> Result<Class, ConfigError> {
    Ok(Class {
        consistency: consistency(index, replication)?,
        effect: effect(index, &json.effect)?,
        key_scope: key_scope(index, &json.key_scope)?,
        deduplication_window: Time(json.window_ns),
        latency_objective: Time(json.latency_objective_ns),
        client_timeout: Time(json.deadline_ns),
        priority_weight: json.priority_weight,
        late_weight: json.late_weight,
    })
}

fn consistency(index: usize, replication: &ReplicationJson) -> Result<Consistency, ConfigError> {
    match replication.consistency[index].as_str() {
        "eventual" => Ok(Consistency::Eventual),
        "lag_bound" => match replication.max_lag_ns.get(index) {
            Some(max_lag_ns) => Ok(Consistency::BoundedStaleness(Time(*max_lag_ns))),
            None => Err(ConfigError::invalid(format!("familyInfo.lagAllowed[{index}]"), Problem::Missing)),
        },
        "causal" => Ok(Consistency::Session),
        "strong" => Ok(Consistency::Strong),
        "mutate" => Ok(Consistency::Write),
        other => {
            let expected = "eventual, lag_bound, causal, strong, mutate";
            Err(not_one_of(format!("familyInfo.consistency[{index}]"), other, expected))
        }
    }
}

fn effect(index: usize, word: &str) -> Result<Effect, ConfigError> {
    let choices = [
        ("idempotent", Effect::Idempotent),
        ("deduplicated", Effect::IdempotentByKey),
        ("at_most_once", Effect::NonIdempotent),
    ];
    one_of(format!("profiles[{index}].effect"), word, &choices)
}

fn key_scope(index: usize, word: &str) -> Result<KeyScope, ConfigError> {
    let choices =
        [("", KeyScope::All), ("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Group)];
    one_of(format!("profiles[{index}].keyScope"), word, &choices)
}

fn load_report_source(word: &str) -> Result<LoadReportSource, ConfigError> {
    let choices = [
        ("answers", LoadReportSource::InResponses),
        ("probe", LoadReportSource::InProbes),
        ("none", LoadReportSource::None),
    ];
    one_of("reporting.via", word, &choices)
}

fn list_role(word: &str) -> Result<ListRole, ConfigError> {
    let choices = [("trailing", ListRole::Late), ("static", ListRole::Start), ("none", ListRole::None)];
    one_of("familyInfo.roleListed", word, &choices)
}

fn when_behind(replication: &ReplicationJson) -> Result<WhenBehind, ConfigError> {
    match replication.when_behind.as_str() {
        "none" => Ok(WhenBehind::ServeStale),
        "bounce" => Ok(WhenBehind::Reject),
        "await" => Ok(WhenBehind::Wait(Time(replication.wait_limit_ns))),
        other => Err(not_one_of("familyInfo.whenBehind", other, "none, bounce, await")),
    }
}

fn platform_floors(word: &str) -> Result<PlatformFloors, ConfigError> {
    let choices = [("brought", PlatformFloors::FromRequest), ("kept", PlatformFloors::Remembered)];
    one_of("familyInfo.tokenMode", word, &choices)
}

/// Returns the value of the choice with this word, or an error that lists all choices.
fn one_of<T: Copy>(key: impl Into<String>, word: &str, choices: &[(&str, T)]) -> Result<T, ConfigError> {
    match choices.iter().find(|(choice, _)| *choice == word) {
        Some((_, value)) => Ok(*value),
        None => {
            // The empty string stands for a key that is left out.
            let words = choices.iter().map(|(choice, _)| *choice).filter(|choice| !choice.is_empty());
            let words: Vec<&str> = words.collect();
            Err(not_one_of(key, word, &words.join(", ")))
        }
    }
}

/// Creates the error for a string that is not one of the allowed values.
fn not_one_of(key: impl Into<String>, word: &str, expected: &str) -> ConfigError {
    let problem = Problem::NotOneOf { value: word.to_string(), expected: expected.to_string() };
    ConfigError::invalid(key, problem)
}
