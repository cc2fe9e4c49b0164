//! What a change may not do unless its author explicitly allows it.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use umbertray_routing::settings::Plan;

use crate::version::{SettingsChange, Version};

/// An effect that a change must explicitly allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// More is reserved than the stores can do.
    Reserve,
    /// A plan loses more than half of a figure.
    Cut,
    /// A volume is removed.
    Removal,
    /// A limited volume comes through fewer gateways: those that stay take larger parts of the limit while those that go
    /// may still draw theirs (rule 7).
    Parts,
}

/// The guards and the words that allow them.
pub const GUARDS: [(&str, Guard); 4] =
    [("reserve", Guard::Reserve), ("cut", Guard::Cut), ("removal", Guard::Removal), ("parts", Guard::Parts)];

/// A plan's figure may fall to this part of itself without being guarded.
const MAX_CUT: f64 = 0.5;

/// An effect of a change that its author did not allow.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Guarded {
    /// What must be allowed.
    pub guard: Guard,
    /// The effect, for people.
    #[serde(rename = "what")]
    pub effect: String,
}

impl fmt::Display for Guarded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let word = GUARDS.iter().find(|(_, guard)| *guard == self.guard).map_or("", |(word, _)| word);
        write!(f, "{} (to do it all the same: --allow {word})", self.effect)
    }
}

/// The guarded effects of a step from one version to the next, reserves first, then plans, then volumes.
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
    // A change that reserves no more than before is no danger, even above the capacity.
    if reserved <= capacity.max(from.reserved()) {
        return None;
    }
    let effect = format!("{reserved} units a second are reserved, of {capacity} that stores can do");
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
    let figures = [
        ("weight", old.weight, new.weight),
        ("rate", old.rate, new.rate),
        ("reserve", old.reserve, new.reserve),
        ("limit", limit_rate(old), limit_rate(new)),
    ];
    let cuts = figures.into_iter().filter(|(_, before, after)| *after < before * MAX_CUT);
    cuts.map(|(figure, before, after)| {
        let effect = format!("plan {:?}: {figure} falls from {before} to {after}", new.name);
        Guarded { guard: Guard::Cut, effect }
    })
    .collect()
}

/// Having no limit is more than any limit.
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
        SettingsChange::Plan(_) | SettingsChange::Figures => None,
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
