//! Jobs that are graphs of steps, and the decisions about them.
//!
//! A *job* has steps; a step has `replicas` tasks. What is placed and
//! started as one is a *unit*: the whole gang of a step that is a gang, else
//! one task. Each start of a unit is a *run*, numbered from 1; its members
//! are one task each, on one worker each.
//!
//! [`Scheduler`] is the decision core: it has no clock, does no I/O and draws no
//! random numbers. It is told what happened and says which progress must be
//! written ([`Scheduler::unwritten`]) and what each agent is to do
//! ([`Scheduler::orders`]). An order is given only once the progress that names
//! its run is written, and an end is acknowledged only once it is written:
//! so a planner that takes over neither gives a run number out twice nor
//! misses an end.

mod advice;
mod birth;
pub mod budget;
mod crash;
mod decision;
mod guarantee;
mod health;
mod history;
mod inquiry;
mod intake;
mod job;
mod job_record;
mod life;
mod liveness;
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
mod shortage;
mod spare;
mod unconfirmed;
mod unit;
mod urgency;

pub use advice::Question;
pub use advice::StepKey;
pub use advice::Ticket;
pub use decision::Decision;
pub use decision::Subject;
pub use decision::WaitReason;
pub use guarantee::GuaranteeStatus;
pub use guarantee::Holders;
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
pub use scheduler::Scheduler;
pub use scheduler::Unwritten;
pub use shortage::Shortage;
pub use shortage::ShortageKind;

use std::time::Instant;
use std::time::SystemTime;

use crate::clock;

/// The number of a unit's start, counted from 1.
pub type Run = u32;

/// A point in time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// The steady clock, for everything that is waited for.
    pub monotonic: Instant,
    /// The time of day, for what falls due at a time of day.
    pub wall: SystemTime,
}

impl Timestamp {
    /// Returns the present.
    pub fn now() -> Timestamp {
        Timestamp {
            monotonic: clock::now(),
            wall: clock::wall(),
        }
    }
}
