//! Choices between scheduling decisions that all keep the guarantees.
//!
//! The policy only changes how well callers are served. All choices are in one
//! value, so that an experiment can switch off one at a time.

/// The source of run time estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prediction {
    /// The time that the caller declares.
    Declared,
    /// The median of the queue's last runs.
    Queue,
    /// The declared time, corrected by the queue's last runs and by the runs
    /// of the same step.
    Fitted,
}

impl std::str::FromStr for Prediction {
    type Err = ();

    fn from_str(text: &str) -> Result<Prediction, ()> {
        match text {
            "declared" => Ok(Prediction::Declared),
            "queue" => Ok(Prediction::Queue),
            "fitted" => Ok(Prediction::Fitted),
            _ => Err(()),
        }
    }
}

/// The choices of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The share of a pool's workers that work of priority 1 leaves empty for
    /// urgent work, 0 for none. Lower priorities leave more in proportion.
    pub spare_share: f64,
    /// Whether the workers left to urgent work follow from the recent urgent
    /// jobs, once there are enough of them. `spare_share` then does not apply.
    pub headroom: bool,
    /// How long a unit waits for a place near its data or gang, as a share of
    /// the time that such a place saves. 0 does not wait; a value above 1
    /// waits longer than the place saves.
    pub near_wait: f64,
    /// The share of a pool's workers that may hold reservations for units that
    /// have waited, 0 for none.
    pub reserved_share: f64,
    /// The core-seconds that may be lost for any urgent unit beyond its
    /// account's guarantee.
    pub max_loss: f64,
    /// The core-seconds that may be lost for an urgent unit that will then be
    /// in time, as a factor on the unit's own work. The greater of this and
    /// `max_loss` applies.
    pub max_loss_factor: f64,
    /// Whether the loss of a stop counts each member's work, earlier
    /// interruptions and the objective of the stopped job.
    pub loss_model: bool,
    /// Whether runs are stopped only for units that are then in time, unless
    /// they are within a guarantee.
    pub in_time_stops: bool,
    /// Whether units beyond guarantees wait for the ends of runs, without a
    /// stop, where those are expected in time.
    pub wait_for_ends: bool,
    /// Whether stops that a finished plan does not need are dropped.
    pub prune_stops: bool,
    /// Whether resources are reserved only for units that would be late
    /// otherwise.
    pub reserve_only_late: bool,
    /// Whether a unit with slack reserves resources once the slack is no longer
    /// than the time until the workers are expected to have room.
    pub reserve_in_time: bool,
    /// Whether urgent units that can no longer be in time wait behind those
    /// that can, the smallest first.
    pub late_last: bool,
    /// Whether a late urgent unit goes ahead of other late ones once it has
    /// waited for twice its objective.
    pub late_turn: bool,
    /// Whether between units that are about equally urgent the account with
    /// less recent use goes first.
    pub shares: bool,
    /// The source of run time estimates.
    pub prediction: Prediction,
    /// Whether workers on which runs fail are quarantined.
    pub quarantine: bool,
    /// Whether two failures of one job count against their worker if the job
    /// has failed nowhere else, and last attempts avoid workers with recent
    /// failures.
    pub probation: bool,
    /// Whether a new planner preempts nothing, and does not spread gangs over
    /// racks, until all workers that are known to run something have
    /// reported, or a short time has passed.
    pub await_reports: bool,
    /// Whether a gang's run ends on its only silent worker once all other
    /// members report that another one has ended.
    pub end_broken_gangs: bool,
    /// Whether runs that make no progress are stopped.
    pub stop_stuck: bool,
    /// Whether a unit that waits for room is reported with the jobs that hold
    /// it.
    pub name_holders: bool,
    /// Whether single tasks are spread over workers of unknown speed while
    /// most workers of a pool are unknown.
    pub explore: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            spare_share: 0.12,
            headroom: true,
            near_wait: 1.0,
            reserved_share: 0.35,
            max_loss: 120.0,
            max_loss_factor: 1.0,
            loss_model: true,
            in_time_stops: false,
            wait_for_ends: true,
            prune_stops: true,
            reserve_only_late: true,
            reserve_in_time: true,
            late_last: true,
            late_turn: true,
            shares: true,
            prediction: Prediction::Fitted,
            quarantine: true,
            probation: true,
            await_reports: true,
            end_broken_gangs: true,
            stop_stuck: true,
            name_holders: true,
            explore: true,
        }
    }
}
