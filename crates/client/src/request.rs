//! Requests as callers build them, and the checks made before anything is sent.

use crate::session::Session;
use std::time::{Duration, Instant};

/// Upper limit of a value's length, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;

/// Time that a new request has, unless the caller sets a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// SQLSTATE `invalid_parameter_value`, for requests that are rejected before anything is sent.
const INVALID_PARAMETER_VALUE: &str = "22023";

/// Whether a request may be sent again after an attempt with an uncertain outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it twice does no harm.
    Idempotent,
    /// Its key is an idempotency key: the group drops repeats for this long, counted from the start of the
    /// first attempt that may have run.
    Keyed(Duration),
    /// It must never run twice.
    NonIdempotent,
}

/// How much of the retry budget a request may use: when the budget runs low, requests of the lowest priority
/// are the first without retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// The upper quarter of the budget.
    Low,
    /// The upper half of the budget.
    #[default]
    Normal,
    /// All of the budget.
    High,
}

/// What a request does with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads the value.
    Read,
    /// Stores this value.
    Write(Vec<u8>),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its class, as named in the routers' settings.
    pub class: String,
    /// The group of databases that serves it.
    pub group: u32,
    /// Its tenant; may be empty.
    pub tenant: String,
    /// The key that is read or written.
    pub key: String,
    /// What is done with the key.
    pub operation: Operation,
    /// The caller gets an outcome by this time, whatever happens.
    pub deadline: Instant,
    /// Whether it may be sent again after an uncertain outcome.
    pub idempotency: Idempotency,
    /// How much of the retry budget it may use.
    pub priority: Priority,
    /// The session whose tokens are sent along.
    pub session: Option<Session>,
}

impl Request {
    /// An idempotent read, with a deadline one second from now.
    pub fn read(class: &str, group: u32, key: &str) -> Request {
        Request {
            class: class.into(),
            group,
            tenant: String::new(),
            key: key.into(),
            operation: Operation::Read,
            deadline: Instant::now() + DEFAULT_TIMEOUT,
            idempotency: Idempotency::Idempotent,
            priority: Priority::Normal,
            session: None,
        }
    }

    /// A write that must never run twice, with a deadline one second from now.
    pub fn write(class: &str, group: u32, key: &str, value: &[u8]) -> Request {
        Request {
            operation: Operation::Write(value.into()),
            idempotency: Idempotency::NonIdempotent,
            ..Request::read(class, group, key)
        }
    }

    /// Sets the tenant.
    pub fn tenant(self, tenant: &str) -> Request {
        Request { tenant: tenant.into(), ..self }
    }

    /// Sets the deadline to this long from now.
    pub fn timeout(self, timeout: Duration) -> Request {
        Request { deadline: Instant::now() + timeout, ..self }
    }

    /// Sets the deadline.
    pub fn deadline(self, deadline: Instant) -> Request {
        Request { deadline, ..self }
    }

    /// Sets whether the request may be sent again after an uncertain outcome.
    pub fn idempotency(self, idempotency: Idempotency) -> Request {
        Request { idempotency, ..self }
    }

    /// Sets the priority.
    pub fn priority(self, priority: Priority) -> Request {
        Request { priority, ..self }
    }

    /// Sets the session.
    pub fn session(self, session: &Session) -> Request {
        Request { session: Some(session.clone()), ..self }
    }

    /// Checks what can be checked without a router.
    pub(crate) fn validate(&self) -> Result<(), InvalidRequest> {
        if self.class.is_empty() || !fits_in_comment(&self.class) {
            return Err(InvalidRequest::Class(self.class.clone()));
        }
        if !fits_in_comment(&self.tenant) {
            return Err(InvalidRequest::Tenant(self.tenant.clone()));
        }
        if self.key.bytes().any(|byte| byte == 0) {
            return Err(InvalidRequest::ZeroByteInKey);
        }
        match &self.operation {
            Operation::Write(value) if value.len() > MAX_VALUE_BYTES => {
                Err(InvalidRequest::ValueTooLong(value.len()))
            }
            Operation::Write(_) | Operation::Read => Ok(()),
        }
    }
}

/// Whether a text can be a value in the statement's comment, whose syntax is `name=value,name=value`.
fn fits_in_comment(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b',' | b'=' | b'*' | b'/'))
}

/// Why a request can't be served by any router or host. It has not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The class is empty, or has characters that the statement's comment can't carry.
    #[error("{code}: class {0:?} can't stand in a comment", code = INVALID_PARAMETER_VALUE)]
    Class(String),
    /// The tenant has characters that the statement's comment can't carry.
    #[error("{code}: tenant {0:?} can't stand in a comment", code = INVALID_PARAMETER_VALUE)]
    Tenant(String),
    /// The key has a zero byte.
    #[error("{code}: a key must not contain a zero byte", code = INVALID_PARAMETER_VALUE)]
    ZeroByteInKey,
    /// The value has this many bytes, more than [`MAX_VALUE_BYTES`].
    #[error(
        "{code}: a value of {0} bytes; {max} at most",
        code = INVALID_PARAMETER_VALUE,
        max = MAX_VALUE_BYTES
    )]
    ValueTooLong(usize),
    /// A router or host found the statement itself invalid.
    #[error("{code}: {message}")]
    Statement {
        /// The SQLSTATE.
        code: String,
        /// The server's message, for people.
        message: String,
    },
}

impl InvalidRequest {
    /// The SQLSTATE; 22023 if nothing was sent.
    pub fn code(&self) -> &str {
        match self {
            InvalidRequest::Statement { code, .. } => code,
            InvalidRequest::Class(_)
            | InvalidRequest::Tenant(_)
            | InvalidRequest::ZeroByteInKey
            | InvalidRequest::ValueTooLong(_) => INVALID_PARAMETER_VALUE,
        }
    }
}
