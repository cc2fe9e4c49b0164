//! The factors of a sweep, and the sizes at which each is measured.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::measurement::Line;
use crate::plan::Plan;

/// Hollow gateways at most where another factor than gateways is swept.
const MAX_FIXED_GATEWAYS: u32 = 40;

/// Stores at most that accept connections where another factor than stores is swept.
const MAX_FIXED_ANSWERING: u32 = 8;

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
pub(super) const FACTORS: [(&str, Factor); 5] = [
    ("stores", Factor::Stores),
    ("gateways", Factor::Gateways),
    ("changes", Factor::Changes),
    ("restarts", Factor::Restarts),
    ("volumes", Factor::Volumes),
];

/// A text that names no factor.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{0:?} is none of {names}", names = FACTORS.map(|(name, _)| name).join(", "))]
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
            gateways: most.gateways.min(MAX_FIXED_GATEWAYS) + most.real,
            stores: most.stores.min(1000),
            answering: Some(most.stores.min(MAX_FIXED_ANSWERING)),
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
