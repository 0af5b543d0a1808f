//! How long runs take, learnt from those that were done.
//!
//! Declared times are often off by a factor of two or three; the runs of
//! one queue differ by far less. A new planner learns anew.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::graph::Step;
use crate::graph::Text;

/// How many runs of a queue are remembered.
const KEPT: usize = 31;
/// How many runs of a queue are needed before they count.
const LEAST: usize = 4;

/// The longest that is believed of a run: callers declare anything, and
/// several times as long must still be a time.
const LONGEST: Duration = Duration::from_secs(30 * 24 * 3600);

/// The runs that were done, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    runs: BTreeMap<Text, VecDeque<Duration>>,
    /// The median of each queue with runs enough.
    medians: BTreeMap<Text, Duration>,
}

impl History {
    /// Takes note of how long a run took that began anew and was done.
    pub fn learn(&mut self, queue: &Text, ran: Duration) {
        let runs = self.runs.entry(queue.clone()).or_default();
        runs.push_back(ran);
        if runs.len() > KEPT {
            runs.pop_front();
        }
        if runs.len() >= LEAST {
            let median = median(runs);
            self.medians.insert(queue.clone(), median);
        }
    }

    /// Returns how long a task of a step is expected to run.
    pub fn expect(&self, queue: &Text, step: &Step) -> Duration {
        let median = self.medians.get(queue).copied();
        median.unwrap_or(step.estimate).min(LONGEST)
    }
}

fn median(runs: &VecDeque<Duration>) -> Duration {
    let mut runs: Vec<Duration> = runs.iter().copied().collect();
    runs.sort();
    runs.get(runs.len() / 2).copied().unwrap_or_default()
}
