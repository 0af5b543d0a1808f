//! What became of a job, told from the logs of any number of processes.
//!
//! A [`line::Line`] is one log line; a [`history::History`] is all that the logs
//! hold of one job, in order; its [`cause::Cause`] says what cost it the
//! most time. [`Logs`] keeps the stories of many.
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
//! let story = logs.story("a").expect("it is there");
//! assert_eq!(story.lines().len(), 1);
//! # Ok::<(), std::io::Error>(())
//! ```

pub mod cause;
pub mod history;
pub mod line;

use std::collections::BTreeMap;
use std::io::BufRead;

use crate::explain::history::History;
use crate::explain::line::Line;

/// The stories of all jobs in some logs.
#[derive(Debug, Default)]
pub struct Logs {
    histories: BTreeMap<String, History>,
    /// Lines that are no log lines of ours.
    unreadable: usize,
    lines: usize,
}

impl Logs {
    /// Reads lines, as they were written or with a collector's prefix.
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
                Some(line) => self.take(line),
                None => self.unreadable += 1,
            }
        }
        Ok(())
    }

    /// Returns how many lines there were, and how many of them could not be
    /// read.
    pub fn counts(&self) -> (usize, usize) {
        (self.lines, self.unreadable)
    }

    /// Returns what is known of a job.
    pub fn history(&self, job: &str) -> Option<&History> {
        self.histories.get(job)
    }

    /// Returns every job with its story.
    pub fn histories(&self) -> impl Iterator<Item = (&str, &History)> {
        self.histories
            .iter()
            .map(|(job, story)| (job.as_str(), story))
    }

    fn take(&mut self, line: Line) {
        if let Some(job) = line.job() {
            let story = self.histories.entry(job.to_owned()).or_default();
            story.push(line);
        }
    }
}
