//! The jobs that held the room for which another job waited.

use std::collections::BTreeMap;
use std::fmt;

use crate::explain::history::Verdict;

/// A job that held room, as a planner's log line names it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Holder {
    /// The job; `None` for workers that were left empty for urgent work.
    pub job: Option<String>,
    /// The job's client account.
    pub account: Option<String>,
    /// The job's priority.
    pub priority: Option<u32>,
    /// The accelerators that it held where the other job could have run.
    pub accelerators: i64,
    /// The cores that it held there.
    pub cores: f64,
    /// Why it was not stopped, as the log names it.
    pub why: String,
}

impl Holder {
    /// Returns what distinguishes one holder from another: the job, and why it
    /// was not stopped.
    pub(super) fn identity(&self) -> (Option<&str>, &str) {
        (self.job.as_deref(), &self.why)
    }

    /// Returns what was held, as text.
    fn held(&self) -> String {
        match (self.accelerators, self.cores) {
            (0, 1.0) => "1 core".to_owned(),
            (0, cores) => format!("{cores} cores"),
            (1, _) => "1 accelerator".to_owned(),
            (accelerators, _) => format!("{accelerators} accelerators"),
        }
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = self.held();
        let why = describe(&self.why);
        let Some(job) = &self.job else {
            return write!(f, "{held} were not used: {why}");
        };
        let account = self.account.as_deref().unwrap_or("unknown");
        write!(f, "job {job} of account {account}")?;
        if let Some(priority) = self.priority {
            write!(f, " (priority {priority})")?;
        }
        write!(f, " held {held}: {why}")
    }
}

/// Returns the text for the reason why a holder was not stopped. A reason that
/// this version does not know is shown as it was logged.
fn describe(why: &str) -> &str {
    match why {
        "spare" => "workers are left to urgent work",
        "reserved" => "reserved for it",
        "guaranteed" => "it is within its account's guarantee",
        "not_urgent" => "nothing is stopped for a job that is not urgent",
        "priority" => "its priority is not lower",
        "stopping" => "it was being stopped",
        "awaits_reports" => "the planner awaited reports of all workers",
        "may_miss" => "no more of its tasks may be down",
        "budget" => "stops would have lost too much work",
        "too_late" => "it would have been late after a stop as well",
        "insufficient" => "stops would not have made enough room",
        other => other,
    }
}

/// Parses the field `holders` of a line, which has the form `job=J account=A
/// priority=1 accelerators=8 cores=4.5 why=budget; ...`. Unknown names are
/// ignored, and an entry without `why` is skipped.
pub(super) fn parse(text: &str) -> Vec<Holder> {
    text.split(';').filter_map(parse_one).collect()
}

fn parse_one(text: &str) -> Option<Holder> {
    let mut holder = Holder::default();
    for pair in text.split_whitespace() {
        let (name, value) = pair.split_once('=')?;
        match name {
            "job" => holder.job = Some(value.to_owned()),
            "account" => holder.account = Some(value.to_owned()),
            "priority" => holder.priority = value.parse().ok(),
            "accelerators" => holder.accelerators = value.parse().ok()?,
            "cores" => holder.cores = value.parse().ok()?,
            "why" => holder.why = value.to_owned(),
            _ => {}
        }
    }
    (!holder.why.is_empty()).then_some(holder)
}

/// The jobs that waited for room which an account held.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Count {
    /// The account; `None` for workers that were left empty for urgent work.
    pub account: Option<String>,
    /// The priority of the jobs that held the room.
    pub priority: Option<u32>,
    /// Why they were not stopped, as the log names it.
    pub why: String,
    /// The number of jobs that waited.
    pub jobs: usize,
    /// The time that this cost them, in milliseconds.
    pub cost_ms: u64,
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.account {
            Some(account) => write!(f, "account {account}")?,
            None => write!(f, "no job")?,
        }
        if let Some(priority) = self.priority {
            write!(f, " (priority {priority})")?;
        }
        write!(f, ": {}", describe(&self.why))
    }
}

/// Counts jobs by the account, priority and reason of the first holder of the
/// room for which they waited, the most expensive first.
pub fn count<'a>(
    verdicts: impl IntoIterator<Item = &'a Verdict>,
) -> Vec<Count> {
    let mut rows: BTreeMap<_, (usize, u64)> = BTreeMap::new();
    for verdict in verdicts {
        let Some(holder) = verdict.holders.first() else {
            continue;
        };
        let key = (&holder.account, holder.priority, &holder.why);
        let row = rows.entry(key).or_default();
        row.0 += 1;
        row.1 += verdict.cost_ms;
    }
    let count = |((account, priority, why), (jobs, cost_ms))| Count {
        account: Option::clone(account),
        priority,
        why: String::clone(why),
        jobs,
        cost_ms,
    };
    let mut counts: Vec<Count> = rows.into_iter().map(count).collect();
    counts.sort_by_key(|row| std::cmp::Reverse(row.cost_ms));
    counts
}
