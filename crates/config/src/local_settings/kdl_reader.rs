//! Typed access to the arguments and properties of KDL nodes. Each error names the line, the column and the
//! key.

use crate::{ConfigError, Problem};
use basalthill_policy::api::Time;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue, NodeKey};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The largest value of a setting in milliseconds.
const MAX_MS: i128 = 60_000;

/// Reads the nodes of a file. The reader needs the text of the file to convert the offset of a node to its
/// line and column.
pub(super) struct KdlReader<'a> {
    text: &'a str,
}

/// Parses the text of a file.
pub(super) fn parse(text: &str) -> Result<KdlDocument, ConfigError> {
    KdlDocument::parse_v2(text).map_err(|error| {
        let first = error.diagnostics.first();
        let offset = first.map_or(0, |diagnostic| diagnostic.span.offset());
        let message = first.and_then(|diagnostic| diagnostic.message.clone().or(diagnostic.label.clone()));
        let problem = Problem::Syntax(message.unwrap_or_else(|| "invalid KDL".into()));
        error_at(text, offset, "(file)", problem)
    })
}

/// Creates an error at a byte offset of the text; its key has the form `LINE:COLUMN: KEY`.
fn error_at(text: &str, offset: usize, key: &str, problem: Problem) -> ConfigError {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    ConfigError::invalid(format!("{line}:{column}: {key}"), problem)
}

impl<'a> KdlReader<'a> {
    /// Creates a reader for the nodes of this text.
    pub(super) fn new(text: &'a str) -> KdlReader<'a> {
        KdlReader { text }
    }

    /// Creates an error at a node.
    pub(super) fn node_error(&self, node: &KdlNode, key: &str, problem: Problem) -> ConfigError {
        error_at(self.text, node.span().offset(), key, problem)
    }

    /// Creates an error at an argument or a property.
    fn entry_error(&self, entry: &KdlEntry, key: &str, problem: Problem) -> ConfigError {
        // The span of an entry may include the whitespace before it.
        let start = entry.span().offset();
        let span = self.text.get(start..start + entry.span().len()).unwrap_or_default();
        let whitespace = span.len() - span.trim_start().len();
        error_at(self.text, start + whitespace, key, problem)
    }

    /// Rejects a node whose number of arguments is not `arguments`, or that has a property not listed in
    /// `properties`.
    pub(super) fn check_entries(
        &self,
        node: &KdlNode,
        key: &str,
        arguments: usize,
        properties: &[&str],
    ) -> Result<(), ConfigError> {
        let mut found = 0;
        for entry in node.entries() {
            match entry.name().map(|name| name.value()) {
                None => found += 1,
                Some(name) if properties.contains(&name) => {}
                Some(name) => {
                    return Err(self.entry_error(entry, &format!("{key}.{name}"), Problem::UnknownKey));
                }
            }
        }
        if found == arguments {
            return Ok(());
        }
        let problem = Problem::ArgumentCount { expected: arguments, found };
        Err(self.node_error(node, key, problem))
    }

    /// Reads a required string.
    pub(super) fn text<'n>(
        &self,
        node: &'n KdlNode,
        key: &str,
        entry: impl Into<NodeKey>,
    ) -> Result<&'n str, ConfigError> {
        let Some(entry) = node.entry(entry) else {
            return Err(self.node_error(node, key, Problem::Missing));
        };
        let problem = Problem::WrongType { expected: "a string" };
        entry.value().as_string().ok_or_else(|| self.entry_error(entry, key, problem))
    }

    /// Reads a required string that must be one of the choices, and returns the value of that choice.
    pub(super) fn one_of<T: Copy>(
        &self,
        node: &KdlNode,
        key: &str,
        entry: impl Into<NodeKey>,
        choices: &[(&str, T)],
    ) -> Result<T, ConfigError> {
        let text = self.text(node, key, entry)?;
        if let Some((_, choice)) = choices.iter().find(|(word, _)| *word == text) {
            return Ok(*choice);
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let problem = Problem::NotOneOf { value: text.to_string(), expected: words.join(", ") };
        Err(self.node_error(node, key, problem))
    }

    /// Reads an optional boolean, which is false if it is missing.
    pub(super) fn flag(
        &self,
        node: &KdlNode,
        key: &str,
        entry: impl Into<NodeKey>,
    ) -> Result<bool, ConfigError> {
        let Some(entry) = node.entry(entry) else { return Ok(false) };
        let problem = Problem::WrongType { expected: "#true or #false" };
        entry.value().as_bool().ok_or_else(|| self.entry_error(entry, key, problem))
    }

    /// Reads an optional integer within a range.
    pub(super) fn integer(
        &self,
        node: &KdlNode,
        key: &str,
        entry: impl Into<NodeKey>,
        range: RangeInclusive<i128>,
    ) -> Result<Option<u64>, ConfigError> {
        let Some(entry) = node.entry(entry) else { return Ok(None) };
        match entry.value() {
            KdlValue::Integer(number) if range.contains(number) => Ok(Some(*number as u64)),
            other => {
                let value = other.to_string();
                let problem = Problem::NotAnInteger { value, min: *range.start(), max: *range.end() };
                Err(self.entry_error(entry, key, problem))
            }
        }
    }

    /// Reads an optional number within a range; it may be written as an integer or as a float.
    pub(super) fn number(
        &self,
        node: &KdlNode,
        key: &str,
        entry: impl Into<NodeKey>,
        range: RangeInclusive<f64>,
    ) -> Result<Option<f64>, ConfigError> {
        let Some(entry) = node.entry(entry) else { return Ok(None) };
        let number = match entry.value() {
            KdlValue::Integer(number) => Some(*number as f64),
            KdlValue::Float(number) => Some(*number),
            _ => None,
        };
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return Ok(Some(number));
        }
        let value = entry.value().to_string();
        let problem = Problem::NotANumber { value, min: *range.start(), max: *range.end() };
        Err(self.entry_error(entry, key, problem))
    }

    /// Reads the time in milliseconds that is the only argument of a node.
    pub(super) fn milliseconds(&self, node: &KdlNode, key: &str) -> Result<Time, ConfigError> {
        self.check_entries(node, key, 1, &[])?;
        Ok(Time::ms(self.integer(node, key, 0, 0..=MAX_MS)?.unwrap_or_default()))
    }

    /// Reads a required IP address with a port.
    pub(super) fn address(
        &self,
        node: &KdlNode,
        key: &str,
        entry: impl Into<NodeKey>,
    ) -> Result<SocketAddr, ConfigError> {
        let text = self.text(node, key, entry)?;
        let problem = Problem::NotAnAddress { value: text.to_string() };
        text.parse().map_err(|_| self.node_error(node, key, problem))
    }
}
