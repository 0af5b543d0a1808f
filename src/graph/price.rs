//! How much work may be thrown away for an urgent unit.
//!
//! The load that this answers: short gangs of up to nine whole workers, due
//! within half again their length, on a fleet whose workers are all in some
//! use. Room for them lies under work of a second or two on each of nine
//! workers: hundreds of core-seconds, more than any one figure that is right
//! for a gang of one worker. Under a fixed limit they waited until enough
//! had ended by itself, and others were then stopped for them when it no
//! longer helped: 114 of 258 late jobs on 20 days waited for room, for 86 of
//! these the stops were held to be too dear. What is won grows with the
//! unit's own work, so that is the measure.
//!
//! Why not more: three times its own work throws away a quarter more and
//! serves no more. Why not as much for a unit that is late already: it wins
//! a fifth of what one in time does; with a tenth of its work thrown away for
//! that, callers earned 0.030 +- 0.006 more of what they could than under the
//! fixed limit, without 0.040 +- 0.006 (100 days of `landingvalve-experiment`).

use std::time::Duration;

use crate::graph::Policy;

/// What an urgent unit has to gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stake {
    /// Its own work, in core-seconds.
    pub work: f64,
    /// What is left until it would have to start, in ms.
    pub slack_ms: i64,
    /// The longest that a stop takes.
    pub stop: Duration,
}

/// Returns the core-seconds that may be thrown away for a unit.
pub fn limit(policy: &Policy, stake: &Stake) -> f64 {
    let stop = stake.stop.as_millis() as i64;
    match stake.slack_ms >= stop {
        true => policy.most_lost.max(stake.work * policy.lost_in_time),
        false => policy.most_lost,
    }
}
