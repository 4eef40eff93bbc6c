//! The two statements that clients send, and the comment that goes with them. Parsed in place: the text is
//! kept as it came, and fields are ranges of it.

use std::fmt;
use std::ops::Range;

/// Why a statement is not one of ours, with the standard SQLSTATE.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementError {
    /// SQLSTATE.
    pub code: &'static str,
    /// For people.
    pub message: String,
}

impl fmt::Display for StatementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

/// So many tokens of a statement are read; a client that holds more is told.
pub const TOKENS: usize = 8;

/// A client's patience counts as no more than a day.
const LONGEST_MS: u64 = 86_400_000;

fn syntax(message: impl Into<String>) -> StatementError {
    StatementError { code: "42601", message: message.into() }
}

fn invalid(message: impl Into<String>) -> StatementError {
    StatementError { code: "22023", message: message.into() }
}

/// Which of the two statements it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// `SELECT v FROM records WHERE k = '...'`
    Select,
    /// `INSERT INTO records (k, v) VALUES ('...', '...') RETURNING v`
    Insert,
}

/// A statement with what its comment says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// Which statement.
    pub verb: Verb,
    id: Range<usize>,
    key: Range<usize>,
    class: Range<usize>,
    tenant: Range<usize>,
    patience: Range<usize>,
    /// Milliseconds that the client will wait from when it sent the request.
    pub deadline_ms: u64,
    /// The group.
    pub group: u32,
    /// The position that the read has to see, a Unix time in milliseconds; the latest if several are given.
    pub min_position_ms: Option<u64>,
    /// Where the figures of `after` stand.
    afters: Vec<Range<usize>>,
    session: Option<Range<usize>>,
    tokens: Vec<Range<usize>>,
    /// The client says that it is repeating.
    pub is_retry: bool,
}

impl Statement {
    /// Parses the text of a query, without its closing zero byte.
    pub fn parse(text: Vec<u8>) -> Result<Statement, StatementError> {
        let mut p = Parser { text: &text, at: 0 };
        let (verb, key) = match p.word().as_deref() {
            Some("select") => {
                p.words(&["v", "from", "records", "where", "k", "="])?;
                (Verb::Select, p.literal()?)
            }
            Some("insert") => {
                p.words(&["into", "records", "(", "k", ",", "v", ")", "values", "("])?;
                let key = p.literal()?;
                p.words(&[","])?;
                p.literal()?;
                p.words(&[")", "returning", "v"])?;
                (Verb::Insert, key)
            }
            Some(other) => return Err(syntax(format!("{other:.40} is no statement of this service"))),
            None => return Err(syntax("no statement")),
        };
        let comment = p.comment()?;
        let (mut class, mut tenant, mut patience, mut cluster, mut after) = (None, None, None, None, None);
        let (mut id, mut repeat) = (0..0, false);
        let (mut afters, mut session, mut tokens) = (Vec::new(), None, Vec::new());
        for (name, value) in (Pairs { text: &text, at: comment.start, end: comment.end }) {
            let word = &text[value.clone()];
            match &text[name] {
                b"id" => id = value,
                b"c" => class = Some(value),
                b"t" => tenant = Some(value),
                b"d" => patience = Some((number(word, "d")?.min(LONGEST_MS), value)),
                b"cluster" => {
                    let n = u32::try_from(number(word, "cluster")?);
                    cluster = Some(n.map_err(|_| invalid("cluster is out of range"))?);
                }
                b"after" => {
                    after = after.max(Some(number(word, "after")?));
                    afters.push(value);
                }
                b"session" => session = Some(value),
                b"token" if tokens.len() == TOKENS => return Err(invalid("too many tokens")),
                b"token" => tokens.push(value),
                b"r" => repeat = word == b"1",
                _ => {}
            }
        }
        if id.is_empty() {
            return Err(invalid("the comment holds no id"));
        }
        let class = class.ok_or_else(|| invalid("the comment holds no class (c)"))?;
        let tenant = tenant.unwrap_or(0..0);
        let (deadline_ms, patience) = patience.ok_or_else(|| invalid("the comment holds no deadline (d)"))?;
        let cluster = cluster.ok_or_else(|| invalid("the comment holds no cluster"))?;
        Ok(Statement {
            text,
            verb,
            id,
            key,
            class,
            tenant,
            patience,
            deadline_ms,
            group: cluster,
            min_position_ms: after,
            afters,
            session,
            tokens,
            is_retry: repeat,
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
    /// Tokens that the client has brought.
    pub fn tokens(&self) -> impl Iterator<Item = &[u8]> {
        self.tokens.iter().map(|range| &self.text[range.clone()])
    }
    /// The text in parts, with another figure for `d`, which is written anew for each attempt, and where a
    /// floor is given, that floor in `after`.
    pub fn text_parts<'a>(&'a self, patience: &'a str, after: Option<&'a str>) -> Vec<&'a [u8]> {
        let mut cuts: Vec<(&Range<usize>, [&str; 2])> = vec![(&self.patience, [patience, ""])];
        match after {
            Some(floor) if self.afters.is_empty() => cuts.push((&self.patience, [",after=", floor])),
            Some(floor) => cuts.extend(self.afters.iter().map(|range| (range, [floor, ""]))),
            None => {}
        }
        cuts.sort_by_key(|(range, _)| range.start);
        let (mut parts, mut at) = (Vec::with_capacity(8), 0);
        for (range, words) in cuts {
            parts.push(&self.text[at.min(range.start)..range.start]);
            parts.extend(words.map(str::as_bytes));
            at = range.end;
        }
        parts.push(&self.text[at..]);
        parts.retain(|part| !part.is_empty());
        parts
    }
    /// The text as it came.
    pub fn text(&self) -> &[u8] {
        &self.text
    }
}

fn number(word: &[u8], name: &str) -> Result<u64, StatementError> {
    let text = std::str::from_utf8(word).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    text.and_then(|t| t.parse().ok()).ok_or_else(|| invalid(format!("{name} is not a whole number")))
}

/// `name=value` pairs between commas; white space around them does not count.
struct Pairs<'a> {
    text: &'a [u8],
    at: usize,
    end: usize,
}

impl Iterator for Pairs<'_> {
    type Item = (Range<usize>, Range<usize>);

    fn next(&mut self) -> Option<Self::Item> {
        while self.at < self.end {
            let part = &self.text[self.at..self.end];
            let len = part.iter().position(|b| *b == b',').unwrap_or(part.len());
            let start = self.at;
            self.at += len + 1;
            let Some(eq) = part[..len].iter().position(|b| *b == b'=') else { continue };
            let trim = |range: Range<usize>| {
                let word = &self.text[range.clone()];
                let blank = |b: &&u8| b.is_ascii_whitespace();
                let (before, all) = (word.iter().take_while(blank).count(), word.len());
                let after = word.iter().rev().take_while(blank).count();
                if before == all {
                    range.start..range.start
                } else {
                    range.start + before..range.end - after
                }
            };
            return Some((trim(start..start + eq), trim(start + eq + 1..start + len)));
        }
        None
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn blanks(&mut self) {
        self.at += self.text[self.at..].iter().take_while(|b| b.is_ascii_whitespace()).count();
    }

    /// The next word in lower case, or a single sign.
    fn word(&mut self) -> Option<String> {
        self.blanks();
        let rest = &self.text[self.at..];
        let len = rest.iter().take_while(|b| b.is_ascii_alphanumeric() || **b == b'_').count();
        let len = len.max(1).min(rest.len());
        self.at += len;
        (len > 0).then(|| String::from_utf8_lossy(&rest[..len]).to_ascii_lowercase())
    }

    fn words(&mut self, wanted: &[&str]) -> Result<(), StatementError> {
        for want in wanted {
            let at = self.at;
            if self.word().as_deref() != Some(want) {
                return Err(syntax(format!("{want} expected at byte {at}")));
            }
        }
        Ok(())
    }

    /// The inside of a literal in single quotes; a doubled quote belongs to it.
    fn literal(&mut self) -> Result<Range<usize>, StatementError> {
        self.blanks();
        if self.text.get(self.at) != Some(&b'\'') {
            return Err(syntax(format!("a literal expected at byte {}", self.at)));
        }
        let start = self.at + 1;
        let mut i = start;
        while let Some(b) = self.text.get(i) {
            match (b, self.text.get(i + 1)) {
                (b'\'', Some(b'\'')) => i += 2,
                (b'\'', _) => {
                    self.at = i + 1;
                    return Ok(start..i);
                }
                _ => i += 1,
            }
        }
        Err(syntax("a literal does not end"))
    }

    /// The inside of the comment that ends the statement.
    fn comment(&mut self) -> Result<Range<usize>, StatementError> {
        self.blanks();
        let rest = &self.text[self.at..];
        if !rest.starts_with(b"/*") {
            return Err(syntax("the statement has no comment"));
        }
        let len = rest
            .windows(2)
            .skip(2)
            .position(|w| w == b"*/")
            .ok_or_else(|| syntax("a comment does not end"))?;
        let inside = self.at + 2..self.at + 2 + len;
        self.at = inside.end + 2;
        self.blanks();
        if self.text.get(self.at) == Some(&b';') {
            self.at += 1;
            self.blanks();
        }
        if self.at < self.text.len() {
            return Err(syntax("one statement a query, and nothing after its comment"));
        }
        Ok(inside)
    }
}
