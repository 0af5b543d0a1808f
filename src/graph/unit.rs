//! A unit of a job, its runs and their members.

use std::time::Instant;

use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::WaitReason;

/// How far a member has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberState {
    /// Its start is ordered, once this version of the progress is written.
    Ordered(u64),
    /// Its worker lists it as running.
    Running,
    /// It has ended, or never began and never will.
    Ended,
}

/// A task of a run.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub index: u32,
    pub place: Place,
    pub state: MemberState,
    /// Whether its start was ever handed to an agent.
    pub sent: bool,
    pub assigned_at: Instant,
    /// Whether an earlier planner gave it out: how long it has run is then
    /// not known.
    pub inherited: bool,
    /// Whether it was ever seen at work.
    pub showed_work: bool,
    /// When it was last seen at work.
    pub last_work: Instant,
    /// When it was last listed by a worker that answers.
    pub last_listed: Option<Instant>,
}

/// What a unit was last seen to wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoggedWait {
    pub reason: WaitReason,
    /// Whether it was within its account's guarantee.
    pub within: bool,
    pub at: Instant,
}

/// Where a unit stands.
#[derive(Clone, Debug, Default)]
pub(super) enum Phase {
    /// It waits for a place.
    #[default]
    Waiting,
    /// It has a place, whose room is not free yet.
    Reserved(Vec<Member>),
    /// A run was given out.
    Running(Vec<Member>),
    /// It is done.
    Done,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// Its job is over.
    Over,
    /// Its room goes to a job of higher priority.
    Preempted,
    /// A member could not start, or has ended.
    Broken,
    /// It makes no progress.
    Stuck,
    /// Its worker is leaving before it would be done.
    Leaving,
    /// It had not begun when its worker's room shrank.
    Shrunk,
    /// It had not begun when its hall was closed.
    Closed,
}

impl StopReason {
    /// Returns the word for it in logs.
    pub fn word(self) -> &'static str {
        match self {
            StopReason::Over => "job over",
            StopReason::Preempted => "room for urgent work",
            StopReason::Broken => "member lost",
            StopReason::Stuck => "stuck",
            StopReason::Leaving => "worker leaving",
            StopReason::Shrunk => "worker has shrunk",
            StopReason::Closed => "hall closed",
        }
    }
}

/// What the ended members of a gang's run tell of why it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakCause {
    /// None has ended.
    NoEnds,
    /// Another one ended before them: one that has not been heard of.
    Unreported,
    /// One of them is the cause.
    Identified,
}

/// How a run has come to its end before it was done; what weighs most of its
/// members' ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Interruption {
    /// It was stopped.
    Stopped,
    /// A member failed where the unit had not failed before, or went with
    /// its worker.
    Lost,
    /// A worker would not start a member, or it failed there once more.
    Refused,
}

/// What is placed and started as one.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub phase: Phase,
    /// Since when it could be placed.
    pub ready_since: Instant,
    /// Before which it is not placed.
    pub not_before: Instant,
    /// Where it has failed.
    pub avoided: Vec<AgentId>,
    pub stop_reason: Option<StopReason>,
    pub logged_wait: Option<LoggedWait>,
    pub any_done: bool,
    /// What is known of why its run broke.
    pub break_cause: BreakCause,
    /// How its run has come to its end, as far as its members' ends tell.
    pub interruption: Interruption,
}

impl Unit {
    pub fn new(now: Instant) -> Unit {
        Unit {
            phase: Phase::Waiting,
            ready_since: now,
            not_before: now,
            avoided: Vec::new(),
            stop_reason: None,
            logged_wait: None,
            any_done: false,
            break_cause: BreakCause::NoEnds,
            interruption: Interruption::Stopped,
        }
    }

    /// Returns its members that have not ended.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let members: &[Member] = match &self.phase {
            Phase::Reserved(members) | Phase::Running(members) => members,
            Phase::Waiting | Phase::Done => &[],
        };
        members.iter().filter(|m| m.state != MemberState::Ended)
    }
}
