//! The keys of a cell in the store.
//!
//! | key | written by | when |
//! |---|---|---|
//! | `lv/planner` | entries | a claim is made, under a lease |
//! | `lv/strongest` | entries | the strongest process so far claims |
//! | `lv/in/ID/job` | entries | a job is accepted |
//! | `lv/in/ID/cancel` | entries | a job is cancelled; under a lease if there is no such job |
//! | `lv/in/ID/ends` | planner, or its process after it has ended | ends were read that the job's progress cannot hold |
//! | `lv/queue/QUEUE/ID` | entries, planner | while an accepted job waits |
//! | `lv/progress/ID` | planner | a run is ordered, or has ended |
//! | `lv/part/ID/PART` | planner | the same, for units that are stored in parts |
//! | `lv/entry/DIGITS-ENTRY` | entries | while the entry runs, under a lease |
//! | `lv/report/AGENT` | agents | ends are listed and no planner is reached |

use crate::cell::record::PartId;
use crate::util::digest;

/// The key of the planner's claim.
pub const CLAIM: &str = "lv/planner";
/// The key that holds the cores of the strongest process that has ever
/// claimed.
pub const STRONGEST_CORES: &str = "lv/strongest";
/// The prefix of the jobs and cancellations that entries write for the
/// planner.
pub const INTAKE_PREFIX: &str = "lv/in/";
/// The prefix of the jobs' progress, written by planners.
pub const PROGRESS_PREFIX: &str = "lv/progress/";

/// The prefix of the parts in which the progress of large jobs is stored.
pub const PART_PREFIX: &str = "lv/part/";

/// The prefix of the reports that agents save while they reach no planner.
pub const REPORT_PREFIX: &str = "lv/report/";

/// The prefix of the entries' registrations.
pub const ENTRY_PREFIX: &str = "lv/entry/";

/// The number of hexadecimal digits with which the key of an entry's
/// registration begins, from a digest of its name.
pub const ENTRY_DIGITS: usize = 2;

/// Returns the key of an entry's registration.
pub fn entry(process: &str) -> String {
    let digest = digest::of(process.as_bytes());
    format!("{ENTRY_PREFIX}{}-{process}", &digest[..ENTRY_DIGITS])
}

/// Returns the key of an agent's saved report.
pub fn report(agent: &str) -> String {
    format!("{REPORT_PREFIX}{agent}")
}

/// Returns the key of an accepted job.
pub fn job(id: &str) -> String {
    format!("{INTAKE_PREFIX}{id}/job")
}

/// Returns the key of a job's cancellation.
pub fn cancel(id: &str) -> String {
    format!("{INTAKE_PREFIX}{id}/cancel")
}

/// Returns the key of the ends that are kept for a job while it cannot be read.
/// Versions of the program that keep none pass it over.
pub fn ends(id: &str) -> String {
    format!("{INTAKE_PREFIX}{id}/ends")
}

/// Returns the key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Returns the key prefix of the parts of a job's progress.
pub fn part_prefix(id: &str) -> String {
    format!("{PART_PREFIX}{id}/")
}

/// Returns the key of a part of a job's progress.
pub fn part(id: &str, part: PartId) -> String {
    format!("{PART_PREFIX}{id}/{part}")
}

/// Parses a key below [`PART_PREFIX`]: returns the job and its part.
pub fn parse_part(key: &str) -> Option<(&str, PartId)> {
    let (id, part) = key.strip_prefix(PART_PREFIX)?.split_once('/')?;
    Some((id, part.parse().ok()?))
}

/// Returns the key prefix of a queue's waiting jobs.
pub fn waiting_prefix(queue: &str) -> String {
    format!("lv/queue/{queue}/")
}

/// Returns the key that marks a job as waiting.
pub fn waiting_job(queue: &str, id: &str) -> String {
    format!("lv/queue/{queue}/{id}")
}

/// Returns what the key, or all keys with the prefix, are for.
pub fn subject(key: &str) -> &'static str {
    let Some(key) = key.strip_prefix("lv/") else {
        return "operators";
    };
    match key.split('/').next() {
        Some("planner") => "claim",
        Some("strongest") => "strongest",
        Some("in") => "intake",
        Some("queue") => "queues",
        Some("progress" | "part") => "progress",
        Some("entry") => "entries",
        Some("report") => "reports",
        _ => "others",
    }
}

/// A record below [`INTAKE_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake<'a> {
    /// An accepted job, by its name.
    Job(&'a str),
    /// The cancellation of a job, by the job's name.
    Cancel(&'a str),
    /// The ends that are kept for a job, by the job's name.
    Ends(&'a str),
}

/// Parses a key below [`INTAKE_PREFIX`].
pub fn intake(key: &str) -> Option<Intake<'_>> {
    let (id, kind) = key.strip_prefix(INTAKE_PREFIX)?.split_once('/')?;
    match kind {
        "job" => Some(Intake::Job(id)),
        "cancel" => Some(Intake::Cancel(id)),
        "ends" => Some(Intake::Ends(id)),
        _ => None,
    }
}
