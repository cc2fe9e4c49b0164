//! What a change may not do unless its author says so.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use umbertray_routing::settings::Plan;

use crate::version::{SettingsChange, Version};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// More is reserved than the stores can do.
    Reserve,
    /// A plan loses more than half of something.
    Cut,
    /// A volume is removed.
    Removal,
    /// A limited volume comes through fewer gateways: those that stay take larger parts while those that go may still draw
    /// theirs.
    Parts,
}

pub const GUARDS: [(&str, Guard); 4] =
    [("reserve", Guard::Reserve), ("cut", Guard::Cut), ("removal", Guard::Removal), ("parts", Guard::Parts)];

/// The part of a plan's figure that may go at once unsaid.
const MOST_CUT: f64 = 0.5;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Guarded {
    pub guard: Guard,
    pub what: String,
}

impl fmt::Display for Guarded {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let word = GUARDS.iter().find(|(_, guard)| *guard == self.guard).map_or("", |(word, _)| word);
        write!(f, "{} (to do it all the same: --allow {word})", self.what)
    }
}

/// What of a step from one version to the next is guarded.
pub fn guarded(from: &Version, to: &Version, steps: &[SettingsChange]) -> Vec<Guarded> {
    let mut found = Vec::new();
    let mut say = |guard, what| found.push(Guarded { guard, what });
    if let Some(capacity) = to.rules().capacity
        && to.reserved() > capacity.max(from.reserved())
    {
        let reserved = to.reserved();
        say(
            Guard::Reserve,
            format!("{reserved} units a second are reserved, of {capacity} that stores can do"),
        );
    }
    let plans: BTreeSet<usize> = steps
        .iter()
        .filter_map(|step| if let SettingsChange::Plan(place) = step { Some(*place) } else { None })
        .collect();
    for place in plans {
        let (Some(old), Some(new)) = (from.plan(place), to.plan(place)) else { continue };
        for (what, before, after) in cuts(old, new) {
            say(Guard::Cut, format!("plan {:?}: {what} falls from {before} to {after}", new.name));
        }
    }
    for step in steps {
        match step {
            SettingsChange::Removed(place) => {
                let name = from.volume(*place).map_or("", |volume| &volume.name);
                say(Guard::Removal, format!("volume {name:?} is removed"));
            }
            SettingsChange::Volume(place) => {
                let Some((old, new)) = from.volume(*place).zip(to.volume(*place)) else { continue };
                let limited = to.plan(new.plan).is_some_and(|plan| plan.limit.is_some());
                if limited && new.gateways < old.gateways {
                    let (name, old, new) = (&new.name, old.gateways, new.gateways);
                    say(Guard::Parts, format!("volume {name:?}: gateways falls from {old} to {new}"));
                }
            }
            SettingsChange::Plan(_) | SettingsChange::Figures => {}
        }
    }
    found
}

fn cuts(old: &Plan, new: &Plan) -> Vec<(&'static str, f64, f64)> {
    // No limit is more than any.
    let limit = |plan: &Plan| plan.limit.as_ref().map_or(f64::INFINITY, |limit| limit.rate);
    let figures = [
        ("weight", old.weight, new.weight),
        ("rate", old.rate, new.rate),
        ("reserve", old.reserve, new.reserve),
        ("limit", limit(old), limit(new)),
    ];
    figures.into_iter().filter(|(_, before, after)| *after < before * MOST_CUT).collect()
}
