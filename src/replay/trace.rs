//! The format of recorded traces, and a reader that validates it.

use std::io::BufRead;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::account;
use crate::account::Account;
use crate::job;
use crate::site::HallId;
use crate::site::RackId;
use crate::site::Shape;
use crate::site::Site;
use crate::site::Within;
use crate::site::WorkerId;

/// The first line of a trace: the site and its client accounts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Header {
    /// The name of the site.
    pub site: String,
    /// The number of accelerators of each worker.
    pub accelerators: u32,
    /// The halls.
    pub halls: Vec<Hall>,
    /// The client accounts.
    #[serde(default)]
    pub accounts: Vec<AccountTerms>,
}

/// A hall of the site.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hall {
    /// The name of the hall.
    pub hall: HallId,
    /// The racks of the hall.
    pub racks: Vec<Rack>,
}

/// A rack of a hall.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rack {
    /// The name of the rack.
    pub rack: RackId,
    /// The names of the workers in the rack.
    pub workers: Vec<WorkerId>,
}

/// The name, guarantee and borrowing limit of a client account.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AccountTerms {
    /// The name of the account.
    pub account: account::Id,
    /// The guaranteed shapes.
    #[serde(default)]
    pub guarantee: Vec<Shape>,
    /// The maximum number of accelerators used beyond the guarantee.
    #[serde(default)]
    pub borrow: u32,
}

/// A line after the first: an event and its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// The time of the event, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event on the recorded site.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A job was submitted.
    Submit(Submit),
    /// A caller cancelled a job.
    Cancel {
        /// The job.
        job: job::Id,
    },
    /// A worker was lost, with the tasks on it.
    WorkerFail {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker came back.
    WorkerReturn {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker was about to leave and accepts no new work.
    WorkerLeaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker began to fail every task one second after its start.
    WorkerBad {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker stopped failing tasks.
    WorkerGood {
        /// The worker.
        worker: WorkerId,
    },
}

/// A submitted job, with its actual run time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// The name of the job.
    pub job: job::Id,
    /// The client account that owns the job.
    pub account: account::Id,
    /// The template that the job was created from.
    pub template: job::TemplateId,
    /// The number of accelerators that the job needs.
    pub accelerators: u32,
    /// The part of the site that must contain all of them.
    pub within: Within,
    /// The declared run time, in milliseconds.
    pub declared_ms: u64,
    /// The actual run time, in milliseconds. No policy sees this value.
    pub actual_ms: u64,
    /// Whether the job may be started again.
    pub repeatable: bool,
    /// Whether the job can write checkpoints.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether the job is urgent.
    #[serde(default)]
    pub urgent: bool,
}

impl Submit {
    /// Returns the part of the job that policies see.
    pub fn spec(&self, submitted: SystemTime) -> job::Spec {
        job::Spec {
            id: self.job.clone(),
            account: self.account.clone(),
            template: self.template.clone(),
            shape: Shape {
                accelerators: self.accelerators,
                within: self.within,
            },
            declared: Duration::from_millis(self.declared_ms),
            repeatable: self.repeatable,
            checkpoint: self.checkpoint,
            urgent: self.urgent,
            submitted,
            due: None,
        }
    }
}

/// A complete trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The site and its client accounts.
    pub header: Header,
    /// The events, in the order of their times.
    pub lines: Vec<Line>,
}

/// An unreadable or invalid trace.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The input could not be read.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The number of the line, from 1.
        line: usize,
        /// The cause.
        source: std::io::Error,
    },
    /// A line does not have the expected format.
    #[error("line {line}: {source}")]
    Parse {
        /// The number of the line, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// The trace is empty.
    #[error("line 1: missing, expected the site and its accounts")]
    Empty,
    /// The time of a line is before that of the previous line.
    #[error(
        "line {line}: at_ms: {at_ms} is before the previous line, expected \
         lines in order of time"
    )]
    OutOfOrder {
        /// The number of the line, from 1.
        line: usize,
        /// The time of the line.
        at_ms: u64,
    },
    /// Two submissions have the same job name.
    #[error(
        "line {line}: job: {job:?} is submitted twice, expected a new name"
    )]
    DuplicateJob {
        /// The number of the line, from 1.
        line: usize,
        /// The job.
        job: job::Id,
    },
    /// A line names a worker that is not on the site.
    #[error(
        "line {line}: worker: {worker:?} is not on the site, expected a \
         worker of line 1"
    )]
    UnknownWorker {
        /// The number of the line, from 1.
        line: usize,
        /// The worker.
        worker: WorkerId,
    },
    /// A job requests no accelerators.
    #[error("line {line}: accelerators: 0, expected 1 or more")]
    NoAccelerators {
        /// The number of the line, from 1.
        line: usize,
    },
    /// The description of the site is invalid.
    #[error("line 1: {0}")]
    Site(#[from] crate::site::Error),
}

impl Trace {
    /// Reads and validates a trace.
    ///
    /// # Errors
    ///
    /// If a line cannot be read or is invalid. The error names the line and
    /// the field.
    pub fn read(input: impl BufRead) -> Result<Trace, Error> {
        let mut lines = input.lines().enumerate().map(|(index, text)| {
            let line = index + 1;
            text.map(|text| (line, text))
                .map_err(|source| Error::Read { line, source })
        });
        let (line, first) = lines.next().ok_or(Error::Empty)??;
        let header: Header = parse(line, &first)?;
        let mut trace = Trace {
            header,
            lines: Vec::new(),
        };
        let mut checker = Checker {
            site: trace.header.site()?,
            jobs: Default::default(),
            at_ms: 0,
        };
        for item in lines {
            let (line, text) = item?;
            if text.trim().is_empty() {
                continue;
            }
            let parsed: Line = parse(line, &text)?;
            checker.check_line(line, &parsed)?;
            trace.lines.push(parsed);
        }
        Ok(trace)
    }
}

fn parse<T: serde::de::DeserializeOwned>(
    line: usize,
    text: &str,
) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|source| Error::Parse { line, source })
}

/// The state for the validation of a line: the site, and what earlier lines
/// held.
struct Checker {
    site: Site,
    jobs: std::collections::BTreeSet<job::Id>,
    at_ms: u64,
}

impl Checker {
    fn check_line(&mut self, line: usize, parsed: &Line) -> Result<(), Error> {
        let at_ms = parsed.at_ms;
        if at_ms < self.at_ms {
            return Err(Error::OutOfOrder { line, at_ms });
        }
        self.at_ms = at_ms;
        match &parsed.event {
            Event::Submit(submit) if submit.accelerators == 0 => {
                Err(Error::NoAccelerators { line })
            }
            Event::Submit(submit) => {
                match self.jobs.insert(submit.job.clone()) {
                    true => Ok(()),
                    false => Err(Error::DuplicateJob {
                        line,
                        job: submit.job.clone(),
                    }),
                }
            }
            Event::Cancel { .. } => Ok(()),
            Event::WorkerFail { worker }
            | Event::WorkerReturn { worker }
            | Event::WorkerLeaving { worker }
            | Event::WorkerBad { worker }
            | Event::WorkerGood { worker } => match self.site.index(worker) {
                Some(_) => Ok(()),
                None => Err(Error::UnknownWorker {
                    line,
                    worker: worker.clone(),
                }),
            },
        }
    }
}

impl Header {
    /// Builds the site.
    ///
    /// # Errors
    ///
    /// If a worker is listed in two racks, or the number of accelerators is
    /// out of range.
    pub fn site(&self) -> Result<Site, crate::site::Error> {
        let mut site = Site::new(self.accelerators)?;
        for hall in &self.halls {
            for rack in &hall.racks {
                for worker in &rack.workers {
                    site.add(&hall.hall, &rack.rack, worker)?;
                }
            }
        }
        Ok(site)
    }

    /// Returns the name and terms of each client account.
    pub fn terms(&self) -> impl Iterator<Item = (account::Id, Account)> + '_ {
        self.accounts.iter().map(|terms| {
            let account = Account {
                guarantee: terms.guarantee.clone(),
                borrow: terms.borrow,
            };
            (terms.account.clone(), account)
        })
    }
}
