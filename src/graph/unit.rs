//! A unit of a job, its runs and their members.

use std::time::Duration;
use std::time::Instant;

use crate::graph::AgentId;
use crate::graph::Place;
use crate::graph::WaitReason;

/// The least share of a task's work from which its whole time is estimated, in
/// percent. Shares are reported as whole numbers, which is an error of 4% at
/// this share, less than tasks of one step differ.
const MIN_OBSERVED_PERCENT: f64 = 10.0;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemberState {
    /// The start is ordered once this version of the progress is written.
    Ordered(u64),
    /// The worker lists the member as running.
    Running,
    /// The member has ended, or never began and never will.
    Ended,
}

/// A task of a run.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub index: u32,
    pub place: Place,
    pub state: MemberState,
    /// Whether the start was ever sent to an agent.
    pub sent: bool,
    pub assigned_at: Instant,
    /// When the member was first listed as running.
    pub begun_at: Option<Instant>,
    /// Whether an earlier planner assigned the run; how long it has run is
    /// then unknown.
    pub inherited: bool,
    /// Whether the member ever showed signs of work.
    pub showed_work: bool,
    /// When the member last showed signs of work.
    pub last_work: Instant,
    /// When a worker that answers its agent last listed the member.
    pub last_listed: Option<Instant>,
    /// How much of its work was done, as far as lists have shown.
    pub work: Option<Work>,
}

/// How much of a task's work was done at two times on its worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    first: (u64, f64),
    last: (u64, f64),
}

impl Work {
    /// Returns a first observation: a time in ms, and a share in percent.
    pub fn new(time: u64, percent: f64) -> Work {
        Work {
            first: (time, percent),
            last: (time, percent),
        }
    }

    /// Adds an observation. Less work than before is that of another run. The
    /// time before the work begins is not observed.
    pub fn observe(&mut self, time: u64, percent: f64) {
        let begins = self.last.1 <= 0.0 && percent <= 0.0;
        match begins || percent < self.last.1 || time < self.last.0 {
            true => *self = Work::new(time, percent),
            false => self.last = (time, percent),
        }
    }

    /// Returns the share of the work between the observations, in percent.
    pub fn observed(&self) -> f64 {
        self.last.1 - self.first.1
    }

    /// Returns the share of the work that is done, 0 to 1.
    pub fn done(&self) -> f64 {
        (self.last.1 / 100.0).clamp(0.0, 1.0)
    }

    /// Returns the time that the whole work needs, if enough was observed.
    pub fn whole_time(&self) -> Option<Duration> {
        let took = Duration::from_millis(self.last.0 - self.first.0);
        (self.observed() >= MIN_OBSERVED_PERCENT)
            .then(|| took.mul_f64(100.0 / self.observed()))
    }

    /// Returns the time that the rest of the work needs, counted from the last
    /// observation.
    pub fn remaining_time(&self) -> Option<Duration> {
        let rest = (100.0 - self.last.1).max(0.0) / 100.0;
        self.whole_time().map(|whole| whole.mul_f64(rest))
    }
}

/// The reason for which a unit waited at the last check.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoggedWait {
    pub reason: WaitReason,
    /// Whether the unit was within its account's guarantee.
    pub within_guarantee: bool,
    pub checked_at: Instant,
}

/// The phase of a unit.
#[derive(Clone, Debug, Default)]
pub(super) enum Phase {
    /// The unit waits for places.
    #[default]
    Waiting,
    /// The unit has places whose resources are not free yet.
    Reserved(Vec<Member>),
    /// A run was assigned.
    Running(Vec<Member>),
    /// The unit is done.
    Done,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// The job is over.
    Over,
    /// A job of higher priority takes the resources.
    Preempted,
    /// A member could not start, or has ended.
    Broken,
    /// A member of the gang had not begun in time.
    Late,
    /// The run makes no progress.
    Stuck,
    /// The worker leaves before the run would be done.
    Leaving,
    /// The run had not begun when its worker's capacity shrank.
    Shrunk,
    /// The run had not begun when its hall was closed.
    Closed,
}

impl StopReason {
    /// Returns the value that names the reason in logs.
    pub fn word(self) -> &'static str {
        match self {
            StopReason::Over => "job over",
            StopReason::Preempted => "room for urgent work",
            StopReason::Broken => "member lost",
            StopReason::Late => "member late",
            StopReason::Stuck => "stuck",
            StopReason::Leaving => "worker leaving",
            StopReason::Shrunk => "worker has shrunk",
            StopReason::Closed => "hall closed",
        }
    }
}

/// What the reported ends of a gang's members say about why its run broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakCause {
    /// No member has ended.
    NoEnds,
    /// All reported members ended because of another one, whose end is not
    /// reported yet.
    Unreported,
    /// A reported member is the cause.
    Identified,
}

/// How a run was interrupted. Of the members' ends the greatest value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Interruption {
    /// The run was stopped.
    Stopped,
    /// A member failed on a worker where the unit had not failed before, or a
    /// worker was lost.
    Lost,
    /// A worker refused a member, or the member failed again on a worker where
    /// the unit had failed before.
    Refused,
}

/// A set of tasks that is placed and started as a whole.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub phase: Phase,
    /// Since when the unit could be placed.
    pub ready_since: Instant,
    /// The unit is not placed before this time.
    pub not_before: Instant,
    /// The agents whose workers the unit failed on.
    pub avoided: Vec<AgentId>,
    pub stop_reason: Option<StopReason>,
    /// When this planner decided to stop the current run.
    pub stopped_at: Option<Instant>,
    /// Whether the reserved resources become free by the ends of runs, without
    /// a stop.
    pub awaits_ends: bool,
    pub logged_wait: Option<LoggedWait>,
    /// When it was last checked that the unit need not reserve resources yet.
    pub reserve_checked_at: Option<Instant>,
    pub any_done: bool,
    /// Why the current run broke, as far as known.
    pub break_cause: BreakCause,
    /// How the current run was interrupted, as far as reported.
    pub interruption: Interruption,
    /// When all members of the current run must have begun, if the unit is a
    /// gang and a start was sent.
    pub begin_by: Option<Instant>,
    /// The runs in a row that were stopped because a member was late.
    pub late_runs: u32,
    /// Whether all members of the current run were seen to have begun, or one
    /// of them to work, which takes all of them.
    pub all_present: bool,
}

impl Unit {
    pub fn new(now: Instant) -> Unit {
        Unit {
            phase: Phase::Waiting,
            ready_since: now,
            not_before: now,
            avoided: Vec::new(),
            stop_reason: None,
            stopped_at: None,
            awaits_ends: false,
            logged_wait: None,
            reserve_checked_at: None,
            any_done: false,
            break_cause: BreakCause::NoEnds,
            interruption: Interruption::Stopped,
            begin_by: None,
            late_runs: 0,
            all_present: false,
        }
    }

    /// Returns whether members of the current run wait for others to begin.
    pub fn starts_together(&self) -> bool {
        match &self.phase {
            Phase::Reserved(members) | Phase::Running(members) => {
                members.len() > 1
            }
            Phase::Waiting | Phase::Done => false,
        }
    }

    /// Returns the members that have not ended.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let members: &[Member] = match &self.phase {
            Phase::Reserved(members) | Phase::Running(members) => members,
            Phase::Waiting | Phase::Done => &[],
        };
        members.iter().filter(|m| m.state != MemberState::Ended)
    }
}
