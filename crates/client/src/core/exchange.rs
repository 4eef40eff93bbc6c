//! The exchange of one statement and its response on a connection.

use super::RequestId;
use crate::outcome::{is_statement_error, AttemptOutcome, WriteProgress};
use crate::protocol::{is_rejection, ColumnValue, ServerError, ServerMessage, ADMIN_SHUTDOWN};
use crate::request::InvalidRequest;
use std::time::Duration;

/// A statement that is sent on a connection, and the part of its response received so far.
#[derive(Debug)]
pub(super) struct Exchange {
    request: RequestId,
    /// Length of the statement, in bytes.
    statement_bytes: usize,
    /// Number of bytes of the statement that have not been handed to the operating system.
    unwritten_bytes: usize,
    /// The response's row; `None` until it has been received.
    row: Option<ColumnValue>,
    /// Whether CommandComplete has been received.
    is_complete: bool,
    /// The outcome of the attempt according to an ErrorResponse; `None` until one has been received.
    error: Option<AttemptOutcome>,
    /// Set together with `error` if the ErrorResponse says that the statement itself is invalid.
    invalid: Option<InvalidRequest>,
    /// Whether a message has been received that shows that the router has read the statement.
    has_response_started: bool,
}

/// The state of a response after a message.
#[derive(Debug)]
pub(super) enum ResponseProgress {
    /// More messages follow.
    Incomplete,
    /// The message carries a session token, which the caller must store. More messages follow.
    SessionToken(String),
    /// The response is complete, and the connection can be used again.
    Complete,
    /// The response is complete, and the router closes the connection.
    CompleteAndClosing,
    /// The message is not allowed at this point of a response.
    Malformed,
}

/// The result of an exchange, whether its response is complete or its connection was lost or closed.
#[derive(Debug)]
pub(super) struct ExchangeResult {
    /// The request that the statement belongs to.
    pub(super) request: RequestId,
    /// The outcome of the attempt.
    pub(super) outcome: AttemptOutcome,
    /// The value of the response's row; `None` if the value is null or no row was received.
    pub(super) value: Option<Vec<u8>>,
    /// The reason if the router or host found the statement itself invalid.
    pub(super) invalid: Option<InvalidRequest>,
}

impl Exchange {
    /// Creates the exchange for a statement of `statement_bytes` bytes, none of them written.
    pub(super) fn new(request: RequestId, statement_bytes: usize) -> Exchange {
        Exchange {
            request,
            statement_bytes,
            unwritten_bytes: statement_bytes,
            row: None,
            is_complete: false,
            error: None,
            invalid: None,
            has_response_started: false,
        }
    }

    /// Returns the request that the statement belongs to.
    pub(super) fn request(&self) -> RequestId {
        self.request
    }

    /// Records that another `bytes` bytes of the statement were handed to the operating system.
    pub(super) fn on_written(&mut self, bytes: usize) {
        self.unwritten_bytes = self.unwritten_bytes.saturating_sub(bytes);
    }

    /// Returns whether none, a part or all of the statement has been handed to the operating system.
    pub(super) fn write_progress(&self) -> WriteProgress {
        match self.unwritten_bytes {
            0 => WriteProgress::Complete,
            unwritten if unwritten == self.statement_bytes => WriteProgress::Unsent,
            _ => WriteProgress::Partial,
        }
    }

    /// Handles a message of the response.
    pub(super) fn on_message(&mut self, message: ServerMessage) -> ResponseProgress {
        match message {
            ServerMessage::RowDescription => {
                self.has_response_started = true;
                ResponseProgress::Incomplete
            }
            ServerMessage::SessionToken(token) => {
                // A router sends a token when it forwards the statement or later, so it has read the
                // statement.
                self.has_response_started = true;
                ResponseProgress::SessionToken(token)
            }
            ServerMessage::DataRow(value) if self.row.is_none() && !self.is_complete => {
                self.row = Some(value);
                self.has_response_started = true;
                ResponseProgress::Incomplete
            }
            ServerMessage::CommandComplete if self.row.is_some() && !self.is_complete => {
                self.is_complete = true;
                ResponseProgress::Incomplete
            }
            ServerMessage::Error(error) if self.error.is_none() => self.on_error(error),
            ServerMessage::ReadyForQuery if self.is_complete || self.error.is_some() => {
                ResponseProgress::Complete
            }
            ServerMessage::DataRow(_)
            | ServerMessage::CommandComplete
            | ServerMessage::Error(_)
            | ServerMessage::ReadyForQuery => ResponseProgress::Malformed,
        }
    }

    fn on_error(&mut self, error: ServerError) -> ResponseProgress {
        let is_fatal = error.is_fatal;
        let outcome = if is_rejection(&error.code) {
            AttemptOutcome::Rejected(retry_after(error.detail.as_deref()))
        } else if error.code == ADMIN_SHUTDOWN && is_fatal && !self.has_response_started {
            // As the first message of a response, a fatal 57P01 says that the router has not read the
            // statement.
            AttemptOutcome::CloseNotice
        } else {
            AttemptOutcome::Error(error.code.clone())
        };
        if is_statement_error(&error.code) {
            self.invalid = Some(InvalidRequest::Statement { code: error.code, message: error.message });
        }
        self.error = Some(outcome);
        self.has_response_started = true;
        if is_fatal {
            ResponseProgress::CompleteAndClosing
        } else {
            ResponseProgress::Incomplete
        }
    }

    /// Returns the result of a complete response.
    pub(super) fn into_result(self) -> ExchangeResult {
        let outcome = self.error.clone().unwrap_or(AttemptOutcome::Served);
        self.into_result_with(outcome)
    }

    /// Returns the result if the connection is lost at this point of the response.
    pub(super) fn into_result_on_disconnect(self) -> ExchangeResult {
        let outcome = match &self.error {
            Some(error) => error.clone(),
            None if self.is_complete => AttemptOutcome::Served,
            None => AttemptOutcome::Closed(self.write_progress()),
        };
        self.into_result_with(outcome)
    }

    /// Returns the result with an outcome that the caller has determined.
    pub(super) fn into_result_with(self, outcome: AttemptOutcome) -> ExchangeResult {
        ExchangeResult {
            request: self.request,
            outcome,
            value: self.row.and_then(|row| row.0),
            invalid: self.invalid,
        }
    }
}

/// Parses the Retry-After time in a rejection's detail field, a number of milliseconds. Returns `None` if
/// there is no such field or its text is not a number.
fn retry_after(detail: Option<&str>) -> Option<Duration> {
    let milliseconds: u64 = detail?.trim().parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}
