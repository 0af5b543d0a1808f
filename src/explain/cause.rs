//! Why a job was late, refused or failed.

use std::fmt;

/// The main cause of a late, refused or failed job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The caller's key is unknown or was revoked.
    Key,
    /// The request was invalid or asked for something that does not exist.
    Request,
    /// The store did not accept the job, or did not confirm it.
    Store,
    /// No planner admitted the job.
    Planner,
    /// No worker was usable.
    Worker,
    /// No room was free.
    Room,
    /// No rack had room where the job runs at full speed.
    Rack,
    /// Runs failed.
    Failed,
    /// Runs were stopped for urgent work.
    Displaced,
    /// Runs were lost together with their workers.
    Gone,
    /// Runs of a gang ended because a member failed or did not join.
    Broken,
    /// Runs made no progress and were stopped.
    Stuck,
    /// A run took longer than expected.
    Slow,
    /// The end of the job was recorded late.
    #[serde(rename = "noting")]
    EndRecording,
    /// None of the above: the work itself takes that long.
    Work,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Key => "the key is not valid",
            Cause::Request => "the request is not valid",
            Cause::Store => "the store did not accept the job",
            Cause::Planner => "no planner admitted the job",
            Cause::Worker => "no worker was usable",
            Cause::Room => "no room was free",
            Cause::Rack => "no nearby rack had room",
            Cause::Failed => "runs failed",
            Cause::Displaced => "runs were stopped for urgent work",
            Cause::Gone => "runs were lost with their workers",
            Cause::Broken => "runs of a gang failed as a whole",
            Cause::Stuck => "a run made no progress",
            Cause::Slow => "a run took longer than expected",
            Cause::EndRecording => "the end was recorded late",
            Cause::Work => "the work itself takes that long",
        })
    }
}

/// Returns the cause for a run that did not end as done. `how` and `why` are
/// the values of the planner's log lines about the end and the stop.
pub fn for_run_end(how: &str, why: Option<&str>) -> Cause {
    match (how, why) {
        (_, Some("room for urgent work")) => Cause::Displaced,
        (_, Some("stuck")) => Cause::Stuck,
        (
            "worker gone" | "worker silent" | "ended unread" | "lease ran out",
            _,
        ) => Cause::Gone,
        ("failed", _) => Cause::Failed,
        _ => Cause::Broken,
    }
}

/// Returns the cause for a request that was answered with an error status.
pub fn for_status(status: i64) -> Cause {
    match status {
        401 => Cause::Key,
        400..=499 => Cause::Request,
        _ => Cause::Store,
    }
}

/// Returns the cause for a wait. `on` is the value of the log line.
pub fn for_wait(on: &str) -> Cause {
    match on {
        "a worker" => Cause::Worker,
        "a rack" => Cause::Rack,
        _ => Cause::Room,
    }
}
