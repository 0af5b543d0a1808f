//! How long runs take, learnt from those that were done.
//!
//! Declared times are often off by a factor of two or three, in some queues
//! more than the runs differ, in others less: so what a queue's last runs
//! bore out of them counts. A new planner learns anew.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::graph::book::Entry;
use crate::graph::Book;
use crate::graph::Prediction;
use crate::graph::Text;

/// How many runs of a queue are remembered.
const KEPT: usize = 31;
/// How many runs of a queue are needed before they count.
const LEAST: usize = 4;
/// What speaks for no connection between declared and real times, as a sum
/// of squares of logarithms: four runs that are off by a quarter.
const UNRELATED: f64 = 0.25;
/// How many runs of a step what was expected before them counts for.
const BEFORE: f64 = 0.5;
/// The longest that is believed of a run: callers declare anything, and
/// several times as long must still be a time.
const LONGEST: Duration = Duration::from_secs(30 * 24 * 3600);
/// The shortest run, so that every run has a logarithm.
const SHORTEST: Duration = Duration::from_millis(1);

/// A run that was done.
#[derive(Clone, Copy, Debug)]
struct Sample {
    declared: Duration,
    ran: Duration,
}

/// What a queue's runs have shown.
#[derive(Clone, Copy, Debug)]
struct Fit {
    /// Half of the runs took no longer.
    median: Duration,
    /// The means of the logarithms of declared and real times.
    declared: f64,
    ran: f64,
    /// How much of a difference in declared times is real.
    slope: f64,
}

/// The runs of one step that were done.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Runs {
    /// The sum of the logarithms of how long they took.
    sum: f64,
    count: f64,
}

impl Runs {
    /// Takes note of a run.
    pub fn push(&mut self, ran: Duration) {
        self.sum += logarithm(ran);
        self.count += 1.0;
    }
}

/// The runs that were done, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    runs: BTreeMap<Text, VecDeque<Sample>>,
    /// What the runs of each queue with runs enough have shown.
    fits: BTreeMap<Text, Fit>,
}

impl History {
    /// Takes note of how long a run took that began anew and was done.
    pub fn learn(&mut self, queue: &Text, declared: Duration, ran: Duration) {
        let runs = self.runs.entry(queue.clone()).or_default();
        runs.push_back(Sample { declared, ran });
        if runs.len() > KEPT {
            runs.pop_front();
        }
        if runs.len() >= LEAST {
            let fit = Fit::of(runs);
            self.fits.insert(queue.clone(), fit);
        }
    }

    /// Returns how long a run is expected to take.
    fn expect(
        &self,
        queue: &Text,
        declared: Duration,
        prediction: Prediction,
    ) -> Duration {
        let expected = match (prediction, self.fits.get(queue)) {
            (Prediction::Queue, Some(fit)) => fit.median,
            (Prediction::Fitted, Some(fit)) => {
                let off = logarithm(declared) - fit.declared;
                exponential(fit.ran + fit.slope * off)
            }
            _ => declared,
        };
        expected.min(LONGEST)
    }
}

impl Fit {
    fn of(runs: &VecDeque<Sample>) -> Fit {
        let count = runs.len() as f64;
        let mean = |of: fn(&Sample) -> Duration| {
            runs.iter().map(|run| logarithm(of(run))).sum::<f64>() / count
        };
        let declared = mean(|run| run.declared);
        let ran = mean(|run| run.ran);
        let (mut both, mut square) = (0.0, 0.0);
        for run in runs {
            let off = logarithm(run.declared) - declared;
            both += off * (logarithm(run.ran) - ran);
            square += off * off;
        }
        let slope = both / (square + UNRELATED);
        Fit {
            median: median(runs),
            declared,
            ran,
            slope: slope.clamp(0.0, 1.0),
        }
    }
}

impl Book {
    /// Returns how long a task of a job's step is expected to run.
    pub(super) fn expect(&self, entry: &Entry, step: usize) -> Duration {
        let prediction = self.terms.policy.prediction;
        let declared = entry.job.steps[step].estimate;
        let queue = &entry.job.queue;
        let expected = self.history.expect(queue, declared, prediction);
        match entry.ran.get(&step) {
            Some(runs) if prediction == Prediction::Fitted => {
                let before = BEFORE * logarithm(expected);
                exponential((before + runs.sum) / (BEFORE + runs.count))
            }
            _ => expected,
        }
    }

    /// Returns the longest chain of expected work through a job's steps.
    pub(super) fn chain(&self, entry: &Entry) -> Duration {
        entry.job.chain(|step| self.expect(entry, step))
    }
}

fn logarithm(time: Duration) -> f64 {
    time.max(SHORTEST).as_secs_f64().ln()
}

fn exponential(logarithm: f64) -> Duration {
    let longest = LONGEST.as_secs_f64();
    Duration::from_secs_f64(logarithm.exp().min(longest))
}

fn median(runs: &VecDeque<Sample>) -> Duration {
    let mut runs: Vec<Duration> = runs.iter().map(|run| run.ran).collect();
    runs.sort();
    runs.get(runs.len() / 2).copied().unwrap_or_default()
}
