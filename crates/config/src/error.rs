//! Errors of reading and checking a configuration.

use basalthill_session::token::MIN_SECRET_LEN;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::path::Path;

/// Why a configuration can't be used. Its `Display` form is one line that names the file or the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file can't be opened or read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A key is missing, unknown or has an invalid value.
    #[error("{key}: {problem}")]
    Invalid {
        /// The path of the key, like `settings.familyInfo.consistency[2]`, after the file, line and column
        /// where these are known.
        key: String,
        /// The problem with the key.
        problem: Problem,
    },
}

/// A problem with a key, with the value that was found and the values that are allowed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not valid JSON or KDL; the message is the parser's.
    #[error("{0}")]
    Syntax(String),
    /// A JSON value does not have the type of its key; the message is the deserializer's.
    #[error("{0}")]
    Mistyped(String),
    /// A value does not have the type of its key.
    #[error("must be {expected}")]
    WrongType {
        /// The type of the key.
        expected: &'static str,
    },
    /// Neither `--config` nor `BALANCER_CONFIG` names a configuration file.
    #[error("is not set, and no --config is given")]
    NoConfigFile,
    /// A required key is neither in the file nor set by its environment variable.
    #[error("is missing, and {variable} is not set")]
    NotSet {
        /// The environment variable that can set the key.
        variable: &'static str,
    },
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// A key that the format does not have.
    #[error("unknown key")]
    UnknownKey,
    /// A string is not one of the values that the key allows.
    #[error("unknown value {value:?}, expected one of {expected}")]
    NotOneOf {
        /// The string.
        value: String,
        /// The allowed values, separated by commas.
        expected: String,
    },
    /// A key or section that may occur once occurs a second time.
    #[error("is given more than once")]
    Duplicate,
    /// Two entries of a list have the same name.
    #[error("name {name:?} is given more than once")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// Two keys for signatures have the same number.
    #[error("key number {number} is given more than once")]
    DuplicateKeyNumber {
        /// The number.
        number: u64,
    },
    /// A KDL node has too few or too many arguments.
    #[error("takes {expected} argument(s), found {found}")]
    ArgumentCount {
        /// The number of arguments that the node takes.
        expected: usize,
        /// The number of arguments in the file.
        found: usize,
    },
    /// An array with one entry for each class has another length than `profiles`, the list of classes.
    #[error("has {found} entries, expected {expected}: one for each entry of profiles")]
    EntryCount {
        /// The number of classes.
        expected: usize,
        /// The number of entries.
        found: usize,
    },
    /// An array that needs at least one entry has none.
    #[error("must not be empty")]
    Empty,
    /// A value is not an integer, or is out of range.
    #[error("must be an integer from {min} to {max}, found {value}")]
    NotAnInteger {
        /// The value as written.
        value: String,
        /// The smallest allowed value.
        min: i128,
        /// The largest allowed value.
        max: i128,
    },
    /// A value is not a number, or is out of range.
    #[error("must be a number from {min} to {max}, found {value}")]
    NotANumber {
        /// The value as written.
        value: String,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A number is below its minimum.
    #[error("must be at least {min}, found {value}")]
    TooSmall {
        /// The number.
        value: usize,
        /// The smallest allowed value.
        min: usize,
    },
    /// A number is zero or negative.
    #[error("must be greater than 0, found {value}")]
    NotPositive {
        /// The number.
        value: f64,
    },
    /// A fraction is not between 0 and 1.
    #[error("must be from 0 to 1, found {value}")]
    NotAFraction {
        /// The number.
        value: f64,
    },
    /// A string is not a socket address.
    #[error("invalid address {value:?}, expected IP:PORT")]
    NotAnAddress {
        /// The string.
        value: String,
    },
    /// A string is not a hexadecimal integer, or the integer does not fit into 64 bits.
    #[error("invalid value {value:?}, expected a hexadecimal integer of at most 64 bits")]
    NotHexadecimal {
        /// The string.
        value: String,
    },
    /// The secret of a key is too short or not hexadecimal. The message does not contain the secret.
    #[error("the secret must be at least {MIN_SECRET_LEN} bytes in hexadecimal digits")]
    UnusableSecret,
    /// More than one key is marked as the signing key.
    #[error("only one key may have signs=#true, found a second")]
    SeveralSigningKeys,
    /// No key is marked as the signing key.
    #[error("one key must have signs=#true, found none")]
    NoSigningKey,
    /// The names of two routers hash to the same id.
    #[error("the names {first:?} and {second:?} hash to the same router id; rename one of the routers")]
    NameCollision {
        /// The name that is listed first in the file.
        first: String,
        /// The other name.
        second: String,
    },
    /// The fleet's list of routers does not contain the router itself.
    #[error("the list has no router {name:?}, the name of this router")]
    RouterNotInFleet {
        /// The name of the router.
        name: String,
    },
    /// A limit names a tenant or class that the deployment does not have.
    #[error("{name:?} is not in the settings of the deployment")]
    NotInDeployment {
        /// The name of the tenant or class.
        name: String,
    },
    /// A limit has none or several of the properties that select what it counts.
    #[error("takes exactly one of tenant, class, group, each-member, budget")]
    NotOneSubject,
    /// A flag that may only be `#true` is `#false`.
    #[error("must be #true or left out, found #false")]
    OnlyTrue,
    /// A limit has no bound, both a rate and a concurrency bound, or a burst without a rate.
    #[error("takes either per-s, optionally with burst, or at-once")]
    NotOneBound,
    /// A limit on members has a rate, or a limit on another subject has a concurrency bound.
    #[error("each-member and at-once can only be used together")]
    BoundDoesNotFitSubject,
    /// A second limit counts the members or the same budget; each of these may have one limit only.
    #[error("another limit has the same each-member or budget; only one is allowed")]
    SubjectHasLimit,
    /// A burst is smaller than the number of routers. Each router gets a part of the burst, which has to
    /// allow at least one request.
    #[error("must be at least {routers}, one request for each router, found {value}")]
    BurstBelowRouters {
        /// The number of routers in the fleet.
        routers: f64,
        /// The burst.
        value: f64,
    },
}

impl ConfigError {
    /// Creates the error for a problem with a key.
    pub(crate) fn invalid(key: impl Into<String>, problem: Problem) -> ConfigError {
        ConfigError::Invalid { key: key.into(), problem }
    }

    /// Creates the error for a file that can't be opened or read.
    pub(crate) fn unreadable(path: &Path, source: io::Error) -> ConfigError {
        ConfigError::Unreadable { path: path.display().to_string(), source }
    }

    /// Creates the error for a missing path: neither `--config` nor `BALANCER_CONFIG` names a configuration
    /// file.
    pub fn no_config_file() -> ConfigError {
        ConfigError::invalid("BALANCER_CONFIG", Problem::NoConfigFile)
    }

    /// Returns whether a file can't be opened or read, which may happen while it is being replaced.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, ConfigError::Unreadable { .. })
    }

    /// Returns the key with the problem, or the path of the file that can't be read.
    pub fn key(&self) -> &str {
        match self {
            ConfigError::Unreadable { path, .. } => path,
            ConfigError::Invalid { key, .. } => key,
        }
    }

    /// Replaces the key by the result of `change`. An error without a key stays as it is.
    pub(crate) fn map_key(self, change: impl FnOnce(String) -> String) -> ConfigError {
        match self {
            ConfigError::Invalid { key, problem } => ConfigError::Invalid { key: change(key), problem },
            unreadable => unreadable,
        }
    }

    /// Prefixes the key with the path of the object that contains it.
    pub(crate) fn under(self, parent: &str) -> ConfigError {
        self.map_key(|key| if key.is_empty() { parent.into() } else { format!("{parent}.{key}") })
    }
}

/// Deserializes a JSON value. The key of an error is the path of the value that does not fit its type.
pub(crate) fn from_json<T: DeserializeOwned>(value: Value) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let key = if path == "." { String::new() } else { path };
        ConfigError::invalid(key, Problem::Mistyped(error.inner().to_string()))
    })
}
