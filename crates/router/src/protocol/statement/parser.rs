//! The parser of statements and their comments. It returns ranges of the text.

use super::{invalid_parameter, syntax_error, StatementError, Verb, MAX_POSITIONS, MAX_TOKENS};
use std::ops::Range;

/// Parses a statement from left to right.
pub(super) struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl<'a> Parser<'a> {
    /// Creates a parser that starts at the beginning of the text.
    pub(super) fn new(text: &'a [u8]) -> Parser<'a> {
        Parser { text, position: 0 }
    }

    /// Parses one of the two statements up to its comment. Returns its kind and the range of its key.
    pub(super) fn statement(&mut self) -> Result<(Verb, Range<usize>), StatementError> {
        match self.word().as_deref() {
            Some("select") => {
                self.expect(&["v", "from", "records", "where", "k", "="])?;
                Ok((Verb::Select, self.literal()?))
            }
            Some("insert") => {
                self.expect(&["into", "records", "(", "k", ",", "v", ")", "values", "("])?;
                let key = self.literal()?;
                self.expect(&[","])?;
                self.literal()?;
                self.expect(&[")", "returning", "v"])?;
                Ok((Verb::Insert, key))
            }
            Some(other) => Err(syntax_error(format!("{other:.40} is no statement of this service"))),
            None => Err(syntax_error("no statement")),
        }
    }

    /// Parses the comment that ends the statement. Returns the range between its delimiters.
    pub(super) fn comment(&mut self) -> Result<Range<usize>, StatementError> {
        self.skip_blanks();
        let rest = &self.text[self.position..];
        if !rest.starts_with(b"/*") {
            return Err(syntax_error("the statement has no comment"));
        }
        let Some(len) = rest.windows(2).skip(2).position(|pair| pair == b"*/") else {
            return Err(syntax_error("a comment does not end"));
        };
        let start = self.position + 2;
        let inside = start..start + len;
        self.position = inside.end + 2;
        self.skip_blanks();
        if self.text.get(self.position) == Some(&b';') {
            self.position += 1;
            self.skip_blanks();
        }
        if self.position < self.text.len() {
            return Err(syntax_error("one statement a query, and nothing after its comment"));
        }
        Ok(inside)
    }

    fn skip_blanks(&mut self) {
        let rest = &self.text[self.position..];
        self.position += rest.iter().take_while(|b| b.is_ascii_whitespace()).count();
    }

    /// Returns the next word in lower case, or the next single character if it can't be part of a word.
    fn word(&mut self) -> Option<String> {
        self.skip_blanks();
        let rest = &self.text[self.position..];
        let is_word_byte = |b: &u8| b.is_ascii_alphanumeric() || *b == b'_';
        let word_len = rest.iter().copied().take_while(is_word_byte).count();
        let len = word_len.max(1).min(rest.len());
        self.position += len;
        (len > 0).then(|| String::from_utf8_lossy(&rest[..len]).to_ascii_lowercase())
    }

    fn expect(&mut self, words: &[&str]) -> Result<(), StatementError> {
        for expected in words {
            let position = self.position;
            if self.word().as_deref() != Some(expected) {
                return Err(syntax_error(format!("{expected} expected at byte {position}")));
            }
        }
        Ok(())
    }

    /// Parses a literal in single quotes. Returns the range between the quotes. A doubled quote is part of
    /// the literal.
    fn literal(&mut self) -> Result<Range<usize>, StatementError> {
        self.skip_blanks();
        if self.text.get(self.position) != Some(&b'\'') {
            return Err(syntax_error(format!("a literal expected at byte {}", self.position)));
        }
        let start = self.position + 1;
        let mut end = start;
        while let Some(byte) = self.text.get(end) {
            match (byte, self.text.get(end + 1)) {
                (b'\'', Some(b'\'')) => end += 2,
                (b'\'', _) => {
                    self.position = end + 1;
                    return Ok(start..end);
                }
                _ => end += 1,
            }
        }
        Err(syntax_error("a literal does not end"))
    }
}

/// A number and its range in the text.
pub(super) struct NumberField {
    pub number: u64,
    pub range: Range<usize>,
}

/// The fields of a comment. `after` and `token` may be given several times; of any other field that is given
/// several times, the last one is used.
#[derive(Default)]
pub(super) struct CommentFields {
    /// Empty if the field is missing.
    pub id: Range<usize>,
    pub class: Option<Range<usize>>,
    pub tenant: Option<Range<usize>>,
    pub deadline: Option<NumberField>,
    pub group: Option<u32>,
    pub min_positions: Vec<NumberField>,
    pub session: Option<Range<usize>>,
    pub tokens: Vec<Range<usize>>,
    pub is_retry: bool,
}

impl CommentFields {
    /// Parses the fields of a comment, given the range between its delimiters. Unknown fields are ignored.
    pub(super) fn parse(text: &[u8], comment: Range<usize>) -> Result<CommentFields, StatementError> {
        let mut fields = CommentFields::default();
        for Field { name, value } in (FieldIter { text, position: comment.start, end: comment.end }) {
            fields.set(text, &text[name], value)?;
        }
        Ok(fields)
    }

    fn set(&mut self, text: &[u8], name: &[u8], value: Range<usize>) -> Result<(), StatementError> {
        match name {
            b"id" => self.id = value,
            b"c" => self.class = Some(value),
            b"t" => self.tenant = Some(value),
            b"d" => self.deadline = Some(number_field(text, value, "d")?),
            b"cluster" => {
                let number = number_field(text, value, "cluster")?.number;
                let group =
                    u32::try_from(number).map_err(|_| invalid_parameter("cluster is out of range"))?;
                self.group = Some(group);
            }
            b"after" if self.min_positions.len() == MAX_POSITIONS => {
                return Err(invalid_parameter("too many positions"));
            }
            b"after" => self.min_positions.push(number_field(text, value, "after")?),
            b"session" => self.session = Some(value),
            b"token" if self.tokens.len() == MAX_TOKENS => return Err(invalid_parameter("too many tokens")),
            b"token" => self.tokens.push(value),
            b"r" => self.is_retry = &text[value] == b"1",
            _ => {}
        }
        Ok(())
    }
}

fn number_field(text: &[u8], range: Range<usize>, name: &str) -> Result<NumberField, StatementError> {
    let digits = std::str::from_utf8(&text[range.clone()]).ok();
    let digits = digits.filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()));
    match digits.and_then(|digits| digits.parse().ok()) {
        Some(number) => Ok(NumberField { number, range }),
        None => Err(invalid_parameter(format!("{name} is not a whole number"))),
    }
}

/// A field of a comment.
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// An iterator over the `name=value` fields, which are separated by commas. White space around names and
/// values is ignored.
struct FieldIter<'a> {
    text: &'a [u8],
    position: usize,
    end: usize,
}

impl Iterator for FieldIter<'_> {
    type Item = Field;

    fn next(&mut self) -> Option<Field> {
        while self.position < self.end {
            let rest = &self.text[self.position..self.end];
            let start = self.position;
            let len = rest.iter().position(|b| *b == b',').unwrap_or(rest.len());
            self.position += len + 1;
            if let Some(name_len) = rest[..len].iter().position(|b| *b == b'=') {
                let name = self.trim(start..start + name_len);
                let value = self.trim(start + name_len + 1..start + len);
                return Some(Field { name, value });
            }
        }
        None
    }
}

impl FieldIter<'_> {
    /// Returns the range without white space at both ends.
    fn trim(&self, range: Range<usize>) -> Range<usize> {
        let word = &self.text[range.clone()];
        let is_blank = |b: &&u8| b.is_ascii_whitespace();
        let before = word.iter().take_while(is_blank).count();
        if before == word.len() {
            return range.start..range.start;
        }
        let after = word.iter().rev().take_while(is_blank).count();
        range.start + before..range.end - after
    }
}
