//! Slopes: how metrics grow with a factor's count.

use serde::{Deserialize, Serialize};

use super::factor::{FACTORS, Factor};
use super::metrics::{METRICS, Metric};
use crate::fit::{Fit, HeldOut, Spread};
use crate::measurement::Line;

/// The growth of a metric with a factor's count.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// The factor.
    pub factor: Factor,
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: String,
    /// Unit of the metric.
    pub unit: String,
    /// Each count, with the spread of the metric over the repeats.
    pub sizes: Vec<(f64, Spread)>,
    /// The line that is fitted to all counts.
    pub fit: Fit,
    /// The prediction for the largest count from the smaller ones.
    pub held_out: HeldOut,
}

/// The slopes of all metrics in a factor, computed from the factor's lines.
pub(crate) fn slopes(factor: Factor, lines: &[Line]) -> Vec<Slope> {
    METRICS.iter().filter_map(|metric| slope(factor, metric, lines)).collect()
}

/// Computes the slopes of all factors again from the lines that sweeps recorded. Lines of a single size are
/// ignored.
pub fn refit(lines: &[Line]) -> Vec<Slope> {
    let lines_of = |factor: Factor| {
        let is_of_factor =
            |line: &&Line| line.point.split_once('=').is_some_and(|(name, _)| name == factor.name());
        lines.iter().filter(is_of_factor).cloned().collect::<Vec<_>>()
    };
    FACTORS.iter().flat_map(|(_, factor)| slopes(*factor, &lines_of(*factor))).collect()
}

/// The slope of a metric; `None` if there are too few counts, or if all medians are zero.
fn slope(factor: Factor, metric: &Metric, lines: &[Line]) -> Option<Slope> {
    let role_lines = lines.iter().filter(|line| line.role == metric.role);
    let points: Vec<(f64, f64)> =
        role_lines.filter_map(|line| Some((factor.count(line), (metric.value)(line)?))).collect();
    let mut counts: Vec<f64> = points.iter().map(|point| point.0).collect();
    counts.sort_by(f64::total_cmp);
    counts.dedup();
    let values_at =
        |count: f64| points.iter().filter(|point| point.0 == count).map(|point| point.1).collect::<Vec<_>>();
    let sizes: Vec<(f64, Spread)> =
        counts.iter().filter_map(|count| Some((*count, Spread::of(&values_at(*count))?))).collect();
    let medians: Vec<(f64, f64)> = sizes.iter().map(|(count, spread)| (*count, spread.median)).collect();
    let (fit, held_out) = (Fit::of(&medians)?, HeldOut::of(&medians)?);
    // The metric does not exist in these lines.
    if medians.iter().all(|(_, median)| *median == 0.0) {
        return None;
    }
    let (name, unit) = (metric.name.to_string(), metric.unit.to_string());
    Some(Slope { factor, metric: name, unit, sizes, fit, held_out })
}
