//! One line of a log.

use std::time::Duration;
use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

/// The digits of a job's name where a request's path ends with it.
const ID_DIGITS: usize = 16;

/// A line with its fields.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was written.
    pub written_at: SystemTime,
    /// The process that wrote it.
    pub process: String,
    /// Its sentence.
    pub message: String,
    /// Everything else.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; whatever stands before its object is passed over.
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

    /// Returns the job that it is about, if any.
    pub fn job(&self) -> Option<&str> {
        let last = || self.text("path")?.rsplit('/').next();
        let named = |id: &&str| {
            id.len() == ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit())
        };
        self.text("job").or_else(|| last().filter(named))
    }

    /// Returns a field that is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is a number.
    pub fn number(&self, name: &str) -> Option<i64> {
        let value = self.fields.get(name)?;
        value.as_i64().or_else(|| Some(value.as_f64()? as i64))
    }

    /// Returns a field that is a time in ms.
    pub fn time(&self, name: &str) -> Option<Duration> {
        let ms = self.number(name)?;
        u64::try_from(ms).ok().map(Duration::from_millis)
    }

    /// Returns its fields as they are shown to people.
    pub fn display_fields(&self) -> String {
        let show = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        };
        let hidden = ["job", "account", "queue", "token", "path"];
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !hidden.contains(&&***name));
        let shown: Vec<String> = fields.map(show).collect();
        shown.join(" ")
    }
}
