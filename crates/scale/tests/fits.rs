//! Fits, summaries and slopes of hand-made points.

use std::collections::BTreeMap;

use umbertray_scale::fit::{Fit, HeldOut, Quantiles, Spread};
use umbertray_scale::hollow::AppliedVersion;
use umbertray_scale::measurement::{Line, apply_delays};
use umbertray_scale::sweep::refit;

fn line(intercept: f64, slope: f64, counts: &[f64]) -> Vec<(f64, f64)> {
    counts.iter().map(|count| (*count, intercept + slope * count)).collect()
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-9, "{actual} is not {expected}");
}

#[test]
fn fit_of_exact_line_recovers_it() {
    let fit = Fit::of(&line(3.5, 0.25, &[250.0, 500.0, 1000.0, 2000.0, 4000.0])).expect("five points");
    assert_near(fit.intercept, 3.5);
    assert_near(fit.slope, 0.25);
    assert_near(fit.residual, 0.0);
    assert_eq!(fit.points, 5);
}

#[test]
fn fit_of_scattered_points_residual_is_largest_distance() {
    // The fitted line is y = 1 + x. The outer points are 0.5 away from it, the middle one 1.
    let fit = Fit::of(&[(0.0, 1.5), (1.0, 1.0), (2.0, 3.5)]).expect("three points");
    assert_near(fit.slope, 1.0);
    assert_near(fit.intercept, 1.0);
    assert_near(fit.residual, 1.0);
}

#[test]
fn fit_of_one_count_is_none() {
    assert_eq!(Fit::of(&[]), None);
    assert_eq!(Fit::of(&[(4.0, 1.0)]), None);
    assert_eq!(Fit::of(&[(4.0, 1.0), (4.0, 2.0)]), None);
}

#[test]
fn held_out_largest_is_predicted_from_points_up_to_half() {
    let counts = [250.0, 500.0, 1000.0, 2000.0, 4000.0];
    let held = HeldOut::of(&line(2.0, 0.01, &counts)).expect("four points below");
    assert_eq!((held.count, held.fit.points), (4000.0, 4));
    assert_near(held.predicted, 42.0);
    assert_near(held.error, 0.0);
    assert!(held.is_within_error());
    // Squares are far from any line.
    let squares: Vec<_> = counts.iter().map(|count| (*count, count * count)).collect();
    let held = HeldOut::of(&squares).expect("four points below");
    assert!(held.error > 0.25 && !held.is_within_error());
    // The held-out point has no influence on its own prediction.
    let mut bent = line(2.0, 0.01, &counts);
    bent[4].1 = 84.0;
    let held = HeldOut::of(&bent).expect("four points below");
    assert_near(held.predicted, 42.0);
    assert_near(held.error, 0.5);
    bent[4].1 = 42.0 / 1.25;
    assert!(HeldOut::of(&bent).expect("four points below").is_within_error());
}

#[test]
fn held_out_without_two_counts_up_to_half_is_none() {
    assert_eq!(HeldOut::of(&line(0.0, 1.0, &[600.0, 800.0, 1000.0])), None);
}

#[test]
fn spread_of_repeats_has_median_and_ends() {
    assert_eq!(Spread::of(&[]), None);
    let spread = Spread::of(&[3.0, 1.0, 2.0]).expect("three");
    assert_eq!((spread.median, spread.min, spread.max), (2.0, 1.0, 3.0));
    assert_eq!(Spread::of(&[4.0, 1.0, 2.0, 3.0]).expect("four").median, 2.5);
}

#[test]
fn quantiles_of_figures_are_nearest_ranks() {
    assert_eq!(Quantiles::of(&[]), None);
    let hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    let quantiles = Quantiles::of(&hundred).expect("a hundred");
    assert_eq!((quantiles.p50, quantiles.p99, quantiles.max), (50.0, 99.0, 100.0));
    let one = Quantiles::of(&[7.0]).expect("one");
    assert_eq!((one.p50, one.p99, one.max), (7.0, 7.0, 7.0));
}

/// The delay of a change ends when a gateway applies it or a later one.
#[test]
fn apply_delays_later_version_counts_for_earlier_changes() {
    let committed = BTreeMap::from([(2, 1_000_000), (3, 2_000_000), (4, 2_100_000)]);
    let applied = |gateway, version, at| AppliedVersion { gateway, version, at };
    let all = [
        applied(1, 1, 0),
        applied(1, 2, 1_500_000),
        // Applies versions 3 and 4 at once.
        applied(1, 4, 2_200_000),
        applied(2, 4, 2_600_000),
        applied(2, 3, 2_300_000),
        applied(2, 2, 1_100_000),
    ];
    // 0.5, 0.2 and 0.1 s at gateway 1; 0.1, 0.3 and 0.5 s at gateway 2.
    let delays = apply_delays(&committed, &all).expect("six delays");
    assert_near(delays.p50, 0.2);
    assert_near(delays.max, 0.5);
}

/// A line of hollow gateways, as a sweep records it.
fn recorded_line(point: &str, repeat: u32, stores: u32, core: f64) -> Line {
    serde_json::from_value(serde_json::json!({
        "point": point, "repeat": repeat, "gateways": 4, "stores": stores, "answering": 0, "volumes": 1,
        "hollow": 4, "processes": 1, "seconds": 1.0, "changes_per_second": 0.0, "restarts_per_hour": 0.0,
        "start_seconds": 0.0, "start_bytes": 0.0, "idle_core_percent": core, "rss_mb": 0.0,
        "rss_total_mb": 0.0, "control_bytes_per_second": 0.0, "list_bytes_per_second": 0.0,
        "link_bytes_per_second": 0.0, "turns_per_second": 0.0, "changes": 0, "restarts": 0, "load": 0.0,
        "broken": [],
    }))
    .expect("a line")
}

#[test]
fn refit_of_repeats_fits_medians_and_skips_metrics_that_are_zero() {
    let mut lines = Vec::new();
    for (number, stores) in [250, 500, 1000, 2000, 4000].into_iter().enumerate() {
        for (repeat, off) in [-0.5, 0.0, 9.0].into_iter().enumerate() {
            let core = 2.0 + f64::from(stores) / 1000.0 + off;
            lines.push(recorded_line(&format!("stores={number}"), repeat as u32, stores, core));
        }
    }
    // Lines of another sweep and of a single size do not affect the fit.
    lines.push(recorded_line("gateways=0", 0, 9, 1.0));
    lines.push(recorded_line("one", 0, 9, 1.0));
    let slopes = refit(&lines);
    let names: Vec<&str> = slopes.iter().map(|slope| slope.metric.as_str()).collect();
    assert_eq!(names, ["gateway, core", "all gateways, core"]);
    assert_near(slopes[0].fit.intercept, 2.0);
    assert_near(slopes[0].fit.slope, 0.001);
    assert_eq!(slopes[0].sizes.len(), 5);
    let (count, spread) = slopes[0].sizes[4];
    assert_eq!((count, spread.min, spread.median, spread.max), (4000.0, 5.5, 6.0, 15.0));
    assert_near(slopes[0].held_out.predicted, 6.0);
    assert_near(slopes[1].fit.slope, 0.004);
}
