//! How figures grow with a factor's count.

use serde::{Deserialize, Serialize};

use super::factor::{FACTORS, Factor};
use super::figures::{FIGURES, Figure};
use crate::fit::{Fit, HeldOut, Spread};
use crate::measurement::Line;

/// How a figure grows with a factor's count.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// The factor.
    pub factor: Factor,
    /// Name of the figure.
    pub figure: String,
    /// Unit of the figure.
    pub unit: String,
    /// Each count, with the spread of the figure's repeats.
    pub sizes: Vec<(f64, Spread)>,
    /// The line over all counts.
    pub fit: Fit,
    /// What the smaller counts predict at the largest.
    pub held_out: HeldOut,
}

/// The slopes of all figures in a factor, from its lines.
pub(crate) fn slopes(factor: Factor, lines: &[Line]) -> Vec<Slope> {
    FIGURES.iter().filter_map(|figure| slope(factor, figure, lines)).collect()
}

/// The slopes of all factors, from lines that a sweep recorded.
pub fn refit(lines: &[Line]) -> Vec<Slope> {
    let of = |factor: Factor| {
        let own = |line: &&Line| line.point.split_once('=').is_some_and(|(name, _)| name == factor.name());
        lines.iter().filter(own).cloned().collect::<Vec<_>>()
    };
    FACTORS.iter().flat_map(|(_, factor)| slopes(*factor, &of(*factor))).collect()
}

/// The slope of a figure; `None` with too few counts, or where all medians are zero.
fn slope(factor: Factor, figure: &Figure, lines: &[Line]) -> Option<Slope> {
    let own = lines.iter().filter(|line| line.role == figure.role);
    let points: Vec<(f64, f64)> =
        own.filter_map(|line| Some((factor.count(line), (figure.of)(line)?))).collect();
    let mut counts: Vec<f64> = points.iter().map(|point| point.0).collect();
    counts.sort_by(f64::total_cmp);
    counts.dedup();
    let at =
        |count: f64| points.iter().filter(|point| point.0 == count).map(|point| point.1).collect::<Vec<_>>();
    let sizes: Vec<(f64, Spread)> =
        counts.iter().filter_map(|count| Some((*count, Spread::of(&at(*count))?))).collect();
    let medians: Vec<(f64, f64)> = sizes.iter().map(|(count, spread)| (*count, spread.median)).collect();
    let (fit, held_out) = (Fit::of(&medians)?, HeldOut::of(&medians)?);
    // Nothing was there to measure.
    if medians.iter().all(|(_, figure)| *figure == 0.0) {
        return None;
    }
    let (name, unit) = (figure.name.to_string(), figure.unit.to_string());
    Some(Slope { factor, figure: name, unit, sizes, fit, held_out })
}
