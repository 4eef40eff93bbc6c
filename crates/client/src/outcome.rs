//! How requests and their attempts ended, as reported to callers.

use crate::request::InvalidRequest;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Classes of SQLSTATEs that find fault with the statement itself: protocol violation, data exception, syntax
/// error or access rule violation, feature not supported. Such a statement has not run, and would be as
/// invalid at any other router.
const STATEMENT_ERROR_CLASSES: [&str; 4] = ["08P", "22", "42", "0A"];

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "MayHaveRun obliges the caller to look"]
pub enum RequestOutcome {
    /// The value; `None` if it is null.
    Served(Option<Vec<u8>>),
    /// Rejected, and nothing has run. The request may be sent again, not sooner than after the Retry-After
    /// time, if the routers gave one.
    Rejected(Option<Duration>),
    /// The deadline has passed, or too little time is left for an attempt. Nothing has run, or a repeat does
    /// no harm.
    DeadlineExceeded,
    /// It failed, and a repeat does no harm.
    Failed,
    /// It is not known whether the request has run, or it may yet run. Never send it again without having
    /// looked.
    MayHaveRun,
    /// The request is not valid, and nothing has run.
    Invalid(InvalidRequest),
    /// The client was stopped before anything was sent.
    Stopped,
}

/// How much of a statement was handed to the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// Nothing.
    Unsent,
    /// A part: a router does not run it.
    Partial,
    /// All of it.
    Complete,
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// Rejected, with the Retry-After time if there was one.
    Rejected(Option<Duration>),
    /// Any other error, by its SQLSTATE.
    Error(String),
    /// The router announced (57P01) that it closes the connection and has read nothing more from it.
    CloseNotice,
    /// The connection ended.
    Closed(WriteProgress),
    /// The response could not be decoded.
    MalformedResponse,
    /// Ended by this side: at the deadline, or because the caller cancelled the request.
    Abandoned(WriteProgress),
}

impl AttemptOutcome {
    /// Whether it proves that the statement has not run and will not run.
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

    /// Whether a router may have read the statement. Only such attempts cost retry budget.
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

/// Whether a SQLSTATE finds fault with the statement itself.
pub(crate) fn is_statement_error(code: &str) -> bool {
    STATEMENT_ERROR_CLASSES.iter().any(|class| code.starts_with(class))
}

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The router it was sent to.
    pub router: SocketAddr,
    /// When it was sent.
    pub started_at: Instant,
    /// How long it took.
    pub elapsed: Duration,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// How a request ended, and what led to it.
#[derive(Clone, Debug)]
pub struct RequestReport {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptRecord>,
    /// The time from submission to this outcome.
    pub elapsed: Duration,
}

impl RequestReport {
    /// The report of a request without any attempt.
    pub(crate) fn without_attempts(outcome: RequestOutcome) -> RequestReport {
        RequestReport { outcome, attempts: Vec::new(), elapsed: Duration::ZERO }
    }
}
