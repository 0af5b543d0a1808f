//! Scheduling of jobs that are graphs of steps.
//!
//! A *job* has steps, and a step has `replicas` tasks. The *unit* is what the
//! scheduler places and starts as a whole: all tasks of a step that is a gang,
//! otherwise a single task. Each start of a unit is a *run*, numbered from 1.
//! The members of a run are one task each, on one worker each.
//!
//! [`Scheduler`] is the decision core: it has no clock, does no I/O and draws
//! no random numbers. Callers report events to it, write the progress that
//! [`Scheduler::take_unwritten`] returns, and send each agent its
//! [`Scheduler::orders`]. The scheduler orders a run only once the progress
//! that names the run is written, and acknowledges an end only once the end is
//! written. A planner that takes over therefore neither assigns a run number
//! twice nor misses an end.

mod advice;
mod attempts;
pub mod awaited;
mod birth;
pub mod budget;
mod crash;
mod decision;
pub mod eviction;
mod gang;
mod guarantee;
pub mod headroom;
mod health;
mod history;
pub mod holder;
mod inquiry;
mod intake;
mod job;
mod job_record;
mod late_end;
mod life;
mod liveness;
pub mod loss;
pub mod objective;
mod orders;
mod pace;
mod place;
mod policy;
mod preempt;
mod progress;
mod report;
mod reserve;
mod resize;
mod schedule;
mod scheduler;
mod settle;
pub mod share;
mod shortage;
mod spare;
mod speed;
pub mod stop_time;
mod unconfirmed;
mod unit;
mod unread;
mod unreadable;
mod unwritten;
mod urgency;

pub use advice::Question;
pub use advice::StepKey;
pub use advice::Ticket;
pub use crash::PROVEN_AFTER;
pub use decision::Decision;
pub use decision::MissingMember;
pub use decision::Subject;
pub use decision::WaitReason;
pub use guarantee::GuaranteeStatus;
pub use guarantee::PoolUsage;
pub use holder::Holder;
pub use job::Advice;
pub use job::Error;
pub use job::Job;
pub use job::JobId;
pub use job::Repeat;
pub use job::Resources;
pub use job::SharedStr;
pub use job::Step;
pub use job::Task;
pub use job::MAX_RESOURCE;
pub use life::Birth;
pub use life::Life;
pub use orders::Orders;
pub use orders::Start;
pub use orders::Stop;
pub use pace::Pace;
pub use policy::Policy;
pub use policy::Prediction;
pub use progress::Loss;
pub use progress::Outcome;
pub use progress::Place;
pub use progress::Progress;
pub use progress::Unit as UnitProgress;
pub use progress::UnitKey;
pub use progress::Unread;
pub use report::AgentId;
pub use report::Ended;
pub use report::Lists;
pub use report::PastLife;
pub use report::Refusal;
pub use report::Refused;
pub use report::Report;
pub use report::RunOutcome;
pub use report::Running;
pub use report::Worker as WorkerReport;
pub use scheduler::Options;
pub use scheduler::ProgressUpdate;
pub use scheduler::Scheduler;
pub use share::AccountUse;
pub use shortage::Shortage;
pub use shortage::ShortageKind;
pub use speed::Speed;
pub use speed::Speeds;
pub use unreadable::EndsUpdate;
pub use unreadable::KeptEnd;

use std::time::Instant;
use std::time::SystemTime;

use crate::clock;

/// The number of a unit's start, counted from 1.
pub type Run = u32;

/// A reading of both clocks at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// The monotonic clock, for all timeouts.
    pub monotonic: Instant,
    /// The wall clock, for jobs that are due at a time of day.
    pub wall: SystemTime,
}

impl Timestamp {
    /// Reads both clocks.
    pub fn now() -> Timestamp {
        Timestamp {
            monotonic: clock::now(),
            wall: clock::wall_time(),
        }
    }
}
