//! The loss of a stop, in core-seconds.
//!
//! The model is made for a site where urgent gangs take the workers of long
//! gangs and of wide steps of single tasks. Cores times the age of a run's
//! oldest member understated what such a stop costs: a unit that is stopped
//! repeatedly never ends, and one that a stop makes late is worth less to its
//! caller than one that is late in any case. A run that an earlier planner
//! assigned seemed to lose nothing.

use std::time::Duration;

/// What a stop of a step that saves checkpoints loses: the work since the
/// last checkpoint, and the time to resume.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(300);
/// The factor for a unit that is in time unless it is stopped.
const MADE_LATE_FACTOR: f64 = 2.0;
/// The factor for a unit that is late whether or not it is stopped. Its work
/// still has to be done again, so that it is not free to stop.
const LATE_FACTOR: f64 = 0.5;
/// The number of earlier interruptions from which more of them no longer raise
/// the loss, so that a unit that fails to end can still be stopped.
const MAX_INTERRUPTIONS: u32 = 4;

/// What a stop means for the objective of a unit's job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// The unit is in time in both cases, or has no end.
    InTime,
    /// The unit is in time unless it is stopped.
    MadeLate,
    /// The unit is late in both cases.
    Late,
}

impl Outlook {
    /// Returns the outlook of a unit that is due in `due` (`None` if that is
    /// past) and would end in `remaining`, or in `remaining_after_stop` if it
    /// were stopped now.
    pub fn of(
        due: Option<Duration>,
        remaining: Duration,
        remaining_after_stop: Duration,
    ) -> Outlook {
        let Some(due) = due else {
            return Outlook::Late;
        };
        match (remaining > due, remaining_after_stop > due) {
            (true, _) => Outlook::Late,
            (false, true) => Outlook::MadeLate,
            (false, false) => Outlook::InTime,
        }
    }

    fn factor(self) -> f64 {
        match self {
            Outlook::InTime => 1.0,
            Outlook::MadeLate => MADE_LATE_FACTOR,
            Outlook::Late => LATE_FACTOR,
        }
    }
}

/// A running unit that could be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The cores that one member counts as.
    pub cores: f64,
    /// How long each member has run.
    pub ran: Vec<Duration>,
    /// Whether the unit resumes from a checkpoint.
    pub checkpoints: bool,
    /// How often the unit was interrupted before without a failure of its own.
    pub interruptions: u32,
    /// What a stop means for the job's objective.
    pub outlook: Outlook,
}

/// Returns how long a run that needs `remaining` and whose whole work takes
/// `whole` still needs after a stop that takes `stop_time`.
pub fn remaining_after_stop(
    checkpoints: bool,
    remaining: Duration,
    whole: Duration,
    stop_time: Duration,
) -> Duration {
    let again = match checkpoints {
        true => remaining.saturating_add(CHECKPOINT_LOSS),
        false => whole,
    };
    again.saturating_add(stop_time)
}

/// Returns the core-seconds of work that a stop discards.
pub fn discarded(run: &Run) -> f64 {
    let lost = |ran: &Duration| match run.checkpoints {
        true => CHECKPOINT_LOSS,
        false => *ran,
    };
    let seconds: f64 = run.ran.iter().map(|r| lost(r).as_secs_f64()).sum();
    run.cores * seconds
}

/// Returns the loss of a stop: the discarded work, weighted by what it means
/// for the unit.
pub fn loss(run: &Run) -> f64 {
    let interruptions = run.interruptions.min(MAX_INTERRUPTIONS);
    discarded(run) * (1.0 + f64::from(interruptions)) * run.outlook.factor()
}
