//! Charts of slopes.

use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, PathElement, SVGBackend, WHITE,
};

use crate::fit::Fit;
use crate::sweep::Slope;

/// Draws a metric's medians and spreads over the counts, with the fit of all counts and the fit that held out
/// the largest.
pub(super) fn draw_chart(file: &Path, slope: &Slope) -> Result<(), Box<dyn std::error::Error>> {
    let max_count = slope.sizes.iter().map(|(count, _)| *count).fold(0.0, f64::max) * 1.05;
    let max = slope.sizes.iter().map(|(_, spread)| spread.max).fold(slope.held_out.predicted, f64::max);
    let min = slope.sizes.iter().map(|(_, spread)| spread.min).fold(0.0, f64::min);
    let root = SVGBackend::new(file, (640, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} ({})", slope.metric, slope.unit), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_count, min..(max * 1.1).max(f64::MIN_POSITIVE))?;
    chart.configure_mesh().light_line_style(WHITE).x_desc(slope.factor.name()).draw()?;
    let line = |fit: Fit| [(0.0, fit.predict(0.0)), (max_count, fit.predict(max_count))];
    // First the fit of all sizes, then the fit that held out the largest.
    chart.draw_series(LineSeries::new(line(slope.fit), &BLUE))?;
    chart.draw_series(LineSeries::new(line(slope.held_out.fit), BLACK.mix(0.3)))?;
    let bars = slope
        .sizes
        .iter()
        .map(|(count, spread)| PathElement::new(vec![(*count, spread.min), (*count, spread.max)], BLACK));
    chart.draw_series(bars)?;
    chart.draw_series(
        slope.sizes.iter().map(|(count, spread)| Circle::new((*count, spread.median), 3, BLACK.filled())),
    )?;
    root.present()?;
    Ok(())
}
