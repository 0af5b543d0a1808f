//! Settings of the programs, in INI, checked as a whole at the start.
//!
//! A program declares its [`Field`]s; [`File::read`] reports every wrong or
//! unknown key at once, with file, section, key, value and what was
//! expected.

pub mod agent;
pub mod entry;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use crate::log::Format;

/// A setting that a program knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its section.
    pub section: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Its value where the file gives none; `None` if it must.
    pub default: Option<&'static str>,
    /// Which values are allowed, with their unit.
    pub expected: &'static str,
    /// What it is for.
    pub help: &'static str,
}

impl Field {
    /// Returns a field.
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

/// Settings that every program has.
pub const COMMON_FIELDS: &[Field] = &[
    Field {
        section: "log",
        key: "format",
        default: Some("text"),
        expected: "text or json",
        help: "How lines of the log are written.",
    },
    Field {
        section: "log",
        key: "level",
        default: Some("info"),
        expected: "error, warning, info, debug or trace",
        help: "The least weight of a line that is written.",
    },
    Field {
        section: "telemetry",
        key: "otlp",
        default: Some(""),
        expected: "a URL, or nothing for no export",
        help: "Where metrics and traces are sent, by OTLP over HTTP.",
    },
    Field {
        section: "telemetry",
        key: "page",
        default: Some(""),
        expected: "an IP address and port, or nothing for no page",
        help: "Where the local page of metrics is, at /metrics.",
    },
];

/// Where a setting comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The file.
    File,
    /// The program.
    Default,
}

/// A setting that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// What was expected.
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

/// Everything that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// The problems, in the order of the declarations.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, problem) in self.problems.iter().enumerate() {
            let end = if at == 0 { "" } else { "\n" };
            write!(f, "{end}{problem}")?;
        }
        Ok(())
    }
}

/// The values of a program's settings, and what is wrong with them.
#[derive(Clone, Debug)]
pub struct File {
    path: PathBuf,
    fields: Vec<Field>,
    values: BTreeMap<(&'static str, &'static str), (String, Source)>,
    problems: Vec<Problem>,
}

impl File {
    /// Reads a file; what is wrong is kept until [`File::finish`].
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
                file.problem("", "", "", format!("a readable file: {error}"));
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
                    file.problem(field.section, field.key, "", expected);
                    continue;
                }
            };
            file.values.insert((field.section, field.key), value);
        }
        file
    }

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
                    self.problem(section, key, value, expected);
                }
            }
        }
    }

    fn problem(
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

    /// Takes note that a value does not go with others.
    pub fn reject(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: String,
    ) {
        let value = self.values.get(&(section, key));
        let text = value.map(|(text, _)| text.clone()).unwrap_or_default();
        self.problem(section, key, &text, expected);
    }

    /// Returns a value that `read` accepts.
    pub fn value<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let (text, _) = self.values.get(&(section, key))?.clone();
        let value = read(&text);
        if value.is_none() {
            let expected = self
                .fields
                .iter()
                .find(|f| f.section == section && f.key == key)
                .map_or("", |field| field.expected);
            self.problem(section, key, &text, expected);
        }
        value
    }

    /// Returns a value that is not empty.
    pub fn text(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<String> {
        let read = |text: &str| (!text.is_empty()).then(|| text.to_owned());
        self.value(section, key, read)
    }

    /// Returns an address to listen on.
    pub fn address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        self.value(section, key, |text| text.parse().ok())
    }

    /// Returns an address, or `Some(None)` where the value is empty.
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

    /// Returns a number from `least` to `most`.
    pub fn number<T: FromStr + PartialOrd>(
        &mut self,
        section: &'static str,
        key: &'static str,
        least: T,
        most: T,
    ) -> Option<T> {
        let read = |text: &str| {
            let value: T = text.parse().ok()?;
            (least <= value && value <= most).then_some(value)
        };
        self.value(section, key, read)
    }

    /// Returns a URL.
    pub fn url(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<String> {
        self.value(section, key, |text| {
            let url: hyper::Uri = text.parse().ok()?;
            let good =
                url.scheme_str() == Some("http") && url.host().is_some();
            good.then(|| text.trim_end_matches('/').to_owned())
        })
    }

    /// Returns the settings that every program has.
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

    /// Returns `value`, unless anything was wrong.
    ///
    /// # Errors
    ///
    /// Everything that was wrong, if anything was.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Error> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(Error {
                problems: self.problems,
            }),
        }
    }

    /// Returns every setting with its value and where it comes from, as an
    /// INI file that would give the same.
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

/// Settings that every program has.
#[derive(Clone, Debug, PartialEq)]
pub struct Common {
    /// How lines of the log are written.
    pub format: Format,
    /// The least weight of a line that is written.
    pub level: slog::Level,
    /// Where metrics and traces are sent.
    pub otlp: Option<String>,
    /// Where the local page of metrics is.
    pub page: Option<SocketAddr>,
}
