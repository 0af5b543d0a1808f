//! How fast workers are, learnt from the runs on them.
//!
//! Workers of one pool differ by half, and some turn slow for a while. Work
//! that is due soon goes to others, where there is room.

use std::collections::BTreeMap;

use crate::graph::AgentId;

/// What an earlier run counts once another has ended: about the last five
/// count, so that a worker that turns slow is known by its next runs.
const FADE: f64 = 0.8;
/// How many runs at the usual speed every worker is taken to have had.
const USUAL: f64 = 2.0;

/// What the runs on one worker have shown.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// The sum of the logarithms of time taken to time expected.
    sum: f64,
    /// How many runs that is.
    count: f64,
}

/// How fast workers are.
#[derive(Clone, Debug, Default)]
pub(super) struct Speeds {
    seen: BTreeMap<AgentId, Seen>,
}

impl Speeds {
    /// Takes note of how many times longer than expected a run took.
    pub fn learn(&mut self, agent: &AgentId, times: f64) {
        let seen = self.seen.entry(agent.clone()).or_default();
        seen.sum = seen.sum * FADE + logarithm(times);
        seen.count = seen.count * FADE + 1.0;
    }

    /// Returns how slow a worker is: the logarithm of how many times longer
    /// than usual its runs take. One that is under way and has taken so many
    /// times longer than expected already counts as well.
    pub fn slowness(&self, agent: &AgentId, overdue: Option<f64>) -> f64 {
        let seen = self.seen.get(agent).copied().unwrap_or_default();
        match overdue.map(logarithm) {
            Some(late) if late > 0.0 => {
                (seen.sum + late) / (seen.count + 1.0 + USUAL)
            }
            _ => seen.sum / (seen.count + USUAL),
        }
    }
}

/// The logarithm, bounded so that one odd run says no more than a slow one.
fn logarithm(times: f64) -> f64 {
    times.clamp(0.2, 5.0).ln()
}
