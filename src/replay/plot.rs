//! Charts of a replay: accelerators by account above, fragmentation below.

use std::path::Path;

use plotters::prelude::*;

use crate::replay::engine::Sample;

/// The size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (1200, 700);
/// The height of the upper chart, in pixels.
const UPPER_HEIGHT: u32 = 450;
/// The maximum number of points of a line.
const MAX_POINTS: usize = 2000;

/// A chart that cannot be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{path}: the chart cannot be drawn: {reason}")]
pub struct Error {
    path: String,
    reason: String,
}

/// Writes a chart of `samples` to an SVG file.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw(
    path: &Path,
    accounts: &[String],
    samples: &[Sample],
) -> Result<(), Error> {
    try_draw(path, accounts, samples).map_err(|source| Error {
        path: path.display().to_string(),
        reason: source.to_string(),
    })
}

fn try_draw(
    path: &Path,
    accounts: &[String],
    samples: &[Sample],
) -> Result<(), Box<dyn std::error::Error>> {
    let every = samples.len().div_ceil(MAX_POINTS).max(1);
    let samples: Vec<&Sample> = samples.iter().step_by(every).collect();
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(UPPER_HEIGHT);
    let end = samples.last().map(|sample| sample.at).unwrap_or(1.0);
    // Areas are drawn from the topmost account down, each up to the sum of its
    // own accelerators and those of the accounts below it.
    let stacked = |sample: &Sample, to: usize| {
        f64::from(sample.used[..=to].iter().sum::<u32>())
    };
    let top = samples
        .iter()
        .map(|sample| f64::from(sample.used.iter().sum::<u32>()))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&upper)
        .caption("accelerators in use, by client account", ("sans", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.05)?;
    chart.configure_mesh().draw()?;
    for (index, account) in accounts.iter().enumerate().rev() {
        let color = Palette99::pick(index).to_rgba();
        let line = samples.iter().map(|s| (s.at, stacked(s, index)));
        chart
            .draw_series(AreaSeries::new(line, 0.0, color))?
            .label(account)
            .legend(move |(x, y)| {
                Rectangle::new([(x, y - 4), (x + 8, y + 4)], color.filled())
            });
    }
    chart.configure_series_labels().draw()?;
    let mut chart = ChartBuilder::on(&lower)
        .caption("fragmentation", ("sans", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..1.0)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let line = samples.iter().map(|s| (s.at, s.fragmentation));
    chart.draw_series(LineSeries::new(line, &RED))?;
    root.present()?;
    Ok(())
}
