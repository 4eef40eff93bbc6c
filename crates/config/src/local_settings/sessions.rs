//! The section `sessions`: how the router makes a session's reads see its writes.

use super::kdl_reader::KdlReader;
use super::keys;
use crate::{ConfigError, Problem};
use basalthill_policy::api::Time;
use basalthill_session::{DefaultFloor, SessionConfig, TokenDelivery};
use kdl::KdlNode;
use std::path::PathBuf;

/// The settings of session consistency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// How read floors are determined.
    pub config: SessionConfig,
    /// The file that keeps the session-floor table from a graceful stop to the next start, if there is one.
    pub snapshot: Option<Snapshot>,
}

/// The snapshot of the session-floor table, on a disk that outlives the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The path of the file.
    pub path: PathBuf,
    /// At the start, a snapshot older than this is rejected.
    pub max_age: Time,
}

/// The default of `skew-ms`.
const DEFAULT_SKEW: Time = Time::ms(5);
/// The default of `settle-ms`.
const DEFAULT_SETTLE_TIME: Time = Time::ms(3000);
/// The default of `lead-ms`.
const DEFAULT_LEAD: Time = Time::ms(50);
/// The default of `max-age-s` of tokens: one day.
const DEFAULT_TOKEN_AGE_S: u64 = 24 * 3600;
/// The default of `max-age-s` of the snapshot.
const DEFAULT_SNAPSHOT_AGE_S: u64 = 300;
/// The largest `max-age-s`: 366 days.
const MAX_AGE_S: i128 = 366 * 24 * 3600;

/// Reads the section.
pub(super) fn read(reader: &KdlReader, node: &KdlNode) -> Result<SessionSettings, ConfigError> {
    reader.check_entries(node, "sessions", 0, &["floor"])?;
    let mut config = SessionConfig {
        default_floor: read_default_floor(reader, node)?,
        skew: DEFAULT_SKEW,
        settle_time: DEFAULT_SETTLE_TIME,
        lead: DEFAULT_LEAD,
        token_delivery: TokenDelivery::Never,
        early_tokens: false,
        keys: None,
    };
    let mut snapshot = None;
    let mut seen = Vec::new();
    for child in node.iter_children() {
        let name = child.name().value();
        let key = format!("sessions.{name}");
        if seen.contains(&name) {
            return Err(reader.node_error(child, &key, Problem::Duplicate));
        }
        seen.push(name);
        match name {
            "skew-ms" => config.skew = reader.milliseconds(child, &key)?,
            "settle-ms" => config.settle_time = reader.milliseconds(child, &key)?,
            "lead-ms" => config.lead = reader.milliseconds(child, &key)?,
            "tokens" => read_tokens(reader, child, &mut config)?,
            "snapshot" => snapshot = Some(read_snapshot(reader, child, &key)?),
            _ => return Err(reader.node_error(child, &key, Problem::UnknownKey)),
        }
    }
    Ok(SessionSettings { config, snapshot })
}

fn read_default_floor(reader: &KdlReader, node: &KdlNode) -> Result<DefaultFloor, ConfigError> {
    let choices = [
        ("platform", DefaultFloor::Platform),
        ("nothing", DefaultFloor::RememberedOnly),
        ("router", DefaultFloor::RouterStart),
        ("connection", DefaultFloor::ConnectionAccept),
        ("arrival", DefaultFloor::ReadArrival),
    ];
    reader.one_of(node, "sessions.floor", "floor", &choices)
}

fn read_snapshot(reader: &KdlReader, node: &KdlNode, key: &str) -> Result<Snapshot, ConfigError> {
    reader.check_entries(node, key, 1, &["max-age-s"])?;
    let path = PathBuf::from(reader.text(node, key, 0)?);
    let max_age = read_max_age(reader, node, key, DEFAULT_SNAPSHOT_AGE_S)?;
    Ok(Snapshot { path, max_age })
}

fn read_tokens(reader: &KdlReader, node: &KdlNode, config: &mut SessionConfig) -> Result<(), ConfigError> {
    let key = "sessions.tokens";
    reader.check_entries(node, key, 0, &["with", "early", "max-age-s"])?;
    config.token_delivery = read_token_delivery(reader, node)?;
    config.early_tokens = reader.flag(node, "sessions.tokens.early", "early")?;
    let max_age = read_max_age(reader, node, key, DEFAULT_TOKEN_AGE_S)?;
    if let Some(child) = node.iter_children().find(|child| child.name().value() != "key") {
        let key = format!("{key}.{}", child.name().value());
        return Err(reader.node_error(child, &key, Problem::UnknownKey));
    }
    config.keys = Some(keys::read(reader, node, key, max_age)?);
    Ok(())
}

fn read_token_delivery(reader: &KdlReader, node: &KdlNode) -> Result<TokenDelivery, ConfigError> {
    let choices = [
        ("writes", TokenDelivery::WritesOnly),
        ("reads", TokenDelivery::WritesAndReads),
        ("nothing", TokenDelivery::Never),
    ];
    reader.one_of(node, "sessions.tokens.with", "with", &choices)
}

fn read_max_age(
    reader: &KdlReader,
    node: &KdlNode,
    parent: &str,
    default_s: u64,
) -> Result<Time, ConfigError> {
    let seconds = reader.integer(node, &format!("{parent}.max-age-s"), "max-age-s", 1..=MAX_AGE_S)?;
    Ok(Time::ms(seconds.unwrap_or(default_s) * 1000))
}
