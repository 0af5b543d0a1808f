//! Decisions that may be made in more than one way, as one value.
//!
//! Whatever is chosen here, every promise holds; only how well callers are
//! served differs. So one value can be switched off for a measurement.

/// What the time that a run takes is told from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prediction {
    /// What its caller declares.
    Declared,
    /// The median of its queue's last runs.
    Queue,
    /// What is declared, as far as the queue's last runs bore it out, and
    /// the runs of its own step.
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

/// How decisions are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The share of a pool's workers that work of priority 1 leaves empty
    /// for urgent work; 0 leaves none.
    pub spare_share: f64,
    /// The share of what a far run costs more that is waited for a near
    /// place; 0 waits for none, more than 1 longer than it saves.
    pub near_wait: f64,
    /// The share of a pool's workers on which room is kept for units that
    /// have waited; 0 keeps none.
    pub reserved_share: f64,
    /// The core-seconds that are thrown away for any urgent unit beyond its
    /// account's guarantee.
    pub max_loss: f64,
    /// How many times its own work may be thrown away for an urgent unit that
    /// would then be in time, if that is more.
    pub max_loss_factor: f64,
    /// Whether room is kept only for units that would else be late.
    pub reserve_only_late: bool,
    /// Whether urgent units that can no longer be in time wait behind those
    /// that can, the smallest first.
    pub late_last: bool,
    /// What run times are told from.
    pub prediction: Prediction,
    /// Whether workers that fail are kept apart.
    pub quarantine: bool,
    /// Whether two failures of one job speak against their worker, and last
    /// attempts are kept from workers in doubt.
    pub probation: bool,
    /// Whether a new planner stops nothing, and spreads nothing over racks,
    /// until it has heard of the workers that are known to run something.
    pub await_reports: bool,
    /// Whether a gang's run is taken for over at the one worker that is not
    /// heard of, once the other members tell that one has ended.
    pub end_broken_gangs: bool,
    /// Whether runs that make no progress are stopped.
    pub stop_stuck: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            spare_share: 0.12,
            near_wait: 1.0,
            reserved_share: 0.35,
            max_loss: 120.0,
            max_loss_factor: 1.0,
            reserve_only_late: true,
            late_last: true,
            prediction: Prediction::Fitted,
            quarantine: true,
            probation: true,
            await_reports: true,
            end_broken_gangs: true,
            stop_stuck: true,
        }
    }
}
