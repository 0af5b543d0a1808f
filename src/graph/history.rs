//! How long runs take, learnt from those that were done.
//!
//! Declared times are often off by a factor of two or three, in some queues
//! more than the runs differ, in others less: so what a queue's last runs
//! bore out of them counts. A new planner learns anew.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::graph::job_record::JobRecord;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Prediction;
use crate::graph::Scheduler;
use crate::graph::SharedStr;

/// How many steps of a queue are remembered.
const MAX_SAMPLES: usize = 31;
/// How many steps of a queue are needed before they count.
const MIN_SAMPLES: usize = 4;
/// What speaks for declared times before any run has, as a sum of squares of
/// logarithms: four steps that are off by a quarter.
const DECLARED_WEIGHT: f64 = 0.25;
/// How many runs of a step what was expected before them counts for.
const PRIOR_WEIGHT: f64 = 0.5;
/// The longest that is believed of a run: callers declare anything, and
/// several times as long must still be a time.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 24 * 3600);
/// The shortest run, so that every run has a logarithm.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// The runs of one step that were done: its tasks are alike, so that a wide
/// step tells no more than a narrow one.
#[derive(Clone, Debug)]
struct Sample {
    job: JobId,
    step: usize,
    declared: Duration,
    ran: RunTimes,
}

/// What a queue's runs have shown.
#[derive(Clone, Copy, Debug)]
struct QueueFit {
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
pub(super) struct RunTimes {
    /// The sum of the logarithms of how long they took.
    sum: f64,
    count: f64,
}

impl RunTimes {
    /// Takes note of a run.
    pub fn push(&mut self, ran: Duration) {
        self.sum += logarithm(ran);
        self.count += 1.0;
    }

    /// Returns the mean of the logarithms.
    fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }
}

/// The runs that were done, by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    runs: BTreeMap<SharedStr, VecDeque<Sample>>,
    /// What the runs of each queue with runs enough have shown.
    fits: BTreeMap<SharedStr, QueueFit>,
}

impl History {
    /// Takes note of how long a run of a job's step took that began anew and
    /// was done.
    pub fn learn(&mut self, job: &Job, step: usize, ran: Duration) {
        let runs = self.runs.entry(job.queue.clone()).or_default();
        let known = runs
            .iter_mut()
            .rev()
            .find(|sample| sample.job == job.id && sample.step == step);
        match known {
            Some(sample) => sample.ran.push(ran),
            None => {
                let mut sample = Sample {
                    job: job.id.clone(),
                    step,
                    declared: job.steps[step].estimate,
                    ran: RunTimes::default(),
                };
                sample.ran.push(ran);
                runs.push_back(sample);
            }
        }
        if runs.len() > MAX_SAMPLES {
            runs.pop_front();
        }
        if runs.len() >= MIN_SAMPLES {
            let fit = QueueFit::of(runs);
            self.fits.insert(job.queue.clone(), fit);
        }
    }

    /// Returns how long a run is expected to take.
    fn expect(
        &self,
        queue: &SharedStr,
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
        expected.min(MAX_RUN_TIME)
    }
}

impl QueueFit {
    fn of(runs: &VecDeque<Sample>) -> QueueFit {
        let count = runs.len() as f64;
        let mean =
            |of: fn(&Sample) -> f64| runs.iter().map(of).sum::<f64>() / count;
        let declared = mean(|run| logarithm(run.declared));
        let ran = mean(|run| run.ran.mean());
        let (mut both, mut square) = (0.0, 0.0);
        for run in runs {
            let off = logarithm(run.declared) - declared;
            both += off * (run.ran.mean() - ran);
            square += off * off;
        }
        // Until the runs say otherwise, a difference declared is one.
        let slope = (both + DECLARED_WEIGHT) / (square + DECLARED_WEIGHT);
        QueueFit {
            median: median(runs),
            declared,
            ran,
            slope: slope.clamp(0.0, 1.0),
        }
    }
}

impl Scheduler {
    /// Returns how long a task of a job's step is expected to run.
    pub(super) fn expected_time(
        &self,
        record: &JobRecord,
        step: usize,
    ) -> Duration {
        let prediction = self.terms.policy.prediction;
        let declared = record.job.steps[step].estimate;
        let queue = &record.job.queue;
        let expected = self.history.expect(queue, declared, prediction);
        match record.run_times.get(&step) {
            Some(runs) if prediction == Prediction::Fitted => {
                let before = PRIOR_WEIGHT * logarithm(expected);
                exponential((before + runs.sum) / (PRIOR_WEIGHT + runs.count))
            }
            _ => expected,
        }
    }
}

fn logarithm(time: Duration) -> f64 {
    time.max(MIN_RUN_TIME).as_secs_f64().ln()
}

fn exponential(logarithm: f64) -> Duration {
    let longest = MAX_RUN_TIME.as_secs_f64();
    Duration::from_secs_f64(logarithm.exp().min(longest))
}

fn median(runs: &VecDeque<Sample>) -> Duration {
    let runs = runs.iter().map(|run| exponential(run.ran.mean()));
    let mut runs: Vec<Duration> = runs.collect();
    runs.sort();
    runs.get(runs.len() / 2).copied().unwrap_or_default()
}
