//! Settings of the programs: an INI file that is checked as a whole at
//! startup.
//!
//! A program declares its [`Field`]s. [`File`] collects every invalid or
//! unknown key, so that all of them are reported at once, each with file,
//! section, key, value and the expected value.

pub mod agent;
pub mod entry;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use crate::log::Format;

/// The declaration of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// The section of the file.
    pub section: &'static str,
    /// The key in the section.
    pub key: &'static str,
    /// The value if the file has none; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// The allowed values, with their unit.
    pub expected: &'static str,
    /// What the setting is for.
    pub help: &'static str,
}

impl Field {
    /// Returns the declaration of a setting.
    pub const fn new(
        section: &'static str,
        key: &'static str,
        default: Option<&'static str>,
        expected: &'static str,
        help: &'static str,
    ) -> Field {
        Field {
            section,
            key,
            default,
            expected,
            help,
        }
    }
}

/// The settings that every program has.
pub const COMMON_FIELDS: &[Field] = &[
    Field {
        section: "log",
        key: "format",
        default: Some("text"),
        expected: "text or json",
        help: "The format of log lines.",
    },
    Field {
        section: "log",
        key: "level",
        default: Some("info"),
        expected: "error, warning, info, debug or trace",
        help: "The least severe level of log lines that are written.",
    },
    Field {
        section: "telemetry",
        key: "otlp",
        default: Some(""),
        expected: "a URL, or empty for no export",
        help: "The collector of metrics and traces, by OTLP over HTTP.",
    },
    Field {
        section: "telemetry",
        key: "page",
        default: Some(""),
        expected: "an IP address and port, or empty for no page",
        help: "The address of the local metrics page, at /metrics.",
    },
];

/// Where the value of a setting comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The settings file.
    File,
    /// The default of its declaration.
    Default,
}

/// An invalid, missing or unknown setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the settings file.
    pub file: PathBuf,
    /// The section of the setting, empty if the file cannot be read.
    pub section: String,
    /// The key of the setting, empty if the file cannot be read.
    pub key: String,
    /// The value as written, empty if it is missing.
    pub value: String,
    /// A description of the values that are allowed.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: [{}] {} = {:?}, expected {}",
            self.file.display(),
            self.section,
            self.key,
            self.value,
            self.expected
        )
    }
}

/// All problems of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The problems: unknown keys first, then in the order of declaration.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// The values of a program's settings file, and its problems.
#[derive(Clone, Debug)]
pub struct File {
    path: PathBuf,
    fields: Vec<Field>,
    values: BTreeMap<(&'static str, &'static str), (String, Source)>,
    problems: Vec<Problem>,
}

impl File {
    /// Reads a file with the given declarations. Problems are collected for
    /// [`File::finish`].
    pub fn read(path: &Path, fields: &[&[Field]]) -> File {
        let mut file = File {
            path: path.to_owned(),
            fields: fields.concat(),
            values: BTreeMap::new(),
            problems: Vec::new(),
        };
        let ini = match ini::Ini::load_from_file(path) {
            Ok(ini) => ini,
            Err(error) => {
                file.add_problem(
                    "",
                    "",
                    "",
                    format!("a readable file: {error}"),
                );
                ini::Ini::new()
            }
        };
        file.reject_unknown_keys(&ini);
        for field in file.fields.clone() {
            let given = ini.get_from(Some(field.section), field.key);
            let value = match (given, field.default) {
                (Some(given), _) => (given.trim().to_owned(), Source::File),
                (None, Some(value)) => (value.to_owned(), Source::Default),
                (None, None) => {
                    let expected = field.expected;
                    file.add_problem(field.section, field.key, "", expected);
                    continue;
                }
            };
            file.values.insert((field.section, field.key), value);
        }
        file
    }

    /// Adds a problem for each key that no declaration names.
    fn reject_unknown_keys(&mut self, ini: &ini::Ini) {
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in properties.iter() {
                let known = self
                    .fields
                    .iter()
                    .any(|f| f.section == section && f.key == key);
                if !known {
                    let names: Vec<String> = self
                        .fields
                        .iter()
                        .map(|f| format!("[{}] {}", f.section, f.key))
                        .collect();
                    let expected = format!("one of {}", names.join(", "));
                    self.add_problem(section, key, value, expected);
                }
            }
        }
    }

    fn add_problem(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        expected: impl Into<String>,
    ) {
        self.problems.push(Problem {
            file: self.path.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            expected: expected.into(),
        });
    }

    /// Adds a problem for a value that conflicts with other settings.
    pub fn reject(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: String,
    ) {
        let value = self.values.get(&(section, key));
        let text = value.map(|(text, _)| text.clone()).unwrap_or_default();
        self.add_problem(section, key, &text, expected);
    }

    /// Parses a value with `parse`; adds a problem if it returns `None`.
    pub fn value<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let (text, _) = self.values.get(&(section, key))?.clone();
        let value = parse(&text);
        if value.is_none() {
            let expected = self
                .fields
                .iter()
                .find(|f| f.section == section && f.key == key)
                .map_or("", |field| field.expected);
            self.add_problem(section, key, &text, expected);
        }
        value
    }

    /// Returns a non-empty text.
    pub fn text(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<String> {
        let parse = |text: &str| (!text.is_empty()).then(|| text.to_owned());
        self.value(section, key, parse)
    }

    /// Returns an IP address and port.
    pub fn address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        self.value(section, key, |text| text.parse().ok())
    }

    /// Returns an IP address and port, or `Some(None)` if the value is empty.
    pub fn optional_address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<Option<SocketAddr>> {
        match self.values.get(&(section, key)) {
            Some((text, _)) if text.is_empty() => Some(None),
            _ => self.address(section, key).map(Some),
        }
    }

    /// Returns a number from `min` to `max`, both included.
    pub fn number<T: FromStr + PartialOrd>(
        &mut self,
        section: &'static str,
        key: &'static str,
        min: T,
        max: T,
    ) -> Option<T> {
        let parse = |text: &str| {
            let value: T = text.parse().ok()?;
            (min <= value && value <= max).then_some(value)
        };
        self.value(section, key, parse)
    }

    /// Returns a number from `min` to `max`, both included, or the default if
    /// the value is empty.
    pub fn number_or_default<T: FromStr + PartialOrd>(
        &mut self,
        section: &'static str,
        key: &'static str,
        min: T,
        max: T,
    ) -> Option<T> {
        let field = |f: &&Field| f.section == section && f.key == key;
        let default = self.fields.iter().find(field)?.default;
        match (self.values.get_mut(&(section, key)), default) {
            (Some(value), Some(default)) if value.0.is_empty() => {
                *value = (default.to_owned(), Source::Default);
            }
            _ => {}
        }
        self.number(section, key, min, max)
    }

    /// Returns an `http` URL without trailing slashes.
    pub fn url(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<String> {
        self.value(section, key, |text| {
            let url: hyper::Uri = text.parse().ok()?;
            let valid =
                url.scheme_str() == Some("http") && url.host().is_some();
            valid.then(|| text.trim_end_matches('/').to_owned())
        })
    }

    /// Returns the values of [`COMMON_FIELDS`].
    pub fn common(&mut self) -> Option<Common> {
        let format = self.value("log", "format", |text| match text {
            "text" => Some(Format::Text),
            "json" => Some(Format::Json),
            _ => None,
        });
        let level = self.value("log", "level", |text| text.parse().ok());
        let otlp = match self.values.get(&("telemetry", "otlp")) {
            Some((text, _)) if text.is_empty() => Some(None),
            _ => self.url("telemetry", "otlp").map(Some),
        };
        let page = self.optional_address("telemetry", "page");
        Some(Common {
            format: format?,
            level: level?,
            otlp: otlp?,
            page: page?,
        })
    }

    /// Returns `value` if there were no problems.
    ///
    /// # Errors
    ///
    /// All problems of the file.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Error> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(Error {
                problems: self.problems,
            }),
        }
    }

    /// Returns every setting with its value as an equivalent INI file.
    /// Comments mark defaults and missing settings.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        let mut section = "";
        for field in &self.fields {
            if field.section != section {
                section = field.section;
                text.push_str(&format!("[{section}]\n"));
            }
            let key = field.key;
            match self.values.get(&(field.section, key)) {
                Some((value, Source::File)) => {
                    text.push_str(&format!("{key} = {value}\n"));
                }
                Some((value, Source::Default)) => {
                    text.push_str(&format!("; default\n{key} = {value}\n"));
                }
                None => text.push_str(&format!("; missing: {key}\n")),
            }
        }
        text
    }
}

/// The values of the settings that every program has.
#[derive(Clone, Debug, PartialEq)]
pub struct Common {
    /// The format of log lines.
    pub format: Format,
    /// The least severe level of log lines that are written.
    pub level: slog::Level,
    /// The URL of the collector of metrics and traces; `None` for no export.
    pub otlp: Option<String>,
    /// The address of the local metrics page; `None` for no page.
    pub page: Option<SocketAddr>,
}
