//! One line of a JSON log.

use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

/// The length of a job ID at the end of a request path, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// A parsed log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// When the line was written.
    pub written_at: SystemTime,
    /// The process that wrote the line, empty if unknown.
    pub process: String,
    /// The message.
    pub message: String,
    /// The remaining fields, without the level.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. Text before the JSON object, such as the prefix of a
    /// collector, is skipped. Returns `None` if the line is not a log line.
    pub fn parse(text: &str) -> Option<Line> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> =
            serde_json::from_str(object.trim_end()).ok()?;
        let mut text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let written_at = humantime::parse_rfc3339(&text("ts")?).ok()?;
        let message = text("msg")?;
        let process = text("process").unwrap_or_default();
        fields.remove("level");
        Some(Line {
            written_at,
            process,
            message,
            fields,
        })
    }

    /// Returns the ID of the job that the line concerns: the field `job`, or
    /// else the last segment of the field `path` if it has the form of an ID.
    pub fn job(&self) -> Option<&str> {
        let segment = || self.text("path")?.rsplit('/').next();
        let is_id = |id: &&str| {
            id.len() == ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit())
        };
        self.text("job").or_else(|| segment().filter(is_id))
    }

    /// Returns the value of a text field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a numeric field; fractions are truncated.
    pub fn number(&self, name: &str) -> Option<i64> {
        let value = self.fields.get(name)?;
        value.as_i64().or_else(|| Some(value.as_f64()? as i64))
    }

    /// Returns the value of a field that holds a duration in milliseconds.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        let ms = self.number(name)?;
        u64::try_from(ms).ok().map(Duration::from_millis)
    }

    /// Returns the fields as `name=value` pairs for display, without those
    /// that repeat on every line of a job.
    pub fn display_fields(&self) -> String {
        let pair = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        };
        let hidden = ["job", "account", "queue", "token", "path"];
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !hidden.contains(&&***name));
        let pairs: Vec<String> = fields.map(pair).collect();
        pairs.join(" ")
    }
}
