//! The two statements that clients send, and the comment at the end of each. A statement is parsed in place:
//! the text is kept unchanged, and the fields are ranges of it.

mod parser;

use basalthill_wire::sqlstate::{INVALID_PARAMETER_VALUE, SYNTAX_ERROR};
use parser::{CommentFields, Parser};
use std::ops::Range;

/// Why a statement can't be served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct StatementError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The message of the ErrorResponse.
    pub message: String,
}

/// The maximum number of session tokens in a statement; a statement with more is rejected.
pub const MAX_TOKENS: usize = 8;

/// The maximum number of log positions (`after`) in a statement; a statement with more is rejected. The
/// router stores a range for each.
pub const MAX_POSITIONS: usize = 64;

/// The longest client timeout in milliseconds: one day. A longer one is reduced to this.
const MAX_DEADLINE_MS: u64 = 86_400_000;

fn syntax_error(message: impl Into<String>) -> StatementError {
    StatementError { code: SYNTAX_ERROR, message: message.into() }
}

fn invalid_parameter(message: impl Into<String>) -> StatementError {
    StatementError { code: INVALID_PARAMETER_VALUE, message: message.into() }
}

/// The kind of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// `SELECT v FROM records WHERE k = '...'`
    Select,
    /// `INSERT INTO records (k, v) VALUES ('...', '...') RETURNING v`
    Insert,
}

/// A statement with the fields of its comment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// The kind of the statement.
    pub verb: Verb,
    id: Range<usize>,
    key: Range<usize>,
    class: Range<usize>,
    tenant: Range<usize>,
    /// The range of the value of `d`.
    deadline: Range<usize>,
    /// How many milliseconds the client waits for the reply: the value of `d`, at most one day. The router
    /// counts from the arrival of the request's last byte.
    pub deadline_ms: u64,
    /// The group to which the request belongs.
    pub group: u32,
    /// The log position that a member must have applied to serve the read, a Unix time in milliseconds; the
    /// latest one if the comment has `after` several times, and `None` if it has no `after`.
    pub min_position_ms: Option<u64>,
    /// The ranges of the values of `after`.
    min_positions: Vec<Range<usize>>,
    session: Option<Range<usize>>,
    tokens: Vec<Range<usize>>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
}

impl Statement {
    /// Parses the text of a query, without the terminating zero byte.
    pub fn parse(text: Vec<u8>) -> Result<Statement, StatementError> {
        let mut parser = Parser::new(&text);
        let (verb, key) = parser.statement()?;
        let comment = parser.comment()?;
        let fields = CommentFields::parse(&text, comment)?;
        if fields.id.is_empty() {
            return Err(invalid_parameter("the comment holds no id"));
        }
        let class = fields.class.ok_or_else(|| invalid_parameter("the comment holds no class (c)"))?;
        let deadline =
            fields.deadline.ok_or_else(|| invalid_parameter("the comment holds no deadline (d)"))?;
        let group = fields.group.ok_or_else(|| invalid_parameter("the comment holds no cluster"))?;
        Ok(Statement {
            verb,
            id: fields.id,
            key,
            class,
            tenant: fields.tenant.unwrap_or(0..0),
            deadline: deadline.range,
            deadline_ms: deadline.number.min(MAX_DEADLINE_MS),
            group,
            min_position_ms: fields.min_positions.iter().map(|position| position.number).max(),
            min_positions: fields.min_positions.into_iter().map(|position| position.range).collect(),
            session: fields.session,
            tokens: fields.tokens,
            is_retry: fields.is_retry,
            text,
        })
    }

    /// Returns the number of bytes that the statement holds in memory. Its id is stored twice, as open
    /// requests are also found by it.
    pub fn memory(&self) -> usize {
        self.text.capacity() + self.id.len() + size_of::<Statement>()
    }

    /// Returns the request's id, which is not empty.
    pub fn id(&self) -> &[u8] {
        &self.text[self.id.clone()]
    }

    /// Returns the key as it is quoted in the statement.
    pub fn key(&self) -> &[u8] {
        &self.text[self.key.clone()]
    }

    /// Returns the name of the class.
    pub fn class(&self) -> &[u8] {
        &self.text[self.class.clone()]
    }

    /// Returns the name of the tenant; empty if there is none.
    pub fn tenant(&self) -> &[u8] {
        &self.text[self.tenant.clone()]
    }

    /// Returns the session's name, if the comment has one; the session is otherwise identified by the key.
    pub fn session(&self) -> Option<&[u8]> {
        self.session.clone().map(|range| &self.text[range])
    }

    /// Returns the session tokens that the client sent.
    pub fn tokens(&self) -> impl Iterator<Item = &[u8]> {
        self.tokens.iter().map(|range| &self.text[range.clone()])
    }

    /// Returns the text as it was received.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Returns the text in parts, with the value of `d` replaced by `deadline`, which differs for each
    /// attempt. If there is a floor, it replaces all values of `after`; if the comment has no `after`, one is
    /// inserted after `d`.
    pub fn text_parts<'a>(&'a self, deadline: &'a str, floor: Option<&'a str>) -> Vec<&'a [u8]> {
        let mut edits = vec![Edit { range: &self.deadline, replacement: [deadline, ""] }];
        match floor {
            Some(floor) if self.min_positions.is_empty() => {
                edits.push(Edit { range: &self.deadline, replacement: [",after=", floor] });
            }
            Some(floor) => {
                edits.extend(self.min_positions.iter().map(|range| Edit { range, replacement: [floor, ""] }));
            }
            None => {}
        }
        // The sort is stable: an inserted `after` follows the value of `d`.
        edits.sort_by_key(|edit| edit.range.start);
        let mut parts = Vec::with_capacity(8);
        let mut position = 0;
        for Edit { range, replacement } in edits {
            parts.push(&self.text[position.min(range.start)..range.start]);
            parts.extend(replacement.map(str::as_bytes));
            position = range.end;
        }
        parts.push(&self.text[position..]);
        parts.retain(|part| !part.is_empty());
        parts
    }
}

/// A range of the text and what replaces it.
struct Edit<'a> {
    range: &'a Range<usize>,
    replacement: [&'a str; 2],
}
