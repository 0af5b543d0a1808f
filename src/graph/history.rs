//! Run time estimates, learned from finished runs.
//!
//! Declared times are often off by a factor of two or three: in some queues by
//! more than the runs differ among themselves, in others by less. The estimate
//! therefore trusts declared times as far as the last runs of the queue
//! confirmed them. A new planner starts without history.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::graph::job_record::JobRecord;
use crate::graph::Job;
use crate::graph::JobId;
use crate::graph::Prediction;
use crate::graph::Scheduler;
use crate::graph::SharedStr;

/// The number of steps that are remembered for each queue.
const MAX_SAMPLES: usize = 31;
/// The number of steps from which a queue's history is used.
const MIN_SAMPLES: usize = 4;
/// The prior weight of declared times, as a sum of squared logarithms: equals
/// four steps that are off by a quarter.
const DECLARED_WEIGHT: f64 = 0.25;
/// The standard deviation of declared times, as logarithms, that is assumed
/// before a queue has a history, and the weight of that assumption in steps.
const DECLARED_DEVIATION: f64 = 0.7;
const DECLARED_DEVIATION_STEPS: f64 = 2.0;
/// The weight of the queue's estimate beside a step's own runs, in runs.
const PRIOR_WEIGHT: f64 = 0.5;
/// The longest run time that is assumed. Callers may declare any value, and a
/// multiple of it must still be a valid duration.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 24 * 3600);
/// The shortest run time that is assumed, so that every run time has a
/// logarithm.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// The finished runs of one step. A step counts once however many tasks it
/// has, because its tasks are alike.
#[derive(Clone, Debug)]
struct Sample {
    job: JobId,
    step: usize,
    declared: Duration,
    ran: RunTimes,
}

/// The relation of declared to real run times in a queue.
#[derive(Clone, Copy, Debug)]
struct QueueFit {
    /// The median run time.
    median: Duration,
    /// The means of the logarithms of the declared and of the real run times.
    declared: f64,
    ran: f64,
    /// The share of a difference in declared times that is real, 0 to 1.
    slope: f64,
    /// The standard deviation of the logarithms of the real run times from the
    /// fitted ones.
    deviation: f64,
}

/// The run times of one step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunTimes {
    /// The sum of the logarithms of the run times in seconds.
    sum: f64,
    count: f64,
}

impl RunTimes {
    /// Adds the time of a run.
    pub fn push(&mut self, ran: Duration) {
        self.sum += logarithm(ran);
        self.count += 1.0;
    }

    /// Returns the mean of the logarithms.
    fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }
}

/// The finished runs of each queue.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    runs: BTreeMap<SharedStr, VecDeque<Sample>>,
    /// The fit of each queue that has at least [`MIN_SAMPLES`] steps.
    fits: BTreeMap<SharedStr, QueueFit>,
}

impl History {
    /// Records the time of a finished run that did not resume from a
    /// checkpoint, as a worker of middle speed would have needed.
    pub fn record(&mut self, job: &Job, step: usize, ran: Duration) {
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

    /// Returns the expected run time of a task.
    fn estimate(
        &self,
        queue: &SharedStr,
        declared: Duration,
        prediction: Prediction,
    ) -> Duration {
        let expected = match (prediction, self.fits.get(queue)) {
            (Prediction::Queue, Some(fit)) => fit.median,
            (Prediction::Fitted, Some(fit)) => {
                let deviation = logarithm(declared) - fit.declared;
                exponential(fit.ran + fit.slope * deviation)
            }
            _ => declared,
        };
        expected.min(MAX_RUN_TIME)
    }

    /// Returns the expected run time of a task from its declared one, and the
    /// standard deviation of its logarithm.
    fn estimate_with_deviation(
        &self,
        queue: &SharedStr,
        declared: Duration,
    ) -> (Duration, f64) {
        let expected = self.estimate(queue, declared, Prediction::Fitted);
        let fit = self.fits.get(queue);
        (
            expected,
            fit.map_or(DECLARED_DEVIATION, |fit| fit.deviation),
        )
    }
}

impl QueueFit {
    fn of(samples: &VecDeque<Sample>) -> QueueFit {
        let count = samples.len() as f64;
        let mean = |value: fn(&Sample) -> f64| {
            samples.iter().map(value).sum::<f64>() / count
        };
        let declared = mean(|run| logarithm(run.declared));
        let ran = mean(|run| run.ran.mean());
        let (mut products, mut squares) = (0.0, 0.0);
        for run in samples {
            let deviation = logarithm(run.declared) - declared;
            products += deviation * (run.ran.mean() - ran);
            squares += deviation * deviation;
        }
        // The prior makes the slope 1 until the runs show otherwise.
        let slope = (products + DECLARED_WEIGHT) / (squares + DECLARED_WEIGHT);
        let slope = slope.clamp(0.0, 1.0);
        let misfit = |run: &Sample| {
            let deviation = logarithm(run.declared) - declared;
            (run.ran.mean() - ran - slope * deviation).powi(2)
        };
        let squares = samples.iter().map(misfit).sum::<f64>()
            + DECLARED_DEVIATION.powi(2) * DECLARED_DEVIATION_STEPS;
        QueueFit {
            median: median(samples),
            declared,
            ran,
            slope,
            deviation: (squares / (count + DECLARED_DEVIATION_STEPS)).sqrt(),
        }
    }
}

impl Scheduler {
    /// Returns the expected run time of a task of a job's step on a worker of
    /// middle speed.
    pub(super) fn expected_time(
        &self,
        record: &JobRecord,
        step: usize,
    ) -> Duration {
        let prediction = self.options.policy.prediction;
        let declared = record.job.steps[step].estimate;
        let queue = &record.job.queue;
        let expected = self.history.estimate(queue, declared, prediction);
        match record.run_times.get(&step) {
            Some(runs) if prediction == Prediction::Fitted => {
                let prior = PRIOR_WEIGHT * logarithm(expected);
                exponential((prior + runs.sum) / (PRIOR_WEIGHT + runs.count))
            }
            _ => expected,
        }
    }
}

impl Scheduler {
    /// Returns how long a step's runs are expected to take on a worker of
    /// middle speed, without its own runs, and the standard deviation of the
    /// logarithm.
    pub(super) fn prior_time(
        &self,
        record: &JobRecord,
        step: usize,
    ) -> (Duration, f64) {
        let declared = record.job.steps[step].estimate;
        self.history
            .estimate_with_deviation(&record.job.queue, declared)
    }
}

fn logarithm(time: Duration) -> f64 {
    time.max(MIN_RUN_TIME).as_secs_f64().ln()
}

fn exponential(logarithm: f64) -> Duration {
    let longest = MAX_RUN_TIME.as_secs_f64();
    Duration::from_secs_f64(logarithm.exp().min(longest))
}

fn median(samples: &VecDeque<Sample>) -> Duration {
    let runs = samples.iter().map(|run| exponential(run.ran.mean()));
    let mut runs: Vec<Duration> = runs.collect();
    runs.sort();
    runs.get(runs.len() / 2).copied().unwrap_or_default()
}
