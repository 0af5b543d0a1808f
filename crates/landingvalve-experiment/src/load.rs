//! What a day is drawn from, read from a file.

use std::path::Path;
use std::time::Duration;

use ini::Ini;
use ini::Properties;

/// A load file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It cannot be read.
    #[error("{path}: {reason}")]
    File {
        /// Which file.
        path: String,
        /// Why.
        reason: String,
    },
    /// A value is missing or cannot be used.
    #[error("[{section}] {key}: {found:?}, expected {expected}")]
    Value {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What stands there, if anything.
        found: Option<String>,
        /// What may stand there.
        expected: &'static str,
    },
}

/// The workers, all alike but for their speeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// How many there are.
    pub workers: usize,
    /// How many stand in a rack.
    pub per_rack: usize,
    /// Thousandths of a core of each.
    pub cpu: i64,
    /// Memory of each, in MB.
    pub memory: i64,
    /// Accelerators of each.
    pub accelerators: i64,
    /// How fast they are, in turn.
    pub speeds: Vec<f64>,
    /// The longest that a stop takes.
    pub stop: Duration,
}

/// The client accounts, all alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accounts {
    /// How many there are.
    pub count: usize,
    /// The share of all accelerators that they are guaranteed together.
    pub sure: f64,
    /// Within which urgent work begins that is within a guarantee.
    pub reclaim: Duration,
}

/// A kind of job.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The lower, the sooner.
    pub priority: u32,
    /// How many come a second.
    pub per_s: f64,
    /// Whether its tasks work only together.
    pub gang: bool,
    /// The share of its gangs that are slow across racks.
    pub same_rack: f64,
    /// How many tasks a job has: mean, spread and most.
    pub width: Spread,
    /// Thousandths of a core of a task.
    pub cpu: i64,
    /// Memory of a task, in MB.
    pub memory: i64,
    /// Accelerators of a task, any of these.
    pub accelerators: Vec<i64>,
    /// How many seconds a task runs: mean, spread and most.
    pub run: Spread,
    /// How far off what callers declare is, as a spread.
    pub declared_off: f64,
    /// The share of jobs that keep checkpoints.
    pub saves: f64,
    /// The share of runs that fail by themselves.
    pub fails: f64,
    /// How many times its work a job may take.
    pub stretch: f64,
    /// What it may take beyond that.
    pub target: Duration,
    /// What a job in time is worth, of mean work.
    pub worth: f64,
    /// What one is worth that ends within three times its objective.
    pub worth_late: f64,
}

/// A positive figure that varies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// The standard deviation, in parts of the mean.
    pub spread: f64,
    /// The most.
    pub most: f64,
}

/// What happens to a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Pattern {
    /// What.
    pub kind: Kind,
    /// When, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    pub lasts: f64,
}

/// A kind of pattern.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// So many times the jobs of a queue come.
    Burst(String, f64),
    /// A share of the workers is lost at once, and comes back empty.
    Lose(f64),
    /// A share of the workers leaves with notice, for good.
    Leave(f64),
    /// A share of the workers fails all that it starts.
    Fail(f64),
    /// Workers are lost one after the other, a second apart.
    Series(f64),
}

/// All of a load file.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The workers.
    pub fleet: Fleet,
    /// The client accounts.
    pub accounts: Accounts,
    /// The kinds of jobs.
    pub queues: Vec<Queue>,
    /// What happens.
    pub patterns: Vec<Pattern>,
    /// For how long jobs come, in seconds.
    pub seconds: f64,
}

/// A section that is being read.
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
        let good = value.filter(|n: &f64| n.is_finite() && *n >= 0.0);
        good.ok_or_else(|| self.error(key, "a number from 0"))
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>, Error> {
        let texts = self.values.get(key).unwrap_or_default().split(',');
        let numbers: Option<Vec<f64>> =
            texts.map(|text| text.trim().parse().ok()).collect();
        numbers.ok_or_else(|| self.error(key, "numbers, with commas"))
    }

    fn spread(&self, key: &str) -> Result<Spread, Error> {
        match self.numbers(key)?[..] {
            [mean, spread, most] if mean > 0.0 && most >= mean => {
                Ok(Spread { mean, spread, most })
            }
            _ => Err(self.error(key, "mean, spread and most")),
        }
    }

    fn milli(&self, key: &str) -> Result<i64, Error> {
        self.number(key).map(|n| (n * 1000.0) as i64)
    }

    fn seconds(&self, key: &str) -> Result<Duration, Error> {
        self.number(key).map(Duration::from_secs_f64)
    }
}

impl Load {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// If it cannot be read, or holds what cannot be used.
    pub fn read(path: &Path) -> Result<Load, Error> {
        let file = |reason: String| Error::File {
            path: path.display().to_string(),
            reason,
        };
        let text = std::fs::read_to_string(path);
        Load::parse(&text.map_err(|e| file(e.to_string()))?)
    }

    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// If it holds what cannot be used.
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
        cpu: section.milli("cores")?,
        memory: section.number("memory_mb")? as i64,
        accelerators: section.number("accelerators")? as i64,
        speeds: section.numbers("speeds")?,
        stop: section.seconds("stop_s")?,
    })
}

/// Where a load names no accounts: one, which is guaranteed nothing.
const ONE_ACCOUNT: Accounts = Accounts {
    count: 1,
    sure: 0.0,
    reclaim: Duration::from_secs(600),
};

fn read_accounts(section: &Section<'_>) -> Result<Accounts, Error> {
    Ok(Accounts {
        count: (section.number("count")? as usize).max(1),
        sure: section.number("sure")?,
        reclaim: section.seconds("reclaim_s")?,
    })
}

fn read_queue(name: &str, section: &Section<'_>) -> Result<Queue, Error> {
    let accelerators = section.numbers("accelerators")?;
    Ok(Queue {
        name: name.to_owned(),
        priority: section.number("priority")? as u32,
        per_s: section.number("per_s")?,
        gang: section.number("gang")? > 0.0,
        same_rack: section.number("same_rack")?,
        width: section.spread("width")?,
        cpu: section.milli("cores")?,
        memory: section.number("memory_mb")? as i64,
        accelerators: accelerators.iter().map(|n| *n as i64).collect(),
        run: section.spread("run_s")?,
        declared_off: section.number("declared_off")?,
        saves: section.number("saves")?,
        fails: section.number("fails")?,
        stretch: section.number("stretch")?,
        target: section.seconds("target_s")?,
        worth: section.number("worth")?,
        worth_late: section.number("worth_late")?,
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
        at: section.number("at_s")?,
        lasts: section.number("lasts_s")?,
    })
}
