//! Effects of a change that its author must explicitly allow.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use umbertray_routing::settings::Plan;

use crate::version::{SettingsChange, Version};

/// An effect that a change must explicitly allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// The reservations exceed the capacity of the stores.
    Reserve,
    /// A plan's weight, rate, reserve or limit falls to less than half.
    Cut,
    /// A volume is removed.
    Removal,
    /// A volume with a limit is served by fewer gateways. The equal parts of the remaining gateways grow
    /// while the others may still use theirs (rule 7).
    Parts,
}

/// The guards and the names by which they are allowed on the command line.
pub const GUARDS: [(&str, Guard); 4] =
    [("reserve", Guard::Reserve), ("cut", Guard::Cut), ("removal", Guard::Removal), ("parts", Guard::Parts)];

/// A value of a plan may fall to this fraction of its former value without being guarded.
const MIN_UNGUARDED_RATIO: f64 = 0.5;

/// An effect of a change that its author did not allow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Guarded {
    /// The guard that must be allowed.
    pub guard: Guard,
    /// The effect, described for operators.
    #[serde(rename = "what")]
    pub effect: String,
}

impl fmt::Display for Guarded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = GUARDS.iter().find(|(_, guard)| *guard == self.guard).map_or("", |(name, _)| name);
        write!(f, "{} (to do it all the same: --allow {name})", self.effect)
    }
}

/// The guarded effects of a step from one version to the next, in the order reserves, plans, volumes.
pub fn guarded(from: &Version, to: &Version, steps: &[SettingsChange]) -> Vec<Guarded> {
    let mut effects = Vec::new();
    effects.extend(excess_reserve(from, to));
    let plans: BTreeSet<usize> = steps.iter().filter_map(changed_plan).collect();
    for index in plans {
        effects.extend(plan_cuts(from, to, index));
    }
    effects.extend(steps.iter().filter_map(|step| volume_effect(from, to, step)));
    effects
}

fn excess_reserve(from: &Version, to: &Version) -> Option<Guarded> {
    let capacity = to.rules().capacity?;
    let reserved = to.reserved();
    // A change that does not increase the reservations is harmless, even if they exceed the capacity.
    if reserved <= capacity.max(from.reserved()) {
        return None;
    }
    let effect = format!("{reserved} units a second are reserved, but the stores' capacity is {capacity}");
    Some(Guarded { guard: Guard::Reserve, effect })
}

fn changed_plan(step: &SettingsChange) -> Option<usize> {
    match step {
        SettingsChange::Plan(index) => Some(*index),
        _ => None,
    }
}

fn plan_cuts(from: &Version, to: &Version, index: usize) -> Vec<Guarded> {
    let (Some(old), Some(new)) = (from.plan(index), to.plan(index)) else { return Vec::new() };
    let values = [
        ("weight", old.weight, new.weight),
        ("rate", old.rate, new.rate),
        ("reserve", old.reserve, new.reserve),
        ("limit", limit_rate(old), limit_rate(new)),
    ];
    let cuts = values.into_iter().filter(|(_, before, after)| *after < before * MIN_UNGUARDED_RATIO);
    cuts.map(|(field, before, after)| {
        let effect = format!("plan {:?}: {field} falls from {before} to {after}", new.name);
        Guarded { guard: Guard::Cut, effect }
    })
    .collect()
}

/// The rate of a plan's limit. A plan without a limit counts as having an infinite one.
fn limit_rate(plan: &Plan) -> f64 {
    plan.limit.as_ref().map_or(f64::INFINITY, |limit| limit.rate)
}

fn volume_effect(from: &Version, to: &Version, step: &SettingsChange) -> Option<Guarded> {
    match step {
        SettingsChange::Removed(index) => {
            let name = from.volume(*index).map_or("", |volume| &volume.name);
            Some(Guarded { guard: Guard::Removal, effect: format!("volume {name:?} is removed") })
        }
        SettingsChange::Volume(index) => fewer_gateways(from, to, *index),
        SettingsChange::Plan(_) | SettingsChange::Parameters => None,
    }
}

fn fewer_gateways(from: &Version, to: &Version, index: usize) -> Option<Guarded> {
    let old = from.volume(index)?;
    let new = to.volume(index)?;
    let is_limited = to.plan(new.plan).is_some_and(|plan| plan.limit.is_some());
    if !is_limited || new.gateways >= old.gateways {
        return None;
    }
    let effect = format!("volume {:?}: gateways falls from {} to {}", new.name, old.gateways, new.gateways);
    Some(Guarded { guard: Guard::Parts, effect })
}
