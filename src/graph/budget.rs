//! The amount of work that may be lost for an urgent unit.
//!
//! The rule is made for short gangs of up to nine whole workers, due within
//! one and a half times their length, on a fleet whose workers are all partly
//! in use. To make room for such a gang, a second or two of work is lost on
//! each of nine workers. This loss exceeds any fixed limit that suits a gang
//! of one worker. Under a fixed limit these gangs waited until enough runs had
//! ended by themselves, and other runs were then stopped when it no longer
//! helped. The benefit grows with the unit's own work, so the limit is
//! proportional to that work.
//!
//! A limit above the unit's own work loses more and serves no more callers. A
//! unit that is already late gains little, so that only the fixed limit
//! applies to it.

use std::time::Duration;

use crate::graph::Policy;

/// The figures of an urgent unit that determine its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// The unit's own work, in core-seconds.
    pub core_seconds: f64,
    /// The time left until the unit's latest start, in ms.
    pub slack_ms: i64,
    /// The longest time that a stop takes.
    pub stop_time: Duration,
}

/// Returns the core-seconds that may be lost for a unit.
pub fn limit(policy: &Policy, need: &Need) -> f64 {
    let stop_ms = need.stop_time.as_millis() as i64;
    match need.slack_ms >= stop_ms {
        true => policy
            .max_loss
            .max(need.core_seconds * policy.max_loss_factor),
        false => policy.max_loss,
    }
}
