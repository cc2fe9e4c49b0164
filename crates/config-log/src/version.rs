//! A validated version of the configuration, as applied by gateways.
//!
//! Invariant: the index of a plan or volume never changes from one version to the next, even if other plans
//! and volumes are added or removed, so that the indices in a gateway's open sessions and requests stay
//! valid. Versions share unchanged data, so the cost of a step depends only on the entities that it touches.

mod step;

use std::sync::Arc;

use imbl::{HashMap, Vector};
use serde_json::{Value, json};
use umbertray_config::{FunctionCall, SettingsDocument, parse};
use umbertray_routing::Settings;
pub use umbertray_routing::SettingsChange;
use umbertray_routing::settings::{OpType, Plan, Rules, TypeRule, Volume};

use crate::model::Configuration;
use crate::problem::InvalidConfiguration;

/// A validated version of the configuration.
///
/// Invariant: the tables hold the content of `configuration`, and also removed plans and volumes, marked as
/// removed.
#[derive(Clone, Debug)]
pub struct Version {
    /// The version number. Version 0 is the empty configuration.
    pub number: u64,
    /// The configuration as data. Every default is stated explicitly.
    pub configuration: Configuration,
    op_types: Arc<Vec<OpType>>,
    type_rules: Arc<Vec<TypeRule>>,
    rules: Arc<Rules>,
    plans: Vector<Plan>,
    plan_indices: HashMap<String, usize>,
    /// The number of volumes of each plan, by the index of the plan.
    volumes_per_plan: HashMap<usize, usize>,
    volumes: Vector<Volume>,
    volume_indices: HashMap<String, usize>,
    /// Sum of the reserves of all volumes, units a second.
    reserved: f64,
}

impl Version {
    /// A version with number 0 and the content of a validated document.
    pub fn from_document(document: &SettingsDocument) -> Version {
        let settings = &document.settings;
        let mut volumes_per_plan = HashMap::new();
        for volume in &settings.volumes {
            *volumes_per_plan.entry(volume.plan).or_insert(0) += 1;
        }
        Version {
            number: 0,
            configuration: Configuration::from_calls(&document.calls()),
            op_types: Arc::new(settings.op_types.clone()),
            type_rules: Arc::new(settings.type_rules.clone()),
            rules: Arc::new(settings.rules.clone()),
            plan_indices: settings.plans.iter().map(|plan| plan.name.clone()).zip(0..).collect(),
            reserved: settings.volumes.iter().map(|volume| settings.plans[volume.plan].reserve).sum(),
            plans: settings.plans.clone(),
            volumes_per_plan,
            volumes: settings.volumes.clone(),
            volume_indices: settings.volume_indices.clone(),
        }
    }

    /// Version 0, the empty configuration. Gateways must not apply it.
    pub fn empty() -> Version {
        let rules = parse::rules(&FunctionCall::synthetic("rules", Value::Null, []), &mut Vec::new());
        Version {
            number: 0,
            configuration: Configuration::default(),
            op_types: Arc::default(),
            type_rules: Arc::default(),
            rules: Arc::new(rules),
            plans: Vector::new(),
            plan_indices: HashMap::new(),
            volumes_per_plan: HashMap::new(),
            volumes: Vector::new(),
            volume_indices: HashMap::new(),
            reserved: 0.0,
        }
    }

    /// Validates a stored configuration, which must be empty or complete.
    ///
    /// # Errors
    /// [`InvalidConfiguration`] with all problems of the configuration.
    pub fn from_configuration(
        number: u64,
        configuration: &Configuration,
    ) -> Result<Version, InvalidConfiguration> {
        if configuration.entities.is_empty() {
            return Ok(Version { number, ..Version::empty() });
        }
        let document = document(&configuration.calls(), &[])?;
        Ok(Version { number, ..Version::from_document(&document) })
    }

    /// The deployment's rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Sum of the reserves of all volumes, units a second.
    pub fn reserved(&self) -> f64 {
        self.reserved
    }

    /// The plan with an index; `None` if it was removed.
    pub fn plan(&self, index: usize) -> Option<&Plan> {
        self.plans.get(index).filter(|plan| !plan.is_removed)
    }

    /// The plan with a name.
    pub fn plan_named(&self, name: &str) -> Option<&Plan> {
        self.plan(*self.plan_indices.get(name)?)
    }

    /// The volume with an index; `None` if it was removed.
    pub fn volume(&self, index: usize) -> Option<&Volume> {
        self.volumes.get(index).filter(|volume| !volume.is_removed)
    }

    /// The number of volumes that use the plan with a name.
    pub fn volume_count(&self, plan: &str) -> usize {
        self.plan_indices.get(plan).map_or(0, |index| self.volumes_of_plan(*index))
    }

    /// The number of volumes, without removed ones.
    pub fn total_volumes(&self) -> usize {
        self.volume_indices.len()
    }

    /// The settings of a gateway that applies this version. Settings that are not shared are those of `own`.
    pub fn settings(&self, own: &Settings) -> Settings {
        Settings {
            op_types: self.op_types.to_vec(),
            type_rules: self.type_rules.to_vec(),
            plans: self.plans.clone(),
            volumes: self.volumes.clone(),
            volume_indices: self.volume_indices.clone(),
            rules: (*self.rules).clone(),
            bounds: own.bounds.clone(),
            ..*own
        }
    }

    fn volumes_of_plan(&self, index: usize) -> usize {
        self.volumes_per_plan.get(&index).copied().unwrap_or(0)
    }
}

/// Validates the calls of the shared settings together with a gateway's own calls. If `own` is empty, a
/// placeholder gateway is used.
///
/// # Errors
/// [`InvalidConfiguration`] with all problems of the calls.
pub fn document(
    shared: &[FunctionCall],
    own: &[FunctionCall],
) -> Result<SettingsDocument, InvalidConfiguration> {
    let mut calls = own.to_vec();
    if calls.is_empty() {
        calls.push(placeholder_gateway());
    }
    calls.extend_from_slice(shared);
    Ok(umbertray_config::document("the configuration", &calls)?)
}

fn placeholder_gateway() -> FunctionCall {
    let fields = [("listen", json!(["127.0.0.1:0"])), ("list", json!("127.0.0.1:1"))];
    FunctionCall::synthetic("gateway", Value::Null, fields)
}
