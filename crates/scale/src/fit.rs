//! Least-squares fits with their intercept and largest residual, their check against a size that was held
//! out, and summaries of measured values.

use serde::{Deserialize, Serialize};

/// Largest relative error of the prediction for the size that was held out. With a larger error the slope
/// counts as not understood.
pub const MAX_PREDICTION_ERROR: f64 = 0.25;

/// A least-squares line: `value = intercept + slope * count`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value at a count of zero, in the metric's unit.
    pub intercept: f64,
    /// The increase of the value with each unit of the count, in the metric's unit.
    pub slope: f64,
    /// The largest distance of a point from the line, in the metric's unit.
    pub residual: f64,
    /// Number of points that were fitted.
    pub points: usize,
}

impl Fit {
    /// Fits a line to pairs of count and value; `None` unless there are at least two different counts.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let n = points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
        let mut fit = Fit { intercept: y - slope * x, slope, residual: 0.0, points: points.len() };
        fit.residual = points.iter().map(|p| (p.1 - fit.predict(p.0)).abs()).fold(0.0, f64::max);
        Some(fit)
    }

    /// The value that the line predicts at a count.
    pub(crate) fn predict(&self, count: f64) -> f64 {
        self.intercept + self.slope * count
    }
}

/// A fit of the points up to half the largest count, and its prediction at the largest count.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldOut {
    /// The line through the points up to half the largest count.
    pub fit: Fit,
    /// The largest count, which was held out of the fit.
    pub count: f64,
    /// The value that the line predicts at `count`.
    #[serde(rename = "foretold")]
    pub predicted: f64,
    /// The median of the values that were measured at `count`.
    pub measured: f64,
    /// Distance between the prediction and the measured value, as a fraction of the measured value.
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
        let predicted = fit.predict(largest);
        let error = match (predicted - measured).abs() {
            0.0 => 0.0,
            distance => distance / measured.abs(),
        };
        Some(HeldOut { fit, count: largest, predicted, measured, error })
    }

    /// Whether the prediction is within [`MAX_PREDICTION_ERROR`] of the measurement.
    pub fn is_within_error(&self) -> bool {
        self.error <= MAX_PREDICTION_ERROR
    }
}

/// Summary of the repeats of one measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The middle value, or the mean of the two middle ones.
    pub median: f64,
    /// The smallest value.
    #[serde(rename = "least")]
    pub min: f64,
    /// The largest value.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Spread {
    /// Summarises repeats; `None` if there are none.
    pub fn of(values: &[f64]) -> Option<Spread> {
        let sorted = sorted(values);
        let (min, max) = (*sorted.first()?, *sorted.last()?);
        let middle = sorted.len() / 2;
        let median =
            if sorted.len() % 2 == 1 { sorted[middle] } else { (sorted[middle - 1] + sorted[middle]) / 2.0 };
        Some(Spread { median, min, max })
    }
}

fn sorted(values: &[f64]) -> Vec<f64> {
    let mut sorted = values.to_vec();
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
    /// The largest value.
    pub max: f64,
}

impl Quantiles {
    /// Quantiles by nearest rank; `None` if there are no values.
    pub fn of(values: &[f64]) -> Option<Quantiles> {
        let sorted = sorted(values);
        let rank = |fraction: f64| (fraction * sorted.len() as f64).ceil().max(1.0) as usize - 1;
        let quantile = |fraction: f64| sorted.get(rank(fraction)).copied();
        Some(Quantiles { p50: quantile(0.5)?, p99: quantile(0.99)?, max: *sorted.last()? })
    }
}
