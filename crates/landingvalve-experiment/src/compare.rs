//! The same days under two policies.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;

use landingvalve::graph::Policy;

use crate::day::Day;
use crate::load::Load;
use crate::play::play;
use crate::score::Score;

/// A mean with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Its standard error.
    pub error: f64,
}

impl Mean {
    /// Returns the mean of some figures.
    pub fn of(figures: &[f64]) -> Mean {
        let count = figures.len().max(1) as f64;
        let mean = figures.iter().sum::<f64>() / count;
        let squares = figures.iter().map(|f| (f - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        Mean {
            mean,
            error: (variance / count).sqrt(),
        }
    }
}

/// Plays days from a seed on, side by side, under each policy; returns their
/// scores, in the order of the seeds.
pub fn scores(
    load: &Load,
    policies: &[Policy],
    seed: u64,
    days: usize,
    threads: usize,
) -> Vec<Vec<Score>> {
    let next = AtomicUsize::new(0);
    let all = Mutex::new(vec![Vec::new(); days]);
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
                    .map(|policy| play(load, &day, *policy, seed))
                    .collect();
                let mut all =
                    all.lock().unwrap_or_else(PoisonError::into_inner);
                all[number] = scores;
            });
        }
    });
    all.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the mean difference of a figure between the first policy and
/// another, over the same days.
pub fn difference(
    days: &[Vec<Score>],
    other: usize,
    figure: impl Fn(&Score) -> f64,
) -> Mean {
    let each = days.iter().map(|day| figure(&day[other]) - figure(&day[0]));
    Mean::of(&each.collect::<Vec<f64>>())
}

/// Returns the mean of a figure under one policy.
pub fn mean(
    days: &[Vec<Score>],
    policy: usize,
    figure: impl Fn(&Score) -> f64,
) -> Mean {
    let each = days.iter().map(|day| figure(&day[policy]));
    Mean::of(&each.collect::<Vec<f64>>())
}
