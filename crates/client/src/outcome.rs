//! The outcomes of requests and attempts, as reported to callers.

use crate::request::InvalidRequest;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prefixes of the SQLSTATEs that mean that the statement itself is invalid: protocol violation (08P), data
/// exception (22), syntax error or access rule violation (42), feature not supported (0A). Such a statement
/// has not run, and any other router would reject it, too.
const STATEMENT_ERROR_CLASSES: [&str; 4] = ["08P", "22", "42", "0A"];

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "after `MayHaveRun`, the caller must check whether the request has run before repeating it"]
pub enum RequestOutcome {
    /// The request has run. Carries the value; `None` if it is null.
    Served(Option<Vec<u8>>),
    /// The request was rejected or could not be sent, and it has not run. It may be sent again, but not
    /// before the Retry-After time, if there is one, has passed.
    Rejected(Option<Duration>),
    /// The deadline has passed, or too little time is left for an attempt. Either the request has not run, or
    /// it is idempotent.
    DeadlineExceeded,
    /// The request failed. It may have run, but it is idempotent.
    Failed,
    /// The request may have run, or may still run, and it is not idempotent. It must not be sent again unless
    /// the caller has checked that it has not run.
    MayHaveRun,
    /// The request is invalid and has not run.
    Invalid(InvalidRequest),
    /// The client was stopped. The request has not run, or it is idempotent.
    Stopped,
}

/// How much of a statement has been handed to the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte of the statement has been handed to the operating system.
    Unsent,
    /// Part of the statement has been handed to the operating system. Routers don't run incomplete
    /// statements.
    Partial,
    /// The whole statement has been handed to the operating system, so the router may have run it.
    Complete,
}

/// The outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The router returned a row without an error.
    Served,
    /// The router rejected the statement without running it. Carries the Retry-After time, if there was one.
    Rejected(Option<Duration>),
    /// The response is an error that is neither a rejection nor a close notice. Carries its SQLSTATE.
    Error(String),
    /// The router announced with 57P01 that it closes the connection and has not read the statement.
    CloseNotice,
    /// The connection was lost before the response was complete.
    Closed(WriteProgress),
    /// The response could not be decoded.
    MalformedResponse,
    /// The client abandoned the attempt: at the deadline, because the caller cancelled the request, or
    /// because the client was stopped.
    Abandoned(WriteProgress),
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the statement has not run and will not run.
    pub fn proves_not_run(&self) -> bool {
        match self {
            AttemptOutcome::Rejected(_) | AttemptOutcome::CloseNotice => true,
            AttemptOutcome::Closed(progress) | AttemptOutcome::Abandoned(progress) => {
                *progress != WriteProgress::Complete
            }
            AttemptOutcome::Error(code) => is_statement_error(code),
            AttemptOutcome::Served | AttemptOutcome::MalformedResponse => false,
        }
    }

    /// Returns whether a router may have forwarded the statement to a host. This includes rejections: a
    /// router of an earlier release also rejects a statement that has run if hosts still drop its repeats.
    pub(crate) fn may_have_been_forwarded(&self) -> bool {
        matches!(self, AttemptOutcome::Rejected(_)) || !self.proves_not_run()
    }

    /// Returns whether a router may have read the statement. Only retries of such attempts use the retry
    /// budget.
    pub(crate) fn may_have_reached_router(&self) -> bool {
        match self {
            AttemptOutcome::Closed(progress) | AttemptOutcome::Abandoned(progress) => {
                *progress == WriteProgress::Complete
            }
            AttemptOutcome::CloseNotice => false,
            AttemptOutcome::Served
            | AttemptOutcome::Rejected(_)
            | AttemptOutcome::Error(_)
            | AttemptOutcome::MalformedResponse => true,
        }
    }
}

/// Returns whether a SQLSTATE means that the statement itself is invalid.
pub(crate) fn is_statement_error(code: &str) -> bool {
    STATEMENT_ERROR_CLASSES.iter().any(|class| code.starts_with(class))
}

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The router that the statement was sent to.
    pub router: SocketAddr,
    /// When the attempt was started.
    pub started_at: Instant,
    /// The time from the start to the outcome.
    pub elapsed: Duration,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// The outcome of a request with its attempts.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// The outcome of the request.
    pub outcome: RequestOutcome,
    /// The attempts, in the order in which they were started.
    pub attempts: Vec<AttemptRecord>,
    /// The time from the submission of the request to its outcome.
    pub elapsed: Duration,
}

impl RequestReport {
    /// Returns the report of a request that had no attempt.
    pub(crate) fn without_attempts(outcome: RequestOutcome) -> RequestReport {
        RequestReport { outcome, attempts: Vec::new(), elapsed: Duration::ZERO }
    }
}
