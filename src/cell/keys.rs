//! The keys of a cell in the store.
//!
//! | key | written by | when |
//! |---|---|---|
//! | `lv/planner` | entries | a claim is made, under a lease |
//! | `lv/strongest` | entries | the strongest process so far claims |
//! | `lv/in/ID/job` | entries | a job is accepted |
//! | `lv/in/ID/cancel` | entries | a job is cancelled |
//! | `lv/queue/QUEUE/ID` | entries, planner | while an accepted job waits |
//! | `lv/progress/ID` | planner | a run is ordered, or has ended |
//! | `lv/entry/ENTRY` | entries | while the entry runs, under a lease |
//! | `lv/report/AGENT` | agents | ends are listed and no planner is reached |

/// The key of the planner's claim.
pub const PLANNER: &str = "lv/planner";
/// The key that holds the cores of the strongest process that has ever
/// claimed.
pub const STRONGEST: &str = "lv/strongest";
/// The prefix of the jobs and cancellations that entries write for the
/// planner.
pub const INTAKE: &str = "lv/in/";
/// The prefix of the jobs' progress, written by planners.
pub const PROGRESS: &str = "lv/progress/";

/// The prefix of the reports that agents save while they reach no planner.
pub const REPORTS: &str = "lv/report/";

/// The prefix of the entries' registrations.
pub const ENTRIES: &str = "lv/entry/";

/// Returns the key of an entry's registration.
pub fn entry(process: &str) -> String {
    format!("{ENTRIES}{process}")
}

/// Returns the key of an agent's saved report.
pub fn report(agent: &str) -> String {
    format!("{REPORTS}{agent}")
}

/// Returns the key of an accepted job.
pub fn job(id: &str) -> String {
    format!("{INTAKE}{id}/job")
}

/// Returns the key of a job's cancellation.
pub fn cancel(id: &str) -> String {
    format!("{INTAKE}{id}/cancel")
}

/// Returns the key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the key prefix of a queue's waiting jobs.
pub fn waiting_prefix(queue: &str) -> String {
    format!("lv/queue/{queue}/")
}

/// Returns the key that marks a job as waiting.
pub fn waiting_job(queue: &str, id: &str) -> String {
    format!("lv/queue/{queue}/{id}")
}

/// A record that entries write for the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake<'a> {
    /// An accepted job, by its name.
    Job(&'a str),
    /// The cancellation of a job, by the job's name.
    Cancel(&'a str),
}

/// Parses a key below [`INTAKE`].
pub fn intake(key: &str) -> Option<Intake<'_>> {
    let (id, kind) = key.strip_prefix(INTAKE)?.split_once('/')?;
    match kind {
        "job" => Some(Intake::Job(id)),
        "cancel" => Some(Intake::Cancel(id)),
        _ => None,
    }
}
