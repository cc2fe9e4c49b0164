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

/// The order in which touched entities are checked: each kind refers to those before it only.
const CHECK_ORDER: [Kind; 5] = [Kind::OpType, Kind::Requests, Kind::Rules, Kind::Plan, Kind::Volume];

impl Version {
    /// The next version, and what a gateway does about it.
    ///
    /// # Errors
    /// [`InvalidConfiguration`] with all that is wrong; nothing of the edits is done then.
    pub fn next(&self, edits: &[Edit]) -> Result<(Version, Vec<SettingsChange>), InvalidConfiguration> {
        let version = Version { number: self.number + 1, ..self.clone() };
        let mut step = Step { version, changes: Vec::new(), problems: Vec::new() };
        edits.iter().for_each(|edit| step.edit(edit));
        let touched: BTreeSet<&Key> = edits.iter().map(Edit::key).collect();
        for kind in CHECK_ORDER {
            for key in touched.iter().filter(|key| key.kind == kind) {
                step.check_entity(key);
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

/// A step under way. It is discarded where there is any problem.
struct Step {
    version: Version,
    changes: Vec<SettingsChange>,
    problems: Vec<ConfigurationProblem>,
}

fn entity_path(key: &Key) -> Path {
    Path { key: key.clone(), field: None }
}

impl Step {
    /// Puts one edit into the entities, as it is written.
    fn edit(&mut self, edit: &Edit) {
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

    /// Checks one touched entity, takes it into the tables and writes it back with every default filled in.
    fn check_entity(&mut self, key: &Key) {
        let Some(fields) = self.version.configuration.entities.get(key).cloned() else {
            return self.remove(key);
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
        match op_types.iter_mut().find(|known| known.name == op_type.name) {
            Some(known) if !has_same_retry_rules(known, &op_type) => {
                let text = "repeats, dedup_span and in_order cannot change; name another op type";
                problems.push(call.problem(text));
            }
            Some(known) => *known = op_type,
            None => op_types.push(op_type),
        }
        self.changes.push(SettingsChange::Figures);
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
        self.changes.push(SettingsChange::Figures);
        canonical
    }

    fn put_rules(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>) -> Fields {
        let rules = parse::rules(call, problems);
        let canonical = canonical::rules(&rules).named;
        self.version.rules = Arc::new(rules);
        self.changes.push(SettingsChange::Figures);
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
            Some(known) => {
                version.reserved += volumes * (plan.reserve - known.reserve);
                *known = plan;
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
        if let Some(known) = version.volumes.get(index) {
            problems.extend(check_size(call, known, &volume));
            version.leave_plan(known.plan);
        }
        version.join_plan(volume.plan);
        version.volume_indices.insert(volume.name.clone(), index);
        if index == version.volumes.len() {
            version.volumes.push_back(volume);
        } else {
            version.volumes.set(index, volume);
        }
        self.changes.push(SettingsChange::Volume(index));
        canonical
    }

    /// Marks an entity that the edits removed; its index stays taken.
    fn remove(&mut self, key: &Key) {
        let version = &mut self.version;
        match key.kind {
            Kind::Volume => {
                let Some(index) = version.volume_indices.remove(&key.name) else { return };
                version.leave_plan(version.volumes[index].plan);
                version.volumes[index].is_removed = true;
                self.changes.push(SettingsChange::Removed(index));
            }
            Kind::Plan => {
                let Some(index) = version.plan_indices.remove(&key.name) else { return };
                version.plans[index].is_removed = true;
                self.changes.push(SettingsChange::Plan(index));
            }
            // Ops of it may be in flight, and clients' requests yet to come: its index in the scheduler cannot go.
            Kind::OpType => {
                self.problems.push(ConfigurationProblem::OpTypeRemoved(entity_path(key)));
            }
            Kind::Requests | Kind::Rules => {}
        }
    }

    /// A removed plan has no volumes left.
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
    /// Counts a volume in a plan. Must be matched by [`leave_plan`](Version::leave_plan).
    fn join_plan(&mut self, plan: usize) {
        *self.volumes_per_plan.entry(plan).or_insert(0) += 1;
        self.reserved += self.plans[plan].reserve;
    }

    fn leave_plan(&mut self, plan: usize) {
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

/// Hazard: rule 2. Ops taken under the former rules are in flight: whether their effects may happen twice cannot change.
fn has_same_retry_rules(known: &OpType, op_type: &OpType) -> bool {
    known.idempotency == op_type.idempotency && known.ordered_by_key == op_type.ordered_by_key
}

/// Clients know a size from their negotiation on: what lies beyond a smaller one would be lost to them.
fn check_size(call: &FunctionCall, known: &Volume, volume: &Volume) -> Option<Problem> {
    let has_fallen = volume.size < known.size;
    has_fallen.then(|| call.problem(format!("size cannot fall, from {} to {}", known.size, volume.size)))
}

fn canonical_requests(rules: &[TypeRule], op_types: &[OpType]) -> Fields {
    let calls: Vec<FunctionCall> = rules.iter().map(|rule| canonical::request(rule, op_types)).collect();
    let requests = Key::new(Kind::Requests, "");
    let entities = Configuration::of_calls(&calls).entities;
    entities.get(&requests).map_or_else(Fields::new, |fields| (**fields).clone())
}
