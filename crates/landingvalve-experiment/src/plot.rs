//! A chart of what ways differ by.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::compare::Mean;

/// How wide and high a chart is, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// How many standard errors a bar shows to each side.
const ERRORS: f64 = 2.0;

/// Draws each way's difference from the first, with two standard errors.
///
/// # Errors
///
/// If the file cannot be written.
pub fn differences(path: &Path, ways: &[(String, Mean)]) -> eyre::Result<()> {
    let reach = |(_, m): &(String, Mean)| m.mean.abs() + ERRORS * m.error;
    let most = ways.iter().map(reach).fold(0.01, f64::max) * 1.1;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error| eyre!("{}: {error}", path.display());
    root.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .caption("share earned, against the first way", ("sans-serif", 18))
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-0.5..ways.len() as f64 - 0.5, -most..most)
        .map_err(|e| failed(e.to_string()))?;
    let name = |at: &f64| {
        let way = ways.get(at.round().max(0.0) as usize);
        way.map_or_else(String::new, |(name, _)| name.clone())
    };
    chart
        .configure_mesh()
        .x_label_formatter(&name)
        .x_labels(ways.len())
        .draw()
        .map_err(|e| failed(e.to_string()))?;
    let lines = ways.iter().enumerate().map(|(at, (_, m))| {
        let (at, off) = (at as f64, ERRORS * m.error);
        let ends = vec![(at, m.mean - off), (at, m.mean + off)];
        PathElement::new(ends, BLUE)
    });
    let means = ways.iter().enumerate();
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
