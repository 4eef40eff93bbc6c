//! The local settings: a KDL file whose path is given by `--settings` or `BASALTHILL_SETTINGS`. Without the
//! file, all features that it configures are off. `deploy/basalthill.kdl` shows every key, and its default
//! where it has one.

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

/// The content of the file. The default values apply if there is no file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalSettings {
    /// The settings of session consistency; `None` if only the platform's rules apply.
    pub sessions: Option<SessionSettings>,
    /// Whether the router sends an error with SQLSTATE 57P01 before it closes a client's connection between
    /// two requests. The error tells the client that the router has read nothing since its last reply.
    pub close_notice: bool,
    /// The fleet of routers and its limits; `None` if this router has no peers.
    pub fleet: Option<FleetSettings>,
}

/// Reads the file at `path`. The key of an error has the form `PATH:LINE:COLUMN: KEY`.
pub fn load(path: &Path) -> Result<LocalSettings, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::unreadable(path, error))?;
    parse(&text).map_err(|error| error.map_key(|key| format!("{}:{key}", path.display())))
}

/// Reads the text of the file. The key of an error has the form `LINE:COLUMN: KEY`.
pub fn parse(text: &str) -> Result<LocalSettings, ConfigError> {
    let document = kdl_reader::parse(text)?;
    let reader = KdlReader::new(text);
    let mut settings = LocalSettings::default();
    for node in document.nodes() {
        match node.name().value() {
            "clients" => settings.close_notice = read_clients(&reader, node)?,
            "fleet" => {
                check_not_repeated(&reader, node, settings.fleet.is_some())?;
                settings.fleet = Some(fleet::read(&reader, node)?);
            }
            "sessions" => {
                check_not_repeated(&reader, node, settings.sessions.is_some())?;
                settings.sessions = Some(sessions::read(&reader, node)?);
            }
            other => return Err(reader.node_error(node, other, Problem::UnknownKey)),
        }
    }
    Ok(settings)
}

/// Rejects a second section of the same name.
fn check_not_repeated(reader: &KdlReader, node: &KdlNode, seen_before: bool) -> Result<(), ConfigError> {
    match seen_before {
        true => Err(reader.node_error(node, node.name().value(), Problem::Duplicate)),
        false => Ok(()),
    }
}

/// Reads the section `clients` and returns whether close notices are sent.
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
