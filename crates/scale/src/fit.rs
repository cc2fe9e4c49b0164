//! Slopes: a least-squares line with its intercept and largest residual, and whether it predicts a size held
//! out.

use serde::{Deserialize, Serialize};

/// Largest relative error of a held-out prediction at which a slope counts as understood.
pub const UNDERSTOOD: f64 = 0.25;

/// A least-squares line: `figure = intercept + slope * count`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The figure at a count of zero, in the figure's unit.
    pub intercept: f64,
    /// What each further unit of the count adds, in the figure's unit.
    pub slope: f64,
    /// The largest distance of a point from the line, in the figure's unit.
    pub residual: f64,
    /// Points that were fitted.
    pub points: usize,
}

impl Fit {
    /// Fits a line to pairs of count and figure; `None` unless there are two different counts.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let mut fit = Fit { intercept: y - slope * x, slope, residual: 0.0, points: points.len() };
        fit.residual = points.iter().map(|p| (p.1 - fit.at(p.0)).abs()).fold(0.0, f64::max);
        Some(fit)
    }

    /// The figure that the line predicts at a count.
    pub(crate) fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// A fit on the points up to half the largest count, and what it predicts at the largest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldOut {
    /// The line through the points up to half the largest count.
    pub fit: Fit,
    /// The largest count, which was held out of the fit.
    pub count: f64,
    /// The figure that the line predicts at `count`.
    pub foretold: f64,
    /// The median of the figures measured at `count`.
    pub measured: f64,
    /// Distance of prediction and measurement, as a fraction of the measurement.
    pub error: f64,
}

impl HeldOut {
    /// Holds out the largest count; `None` unless two different counts remain up to half of it.
    pub fn of(points: &[(f64, f64)]) -> Option<HeldOut> {
        let largest = points.iter().map(|p| p.0).fold(f64::MIN, f64::max);
        let up_to_half: Vec<_> = points.iter().copied().filter(|p| p.0 <= largest / 2.0).collect();
        let fit = Fit::of(&up_to_half)?;
        let at_largest: Vec<f64> = points.iter().filter(|p| p.0 == largest).map(|p| p.1).collect();
        let measured = Spread::of(&at_largest)?.median;
        let foretold = fit.at(largest);
        let error = match (foretold - measured).abs() {
            0.0 => 0.0,
            off => off / measured.abs(),
        };
        Some(HeldOut { fit, count: largest, foretold, measured, error })
    }

    /// Whether the prediction is within [`UNDERSTOOD`] of the measurement.
    pub fn understood(&self) -> bool {
        self.error <= UNDERSTOOD
    }
}

/// Repeats of one measurement, summarised.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The middle figure, or the mean of the two middle ones.
    pub median: f64,
    /// The smallest figure.
    pub least: f64,
    /// The largest figure.
    pub most: f64,
}

impl Spread {
    /// Summarises repeats; `None` without any.
    pub fn of(figures: &[f64]) -> Option<Spread> {
        let sorted = sorted(figures);
        let (least, most) = (*sorted.first()?, *sorted.last()?);
        let middle = sorted.len() / 2;
        let median =
            if sorted.len() % 2 == 1 { sorted[middle] } else { (sorted[middle - 1] + sorted[middle]) / 2.0 };
        Some(Spread { median, least, most })
    }
}

fn sorted(figures: &[f64]) -> Vec<f64> {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
}

/// Quantiles of durations, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Quantiles {
    /// Quantiles by nearest rank; `None` without any figures.
    pub fn of(figures: &[f64]) -> Option<Quantiles> {
        let sorted = sorted(figures);
        let rank = |part: f64| (part * sorted.len() as f64).ceil().max(1.0) as usize - 1;
        let at = |part: f64| sorted.get(rank(part)).copied();
        Some(Quantiles { p50: at(0.5)?, p99: at(0.99)?, max: *sorted.last()? })
    }
}
