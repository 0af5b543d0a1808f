//! The seam towards a worker.

use std::future::Future;
use std::time::Duration;

use crate::graph::Birth;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Pace;
use crate::graph::Refusal;
use crate::graph::Start;
use crate::graph::Stop;
use crate::store::Revision;

/// A time on a worker's own clock, in milliseconds.
pub type WorkerTime = u64;

/// Under what a call to a worker is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The life that is meant.
    pub life: Life,
    /// The planner's fencing token.
    pub token: Revision,
}

/// What came of a call that brought no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A higher fencing token has been seen.
    #[error("the worker has seen a higher fencing token")]
    Fenced,
    /// Another life of the worker answered.
    #[error("another life of the worker answered")]
    OtherLife,
    /// The worker refuses.
    #[error("the worker refuses: {0:?}")]
    Refused(Refusal),
    /// The given end of the lease has passed on the worker's clock.
    #[error("the lease's end has passed on the worker's clock")]
    Late(WorkerTime),
    /// No connection was made: it has had no effect.
    #[error("not reached: {0}")]
    Unreached(String),
    /// Its machine has answered that nobody listens: its process is down.
    #[error("nobody listens: {0}")]
    Down(String),
    /// No answer: it may have had its effect, or may yet have.
    #[error("no answer: {0}")]
    Lost(String),
}

/// What a look at a worker shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The worker's birth, if it tells that.
    pub born: Option<Birth>,
    /// The worker's time.
    pub time: WorkerTime,
    /// What it lists.
    pub lists: Lists,
}

/// A worker's task interface.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Starts a run, leased until a time on the worker's clock; returns the
    /// worker's time. Starting a run that is present changes nothing.
    fn start(
        &self,
        call: &Call,
        start: &Start,
        expires: WorkerTime,
    ) -> impl Future<Output = Result<WorkerTime, Error>> + Send;

    /// Stops a run, or bars it if it is not there; returns the worker's
    /// time.
    fn stop(
        &self,
        call: &Call,
        stop: &Stop,
    ) -> impl Future<Output = Result<WorkerTime, Error>> + Send;

    /// Sets the pace of a run; returns the worker's time.
    fn pace(
        &self,
        call: &Call,
        pace: &Pace,
    ) -> impl Future<Output = Result<WorkerTime, Error>> + Send;

    /// Acknowledges ends up to `noted`, prolongs the lease of all that runs
    /// if a time is given, and lists what runs and what has ended, after up
    /// to `wait` if nothing ends before.
    fn poll(
        &self,
        call: &Call,
        acknowledged: u64,
        expires: Option<WorkerTime>,
        wait: Duration,
    ) -> impl Future<Output = Result<Snapshot, Error>> + Send;
}
