//! Sizes of one factor after another, each measured some times, and the slopes of all figures in each.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ScaleError;
use crate::fit::{Fit, HeldOut, Spread};
use crate::plan::{Plan, demand};
use crate::point::{Line, Role, Setup, Stage, Start};

/// Hollow gateways at most where another factor than gateways is swept.
const FEW: u32 = 40;
/// Stores at most that accept connections where another factor than stores is swept.
const ANSWERING: u32 = 8;

/// What a sweep makes larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Factor {
    /// Stores that the list names, all of them answering.
    Stores,
    /// Hollow gateways.
    Gateways,
    /// Changes of the configuration a second.
    Changes,
    /// Restarts of gateways an hour.
    Restarts,
    /// Volumes of the configuration.
    Volumes,
}

/// All factors, with their names on the command line and in files.
pub(crate) const FACTORS: [(&str, Factor); 5] = [
    ("stores", Factor::Stores),
    ("gateways", Factor::Gateways),
    ("changes", Factor::Changes),
    ("restarts", Factor::Restarts),
    ("volumes", Factor::Volumes),
];

impl FromStr for Factor {
    type Err = String;

    fn from_str(text: &str) -> Result<Factor, String> {
        let known = FACTORS.iter().find(|(name, _)| *name == text);
        let names = FACTORS.map(|(name, _)| name).join(", ");
        known.map(|(_, factor)| *factor).ok_or_else(|| format!("{text:?} is none of {names}"))
    }
}

impl Factor {
    /// The name on the command line and in files.
    pub fn name(self) -> &'static str {
        FACTORS.iter().find(|(_, factor)| *factor == self).map_or("", |(name, _)| name)
    }

    /// One unit of its count.
    pub(crate) fn unit(self) -> &'static str {
        match self {
            Factor::Stores => "store listed",
            Factor::Gateways => "gateway",
            Factor::Changes => "change a second",
            Factor::Restarts => "restart an hour in the fleet",
            Factor::Volumes => "volume",
        }
    }

    /// Its count in a line.
    pub(crate) fn count(self, line: &Line) -> f64 {
        match self {
            Factor::Stores => line.stores.into(),
            Factor::Gateways => line.gateways.into(),
            Factor::Changes => line.changes_per_second,
            Factor::Restarts => line.restarts_per_hour,
            Factor::Volumes => line.volumes.into(),
        }
    }

    /// The sizes at which it is measured, up to its size in `most`; all else is small or as in `most`.
    pub fn plans(self, most: &Plan) -> Vec<Plan> {
        let small = Plan {
            gateways: most.gateways.min(FEW) + most.real,
            stores: most.stores.min(1000),
            answering: Some(most.stores.min(ANSWERING)),
            changes_per_second: 0.0,
            restarts_per_hour: 0.0,
            ..most.clone()
        };
        let halves = |most: u32, times: u32| (0..times).rev().map(move |n| (most >> n).max(1));
        let mut plans: Vec<Plan> = match self {
            // Each of its stores answers: a gateway holds a link to each that the list names.
            Factor::Stores => {
                let of = |stores| Plan {
                    gateways: 3 + most.real,
                    stores,
                    answering: Some(stores),
                    ..small.clone()
                };
                halves(most.stores, 5).map(of).collect()
            }
            Factor::Gateways => {
                let of = |gateways: u32| Plan { gateways: gateways.max(most.real + 1), ..small.clone() };
                halves(most.gateways, 6).map(of).collect()
            }
            Factor::Changes => {
                let of = |rate| Plan { changes_per_second: rate, ..small.clone() };
                [0.5, 1.0, 2.0, 4.0, 8.0].map(of).into()
            }
            Factor::Restarts => {
                let of = |rate| Plan { restarts_per_hour: rate, ..small.clone() };
                [1800.0, 3600.0, 7200.0, 14_400.0, 28_800.0].map(of).into()
            }
            Factor::Volumes => {
                let of = |volumes| Plan { volumes, ..small.clone() };
                halves(most.volumes.max(1600), 5).map(of).collect()
            }
        };
        plans.dedup();
        plans
    }
}

/// A figure that is read from lines.
pub(crate) struct Figure {
    /// Its name in tables, charts and files.
    pub(crate) name: &'static str,
    /// Its unit.
    pub(crate) unit: &'static str,
    /// The role whose lines have it; `None` for the hollow gateways.
    role: Option<Role>,
    /// Reads it from a line.
    of: fn(&Line) -> Option<f64>,
}

macro_rules! figure {
    ($name:literal, $unit:literal, $role:expr, $of:expr) => {
        Figure { name: $name, unit: $unit, role: $role, of: $of }
    };
}

/// The figures that get a slope in each factor. Those of gateways are for each hollow gateway, except where
/// the name says all or real.
pub(crate) const FIGURES: [Figure; 21] = [
    figure!("gateway, core", "% of a core", None, |line| Some(line.idle_core_percent)),
    figure!("gateway, memory", "MB", None, |line| Some(line.rss_mb)),
    figure!("gateway, control", "B/s", None, |line| Some(line.control_bytes_per_second)),
    figure!("gateway, control by the list", "B/s", None, |line| Some(line.list_bytes_per_second)),
    figure!("gateway, control by links", "B/s", None, |line| Some(line.link_bytes_per_second)),
    figure!("gateway, start", "bytes", None, |line| Some(line.start_bytes)),
    figure!("gateway, turns", "1/s", None, |line| Some(line.turns_per_second)),
    figure!("all gateways, core", "% of a core", None, |line| Some(
        line.idle_core_percent * f64::from(line.hollow)
    )),
    figure!("all gateways, memory", "MB", None, |line| Some(line.rss_total_mb)),
    figure!("all gateways, start", "s", None, |line| Some(line.start_seconds)),
    figure!("in force, median", "s", None, |line| line.in_force_seconds.map(|spans| spans.p50)),
    figure!("in force, 99 of 100", "s", None, |line| line.in_force_seconds.map(|spans| spans.p99)),
    figure!("in force, longest", "s", None, |line| line.in_force_seconds.map(|spans| spans.max)),
    figure!("real gateway, core", "% of a core", Some(Role::Gateway), |line| Some(line.idle_core_percent)),
    figure!("real gateway, memory", "MB", Some(Role::Gateway), |line| Some(line.rss_mb)),
    figure!("all stores, core", "% of a core", Some(Role::Store), |line| Some(line.idle_core_percent)),
    figure!("list, core", "% of a core", Some(Role::List), |line| Some(line.idle_core_percent)),
    figure!("list, memory", "MB", Some(Role::List), |line| Some(line.rss_mb)),
    figure!("list, control", "B/s", Some(Role::List), |line| Some(line.control_bytes_per_second)),
    figure!("keeper, core", "% of a core", Some(Role::Keeper), |line| Some(line.idle_core_percent)),
    figure!("keeper, memory", "MB", Some(Role::Keeper), |line| Some(line.rss_mb)),
];

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

/// Measures a plan once.
///
/// # Errors
/// [`ScaleError`] if the plan is rejected, or a process cannot be started or does not follow its orders.
pub async fn once(plan: &Plan, setup: &Setup, point: &str, repeat: u32) -> Result<Vec<Line>, ScaleError> {
    tracing::info!(point, repeat, "starting");
    let name = format!("{point}-{repeat}").replace('=', "-");
    let mut stage = Stage::start(plan, setup, Start::OneByOne, &name).await?;
    let mut lines = stage.measure(point, repeat).await?;
    let ill = stage.end().await;
    if let Some(first) = lines.first_mut() {
        first.broken.extend(ill);
    }
    // Its logs stay where something went wrong.
    if lines.iter().all(|line| line.broken.is_empty()) {
        _ = std::fs::remove_dir_all(setup.scratch.join(name));
    }
    Ok(lines)
}

/// Sweeps each factor by itself; `each` receives every line as it is measured. All plans are checked before
/// the first is started.
///
/// # Errors
/// [`ScaleError`] if a plan is rejected, or a process cannot be started or does not follow its orders.
pub async fn sweep(
    factors: &[Factor],
    most: &Plan,
    repeats: u32,
    setup: &Setup,
    each: &mut (dyn FnMut(&Line) + Send),
) -> Result<Vec<Slope>, ScaleError> {
    let all: Vec<(Factor, Vec<Plan>)> = factors.iter().map(|factor| (*factor, factor.plans(most))).collect();
    for plan in all.iter().flat_map(|(_, plans)| plans) {
        demand(plan, &setup.limits)?;
    }
    let mut found = Vec::new();
    for (factor, plans) in all {
        let mut lines = Vec::new();
        for repeat in 0..repeats {
            for (number, plan) in plans.iter().enumerate() {
                let point = format!("{}={number}", factor.name());
                let plan = Plan { seed: plan.seed + u64::from(repeat), ..plan.clone() };
                let more = once(&plan, setup, &point, repeat).await?;
                more.iter().for_each(&mut *each);
                lines.extend(more);
            }
        }
        found.extend(slopes(factor, &lines));
    }
    Ok(found)
}
