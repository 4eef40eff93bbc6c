//! The endpoint list as discovery writes it, in JSON. The names of the fields are its keys, but for a
//! member's group and role.

use super::DiscoveryError;
use serde::Deserialize;

/// The endpoint list, or a change to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostList {
    /// Its version.
    pub version: u64,
    /// Whether it is the full list, not a change.
    #[serde(default)]
    pub full: bool,
    /// The members in it.
    #[serde(default)]
    pub servers: Vec<HostEntry>,
}

/// A member in a list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostEntry {
    /// Its id, the same at every router.
    pub id: String,
    /// Where it listens.
    pub addr: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its group.
    #[serde(rename = "cell")]
    pub group: u32,
    /// Its state.
    pub state: HostState,
    /// Its weight.
    #[serde(default)]
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 for long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// Its role, where the list shows it.
    #[serde(default, rename = "rank")]
    pub role: Option<String>,
}

/// A member's state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Active,
    /// Draining: it finishes what it has, and wants nothing new.
    Leaving,
    /// Removed.
    Left,
}

impl HostList {
    /// Reads a list from JSON text.
    pub fn parse(text: &[u8]) -> Result<HostList, DiscoveryError> {
        serde_json::from_slice(text).map_err(|error| DiscoveryError::unreadable(&error))
    }
}
