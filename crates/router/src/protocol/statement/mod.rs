//! The two statements that clients send, and the comment that goes with them. Parsed in place: the text stays
//! as it came, and fields are ranges of it.

mod parser;

use basalthill_wire::sqlstate::{INVALID_PARAMETER_VALUE, SYNTAX_ERROR};
use parser::{CommentFields, Parser};
use std::ops::Range;

/// Why a statement can't be served, with the standard SQLSTATE.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct StatementError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// For people.
    pub message: String,
}

/// So many tokens of a statement are read; a statement with more is rejected.
pub const MAX_TOKENS: usize = 8;

/// A client's deadline counts as no longer than a day, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;

fn syntax(message: impl Into<String>) -> StatementError {
    StatementError { code: SYNTAX_ERROR, message: message.into() }
}

fn invalid(message: impl Into<String>) -> StatementError {
    StatementError { code: INVALID_PARAMETER_VALUE, message: message.into() }
}

/// Which of the two statements it is.
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
    /// Which statement.
    pub verb: Verb,
    id: Range<usize>,
    key: Range<usize>,
    class: Range<usize>,
    tenant: Range<usize>,
    /// Where the number of `d` stands.
    deadline: Range<usize>,
    /// Milliseconds that the client will wait from when it sent the request.
    pub deadline_ms: u64,
    /// The group.
    pub group: u32,
    /// The position that the read has to see, a Unix time in milliseconds; the latest if several are given.
    pub min_position_ms: Option<u64>,
    /// Where the numbers of `after` stand.
    min_positions: Vec<Range<usize>>,
    session: Option<Range<usize>>,
    tokens: Vec<Range<usize>>,
    /// The client marks it as a retry.
    pub is_retry: bool,
}

impl Statement {
    /// Parses the text of a query, without its closing zero byte.
    pub fn parse(text: Vec<u8>) -> Result<Statement, StatementError> {
        let mut parser = Parser::new(&text);
        let (verb, key) = parser.statement()?;
        let comment = parser.comment()?;
        let fields = CommentFields::parse(&text, comment)?;
        if fields.id.is_empty() {
            return Err(invalid("the comment holds no id"));
        }
        let class = fields.class.ok_or_else(|| invalid("the comment holds no class (c)"))?;
        let deadline = fields.deadline.ok_or_else(|| invalid("the comment holds no deadline (d)"))?;
        let group = fields.group.ok_or_else(|| invalid("the comment holds no cluster"))?;
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

    /// The request's id; not empty.
    pub fn id(&self) -> &[u8] {
        &self.text[self.id.clone()]
    }

    /// The quoted key.
    pub fn key(&self) -> &[u8] {
        &self.text[self.key.clone()]
    }

    /// Name of the class.
    pub fn class(&self) -> &[u8] {
        &self.text[self.class.clone()]
    }

    /// Name of the tenant; empty if there is none.
    pub fn tenant(&self) -> &[u8] {
        &self.text[self.tenant.clone()]
    }

    /// The session's name, where the comment gives one; else the key names it.
    pub fn session(&self) -> Option<&[u8]> {
        self.session.clone().map(|range| &self.text[range])
    }

    /// Tokens that the client has sent.
    pub fn tokens(&self) -> impl Iterator<Item = &[u8]> {
        self.tokens.iter().map(|range| &self.text[range.clone()])
    }

    /// The text as it came.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// The text in parts, with another number for `d`, which is written anew for each attempt, and, where a
    /// floor is given, that floor in `after`.
    pub fn text_parts<'a>(&'a self, deadline: &'a str, floor: Option<&'a str>) -> Vec<&'a [u8]> {
        let mut edits = vec![Edit { range: &self.deadline, words: [deadline, ""] }];
        match floor {
            Some(floor) if self.min_positions.is_empty() => {
                edits.push(Edit { range: &self.deadline, words: [",after=", floor] });
            }
            Some(floor) => {
                edits.extend(self.min_positions.iter().map(|range| Edit { range, words: [floor, ""] }));
            }
            None => {}
        }
        // Stable: a new `after` stands behind the `d`.
        edits.sort_by_key(|edit| edit.range.start);
        let mut parts = Vec::with_capacity(8);
        let mut position = 0;
        for Edit { range, words } in edits {
            parts.push(&self.text[position.min(range.start)..range.start]);
            parts.extend(words.map(str::as_bytes));
            position = range.end;
        }
        parts.push(&self.text[position..]);
        parts.retain(|part| !part.is_empty());
        parts
    }
}

/// Words in place of a range of the text.
struct Edit<'a> {
    range: &'a Range<usize>,
    words: [&'a str; 2],
}
