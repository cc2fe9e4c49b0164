//! Slopes as tables in Markdown.

use std::fmt::Write as _;

use crate::sweep::Slope;

/// Tables of slopes, one for each factor.
pub(crate) fn slope_tables(slopes: &[Slope]) -> String {
    let mut page = String::new();
    let mut factor = None;
    for slope in slopes {
        if factor.replace(slope.factor) != Some(slope.factor) {
            let sizes: Vec<String> = slope.sizes.iter().map(|(count, _)| figure(*count)).collect();
            _ = write!(
                page,
                "\n## {}: {}\n\nSlopes are for each {}.\n\n\
                 | figure | unit | intercept | slope | largest residual | held out at | foretold | measured (least to most) | error | |\n\
                 | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
                slope.factor.name(),
                sizes.join(", "),
                slope.factor.unit()
            );
        }
        let held = &slope.held_out;
        let spread = slope.sizes.last().map(|(_, spread)| (figure(spread.least), figure(spread.most)));
        let (least, most) = spread.unwrap_or_default();
        _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} | {} | {} ({least} to {most}) | {:.0}% | {} |",
            slope.figure,
            slope.unit,
            figure(slope.fit.intercept),
            figure(slope.fit.slope),
            figure(slope.fit.residual),
            figure(held.count),
            figure(held.foretold),
            figure(held.measured),
            held.error * 100.0,
            if held.understood() { "" } else { "not understood" },
        );
    }
    page
}

/// Three digits that count.
fn figure(figure: f64) -> String {
    if figure == 0.0 || !figure.is_finite() {
        return format!("{figure}");
    }
    let digits = (2 - figure.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{figure:.digits$}")
}
