//! Charts the differences between policies.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::compare::Mean;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);
/// Length of an error bar to each side, in standard errors.
const STANDARD_ERRORS: f64 = 2.0;

/// Draws each policy's difference from the first one, with error bars of two
/// standard errors, into an SVG file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw_differences(
    path: &Path,
    policies: &[(String, Mean)],
) -> eyre::Result<()> {
    let extent = |(_, m): &(String, Mean)| {
        m.mean.abs() + STANDARD_ERRORS * m.standard_error
    };
    let max = policies.iter().map(extent).fold(0.01, f64::max) * 1.1;
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    let failed = |error| eyre!("{}: {error}", path.display());
    root.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .caption("share earned, against the first way", ("sans-serif", 18))
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.5..policies.len() as f64 - 0.5, -max..max)
        .map_err(|e| failed(e.to_string()))?;
    let name = |at: &f64| {
        let policy = policies.get(at.round().max(0.0) as usize);
        policy.map_or_else(String::new, |(name, _)| name.clone())
    };
    chart
        .configure_mesh()
        .x_label_formatter(&name)
        .x_labels(policies.len())
        .draw()
        .map_err(|e| failed(e.to_string()))?;
    let lines = policies.iter().enumerate().map(|(at, (_, m))| {
        let (at, error) = (at as f64, STANDARD_ERRORS * m.standard_error);
        let ends = vec![(at, m.mean - error), (at, m.mean + error)];
        PathElement::new(ends, BLUE)
    });
    let means = policies.iter().enumerate();
    let means = means.map(|(at, (_, m))| {
        Circle::new((at as f64, m.mean), 5, BLUE.filled())
    });
    chart
        .draw_series(lines)
        .map_err(|e| failed(e.to_string()))?;
    chart
        .draw_series(means)
        .map_err(|e| failed(e.to_string()))?;
    root.present().map_err(|e| failed(e.to_string()))
}
