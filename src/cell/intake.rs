//! Decodes the jobs that entries have stored.
//!
//! Entries store only jobs that they have checked, but other programs may
//! write below the same prefix.

use std::time::Duration;
use std::time::SystemTime;

use crate::graph;
use crate::graph::Job;
use crate::graph::Repeat;

/// The longest time in a job, about ten thousand years. What is later than that
/// is never due, and the time of the last of all repetitions can be computed.
const MAX_TIME: Duration = Duration::from_secs(10_000 * 366 * 24 * 60 * 60);
/// The largest factor on a job's critical path: a job that may take longer than
/// that has no objective.
const MAX_STRETCH: f64 = 1e6;

/// A value that describes no job that an entry has accepted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value does not describe a job.
    #[error("the value does not describe a job: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// No entry accepts such a job.
    #[error("no entry accepts the job: {0}")]
    Invalid(#[from] graph::Error),
    /// The value describes another job than its key.
    #[error("the value describes the job {0:?}")]
    Name(String),
}

/// Decodes the job of a name. Numbers that change nothing beyond a bound are
/// reduced to it, so that the planner can compute with them.
///
/// # Errors
///
/// If the value does not describe a job that an entry has accepted.
pub fn decode(id: &str, value: &[u8]) -> Result<Job, Error> {
    let job: Job = serde_json::from_slice(value)?;
    if &*job.id != id {
        return Err(Error::Name(job.id.to_string()));
    }
    job.check()?;
    Ok(Job {
        stretch: job.stretch.clamp(0.0, MAX_STRETCH),
        target: job.target.min(MAX_TIME),
        accepted: bounded(job.accepted),
        repeat: job.repeat.map(bounded_repeat),
        ..job
    })
}

/// Returns a schedule whose points in time can all be computed.
fn bounded_repeat(repeat: Repeat) -> Repeat {
    Repeat {
        start: bounded(repeat.start),
        interval: repeat.interval.min(MAX_TIME),
        ..repeat
    }
}

fn bounded(time: SystemTime) -> SystemTime {
    time.min(SystemTime::UNIX_EPOCH + MAX_TIME)
}
