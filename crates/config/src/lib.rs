//! The one place where configuration is read, checked and given defaults: the settings of a deployment (for
//! both programs), what the router is told about itself, and our own settings.
#[path = "own.rs"]
pub mod local_settings;
pub mod router;
pub mod settings;

use std::fmt;
use std::path::Path;

/// What is wrong with a configuration; names the key at fault by its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key, like `settings.familyInfo.consistency[2]`.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
    /// A file could not be read at all, and why.
    pub unread: Option<std::io::ErrorKind>,
}

impl ConfigError {
    /// A problem with a key.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.into(), unread: None }
    }

    /// A file that could not be read.
    fn unread(path: &Path, error: &std::io::Error) -> ConfigError {
        let (key, problem) = (path.display().to_string(), error.to_string());
        ConfigError { key, problem, unread: Some(error.kind()) }
    }

    /// No configuration file is named, by variable or argument.
    pub fn no_config_file() -> ConfigError {
        ConfigError::new("BALANCER_CONFIG", "is not set, and no --config is given")
    }

    /// Whether a file could not be read at all, as while it is being replaced.
    pub fn is_unreadable(&self) -> bool {
        self.unread.is_some()
    }

    fn under(self, parent: &str) -> ConfigError {
        let key = if self.key.is_empty() { parent.into() } else { format!("{parent}.{}", self.key) };
        ConfigError { key, ..self }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

/// Reads a JSON value into a type; a fault names the path of the key.
fn typed<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        ConfigError::new(if path == "." { String::new() } else { path }, e.inner().to_string())
    })
}
