//! Explains the outcome of jobs from the logs of any number of processes.
//!
//! A [`line::Line`] is one log line, a [`history::History`] holds the lines of
//! one job, and its [`history::Verdict`] gives the outcome and the
//! [`cause::Cause`] that cost the most time. A [`holder::Holder`] is a job that
//! held the room that another one waited for. [`Logs`] holds all histories.
//!
//! # Examples
//!
//! ```
//! use landingvalve::explain::Logs;
//!
//! let log = r#"{"ts":"2026-01-01T00:00:01Z","process":"e1",
//!     "msg":"planner: a unit is placed","job":"a","unit":"0.0.0",
//!     "run":1,"waited_ms":900}"#.replace('\n', "");
//! let mut logs = Logs::default();
//! logs.read(log.as_bytes())?;
//! let history = logs.history("a").expect("the job is in the log");
//! assert_eq!(history.lines().len(), 1);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod cause;
pub mod history;
pub mod holder;
pub mod line;

use std::collections::BTreeMap;
use std::io::BufRead;

use crate::explain::history::History;
use crate::explain::line::Line;

/// The histories of all jobs in a set of logs.
#[derive(Debug, Default)]
pub struct Logs {
    histories: BTreeMap<String, History>,
    /// The number of lines that are not JSON log lines.
    unreadable: usize,
    lines: usize,
}

impl Logs {
    /// Reads log lines, with or without the prefix of a collector.
    ///
    /// # Errors
    ///
    /// If the source cannot be read.
    pub fn read(&mut self, source: impl BufRead) -> std::io::Result<()> {
        for text in source.split(b'\n') {
            let text = text?;
            if text.is_empty() {
                continue;
            }
            self.lines += 1;
            match Line::parse(&String::from_utf8_lossy(&text)) {
                Some(line) => self.add(line),
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    /// Returns the number of lines read, and how many of them were unreadable.
    pub fn counts(&self) -> (usize, usize) {
        (self.lines, self.unreadable)
    }

    /// Returns the history of a job, or `None` if no line concerns it.
    pub fn history(&self, job: &str) -> Option<&History> {
        self.histories.get(job)
    }

    /// Returns every job with its history.
    pub fn histories(&self) -> impl Iterator<Item = (&str, &History)> {
        self.histories
            .iter()
            .map(|(job, history)| (job.as_str(), history))
    }

    fn add(&mut self, line: Line) {
        if let Some(job) = line.job() {
            let history = self.histories.entry(job.to_owned()).or_default();
            history.push(line);
        }
    }
}
