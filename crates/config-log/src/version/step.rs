//! The step from one version to the next.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::Value;
use umbertray_config::{FunctionCall, Problem, canonical, parse};
use umbertray_routing::SettingsChange;
use umbertray_routing::settings::{OpType, TypeRule, Volume};

use super::Version;
use crate::model::{Configuration, Edit, Fields, Key, Kind, Path, calls};
use crate::problem::{ConfigurationProblem, InvalidConfiguration};

/// The order in which touched entities are updated. Each kind refers only to kinds before it.
const UPDATE_ORDER: [Kind; 5] = [Kind::OpType, Kind::Requests, Kind::Rules, Kind::Plan, Kind::Volume];

impl Version {
    /// Computes the next version, and the settings changes that a gateway must apply for it.
    ///
    /// # Errors
    /// [`InvalidConfiguration`] with all problems. None of the edits takes effect then.
    pub fn next(&self, edits: &[Edit]) -> Result<(Version, Vec<SettingsChange>), InvalidConfiguration> {
        let version = Version { number: self.number + 1, ..self.clone() };
        let mut step = Step { version, changes: Vec::new(), problems: Vec::new() };
        edits.iter().for_each(|edit| step.apply_edit(edit));
        let touched: BTreeSet<&Key> = edits.iter().map(Edit::key).collect();
        for kind in UPDATE_ORDER {
            for key in touched.iter().filter(|key| key.kind == kind) {
                step.update_entity(key);
            }
        }
        for key in touched.iter().filter(|key| key.kind == Kind::Plan) {
            step.check_removed_plan(key);
        }
        step.check_complete();
        if step.problems.is_empty() {
            Ok((step.version, step.changes))
        } else {
            Err(InvalidConfiguration { problems: step.problems })
        }
    }
}

/// A step that is being computed. It is discarded if there is any problem.
struct Step {
    version: Version,
    changes: Vec<SettingsChange>,
    problems: Vec<ConfigurationProblem>,
}

fn entity_path(key: &Key) -> Path {
    Path { key: key.clone(), field: None }
}

impl Step {
    /// Applies one edit to the entities, without validating it.
    fn apply_edit(&mut self, edit: &Edit) {
        let entities = &mut self.version.configuration.entities;
        match edit {
            Edit::Set { key, field, value } => match entities.get_mut(key) {
                Some(fields) => set_field(Arc::make_mut(fields), field, value),
                None => self.problems.push(ConfigurationProblem::NotFound(entity_path(key))),
            },
            Edit::Put { key, fields } => _ = entities.insert(key.clone(), Arc::new(fields.clone())),
            Edit::Remove { key } if key.kind.is_singleton() => {
                self.problems.push(ConfigurationProblem::Required(entity_path(key)));
            }
            Edit::Remove { key } => {
                if entities.remove(key).is_none() {
                    self.problems.push(ConfigurationProblem::NotFound(entity_path(key)));
                }
            }
        }
    }

    /// Validates one touched entity, updates the tables and writes the entity back with every default stated
    /// explicitly.
    fn update_entity(&mut self, key: &Key) {
        let Some(fields) = self.version.configuration.entities.get(key).cloned() else {
            return self.mark_removed(key);
        };
        let calls = calls(key, &fields);
        let mut problems = Vec::new();
        let canonical = match key.kind {
            Kind::OpType => self.put_op_type(&calls[0], &mut problems),
            Kind::Requests => self.put_requests(&calls, &fields, &mut problems),
            Kind::Rules => self.put_rules(&calls[0], &mut problems),
            Kind::Plan => self.put_plan(&calls[0], &mut problems),
            Kind::Volume => self.put_volume(&calls[0], &mut problems),
        };
        for problem in problems {
            self.problems.push(ConfigurationProblem::InvalidEntity { path: entity_path(key), problem });
        }
        self.version.configuration.entities.insert(key.clone(), Arc::new(canonical));
    }

    fn put_op_type(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>) -> Fields {
        let op_type = parse::op_type(call, problems);
        let canonical = canonical::op_type(&op_type).named;
        let op_types = Arc::make_mut(&mut self.version.op_types);
        match op_types.iter_mut().find(|current| current.name == op_type.name) {
            Some(current) if !has_same_retry_rules(current, &op_type) => {
                let message = "repeats, dedup_span and in_order cannot change; add a new op type instead";
                problems.push(call.problem(message));
            }
            Some(current) => *current = op_type,
            None => op_types.push(op_type),
        }
        self.changes.push(SettingsChange::Parameters);
        canonical
    }

    fn put_requests(
        &mut self,
        calls: &[FunctionCall],
        fields: &Fields,
        problems: &mut Vec<Problem>,
    ) -> Fields {
        let op_types = &self.version.op_types;
        let index_of = |name: &str| op_types.iter().position(|op_type| op_type.name == name);
        let rules: Vec<TypeRule> =
            calls.iter().map(|call| parse::type_rule(call, &index_of, problems)).collect();
        let given = fields.get("rules").and_then(Value::as_array).map_or(0, Vec::len);
        let requests = FunctionCall::synthetic("requests", Value::Null, []);
        if given != rules.len() || fields.len() != 1 {
            problems.push(requests.problem("rules must be a list of request rules"));
        }
        for kind in parse::uncovered_kinds(&rules) {
            problems.push(requests.problem(format!("no rule without up_to covers {kind:?}")));
        }
        let canonical =
            if problems.is_empty() { canonical_requests(&rules, op_types) } else { fields.clone() };
        self.version.type_rules = Arc::new(rules);
        self.changes.push(SettingsChange::Parameters);
        canonical
    }

    fn put_rules(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>) -> Fields {
        let rules = parse::rules(call, problems);
        let canonical = canonical::rules(&rules).named;
        self.version.rules = Arc::new(rules);
        self.changes.push(SettingsChange::Parameters);
        canonical
    }

    fn put_plan(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>) -> Fields {
        let plan = parse::plan(call, problems);
        let canonical = canonical::plan(&plan).named;
        let version = &mut self.version;
        let index = version.plan_indices.get(&plan.name).copied().unwrap_or(version.plans.len());
        let volumes = version.volumes_of_plan(index) as f64;
        version.plan_indices.insert(plan.name.clone(), index);
        match version.plans.get_mut(index) {
            Some(current) => {
                version.reserved += volumes * (plan.reserve - current.reserve);
                *current = plan;
            }
            None => version.plans.push_back(plan),
        }
        self.changes.push(SettingsChange::Plan(index));
        canonical
    }

    fn put_volume(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>) -> Fields {
        let version = &mut self.version;
        let plan_indices = &version.plan_indices;
        let volume = parse::volume(call, &|name| plan_indices.get(name).copied(), problems);
        if !problems.is_empty() {
            return call.named.clone();
        }
        let canonical = canonical::volume(&volume, &version.plans[volume.plan].name).named;
        let index = version.volume_indices.get(&volume.name).copied().unwrap_or(version.volumes.len());
        if let Some(current) = version.volumes.get(index) {
            problems.extend(check_size(call, current, &volume));
            version.remove_volume_from_plan(current.plan);
        }
        version.add_volume_to_plan(volume.plan);
        version.volume_indices.insert(volume.name.clone(), index);
        if index == version.volumes.len() {
            version.volumes.push_back(volume);
        } else {
            version.volumes.set(index, volume);
        }
        self.changes.push(SettingsChange::Volume(index));
        canonical
    }

    /// Marks an entity as removed. Its index is not reused.
    fn mark_removed(&mut self, key: &Key) {
        let version = &mut self.version;
        match key.kind {
            Kind::Volume => {
                let Some(index) = version.volume_indices.remove(&key.name) else { return };
                version.remove_volume_from_plan(version.volumes[index].plan);
                version.volumes[index].is_removed = true;
                self.changes.push(SettingsChange::Removed(index));
            }
            Kind::Plan => {
                let Some(index) = version.plan_indices.remove(&key.name) else { return };
                version.plans[index].is_removed = true;
                self.changes.push(SettingsChange::Plan(index));
            }
            // Ops of this type may be in flight, and requests of clients may still arrive, so the scheduler
            // must keep its index.
            Kind::OpType => {
                self.problems.push(ConfigurationProblem::OpTypeRemoved(entity_path(key)));
            }
            Kind::Requests | Kind::Rules => {}
        }
    }

    /// Checks that no volume uses a removed plan.
    fn check_removed_plan(&mut self, key: &Key) {
        let version = &self.version;
        let volumes: usize = (0..version.plans.len())
            .filter(|index| version.plans[*index].is_removed && version.plans[*index].name == key.name)
            .map(|index| version.volumes_of_plan(index))
            .sum();
        if volumes > 0 {
            self.problems.push(ConfigurationProblem::PlanInUse { plan: entity_path(key), volumes });
        }
    }

    fn check_complete(&mut self) {
        let entities = &self.version.configuration.entities;
        let has = |kind| entities.contains_key(&Key::new(kind, ""));
        if self.version.volume_indices.is_empty() || !has(Kind::Requests) || !has(Kind::Rules) {
            self.problems.push(ConfigurationProblem::Incomplete);
        }
    }
}

impl Version {
    /// Counts a volume of a plan and its reserve. Must be matched by a call of
    /// [`remove_volume_from_plan`](Version::remove_volume_from_plan).
    fn add_volume_to_plan(&mut self, plan: usize) {
        *self.volumes_per_plan.entry(plan).or_insert(0) += 1;
        self.reserved += self.plans[plan].reserve;
    }

    fn remove_volume_from_plan(&mut self, plan: usize) {
        if let Some(count) = self.volumes_per_plan.get_mut(&plan) {
            *count -= 1;
        }
        self.reserved -= self.plans[plan].reserve;
    }
}

fn set_field(fields: &mut Fields, field: &str, value: &Value) {
    if value.is_null() {
        fields.remove(field);
    } else {
        fields.insert(field.into(), value.clone());
    }
}

/// Whether two definitions of an op type have the same rules for retries and ordering.
///
/// Hazard: rule 2. Ops that were accepted under the former definition may be in flight. Whether they may be
/// executed twice must not change.
fn has_same_retry_rules(current: &OpType, new: &OpType) -> bool {
    current.idempotency == new.idempotency && current.ordered_by_key == new.ordered_by_key
}

/// Rejects a smaller size. Clients keep the size from their negotiation, so they would lose the data beyond
/// the new size.
fn check_size(call: &FunctionCall, current: &Volume, new: &Volume) -> Option<Problem> {
    let has_fallen = new.size < current.size;
    has_fallen.then(|| call.problem(format!("size cannot fall, from {} to {}", current.size, new.size)))
}

fn canonical_requests(rules: &[TypeRule], op_types: &[OpType]) -> Fields {
    let calls: Vec<FunctionCall> = rules.iter().map(|rule| canonical::request(rule, op_types)).collect();
    let requests = Key::new(Kind::Requests, "");
    let entities = Configuration::from_calls(&calls).entities;
    entities.get(&requests).map_or_else(Fields::new, |fields| (**fields).clone())
}
