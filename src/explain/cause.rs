//! What cost a job its time.

use std::fmt;

/// Why a job was late, refused or failed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its key was none, or was taken away.
    Key,
    /// It asked for what there is not, or in a way that is not understood.
    Request,
    /// The store did not take it, or did not say so.
    Store,
    /// No planner took it in.
    Planner,
    /// No worker could be used.
    Worker,
    /// There was no room.
    Room,
    /// No rack had room where it is not slow.
    Rack,
    /// Runs failed.
    Failed,
    /// Runs were stopped for urgent work.
    Displaced,
    /// Runs were lost with their workers.
    Gone,
    /// Runs of gangs broke, or waited for members that did not come.
    Broken,
    /// Runs stood still until they were stopped.
    Stuck,
    /// A run took longer than expected.
    Slow,
    /// Its end was not written down at once.
    Noting,
    /// Nothing of the above: what it asks for takes that long.
    Work,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Key => "its key is none",
            Cause::Request => "what it asked is not understood",
            Cause::Store => "the store did not take it",
            Cause::Planner => "no planner took it in",
            Cause::Worker => "no worker could be used",
            Cause::Room => "there was no room",
            Cause::Rack => "no near rack had room",
            Cause::Failed => "runs failed",
            Cause::Displaced => "runs were stopped for urgent work",
            Cause::Gone => "runs were lost with their workers",
            Cause::Broken => "runs of a gang broke",
            Cause::Stuck => "a run stood still",
            Cause::Slow => "a run took longer than expected",
            Cause::Noting => "its end was not written at once",
            Cause::Work => "its work takes that long",
        })
    }
}

/// Returns the cause that a run's end, other than done, stands for.
pub fn of_end(how: &str, why: Option<&str>) -> Cause {
    match (how, why) {
        (_, Some("room for urgent work")) => Cause::Displaced,
        (_, Some("stuck")) => Cause::Stuck,
        ("worker gone" | "worker silent" | "lease ran out", _) => Cause::Gone,
        ("failed", _) => Cause::Failed,
        _ => Cause::Broken,
    }
}

/// Returns the cause that a status stands for which refuses a request.
pub fn of_status(status: i64) -> Cause {
    match status {
        401 => Cause::Key,
        400..=499 => Cause::Request,
        _ => Cause::Store,
    }
}

/// Returns the cause that a wait stands for.
pub fn of_wait(on: &str) -> Cause {
    match on {
        "a worker" => Cause::Worker,
        "a rack" => Cause::Rack,
        _ => Cause::Room,
    }
}
