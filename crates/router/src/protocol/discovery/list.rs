//! The endpoint list in the JSON format of service discovery. The keys in JSON are the names of the fields,
//! except for a host's group (`cell`) and role (`rank`).

use super::DiscoveryError;
use serde::Deserialize;

/// The endpoint list, or changes to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostList {
    /// The version of the list.
    pub version: u64,
    /// Whether the list is complete; otherwise it holds changes only.
    #[serde(default)]
    pub full: bool,
    /// The entries of the list.
    #[serde(default)]
    pub servers: Vec<HostEntry>,
}

/// One host in the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HostEntry {
    /// The host's id, which is the same at every router.
    pub id: String,
    /// The address on which it listens.
    pub addr: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its group.
    #[serde(rename = "cell")]
    pub group: u32,
    /// Its state.
    pub state: HostState,
    /// Its weight among the hosts of its group.
    #[serde(default)]
    pub weight: f64,
    /// The Unix time of its last start in milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// Its role, if the entry has one.
    #[serde(default, rename = "rank")]
    pub role: Option<String>,
}

/// A host's state.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Active,
    /// Draining: the host completes the requests that it has, and must not be sent new ones.
    Leaving,
    /// Removed.
    Left,
}

impl HostList {
    /// Parses a list from JSON.
    pub fn parse(text: &[u8]) -> Result<HostList, DiscoveryError> {
        serde_json::from_slice(text).map_err(|error| DiscoveryError::invalid_list(&error))
    }
}
