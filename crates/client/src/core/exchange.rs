//! One statement on a connection, and what has been received of its response.

use super::RequestId;
use crate::outcome::{is_statement_error, AttemptOutcome, WriteProgress};
use crate::protocol::{is_rejection, ColumnValue, ServerError, ServerMessage, ADMIN_SHUTDOWN};
use crate::request::InvalidRequest;
use std::time::Duration;

/// A statement and the state of its response.
#[derive(Debug)]
pub(super) struct Exchange {
    request: RequestId,
    /// Length of the statement, in bytes.
    statement_bytes: usize,
    /// Bytes of the statement that were not handed to the operating system yet.
    unwritten_bytes: usize,
    row: Option<ColumnValue>,
    /// Whether CommandComplete was received.
    is_complete: bool,
    /// What an ErrorResponse makes of the attempt.
    error: Option<AttemptOutcome>,
    /// Set along with `error` if the statement itself is invalid.
    invalid: Option<InvalidRequest>,
    /// Whether anything was received that proves that the statement was read.
    has_response_started: bool,
}

/// What a message means for an exchange.
#[derive(Debug)]
pub(super) enum ResponseProgress {
    /// The response goes on.
    Incomplete,
    /// The response goes on; the session's token is to be stored.
    SessionToken(String),
    /// The response is complete, and the connection can be used again.
    Complete,
    /// The response is complete, and the router closes the connection.
    CompleteAndClosing,
    /// The message has no place in a response.
    Malformed,
}

/// What remains of an exchange once its connection is done with it.
#[derive(Debug)]
pub(super) struct ExchangeResult {
    /// The request.
    pub(super) request: RequestId,
    /// How the attempt ended.
    pub(super) outcome: AttemptOutcome,
    /// The row's value, if the attempt was served; `None` if it is null.
    pub(super) value: Option<Vec<u8>>,
    /// Why the statement itself is invalid, if it is.
    pub(super) invalid: Option<InvalidRequest>,
}

impl Exchange {
    /// A statement of so many bytes, with none written.
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

    /// The request that the statement belongs to.
    pub(super) fn request(&self) -> RequestId {
        self.request
    }

    /// So many more bytes were handed to the operating system.
    pub(super) fn on_written(&mut self, bytes: usize) {
        self.unwritten_bytes = self.unwritten_bytes.saturating_sub(bytes);
    }

    /// How much of the statement was written.
    pub(super) fn write_progress(&self) -> WriteProgress {
        match self.unwritten_bytes {
            0 => WriteProgress::Complete,
            unwritten if unwritten == self.statement_bytes => WriteProgress::Unsent,
            _ => WriteProgress::Partial,
        }
    }

    /// Takes in a message of the response.
    pub(super) fn on_message(&mut self, message: ServerMessage) -> ResponseProgress {
        match message {
            ServerMessage::RowDescription => {
                self.has_response_started = true;
                ResponseProgress::Incomplete
            }
            ServerMessage::SessionToken(token) => {
                // An early token is sent as the router forwards the statement: it was read.
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
            // As the first message it proves that the statement was not read.
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

    /// The result once the response is complete.
    pub(super) fn into_result(self) -> ExchangeResult {
        let outcome = self.error.clone().unwrap_or(AttemptOutcome::Served);
        self.into_result_with(outcome)
    }

    /// The result if the connection ends now.
    pub(super) fn into_result_on_disconnect(self) -> ExchangeResult {
        let outcome = match &self.error {
            Some(error) => error.clone(),
            None if self.is_complete => AttemptOutcome::Served,
            None => AttemptOutcome::Closed(self.write_progress()),
        };
        self.into_result_with(outcome)
    }

    /// The result with an outcome that the caller has found.
    pub(super) fn into_result_with(self, outcome: AttemptOutcome) -> ExchangeResult {
        ExchangeResult {
            request: self.request,
            outcome,
            value: self.row.and_then(|row| row.0),
            invalid: self.invalid,
        }
    }
}

/// The Retry-After time in a rejection's detail, which is a number of milliseconds.
fn retry_after(detail: Option<&str>) -> Option<Duration> {
    let milliseconds: u64 = detail?.trim().parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}
