//! Distributions over a grid of logarithmic speeds.

use crate::graph::speed::LogSpeed;

/// The number of points.
pub(super) const POINTS: usize = 41;
/// The distance of two points.
pub(super) const STEP: f64 = 0.06;

/// A value at each point of the grid.
pub(super) type Values = [f64; POINTS];

/// Returns the speed at a point. The middle point has speed 0.
pub(super) fn speed(point: usize) -> LogSpeed {
    (point as f64 - (POINTS / 2) as f64) * STEP
}

/// Returns a normal distribution.
pub(super) fn normal(mean: f64, deviation: f64) -> Values {
    let mut values = [0.0; POINTS];
    for (point, value) in values.iter_mut().enumerate() {
        let z = (speed(point) - mean) / deviation;
        *value = (-z * z / 2.0).exp();
    }
    normalize(&mut values);
    values
}

/// Scales the values so that their sum is 1.
pub(super) fn normalize(values: &mut Values) {
    let sum = sum(values);
    if sum > 0.0 {
        let scale = 1.0 / sum;
        values.iter_mut().for_each(|value| *value *= scale);
    }
}

/// Returns the sum of the values. Four partial sums take a third of the time
/// of a single one, whose additions wait for each other.
fn sum(values: &Values) -> f64 {
    let mut sums = [0.0; 4];
    let mut quads = values.chunks_exact(4);
    for quad in &mut quads {
        for (sum, value) in sums.iter_mut().zip(quad) {
            *sum += value;
        }
    }
    sums.iter().sum::<f64>() + quads.remainder().iter().sum::<f64>()
}

/// Returns an approximation of `exp` that is computed for all points at once:
/// 1% off at -4 and 4, and 0 far below.
pub(super) fn exponential(values: &Values) -> Values {
    let mut powers = values.map(|value| (1.0 + value / 1024.0).max(0.0));
    for _ in 0..10 {
        powers.iter_mut().for_each(|power| *power *= *power);
    }
    powers
}

/// Returns a likelihood from its logarithm, scaled so that its largest value
/// is 1.
pub(super) fn likelihood(log: &Values) -> Values {
    let largest = log.iter().copied().fold(f64::MIN, f64::max);
    exponential(&log.map(|value| value - largest))
}

/// Returns the product of the values at each point.
pub(super) fn product(one: &Values, other: &Values) -> Values {
    let mut product = *one;
    for (value, factor) in product.iter_mut().zip(other) {
        *value *= factor;
    }
    product
}

/// Returns the quotient of the values at each point.
pub(super) fn quotient(values: &Values, divisor: &Values) -> Values {
    let mut quotient = *values;
    for (value, divisor) in quotient.iter_mut().zip(divisor) {
        *value /= divisor;
    }
    quotient
}

/// Returns the probability of observations, given the distribution of speeds.
pub(super) fn probability(speeds: &Values, likelihood: &Values) -> f64 {
    sum(&product(speeds, likelihood))
}

/// Returns the mean and the variance of a distribution, which need not be
/// scaled.
pub(super) fn moments(values: &Values) -> (f64, f64) {
    let (mut weighted, mut squares) = (*values, *values);
    for point in 0..POINTS {
        let speed = speed(point);
        weighted[point] *= speed;
        squares[point] *= speed * speed;
    }
    let total = sum(values);
    let mean = sum(&weighted) / total;
    (mean, (sum(&squares) / total - mean * mean).max(0.0))
}

/// Moves a part of each value to the two points beside it.
pub(super) fn smooth(values: &Values, part: f64) -> Values {
    let mut smoothed = [0.0; POINTS];
    for (point, value) in values.iter().enumerate() {
        let below = point.saturating_sub(1);
        let above = (point + 1).min(POINTS - 1);
        smoothed[point] += value * (1.0 - part);
        smoothed[below] += value * part / 2.0;
        smoothed[above] += value * part / 2.0;
    }
    smoothed
}

/// Returns for each point the probability of a speed that is greater.
pub(super) fn above(values: &Values) -> Values {
    let mut above = [0.0; POINTS];
    let mut sum = 0.0;
    for point in (0..POINTS).rev() {
        above[point] = sum;
        sum += values[point];
    }
    above
}

/// Returns the distribution whose probabilities above each point are given.
pub(super) fn from_above(above: &Values) -> Values {
    let mut values = [0.0; POINTS];
    let mut before = 1.0;
    for (value, above) in values.iter_mut().zip(above) {
        *value = before - above;
        before = *above;
    }
    values
}
