//! What is wrong with a configuration.

use basalthill_session::token::MIN_SECRET_LEN;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io;
use std::path::Path;

/// A configuration that can't be used. Printed, it is one line that names the key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file could not be read at all.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// What a key holds is unsound.
    #[error("{key}: {problem}")]
    Invalid {
        /// The key's path, like `settings.familyInfo.consistency[2]`; with file, line and column where they
        /// are known.
        key: String,
        /// What is wrong with it.
        problem: Problem,
    },
}

/// What is wrong with a key, and with what value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not JSON or KDL, by the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// A JSON value of another type than its key has, by the deserializer's message.
    #[error("{0}")]
    Mistyped(String),
    /// A value of another type than its key has.
    #[error("must be {expected}")]
    WrongType {
        /// The type it has to have.
        expected: &'static str,
    },
    /// No configuration file is named.
    #[error("is not set, and no --config is given")]
    NoConfigFile,
    /// Neither the file nor the environment has it.
    #[error("is missing, and {variable} is not set")]
    NotSet {
        /// The variable that could have it.
        variable: &'static str,
    },
    /// It has to be there.
    #[error("is missing")]
    Missing,
    /// No such key.
    #[error("is unknown")]
    UnknownKey,
    /// A word that is none of those for this key.
    #[error("{value:?} is unknown")]
    UnknownWord {
        /// The word.
        value: String,
    },
    /// A word that is none of those for this key.
    #[error("{value:?} is none of {expected}")]
    NotOneOf {
        /// The word.
        value: String,
        /// The words for this key.
        expected: String,
    },
    /// Given twice.
    #[error("is given twice")]
    Duplicate,
    /// A name given twice.
    #[error("{name:?} is given twice")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// A key number given twice.
    #[error("number {number} is given twice")]
    DuplicateKeyNumber {
        /// The number.
        number: u64,
    },
    /// Another number of arguments.
    #[error("takes {expected} values, not {found}")]
    ArgumentCount {
        /// How many it takes.
        expected: usize,
        /// How many there are.
        found: usize,
    },
    /// An array of another length than that of the classes.
    #[error("has {found} entries, but profiles has {expected}")]
    EntryCount {
        /// How many classes there are.
        expected: usize,
        /// How many entries there are.
        found: usize,
    },
    /// An array without an entry.
    #[error("must not be empty")]
    Empty,
    /// No integer in the range.
    #[error("must be a whole number from {min} to {max}, not {value}")]
    NotAnInteger {
        /// The value as written.
        value: String,
        /// Least value.
        min: i128,
        /// Greatest value.
        max: i128,
    },
    /// No number in the range.
    #[error("must be a number from {min} to {max}, not {value}")]
    NotANumber {
        /// The value as written.
        value: String,
        /// Least value.
        min: f64,
        /// Greatest value.
        max: f64,
    },
    /// Too small a number.
    #[error("must be {min} at least, not {value}")]
    TooSmall {
        /// The value.
        value: usize,
        /// Least value.
        min: usize,
    },
    /// Zero or below.
    #[error("must be above 0, not {value}")]
    NotPositive {
        /// The value.
        value: f64,
    },
    /// No fraction.
    #[error("must lie from 0 to 1, not at {value}")]
    NotAFraction {
        /// The value.
        value: f64,
    },
    /// No address.
    #[error("{value:?} is not an address with a port")]
    NotAnAddress {
        /// The value.
        value: String,
    },
    /// No hexadecimal number of 64 bits.
    #[error("{value:?} is not a hexadecimal number of 64 bits")]
    NotHexadecimal {
        /// The value.
        value: String,
    },
    /// A key's secret that is too short, or no hexadecimal text. It is not printed.
    #[error("the secret must be {MIN_SECRET_LEN} bytes or more, in hexadecimal")]
    UnusableSecret,
    /// More than one signing key.
    #[error("only one key signs")]
    SeveralSigningKeys,
    /// No signing key.
    #[error("no key signs")]
    NoSigningKey,
    /// Two routers' names have the same short form.
    #[error("two names are the same in short; change one")]
    NameCollision,
    /// The router itself is not in its fleet.
    #[error("{name:?}, this one, is not on the list")]
    RouterNotInFleet {
        /// The router.
        name: String,
    },
    /// A limit on a tenant or class that the deployment does not have.
    #[error("{name:?} is none of the deployment's")]
    NotInDeployment {
        /// The tenant or class.
        name: String,
    },
    /// A limit that names no subject or several.
    #[error("takes one of tenant, class, group, each-member, budget")]
    NotOneSubject,
    /// A flag that has no other value than `#true`.
    #[error("is #true or not there")]
    OnlyTrue,
    /// A limit without a bound, or with two.
    #[error("takes per-s, with burst or not, or at-once")]
    NotOneBound,
    /// A limit on members by rate, or on something else by attempts in flight.
    #[error("each-member and at-once go together")]
    BoundDoesNotFitSubject,
    /// A second limit on a subject that can have one only.
    #[error("what it counts has a limit already")]
    SubjectHasLimit,
    /// Too small a burst to give each router a quota.
    #[error("must be {routers} at least: each router's part holds one request")]
    BurstBelowRouters {
        /// How many routers the fleet has.
        routers: f64,
    },
}

impl ConfigError {
    /// A problem with a key.
    pub(crate) fn invalid(key: impl Into<String>, problem: Problem) -> ConfigError {
        ConfigError::Invalid { key: key.into(), problem }
    }

    /// A file that could not be read.
    pub(crate) fn unreadable(path: &Path, source: io::Error) -> ConfigError {
        ConfigError::Unreadable { path: path.display().to_string(), source }
    }

    /// Neither an argument nor `BALANCER_CONFIG` names a configuration file.
    pub fn no_config_file() -> ConfigError {
        ConfigError::invalid("BALANCER_CONFIG", Problem::NoConfigFile)
    }

    /// Whether a file could not be read at all, as while it is being replaced.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, ConfigError::Unreadable { .. })
    }

    /// The key that is unsound; for a file that could not be read, its path.
    pub fn key(&self) -> &str {
        match self {
            ConfigError::Unreadable { path, .. } => path,
            ConfigError::Invalid { key, .. } => key,
        }
    }

    /// The same with another key, made of the one that it has.
    pub(crate) fn map_key(self, change: impl FnOnce(String) -> String) -> ConfigError {
        match self {
            ConfigError::Invalid { key, problem } => ConfigError::Invalid { key: change(key), problem },
            unreadable => unreadable,
        }
    }

    /// The same for a key inside `parent`.
    pub(crate) fn under(self, parent: &str) -> ConfigError {
        self.map_key(|key| if key.is_empty() { parent.into() } else { format!("{parent}.{key}") })
    }
}

/// Reads a JSON value into a type; an error names the path of the key.
pub(crate) fn from_json<T: DeserializeOwned>(value: Value) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let key = if path == "." { String::new() } else { path };
        ConfigError::invalid(key, Problem::Mistyped(error.inner().to_string()))
    })
}
