//! The local settings: a KDL file named by `--settings` or `BASALTHILL_SETTINGS`. Without it none of the
//! features that it can switch on is on. `deploy/basalthill.kdl` shows every key with its default.

mod fleet;
mod kdl_reader;
mod keys;
mod sessions;

pub use fleet::FleetSettings;
pub use sessions::{SessionSettings, Snapshot};

use crate::{ConfigError, Problem};
use kdl::KdlNode;
use kdl_reader::KdlReader;
use std::path::Path;

/// The content of the file; the defaults without one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// How sessions are kept consistent.
    pub sessions: Option<SessionSettings>,
    /// A client whose connection the router closes between two requests gets a notice before: what it has
    /// sent since then was not read.
    pub close_notice: bool,
    /// The routers that talk to each other, and what they limit together.
    pub fleet: Option<FleetSettings>,
}

/// Reads the file at `path`. An error's key is `PATH:LINE:COLUMN: KEY`.
pub fn load(path: &Path) -> Result<LocalSettings, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::unreadable(path, error))?;
    parse(&text).map_err(|error| error.map_key(|key| format!("{}:{key}", path.display())))
}

/// Reads the file's text. An error's key is `LINE:COLUMN: KEY`.
pub fn parse(text: &str) -> Result<LocalSettings, ConfigError> {
    let document = kdl_reader::parse(text)?;
    let reader = KdlReader::new(text);
    let mut settings = LocalSettings::default();
    for node in document.nodes() {
        match node.name().value() {
            "clients" => settings.close_notice = read_clients(&reader, node)?,
            "fleet" => {
                check_first(&reader, node, settings.fleet.is_some())?;
                settings.fleet = Some(fleet::read(&reader, node)?);
            }
            "sessions" => {
                check_first(&reader, node, settings.sessions.is_some())?;
                settings.sessions = Some(sessions::read(&reader, node)?);
            }
            other => return Err(reader.node_error(node, other, Problem::UnknownKey)),
        }
    }
    Ok(settings)
}

fn check_first(reader: &KdlReader, node: &KdlNode, seen_before: bool) -> Result<(), ConfigError> {
    match seen_before {
        true => Err(reader.node_error(node, node.name().value(), Problem::Duplicate)),
        false => Ok(()),
    }
}

/// The section `clients`: whether a close notice is sent.
fn read_clients(reader: &KdlReader, node: &KdlNode) -> Result<bool, ConfigError> {
    reader.check_entries(node, "clients", 0, &[])?;
    let mut close_notice = false;
    for child in node.iter_children() {
        let key = format!("clients.{}", child.name().value());
        match child.name().value() {
            "farewell" => {
                reader.check_entries(child, &key, 1, &[])?;
                close_notice = reader.flag(child, &key, 0)?;
            }
            _ => return Err(reader.node_error(child, &key, Problem::UnknownKey)),
        }
    }
    Ok(close_notice)
}
