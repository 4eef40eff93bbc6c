//! Requests as callers build them, and their validation before anything is sent.

use crate::session::Session;
use std::time::{Duration, Instant};

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;

/// Time from the creation of a request to its deadline, unless the caller sets a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// SQLSTATE `invalid_parameter_value`, the code of requests that are invalid and not sent.
const INVALID_PARAMETER_VALUE: &str = "22023";

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request's key is an idempotency key: the group drops repeats of the request for this duration
    /// after the start of the first attempt that may have run.
    Keyed(Duration),
    /// The request must never run twice.
    NonIdempotent,
}

/// How much of the retry budget a request may use. When the budget runs low, requests of the lowest priority
/// are the first that are not retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// May use the upper quarter of the budget.
    Low,
    /// May use the upper half of the budget.
    #[default]
    Normal,
    /// May use all of the budget.
    High,
}

/// What a request does with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads the value.
    Read,
    /// Stores the value that it carries.
    Write(Vec<u8>),
}

/// A read or write of one key.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's class, as named in the routers' settings.
    pub class: String,
    /// The number of the group that stores the key.
    pub group: u32,
    /// The request's tenant; may be empty.
    pub tenant: String,
    /// The key that is read or written.
    pub key: String,
    /// Whether the key is read or written, and the value to write.
    pub operation: Operation,
    /// The time by which the caller gets an outcome, even if the request has not been served.
    pub deadline: Instant,
    /// Whether the request may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
    /// How much of the retry budget the request may use.
    pub priority: Priority,
    /// The session that the request belongs to; its tokens are sent with the request.
    pub session: Option<Session>,
}

impl Request {
    /// Creates an idempotent read with a deadline one second from now.
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

    /// Creates a non-idempotent write with a deadline one second from now.
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

    /// Sets the deadline to `timeout` from now.
    pub fn timeout(self, timeout: Duration) -> Request {
        Request { deadline: Instant::now() + timeout, ..self }
    }

    /// Sets the deadline.
    pub fn deadline(self, deadline: Instant) -> Request {
        Request { deadline, ..self }
    }

    /// Sets whether the request may be sent again after an attempt that may have run.
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

    /// Checks that the request can be encoded as a statement and that its value is not too long.
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

/// Returns whether `text` can be a value in the statement's comment, whose syntax is `name=value,name=value`.
fn fits_in_comment(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b',' | b'=' | b'*' | b'/'))
}

/// Why a request is invalid, which means that no router or host can serve it. An invalid request has not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The class is empty or has characters that can't be encoded in the statement's comment.
    #[error(
        "{code}: class {0:?} is empty or has characters that a statement's comment can't hold",
        code = INVALID_PARAMETER_VALUE
    )]
    Class(String),
    /// The tenant has characters that can't be encoded in the statement's comment.
    #[error(
        "{code}: tenant {0:?} has characters that a statement's comment can't hold",
        code = INVALID_PARAMETER_VALUE
    )]
    Tenant(String),
    /// The key contains a zero byte.
    #[error("{code}: a key must not contain a zero byte", code = INVALID_PARAMETER_VALUE)]
    ZeroByteInKey,
    /// The value is longer than [`MAX_VALUE_BYTES`]. Carries its length in bytes.
    #[error(
        "{code}: the value has {0} bytes, but at most {max} are allowed",
        code = INVALID_PARAMETER_VALUE,
        max = MAX_VALUE_BYTES
    )]
    ValueTooLong(usize),
    /// A router or host found the statement itself invalid.
    #[error("{code}: {message}")]
    Statement {
        /// The SQLSTATE.
        code: String,
        /// The human-readable message of the router or host.
        message: String,
    },
}

impl InvalidRequest {
    /// Returns the SQLSTATE; 22023 if the request was not sent.
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
