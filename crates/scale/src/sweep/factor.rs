//! The factors of a sweep, and the sizes at which each is measured.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::measurement::Line;
use crate::plan::Plan;

/// Maximum number of hollow gateways while another factor than gateways is swept.
const MAX_FIXED_GATEWAYS: u32 = 40;

/// Maximum number of stores that accept connections while another factor than stores is swept.
const MAX_FIXED_ANSWERING: u32 = 8;

/// A dimension of a fleet's size or load that a sweep increases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Factor {
    /// Stores in the list, all of which accept connections.
    Stores,
    /// Hollow gateways.
    Gateways,
    /// Changes of the configuration per second.
    Changes,
    /// Restarts of hollow gateways per hour.
    Restarts,
    /// Volumes in the configuration.
    Volumes,
}

/// All factors, with their names on the command line and in files.
pub(super) const FACTORS: [(&str, Factor); 5] = [
    ("stores", Factor::Stores),
    ("gateways", Factor::Gateways),
    ("changes", Factor::Changes),
    ("restarts", Factor::Restarts),
    ("volumes", Factor::Volumes),
];

/// A text that is not the name of a factor.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("unknown factor {0:?}: use one of {names}", names = FACTORS.map(|(name, _)| name).join(", "))]
pub struct UnknownFactor(String);

impl FromStr for Factor {
    type Err = UnknownFactor;

    fn from_str(text: &str) -> Result<Factor, UnknownFactor> {
        let known = FACTORS.iter().find(|(name, _)| *name == text);
        known.map(|(_, factor)| *factor).ok_or_else(|| UnknownFactor(text.into()))
    }
}

impl Factor {
    /// The name on the command line and in files.
    pub fn name(self) -> &'static str {
        FACTORS.iter().find(|(_, factor)| *factor == self).map_or("", |(name, _)| name)
    }

    /// Name of one unit of its count, for tables.
    pub(crate) fn unit(self) -> &'static str {
        match self {
            Factor::Stores => "store listed",
            Factor::Gateways => "gateway",
            Factor::Changes => "change a second",
            Factor::Restarts => "restart an hour in the fleet",
            Factor::Volumes => "volume",
        }
    }

    /// Its count in the fleet of a line.
    pub(crate) fn count(self, line: &Line) -> f64 {
        match self {
            Factor::Stores => line.stores.into(),
            Factor::Gateways => line.gateways.into(),
            Factor::Changes => line.changes_per_second,
            Factor::Restarts => line.restarts_per_hour,
            Factor::Volumes => line.volumes.into(),
        }
    }

    /// The plans at which the factor is measured, by ascending count. Stores and gateways go up to the counts
    /// in `largest`, and volumes to that count or 1,600, whichever is larger; changes and restarts have fixed
    /// rates. All other values are small, or the same as in `largest`.
    pub fn plans(self, largest: &Plan) -> Vec<Plan> {
        let small = Plan {
            gateways: largest.gateways.min(MAX_FIXED_GATEWAYS) + largest.real_gateways,
            stores: largest.stores.min(1000),
            answering: Some(largest.stores.min(MAX_FIXED_ANSWERING)),
            changes_per_second: 0.0,
            restarts_per_hour: 0.0,
            ..largest.clone()
        };
        let halvings = |most: u32, count: u32| (0..count).rev().map(move |n| (most >> n).max(1));
        let mut plans: Vec<Plan> = match self {
            // All stores accept connections, so that each gateway has a connection to each listed store.
            Factor::Stores => {
                let plan = |stores| Plan {
                    gateways: 3 + largest.real_gateways,
                    stores,
                    answering: Some(stores),
                    ..small.clone()
                };
                halvings(largest.stores, 5).map(plan).collect()
            }
            Factor::Gateways => {
                let plan = |gateways: u32| Plan {
                    gateways: gateways.max(largest.real_gateways + 1),
                    ..small.clone()
                };
                halvings(largest.gateways, 6).map(plan).collect()
            }
            Factor::Changes => {
                let plan = |rate| Plan { changes_per_second: rate, ..small.clone() };
                [0.5, 1.0, 2.0, 4.0, 8.0].map(plan).into()
            }
            Factor::Restarts => {
                let plan = |rate| Plan { restarts_per_hour: rate, ..small.clone() };
                [1800.0, 3600.0, 7200.0, 14_400.0, 28_800.0].map(plan).into()
            }
            Factor::Volumes => {
                let plan = |volumes| Plan { volumes, ..small.clone() };
                halvings(largest.volumes.max(1600), 5).map(plan).collect()
            }
        };
        plans.dedup();
        plans
    }
}
