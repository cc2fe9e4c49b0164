//! One version of the configuration, checked, as gateways act on it; and the step to the next.
//!
//! A step's cost is that of what it touches: versions share all else. Places of plans and volumes stay, whatever goes or
//! comes, so that what is open at a gateway keeps its meaning.

use std::collections::BTreeSet;
use std::sync::Arc;

use imbl::{HashMap, Vector};
use serde_json::Value;
use umbertray_config::{FunctionCall, Problem, SettingsDocument, canon, check};
use umbertray_routing::Settings;
pub use umbertray_routing::SettingsChange;
use umbertray_routing::settings::{OpType, Plan, Rules, TypeRule, Volume};

use crate::model::{Configuration, Edit, Fields, Key, Kind, calls};

#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub configuration: Configuration,
    op_types: Arc<Vec<OpType>>,
    type_rules: Arc<Vec<TypeRule>>,
    rules: Arc<Rules>,
    plans: Vector<Plan>,
    plan_places: HashMap<String, usize>,
    /// Volumes of each plan.
    members: HashMap<usize, usize>,
    volumes: Vector<Volume>,
    names: HashMap<String, usize>,
    reserved: f64,
}

impl Version {
    /// Version 0, as a checked document has it.
    pub fn first(document: &SettingsDocument) -> Version {
        let s = &document.settings;
        let mut members = HashMap::new();
        s.volumes.iter().for_each(|volume| *members.entry(volume.plan).or_insert(0) += 1);
        Version {
            number: 0,
            configuration: Configuration::of_calls(&document.calls()),
            op_types: Arc::new(s.op_types.clone()),
            type_rules: Arc::new(s.type_rules.clone()),
            rules: Arc::new(s.rules.clone()),
            plan_places: s.plans.iter().map(|plan| plan.name.clone()).zip(0..).collect(),
            reserved: s.volumes.iter().map(|volume| s.plans[volume.plan].reserve).sum(),
            plans: s.plans.clone(),
            members,
            volumes: s.volumes.clone(),
            names: s.volume_indices.clone(),
        }
    }

    /// Version 0, before anything was said; not one to act on.
    pub fn empty() -> Version {
        let rules = check::rules(&FunctionCall::from_script("rules", Value::Null, []), &mut Vec::new());
        Version {
            number: 0,
            configuration: Configuration::default(),
            op_types: Arc::default(),
            type_rules: Arc::default(),
            rules: Arc::new(rules),
            plans: Vector::new(),
            plan_places: HashMap::new(),
            members: HashMap::new(),
            volumes: Vector::new(),
            names: HashMap::new(),
            reserved: 0.0,
        }
    }

    /// A configuration as it was written down; it must be whole and right.
    pub fn read(number: u64, configuration: &Configuration) -> Result<Version, Vec<String>> {
        if configuration.entities.is_empty() {
            return Ok(Version { number, ..Version::empty() });
        }
        let document = document(&configuration.calls(), &[])?;
        Ok(Version { number, ..Version::first(&document) })
    }

    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    pub fn reserved(&self) -> f64 {
        self.reserved
    }

    pub fn plan(&self, place: usize) -> Option<&Plan> {
        self.plans.get(place).filter(|plan| !plan.is_removed)
    }

    pub fn plan_named(&self, name: &str) -> Option<&Plan> {
        self.plan(*self.plan_places.get(name)?)
    }

    pub fn volume(&self, place: usize) -> Option<&Volume> {
        self.volumes.get(place).filter(|volume| !volume.is_removed)
    }

    /// Volumes of a plan.
    pub fn volume_count(&self, plan: &str) -> usize {
        let place = self.plan_places.get(plan);
        place.and_then(|place| self.members.get(place)).copied().unwrap_or(0)
    }

    pub fn volumes(&self) -> usize {
        self.names.len()
    }

    /// The settings of a gateway that acts on this version; its own figures are those it has.
    pub fn settings(&self, own: &Settings) -> Settings {
        Settings {
            op_types: self.op_types.to_vec(),
            type_rules: self.type_rules.to_vec(),
            plans: self.plans.clone(),
            volumes: self.volumes.clone(),
            volume_indices: self.names.clone(),
            rules: (*self.rules).clone(),
            bounds: own.bounds.clone(),
            ..*own
        }
    }

    /// The next version, and what a gateway does about it. Nothing is half done: any problem, and there is none.
    pub fn next(&self, edits: &[Edit]) -> Result<(Version, Vec<SettingsChange>), Vec<String>> {
        let mut next = Version { number: self.number + 1, ..self.clone() };
        let mut work = Work { steps: Vec::new(), problems: Vec::new() };
        let touched = next.write(edits, &mut work);
        for kind in [Kind::OpType, Kind::Requests, Kind::Rules, Kind::Plan, Kind::Volume] {
            for key in touched.iter().filter(|key| key.kind == kind) {
                next.understand(key, &mut work);
            }
        }
        next.check_plans(&touched, &mut work);
        if work.problems.is_empty() { Ok((next, work.steps)) } else { Err(work.problems) }
    }

    /// Puts edits into the entities as they are written; the keys that they touch.
    fn write(&mut self, edits: &[Edit], work: &mut Work) -> BTreeSet<Key> {
        let entities = &mut self.configuration.entities;
        for edit in edits {
            let key = edit.key();
            match edit {
                Edit::Set { field, value, .. } => match entities.get_mut(key) {
                    Some(fields) => {
                        let fields = Arc::make_mut(fields);
                        if value.is_null() {
                            fields.remove(field);
                        } else {
                            fields.insert(field.clone(), value.clone());
                        }
                    }
                    None => work.problem(key, "is not there"),
                },
                Edit::Put { fields, .. } => _ = entities.insert(key.clone(), Arc::new(fields.clone())),
                Edit::Remove { .. } if key.kind.single() => work.problem(key, "cannot be removed"),
                Edit::Remove { .. } => {
                    if entities.remove(key).is_none() {
                        work.problem(key, "is not there");
                    }
                }
            }
        }
        edits.iter().map(|edit| edit.key().clone()).collect()
    }

    /// Reads one touched entity, and writes it back with every default filled in.
    fn understand(&mut self, key: &Key, work: &mut Work) {
        let Some(fields) = self.configuration.entities.get(key).cloned() else {
            return self.remove(key, work);
        };
        let calls = calls(key, &fields);
        let mut problems = Vec::new();
        let canonical = match key.kind {
            Kind::OpType => self.put_op_type(&calls[0], &mut problems, work),
            Kind::Requests => self.put_requests(&calls, &fields, &mut problems, work),
            Kind::Rules => {
                let rules = check::rules(&calls[0], &mut problems);
                let canonical = canon::rules(&rules);
                self.rules = Arc::new(rules);
                work.steps.push(SettingsChange::Figures);
                canonical.named
            }
            Kind::Plan => self.put_plan(&calls[0], &mut problems, work),
            Kind::Volume => self.put_volume(&calls[0], &mut problems, work),
        };
        problems.iter().for_each(|problem| work.problem(key, &problem.what));
        self.configuration.entities.insert(key.clone(), Arc::new(canonical));
    }

    fn put_op_type(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>, work: &mut Work) -> Fields {
        let op_type = check::op_type(call, problems);
        let fields = canon::op_type(&op_type).named;
        let op_types = Arc::make_mut(&mut self.op_types);
        match op_types.iter_mut().find(|known| known.name == op_type.name) {
            // Danger: rule 2. Ops taken under the old word are out: whether their effects may happen twice cannot change.
            Some(known)
                if known.idempotency != op_type.idempotency
                    || known.ordered_by_key != op_type.ordered_by_key =>
            {
                problems.push(
                    call.problem(
                        "repeats, dedup_span and in_order cannot change; name another op type".into(),
                    ),
                );
            }
            Some(known) => *known = op_type,
            None => op_types.push(op_type),
        }
        work.steps.push(SettingsChange::Figures);
        fields
    }

    fn put_requests(
        &mut self,
        calls: &[FunctionCall],
        fields: &Fields,
        problems: &mut Vec<Problem>,
        work: &mut Work,
    ) -> Fields {
        let place = |name: &str| self.op_types.iter().position(|op_type| op_type.name == name);
        let rules: Vec<TypeRule> =
            calls.iter().map(|call| check::type_rule(call, &place, problems)).collect();
        let given = fields.get("rules").and_then(Value::as_array).map_or(0, Vec::len);
        let whole = FunctionCall::from_script("requests", Value::Null, []);
        if given != rules.len() || fields.len() != 1 {
            problems.push(whole.problem("rules must be a list of request rules".into()));
        }
        let unruled = check::unruled(&rules);
        problems.extend(unruled.map(|name| whole.problem(format!("no rule without up_to covers {name:?}"))));
        let canonical = if problems.is_empty() {
            let calls: Vec<FunctionCall> =
                rules.iter().map(|rule| canon::request(rule, &self.op_types)).collect();
            let key = Key::new(Kind::Requests, "");
            let entities = Configuration::of_calls(&calls).entities;
            entities.get(&key).map_or_else(Fields::new, |fields| (**fields).clone())
        } else {
            fields.clone()
        };
        self.type_rules = Arc::new(rules);
        work.steps.push(SettingsChange::Figures);
        canonical
    }

    fn put_plan(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>, work: &mut Work) -> Fields {
        let plan = check::plan(call, problems);
        let fields = canon::plan(&plan).named;
        let place = self.plan_places.get(&plan.name).copied().unwrap_or(self.plans.len());
        let members = self.members.get(&place).copied().unwrap_or(0) as f64;
        self.plan_places.insert(plan.name.clone(), place);
        match self.plans.get_mut(place) {
            Some(known) => {
                self.reserved += members * (plan.reserve - known.reserve);
                *known = plan;
            }
            None => self.plans.push_back(plan),
        }
        work.steps.push(SettingsChange::Plan(place));
        fields
    }

    fn put_volume(&mut self, call: &FunctionCall, problems: &mut Vec<Problem>, work: &mut Work) -> Fields {
        let places = &self.plan_places;
        let volume = check::volume(call, &|name| places.get(name).copied(), problems);
        if !problems.is_empty() {
            return call.named.clone();
        }
        let fields = canon::volume(&volume, &self.plans[volume.plan].name).named;
        let place = self.names.get(&volume.name).copied().unwrap_or(self.volumes.len());
        if let Some(known) = self.volumes.get(place).cloned() {
            // Clients know a size from their negotiation on: what lies beyond a smaller one would be lost to them.
            if volume.size < known.size {
                let (old, new) = (known.size, volume.size);
                problems.push(call.problem(format!("size cannot fall, from {old} to {new}")));
            }
            self.leave(known.plan);
        }
        self.join(volume.plan);
        self.names.insert(volume.name.clone(), place);
        if place == self.volumes.len() {
            self.volumes.push_back(volume);
        } else {
            self.volumes.set(place, volume);
        }
        work.steps.push(SettingsChange::Volume(place));
        fields
    }

    fn join(&mut self, plan: usize) {
        *self.members.entry(plan).or_insert(0) += 1;
        self.reserved += self.plans[plan].reserve;
    }

    fn leave(&mut self, plan: usize) {
        if let Some(count) = self.members.get_mut(&plan) {
            *count -= 1;
        }
        self.reserved -= self.plans[plan].reserve;
    }

    fn remove(&mut self, key: &Key, work: &mut Work) {
        match key.kind {
            Kind::Volume => {
                let Some(place) = self.names.remove(&key.name) else { return };
                let plan = self.volumes[place].plan;
                self.leave(plan);
                self.volumes[place].is_removed = true;
                work.steps.push(SettingsChange::Removed(place));
            }
            Kind::Plan => {
                let Some(place) = self.plan_places.remove(&key.name) else { return };
                self.plans[place].is_removed = true;
                work.steps.push(SettingsChange::Plan(place));
            }
            // Ops of it may be out, and requests of clients yet to come; its place in the module cannot go.
            Kind::OpType => work.problem(key, "cannot be removed in service; no rule need name it"),
            Kind::Requests | Kind::Rules => {}
        }
    }

    /// Plans that are gone have no volumes left; all volumes' plans are there.
    fn check_plans(&self, touched: &BTreeSet<Key>, work: &mut Work) {
        for key in touched.iter().filter(|key| key.kind == Kind::Plan) {
            let gone = (0..self.plans.len()).filter(|place| {
                let plan = &self.plans[*place];
                plan.is_removed && plan.name == key.name
            });
            let left: usize = gone.filter_map(|place| self.members.get(&place)).sum();
            if left > 0 {
                work.problem(key, &format!("still has {left} volumes"));
            }
        }
        let single = |kind| self.configuration.entities.contains_key(&Key::new(kind, ""));
        if self.names.is_empty() || !single(Kind::Requests) || !single(Kind::Rules) {
            work.problems.push("no volume, no request rules or no rules would be there".into());
        }
    }
}

/// What a step comes to.
struct Work {
    steps: Vec<SettingsChange>,
    problems: Vec<String>,
}

impl Work {
    fn problem(&mut self, key: &Key, what: &str) {
        let place = crate::model::Path { key: key.clone(), field: None };
        self.problems.push(format!("{place}: {what}"));
    }
}

/// Checks calls of the shared settings together with a gateway's own (those of a plain one where there are none).
pub fn document(shared: &[FunctionCall], own: &[FunctionCall]) -> Result<SettingsDocument, Vec<String>> {
    let plain = || {
        let fields = [("listen", serde_json::json!(["127.0.0.1:0"])), ("list", "127.0.0.1:1".into())];
        vec![FunctionCall::from_script("gateway", Value::Null, fields)]
    };
    let own = if own.is_empty() { plain() } else { own.to_vec() };
    let calls: Vec<FunctionCall> = own.into_iter().chain(shared.iter().cloned()).collect();
    let problems = |problems: Vec<Problem>| problems.iter().map(ToString::to_string).collect::<Vec<_>>();
    umbertray_config::document("the configuration", &calls).map_err(problems)
}
