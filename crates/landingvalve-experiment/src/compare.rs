//! Compares the scores of the same days under several policies.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;

use landingvalve::graph::Policy;

use crate::day::Day;
use crate::load::Load;
use crate::score::Score;
use crate::simulation::simulate;

/// A mean of samples with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// Mean of the samples.
    pub mean: f64,
    /// Standard error of the mean.
    pub standard_error: f64,
}

impl Mean {
    /// Returns the mean of samples.
    pub fn of(figures: &[f64]) -> Mean {
        let count = figures.len().max(1) as f64;
        let mean = figures.iter().sum::<f64>() / count;
        let squares = figures.iter().map(|f| (f - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        Mean {
            mean,
            standard_error: (variance / count).sqrt(),
        }
    }
}

/// Simulates days with consecutive seeds, in parallel, under each policy.
/// Returns the scores by seed and then by policy.
pub fn scores(
    load: &Load,
    policies: &[Policy],
    seed: u64,
    days: usize,
    threads: usize,
) -> Vec<Vec<Score>> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Vec::new(); days]);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= days {
                    return;
                }
                let seed = seed + number as u64;
                let day = Day::draw(load, seed);
                let scores: Vec<Score> = policies
                    .iter()
                    .map(|policy| simulate(load, &day, *policy, seed))
                    .collect();
                let mut results =
                    results.lock().unwrap_or_else(PoisonError::into_inner);
                results[number] = scores;
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the mean of a figure's difference between another policy and the
/// first one, over the same days.
pub fn difference(
    days: &[Vec<Score>],
    other: usize,
    figure: impl Fn(&Score) -> f64,
) -> Mean {
    let each = days.iter().map(|day| figure(&day[other]) - figure(&day[0]));
    Mean::of(&each.collect::<Vec<f64>>())
}

/// Returns the mean of a figure under a policy, over all days.
pub fn mean(
    days: &[Vec<Score>],
    policy: usize,
    figure: impl Fn(&Score) -> f64,
) -> Mean {
    let each = days.iter().map(|day| figure(&day[policy]));
    Mean::of(&each.collect::<Vec<f64>>())
}
