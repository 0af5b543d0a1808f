//! The keys of a cell in the store.
//!
//! | key | written by | when |
//! |---|---|---|
//! | `lv/planner` | entries | a claim, under a lease |
//! | `lv/strongest` | entries | with a claim by the strongest one so far |
//! | `lv/in/ID/job` | entries | a job is accepted |
//! | `lv/in/ID/cancel` | entries | a job is cancelled |
//! | `lv/queue/QUEUE/ID` | entries, planner | accepted, until it begins |
//! | `lv/progress/ID` | planner | a run is given out, or has ended |
//! | `lv/entry/ENTRY` | entries | while they are there, under a lease |
//! | `lv/report/AGENT` | agents | ends are listed and no planner is reached |

/// The claim of the planner.
pub const PLANNER: &str = "lv/planner";
/// The cores of the strongest process that has ever claimed.
pub const STRONGEST: &str = "lv/strongest";
/// Everything that entries tell the planner.
pub const INTAKE: &str = "lv/in/";
/// Everything that planners keep of jobs.
pub const PROGRESS: &str = "lv/progress/";

/// Everything that agents keep which reach no planner.
pub const REPORTS: &str = "lv/report/";

/// Everything that entries say of themselves.
pub const ENTRIES: &str = "lv/entry/";

/// Returns the key of what an entry says of itself.
pub fn entry(process: &str) -> String {
    format!("{ENTRIES}{process}")
}

/// Returns the key of what an agent keeps while it reaches no planner.
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

/// Returns what the keys of a queue's waiting jobs start with.
pub fn waiting_prefix(queue: &str) -> String {
    format!("lv/queue/{queue}/")
}

/// Returns the key that says that a job waits.
pub fn waiting_job(queue: &str, id: &str) -> String {
    format!("lv/queue/{queue}/{id}")
}

/// What an entry tells the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake<'a> {
    /// A job is accepted.
    Job(&'a str),
    /// A job is cancelled.
    Cancel(&'a str),
}

/// Returns what a key below [`INTAKE`] is about.
pub fn intake(key: &str) -> Option<Intake<'_>> {
    let (id, what) = key.strip_prefix(INTAKE)?.split_once('/')?;
    match what {
        "job" => Some(Intake::Job(id)),
        "cancel" => Some(Intake::Cancel(id)),
        _ => None,
    }
}
