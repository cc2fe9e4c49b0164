//! Sweeps: one factor after another, each at several sizes, each size measured several times.

mod factor;
mod figures;
mod slopes;

pub use factor::{Factor, UnknownFactor};
use slopes::slopes;
pub use slopes::{Slope, refit};

use crate::ScaleError;
use crate::measurement::{Line, Setup, Stage, Start};
use crate::plan::{Plan, demand};

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
