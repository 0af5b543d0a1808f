//! Reads the load file that days are drawn from.

use std::path::Path;
use std::time::Duration;

use ini::Ini;
use ini::Properties;

/// An invalid load file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read or parsed.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Reason given by the system or the parser.
        reason: String,
    },
    /// A value is missing or invalid.
    #[error("[{section}] {key}: {found:?}, expected {expected}")]
    Value {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value found, `None` if the key is missing.
        found: Option<String>,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// The workers, which differ only in their speeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Number of workers.
    pub workers: usize,
    /// Number of workers in a rack.
    pub per_rack: usize,
    /// CPU of each worker, in thousandths of a core.
    pub cpu: i64,
    /// Memory of each worker, in MB.
    pub memory: i64,
    /// Accelerators of each worker.
    pub accelerators: i64,
    /// Speeds, assigned to the workers in turn.
    pub speeds: Vec<f64>,
    /// Maximum time that a stop takes.
    pub stop_time: Duration,
}

/// The client accounts, which are all alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accounts {
    /// Number of accounts.
    pub count: usize,
    /// Share of all accelerators that is guaranteed to the accounts together.
    pub guaranteed_share: f64,
    /// Time within which urgent work begins that is within its account's
    /// guarantee.
    pub reclaim_time: Duration,
}

/// A queue and the distribution of its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Priority; jobs of a lower number go first.
    pub priority: u32,
    /// Mean number of jobs submitted per second.
    pub jobs_per_second: f64,
    /// Whether the tasks of a job are a gang, which works only together.
    pub gang: bool,
    /// Share of the gangs that are slower across racks.
    pub same_rack_share: f64,
    /// Number of tasks of a job.
    pub width: Distribution,
    /// CPU of a task, in thousandths of a core.
    pub cpu: i64,
    /// Memory of a task, in MB.
    pub memory: i64,
    /// Accelerators of a task, of which each job draws one.
    pub accelerators: Vec<i64>,
    /// Time that a task works, in seconds.
    pub run_s: Distribution,
    /// Standard deviation of the logarithm of the ratio of declared to real
    /// work.
    pub declared_error: f64,
    /// Share of the jobs that save checkpoints.
    pub checkpoint_share: f64,
    /// Share of the runs that fail by themselves.
    pub failure_share: f64,
    /// Factor of a job's work in its objective.
    pub stretch: f64,
    /// Constant part of a job's objective.
    pub target: Duration,
    /// Value of a job of mean work that ends within its objective.
    pub value: f64,
    /// Value of such a job that ends late, but within three times its
    /// objective.
    pub late_value: f64,
}

/// A log-normal distribution, cut off at a maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    /// Mean.
    pub mean: f64,
    /// Standard deviation, as a share of the mean.
    pub deviation: f64,
    /// Maximum.
    pub max: f64,
}

/// A disturbance of the day.
#[derive(Clone, Debug, PartialEq)]
pub struct Pattern {
    /// Kind of the disturbance.
    pub kind: Kind,
    /// Start, in seconds from the start of the day.
    pub start_s: f64,
    /// Duration in seconds; the notice for workers that leave.
    pub duration_s: f64,
}

/// Kind of a pattern.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// The arrival rate of a queue is multiplied by this factor.
    Burst(String, f64),
    /// A share of the workers is lost at once and returns without tasks.
    Lose(f64),
    /// A share of the workers leaves for good, with notice.
    Leave(f64),
    /// All runs that begin on a share of the workers fail.
    Fail(f64),
    /// A share of the workers is lost one after the other, a second apart.
    Series(f64),
}

/// The contents of a load file.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Workers.
    pub fleet: Fleet,
    /// Client accounts.
    pub accounts: Accounts,
    /// Queues with the distributions of their jobs.
    pub queues: Vec<Queue>,
    /// Disturbances of the day.
    pub patterns: Vec<Pattern>,
    /// Time during which jobs are submitted, in seconds.
    pub seconds: f64,
}

/// A section of the file, with its name for errors.
struct Section<'a> {
    name: &'a str,
    values: &'a Properties,
}

impl Section<'_> {
    fn error(&self, key: &str, expected: &'static str) -> Error {
        Error::Value {
            section: self.name.to_owned(),
            key: key.to_owned(),
            found: self.values.get(key).map(str::to_owned),
            expected,
        }
    }

    fn number(&self, key: &str) -> Result<f64, Error> {
        let value = self.values.get(key).and_then(|text| text.parse().ok());
        let valid = value.filter(|n: &f64| n.is_finite() && *n >= 0.0);
        valid.ok_or_else(|| self.error(key, "a number from 0"))
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>, Error> {
        let texts = self.values.get(key).unwrap_or_default().split(',');
        let numbers: Option<Vec<f64>> =
            texts.map(|text| text.trim().parse().ok()).collect();
        numbers.ok_or_else(|| self.error(key, "numbers, with commas"))
    }

    fn distribution(&self, key: &str) -> Result<Distribution, Error> {
        match self.numbers(key)?[..] {
            [mean, deviation, max] if mean > 0.0 && max >= mean => {
                Ok(Distribution {
                    mean,
                    deviation,
                    max,
                })
            }
            _ => Err(self.error(key, "mean, spread and most")),
        }
    }

    fn thousandths(&self, key: &str) -> Result<i64, Error> {
        self.number(key).map(|n| (n * 1000.0) as i64)
    }

    fn seconds(&self, key: &str) -> Result<Duration, Error> {
        self.number(key).map(Duration::from_secs_f64)
    }
}

impl Load {
    /// Reads a load file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a value is missing or invalid.
    pub fn read(path: &Path) -> Result<Load, Error> {
        let file = |reason: String| Error::File {
            path: path.display().to_string(),
            reason,
        };
        let text = std::fs::read_to_string(path);
        Load::parse(&text.map_err(|e| file(e.to_string()))?)
    }

    /// Parses the text of a load file.
    ///
    /// # Errors
    ///
    /// If the text is not in INI format, or a value is missing or invalid.
    pub fn parse(text: &str) -> Result<Load, Error> {
        let ini = Ini::load_from_str(text).map_err(|error| Error::File {
            path: "load".to_owned(),
            reason: error.to_string(),
        })?;
        let empty = Properties::new();
        let section = |name| Section {
            name,
            values: ini.section(Some(name)).unwrap_or(&empty),
        };
        let mut queues = Vec::new();
        let mut patterns = Vec::new();
        for (name, values) in ini.iter() {
            let name = name.unwrap_or_default();
            let section = Section { name, values };
            match name.split_once(' ') {
                Some(("queue", queue)) => {
                    queues.push(read_queue(queue, &section)?)
                }
                Some(("pattern", _)) => patterns.push(read_pattern(&section)?),
                _ => {}
            }
        }
        Ok(Load {
            fleet: read_fleet(&section("fleet"))?,
            accounts: match ini.section(Some("accounts")) {
                Some(_) => read_accounts(&section("accounts"))?,
                None => ONE_ACCOUNT,
            },
            queues,
            patterns,
            seconds: section("day").number("seconds")?,
        })
    }
}

fn read_fleet(section: &Section<'_>) -> Result<Fleet, Error> {
    Ok(Fleet {
        workers: section.number("workers")? as usize,
        per_rack: (section.number("per_rack")? as usize).max(1),
        cpu: section.thousandths("cores")?,
        memory: section.number("memory_mb")? as i64,
        accelerators: section.number("accelerators")? as i64,
        speeds: section.numbers("speeds")?,
        stop_time: section.seconds("stop_s")?,
    })
}

/// Accounts of a load without accounts: a single one without a guarantee.
const ONE_ACCOUNT: Accounts = Accounts {
    count: 1,
    guaranteed_share: 0.0,
    reclaim_time: Duration::from_secs(600),
};

fn read_accounts(section: &Section<'_>) -> Result<Accounts, Error> {
    Ok(Accounts {
        count: (section.number("count")? as usize).max(1),
        guaranteed_share: section.number("sure")?,
        reclaim_time: section.seconds("reclaim_s")?,
    })
}

fn read_queue(name: &str, section: &Section<'_>) -> Result<Queue, Error> {
    let accelerators = section.numbers("accelerators")?;
    Ok(Queue {
        name: name.to_owned(),
        priority: section.number("priority")? as u32,
        jobs_per_second: section.number("per_s")?,
        gang: section.number("gang")? > 0.0,
        same_rack_share: section.number("same_rack")?,
        width: section.distribution("width")?,
        cpu: section.thousandths("cores")?,
        memory: section.number("memory_mb")? as i64,
        accelerators: accelerators.iter().map(|n| *n as i64).collect(),
        run_s: section.distribution("run_s")?,
        declared_error: section.number("declared_off")?,
        checkpoint_share: section.number("saves")?,
        failure_share: section.number("fails")?,
        stretch: section.number("stretch")?,
        target: section.seconds("target_s")?,
        value: section.number("worth")?,
        late_value: section.number("worth_late")?,
    })
}

fn read_pattern(section: &Section<'_>) -> Result<Pattern, Error> {
    let share = || section.number("share");
    let kind = match section.values.get("kind") {
        Some("burst") => {
            let queue = section.values.get("queue").unwrap_or_default();
            Kind::Burst(queue.to_owned(), section.number("times")?)
        }
        Some("lose") => Kind::Lose(share()?),
        Some("leave") => Kind::Leave(share()?),
        Some("fail") => Kind::Fail(share()?),
        Some("series") => Kind::Series(share()?),
        _ => {
            let kinds = "burst, lose, leave, fail or series";
            return Err(section.error("kind", kinds));
        }
    };
    Ok(Pattern {
        kind,
        start_s: section.number("at_s")?,
        duration_s: section.number("lasts_s")?,
    })
}
