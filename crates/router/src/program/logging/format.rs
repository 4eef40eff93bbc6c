//! The format of a log line: text or a JSON object.

use super::rate_limit::RateLimiter;
use super::LogFormat;
use serde::Serialize;
use serde_json::Value;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;

/// The field that carries an event's message.
const MESSAGE: &str = "message";

/// Formats events as lines. A line also contains the number of lines that were dropped since the previous
/// line, unless it is 0.
pub(super) struct LineFormat {
    format: LogFormat,
    limiter: Arc<RateLimiter>,
}

impl LineFormat {
    /// Creates the formatter for this format, which takes the number of dropped lines from `limiter`.
    pub(super) fn new(format: LogFormat, limiter: Arc<RateLimiter>) -> LineFormat {
        LineFormat { format, limiter }
    }
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'s> LookupSpan<'s>,
    N: for<'f> FormatFields<'f> + 'static,
{
    fn format_event(&self, _ctx: &FmtContext<'_, S, N>, out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line::new(event, unix_time, self.limiter.take_dropped());
        match self.format {
            LogFormat::Text => line.write_text(out),
            LogFormat::Json => line.write_json(out),
        }
    }
}

/// The content of a line. The field names are the keys of the JSON format.
#[derive(Serialize)]
struct Line {
    /// The Unix time, in seconds with millisecond precision.
    #[serde(serialize_with = "seconds")]
    timestamp: Duration,
    level: &'static str,
    /// The path of the module that emitted the event.
    target: &'static str,
    message: String,
    /// The number of lines dropped since the previous line.
    #[serde(skip_serializing_if = "is_zero")]
    dropped_lines: u32,
    /// The other fields of the event, in the order of the event.
    #[serde(skip_serializing_if = "Vec::is_empty", serialize_with = "by_name")]
    fields: Vec<LineField>,
}

struct LineField {
    name: &'static str,
    value: Value,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

fn seconds<S: serde::Serializer>(unix_time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(unix_time.as_millis() as f64 / 1000.0)
}

fn by_name<S: serde::Serializer>(fields: &[LineField], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_map(fields.iter().map(|field| (field.name, &field.value)))
}

impl Line {
    fn new(event: &Event<'_>, unix_time: Duration, dropped_lines: u32) -> Line {
        let mut line = Line {
            timestamp: unix_time,
            level: event.metadata().level().as_str(),
            target: event.metadata().target(),
            message: String::new(),
            dropped_lines,
            fields: Vec::new(),
        };
        event.record(&mut line);
        line
    }

    /// Writes the line as `SECONDS.MILLISECONDS (N lines left out) LEVEL message field=value`.
    fn write_text(&self, mut out: Writer<'_>) -> fmt::Result {
        write!(out, "{}.{:03} ", self.timestamp.as_secs(), self.timestamp.subsec_millis())?;
        if self.dropped_lines > 0 {
            write!(out, "({} lines left out) ", self.dropped_lines)?;
        }
        write!(out, "{} {}", self.level, self.message)?;
        for LineField { name, value } in &self.fields {
            match value {
                Value::String(text) => write!(out, " {name}={text}")?,
                other => write!(out, " {name}={other}")?,
            }
        }
        writeln!(out)
    }

    fn write_json(&self, mut out: Writer<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        writeln!(out, "{json}")
    }

    fn set(&mut self, field: &Field, value: Value) {
        self.fields.push(LineField { name: field.name(), value });
    }
}

impl Visit for Line {
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.set(field, value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.set(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.set(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.set(field, value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            MESSAGE => self.message = value.to_string(),
            _ => self.set(field, value.into()),
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            MESSAGE => self.message = format!("{value:?}"),
            _ => self.set(field, format!("{value:?}").into()),
        }
    }
}
