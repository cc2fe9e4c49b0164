//! Tables of slopes in Markdown.

use std::fmt::Write as _;

use crate::sweep::Slope;

/// A page with one table of slopes for each factor.
pub(crate) fn slope_tables(slopes: &[Slope]) -> String {
    let mut page = String::new();
    let mut factor = None;
    for slope in slopes {
        if factor.replace(slope.factor) != Some(slope.factor) {
            let sizes: Vec<String> = slope.sizes.iter().map(|(count, _)| format_value(*count)).collect();
            _ = write!(
                page,
                "\n## {}: {}\n\nSlopes are for each {}.\n\n\
                 | figure | unit | intercept | slope | largest residual | held out at | foretold \
                 | measured (least to most) | error | |\n\
                 | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
                slope.factor.name(),
                sizes.join(", "),
                slope.factor.unit()
            );
        }
        let held = &slope.held_out;
        let spread =
            slope.sizes.last().map(|(_, spread)| (format_value(spread.min), format_value(spread.max)));
        let (min, max) = spread.unwrap_or_default();
        _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} | {} | {} ({min} to {max}) | {:.0}% | {} |",
            slope.metric,
            slope.unit,
            format_value(slope.fit.intercept),
            format_value(slope.fit.slope),
            format_value(slope.fit.residual),
            format_value(held.count),
            format_value(held.predicted),
            format_value(held.measured),
            held.error * 100.0,
            if held.is_within_error() { "" } else { "not understood" },
        );
    }
    page
}

/// Formats a value with three significant digits.
fn format_value(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = (2 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{value:.digits$}")
}
