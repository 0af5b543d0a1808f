//! The report of a replay and the statistics in it.

use std::time::Duration;

use serde::Serialize;

/// The mean and percentiles of the time from submission to end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Completion {
    /// The mean, in milliseconds.
    pub mean: u64,
    /// The median, in milliseconds.
    pub p50: u64,
    /// The 95th percentile, in milliseconds.
    pub p95: u64,
    /// The 99th percentile, in milliseconds.
    pub p99: u64,
}

/// The mean and a percentile of completion time divided by run time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Slowdown {
    /// The mean.
    pub mean: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The median and a percentile of the time to the first start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Wait {
    /// The median, in milliseconds.
    pub p50: u64,
    /// The 99th percentile, in milliseconds.
    pub p99: u64,
}

/// A percentile of the time to the first start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Start {
    /// The 99th percentile, in milliseconds.
    pub p99: u64,
}

/// The share of free accelerators that are on partly used workers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Fragmentation {
    /// The mean over time.
    pub mean: f64,
    /// The 95th percentile over time.
    pub p95: f64,
}

/// The wall time of decisions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Decision {
    /// The median, in microseconds.
    pub p50: u64,
    /// The 99th percentile, in microseconds.
    pub p99: u64,
}

/// The report of a replay.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of submitted jobs.
    pub jobs: u64,
    /// The number of jobs that ran to their end.
    pub done: u64,
    /// The number of failed jobs.
    pub failed: u64,
    /// The number of cancelled jobs.
    pub cancelled: u64,
    /// The number of jobs that did not run.
    pub not_run: u64,
    /// The number of jobs that had not ended when the replay ended.
    pub unfinished: u64,
    /// The time from submission to end, of jobs that ran to their end.
    pub completion_ms: Completion,
    /// Completion time divided by run time, of jobs that ran to their end.
    pub slowdown: Slowdown,
    /// The time from submission to first start, of jobs of 16 or more
    /// accelerators.
    pub wait_large_ms: Wait,
    /// The time from submission to first start, of urgent jobs.
    pub urgent_start_ms: Start,
    /// The fragmentation of free accelerators.
    pub fragmentation: Fragmentation,
    /// The share of the time of healthy accelerators that was used by jobs.
    pub utilisation: f64,
    /// How often a running job was stopped to make room for another or to be
    /// moved.
    pub reclaims: u64,
    /// The run time lost to stops and failures, in milliseconds.
    pub lost_ms: u64,
    /// The number of [guarantee
    /// violations](crate::replay::checker::Counts::guarantee_violations).
    pub guarantee_violations: u64,
    /// The number of
    /// [partial gangs](crate::replay::checker::Counts::partial_gangs).
    pub partial_gangs: u64,
    /// The number of
    /// [repeated starts](crate::replay::checker::Counts::repeated_starts).
    pub repeated_starts: u64,
    /// The wall time of decisions, if it was requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decision_us: Option<Decision>,
}

/// Returns the value at a percentile of `sorted` by the nearest-rank method,
/// or the default if `sorted` is empty.
pub fn percentile<T: Copy + Default>(sorted: &[T], percent: usize) -> T {
    let rank = (sorted.len() * percent).div_ceil(100).max(1) - 1;
    sorted.get(rank).copied().unwrap_or_default()
}

/// Returns `value` rounded to four decimal places, as reports show it.
pub fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// A piecewise constant value over time.
#[derive(Clone, Debug, Default)]
pub struct TimeSeries {
    steps: Vec<(f64, Duration)>,
}

impl TimeSeries {
    /// Appends a period of `duration` during which the value was `value`.
    pub fn push(&mut self, value: f64, duration: Duration) {
        if !duration.is_zero() {
            self.steps.push((value, duration));
        }
    }

    /// Returns the mean weighted by time, 0 for an empty series.
    pub fn mean(&self) -> f64 {
        let total: f64 = self.steps.iter().map(|s| s.1.as_secs_f64()).sum();
        let sum: f64 = self
            .steps
            .iter()
            .map(|(value, duration)| value * duration.as_secs_f64())
            .sum();
        match total > 0.0 {
            true => sum / total,
            false => 0.0,
        }
    }

    /// Returns the value that was not exceeded during the share `quantile` of
    /// the time, 0 for an empty series.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let mut steps = self.steps.clone();
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = steps.iter().map(|s| s.1.as_secs_f64()).sum();
        let mut left = total * quantile;
        for (value, duration) in &steps {
            left -= duration.as_secs_f64();
            if left <= 0.0 {
                return *value;
            }
        }
        steps.last().map(|s| s.0).unwrap_or_default()
    }
}
