//! How much work may be thrown away for an urgent unit.
//!
//! The load that this answers: short gangs of up to nine whole workers, due
//! within half again their length, on a fleet whose workers are all in some
//! use. Room for them lies under work of a second or two on each of nine
//! workers: more than any one figure that is right for a gang of one worker.
//! Under a fixed limit they waited until enough had ended by itself, and
//! others were then stopped for them when it no longer helped. What is won
//! grows with the unit's own work, so that is the measure.
//!
//! More than its own work throws more away and serves no more. A unit that is
//! late already wins little, and is allowed only the least.

use std::time::Duration;

use crate::graph::Policy;

/// What an urgent unit has to gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Its own work, in core-seconds.
    pub core_seconds: f64,
    /// What is left until it would have to start, in ms.
    pub slack_ms: i64,
    /// The longest that a stop takes.
    pub stop: Duration,
}

/// Returns the core-seconds that may be thrown away for a unit.
pub fn limit(policy: &Policy, stake: &Need) -> f64 {
    let stop = stake.stop.as_millis() as i64;
    match stake.slack_ms >= stop {
        true => policy
            .max_loss
            .max(stake.core_seconds * policy.max_loss_factor),
        false => policy.max_loss,
    }
}
