//! The interface between an agent and its worker.

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

/// The part that all calls to a worker share.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The life that the call is meant for.
    pub life: Life,
    /// The planner's fencing token.
    pub token: Revision,
}

/// Why a call to a worker has no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The worker has seen a higher fencing token.
    #[error("the worker has seen a higher fencing token")]
    Fenced,
    /// Another life of the worker answered.
    #[error("another life of the worker answered")]
    OtherLife,
    /// The worker refuses the call.
    #[error("the worker refused the call: {0:?}")]
    Refused(Refusal),
    /// The requested end of the lease has passed on the worker's clock, which
    /// is given.
    #[error("the lease's end has passed on the worker's clock")]
    Late(WorkerTime),
    /// No connection was made, so the call had no effect.
    #[error("could not connect: {0}")]
    Unreached(String),
    /// The worker's machine refused the connection: the worker's process is
    /// down.
    #[error("connection refused: {0}")]
    Down(String),
    /// No answer came. The call may have had its effect, or may have it later.
    #[error("no answer: {0}")]
    Lost(String),
}

/// The answer to a poll of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The worker's birth, if the worker reports one.
    pub birth: Option<Birth>,
    /// The worker's time.
    pub time: WorkerTime,
    /// The runs that the worker lists.
    pub lists: Lists,
}

/// A worker's task interface.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Starts a run, leased until `expires` on the worker's clock, and returns
    /// the worker's time. Starting a run that is present changes nothing.
    fn start(
        &self,
        call: &Call,
        start: &Start,
        expires: WorkerTime,
    ) -> impl Future<Output = Result<WorkerTime, Error>> + Send;

    /// Stops a run, or bars a run that is not present from starting, and
    /// returns the worker's time.
    fn stop(
        &self,
        call: &Call,
        stop: &Stop,
    ) -> impl Future<Output = Result<WorkerTime, Error>> + Send;

    /// Sets the pace of a run and returns the worker's time.
    fn pace(
        &self,
        call: &Call,
        pace: &Pace,
    ) -> impl Future<Output = Result<WorkerTime, Error>> + Send;

    /// Acknowledges ends up to `acknowledged`, extends the lease of all runs
    /// if `expires` is given, and lists running and ended runs. The worker
    /// answers when a run ends, or after `wait`.
    fn poll(
        &self,
        call: &Call,
        acknowledged: u64,
        expires: Option<WorkerTime>,
        wait: Duration,
    ) -> impl Future<Output = Result<Snapshot, Error>> + Send;
}
