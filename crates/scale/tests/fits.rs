//! Slopes over points made by hand.

use std::collections::BTreeMap;

use umbertray_scale::fit::{Fit, HeldOut, Quantiles, Spread};
use umbertray_scale::hollow::Acted;
use umbertray_scale::point::{Line, spans};
use umbertray_scale::sweep::refit;

fn line(intercept: f64, slope: f64, counts: &[f64]) -> Vec<(f64, f64)> {
    counts.iter().map(|count| (*count, intercept + slope * count)).collect()
}

fn near(one: f64, other: f64) {
    assert!((one - other).abs() < 1e-9, "{one} is not {other}");
}

#[test]
fn fit_of_exact_line_recovers_it() {
    let fit = Fit::of(&line(3.5, 0.25, &[250.0, 500.0, 1000.0, 2000.0, 4000.0])).expect("five points");
    near(fit.intercept, 3.5);
    near(fit.slope, 0.25);
    near(fit.residual, 0.0);
    assert_eq!(fit.points, 5);
}

#[test]
fn fit_of_scattered_points_residual_is_largest_distance() {
    // The line through these is y = 1 + x, each off by a half but the middle one by one.
    let fit = Fit::of(&[(0.0, 1.5), (1.0, 1.0), (2.0, 3.5)]).expect("three points");
    near(fit.slope, 1.0);
    near(fit.intercept, 1.0);
    near(fit.residual, 1.0);
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
    near(held.foretold, 42.0);
    near(held.error, 0.0);
    assert!(held.understood());
    // A square is a line nowhere.
    let squares: Vec<_> = counts.iter().map(|count| (*count, count * count)).collect();
    let held = HeldOut::of(&squares).expect("four points below");
    assert!(held.error > 0.25 && !held.understood());
    // The one held out does not help to foretell itself.
    let mut bent = line(2.0, 0.01, &counts);
    bent[4].1 = 84.0;
    let held = HeldOut::of(&bent).expect("four points below");
    near(held.foretold, 42.0);
    near(held.error, 0.5);
    bent[4].1 = 42.0 / 1.25;
    assert!(HeldOut::of(&bent).expect("four points below").understood());
}

#[test]
fn held_out_without_two_counts_up_to_half_is_none() {
    assert_eq!(HeldOut::of(&line(0.0, 1.0, &[600.0, 800.0, 1000.0])), None);
}

#[test]
fn spread_of_repeats_has_median_and_ends() {
    assert_eq!(Spread::of(&[]), None);
    let spread = Spread::of(&[3.0, 1.0, 2.0]).expect("three");
    assert_eq!((spread.median, spread.least, spread.most), (2.0, 1.0, 3.0));
    assert_eq!(Spread::of(&[4.0, 1.0, 2.0, 3.0]).expect("four").median, 2.5);
}

#[test]
fn quantiles_of_figures_are_nearest_ranks() {
    assert_eq!(Quantiles::of(&[]), None);
    let hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    let of = Quantiles::of(&hundred).expect("a hundred");
    assert_eq!((of.p50, of.p99, of.max), (50.0, 99.0, 100.0));
    let one = Quantiles::of(&[7.0]).expect("one");
    assert_eq!((one.p50, one.p99, one.max), (7.0, 7.0, 7.0));
}

/// Seconds from each commit until each gateway had acted on it or a later one.
#[test]
fn spans_later_version_acted_on_counts_for_earlier_changes() {
    let committed = BTreeMap::from([(2, 1_000_000), (3, 2_000_000), (4, 2_100_000)]);
    let acted = |gateway, version, at| Acted { gateway, version, at };
    let all = [
        acted(1, 1, 0),
        acted(1, 2, 1_500_000),
        // Two at once.
        acted(1, 4, 2_200_000),
        acted(2, 4, 2_600_000),
        acted(2, 3, 2_300_000),
        acted(2, 2, 1_100_000),
    ];
    // 0.5, 0.2, 0.1 and 0.1, 0.3, 0.5.
    let spans = spans(&committed, &all).expect("six spans");
    near(spans.p50, 0.2);
    near(spans.max, 0.5);
}

/// A line as a sweep keeps it, of hollow gateways.
fn kept(point: &str, repeat: u32, stores: u32, core: f64) -> Line {
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
fn refit_of_repeats_fits_medians_and_skips_zero_figures() {
    let mut lines = Vec::new();
    for (number, stores) in [250, 500, 1000, 2000, 4000].into_iter().enumerate() {
        for (repeat, off) in [-0.5, 0.0, 9.0].into_iter().enumerate() {
            let core = 2.0 + f64::from(stores) / 1000.0 + off;
            lines.push(kept(&format!("stores={number}"), repeat as u32, stores, core));
        }
    }
    // Of another sweep, and of a single size.
    lines.push(kept("gateways=0", 0, 9, 1.0));
    lines.push(kept("one", 0, 9, 1.0));
    let slopes = refit(&lines);
    let names: Vec<&str> = slopes.iter().map(|slope| slope.figure.as_str()).collect();
    assert_eq!(names, ["gateway, core", "all gateways, core"]);
    near(slopes[0].fit.intercept, 2.0);
    near(slopes[0].fit.slope, 0.001);
    assert_eq!(slopes[0].sizes.len(), 5);
    let (count, spread) = slopes[0].sizes[4];
    assert_eq!((count, spread.least, spread.median, spread.most), (4000.0, 5.5, 6.0, 15.0));
    near(slopes[0].held_out.foretold, 6.0);
    near(slopes[1].fit.slope, 0.004);
}
