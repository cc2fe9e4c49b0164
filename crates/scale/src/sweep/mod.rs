//! Sweeps: measure one factor after another at several sizes, and each size several times.

mod factor;
mod metrics;
mod slopes;

pub use factor::{Factor, UnknownFactor};
use slopes::slopes;
pub use slopes::{Slope, refit};

use crate::ScaleError;
use crate::measurement::{Line, Setup, Start, Testbed};
use crate::plan::{Plan, check_demand};

/// Starts a plan's fleet, measures it once and ends it.
///
/// # Errors
/// [`ScaleError`] if the plan is rejected, a process cannot be started, or a worker process does not execute
/// a command.
pub async fn measure_once(
    plan: &Plan,
    setup: &Setup,
    point: &str,
    repeat: u32,
) -> Result<Vec<Line>, ScaleError> {
    tracing::info!(point, repeat, "measurement started");
    let name = format!("{point}-{repeat}").replace('=', "-");
    let mut testbed = Testbed::start(plan, setup, Start::OneByOne, &name).await?;
    let mut lines = testbed.measure(point, repeat).await?;
    let failures = testbed.stop().await;
    if let Some(first) = lines.first_mut() {
        first.broken.extend(failures);
    }
    // The logs are kept if a property did not hold.
    if lines.iter().all(|line| line.broken.is_empty()) {
        _ = std::fs::remove_dir_all(setup.scratch.join(name));
    }
    Ok(lines)
}

/// Sweeps one factor at a time, with the plans of [`Factor::plans`]. `each` receives every line as soon as it
/// is measured. All plans are checked before the first fleet is started.
///
/// # Errors
/// [`ScaleError`] if a plan is rejected, a process cannot be started, or a worker process does not execute a
/// command.
pub async fn sweep(
    factors: &[Factor],
    largest: &Plan,
    repeats: u32,
    setup: &Setup,
    each: &mut (dyn FnMut(&Line) + Send),
) -> Result<Vec<Slope>, ScaleError> {
    let plans_by_factor: Vec<(Factor, Vec<Plan>)> =
        factors.iter().map(|factor| (*factor, factor.plans(largest))).collect();
    for plan in plans_by_factor.iter().flat_map(|(_, plans)| plans) {
        check_demand(plan, &setup.limits)?;
    }
    let mut all_slopes = Vec::new();
    for (factor, plans) in plans_by_factor {
        let mut lines = Vec::new();
        for repeat in 0..repeats {
            for (number, plan) in plans.iter().enumerate() {
                let point = format!("{}={number}", factor.name());
                let plan = Plan { seed: plan.seed + u64::from(repeat), ..plan.clone() };
                let measured = measure_once(&plan, setup, &point, repeat).await?;
                measured.iter().for_each(&mut *each);
                lines.extend(measured);
            }
        }
        all_slopes.extend(slopes(factor, &lines));
    }
    Ok(all_slopes)
}
