//! Compares the change log with a simple, slow reference model on generated changes.

use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use umbertray_config_log::change::{Change, ChangeRejected};
use umbertray_config_log::log::{self, Log};
use umbertray_config_log::model::{Configuration, Edit, Fields, Key, Kind};
use umbertray_config_log::version::document;
use umbertray_snapshot::sim::SimulatedDisk;

use crate::{change, import, set, start};

/// One edit generated from the bits. Most edits are valid in some configuration, some are never valid.
fn generated(bits: u32) -> Edit {
    let (n, number) = (bits / 16 % 6, f64::from(bits / 128 % 8 + 1));
    let (plan, volume) = (format!("p{}", n % 4), format!("v{n}"));
    let fields = |fields: Value| serde_json::from_value::<Fields>(fields).expect("an object");
    match bits % 16 {
        0..4 => set(Kind::Plan, &plan, "weight", json!(number)),
        4 => set(Kind::Plan, &plan, "limit", if number > 4.0 { json!(10.0 * number) } else { Value::Null }),
        5 => set(Kind::Plan, &plan, "reserve", json!(20.0 * number)),
        6..9 => set(Kind::Volume, &volume, "plan", json!(format!("p{}", bits / 128 % 4))),
        9 => set(Kind::Volume, &volume, "size", json!(number * 1024.0 * 512.0)),
        10 => Edit::Put {
            key: Key::new(Kind::Volume, &volume),
            fields: fields(json!({ "size": 1 << 22, "plan": plan, "gateways": bits / 128 % 3 + 1 })),
        },
        11 => Edit::Remove { key: Key::new(Kind::Volume, &volume) },
        12 => {
            Edit::Put { key: Key::new(Kind::Plan, &plan), fields: fields(json!({ "rate": 100.0 * number })) }
        }
        13 => Edit::Remove { key: Key::new(Kind::Plan, &plan) },
        14 => set(Kind::Rules, "", "cold_time", json!(number)),
        _ => set(Kind::OpType, "get", "utility", json!(number - 1.0)),
    }
}

/// The reference model. It keeps plain maps, validates the complete script after each change, and compares
/// each change with all later ones for conflicts.
#[derive(Default)]
struct Model {
    versions: Vec<(BTreeMap<Key, Fields>, Vec<u8>)>,
    changes: Vec<Change>,
}

impl Model {
    fn validate(entities: &BTreeMap<Key, Fields>) -> Option<Configuration> {
        let entities =
            entities.iter().map(|(key, fields)| (key.clone(), std::sync::Arc::new(fields.clone())));
        let calls = Configuration { entities: entities.collect() }.calls();
        document(&calls, &[]).ok().map(|document| Configuration::from_calls(&document.calls()))
    }

    /// Commits a change. Returns whether it is valid, or the versions that it conflicts with.
    fn commit(&mut self, change: &Change) -> Result<bool, Vec<u64>> {
        let overlaps = |other: &Change| {
            other
                .edits
                .iter()
                .any(|theirs| change.edits.iter().any(|ours| ours.path().overlaps(&theirs.path())))
        };
        let since = self.changes.iter().zip(1..).filter(|(_, version)| *version > change.base);
        let conflicting: Vec<u64> =
            since.filter(|(other, _)| overlaps(other)).map(|(_, version)| version).collect();
        if !conflicting.is_empty() {
            return Err(conflicting);
        }
        let before = &self.versions.last().expect("the first version").0;
        let mut after = before.clone();
        for edit in &change.edits {
            let exists = after.contains_key(edit.key());
            match edit {
                Edit::Set { key, field, value } => {
                    let Some(fields) = after.get_mut(key) else { return Ok(false) };
                    if value.is_null() {
                        fields.remove(field)
                    } else {
                        fields.insert(field.clone(), value.clone())
                    };
                }
                Edit::Put { key, fields } => _ = after.insert(key.clone(), fields.clone()),
                Edit::Remove { .. } if !exists => return Ok(false),
                Edit::Remove { key } => _ = after.remove(key),
            }
        }
        let Some(validated) = Model::validate(&after) else { return Ok(false) };
        let size = |entities: &BTreeMap<Key, Fields>, key: &Key| entities.get(key)?.get("size")?.as_f64();
        let validated_entities: BTreeMap<Key, Fields> =
            validated.entities.iter().map(|(key, fields)| (key.clone(), (**fields).clone())).collect();
        if before.keys().any(|key| {
            size(&validated_entities, key) < size(before, key) && validated_entities.contains_key(key)
        }) {
            return Ok(false);
        }
        self.versions.push((validated_entities, validated.to_bytes()));
        self.changes.push(change.clone());
        Ok(true)
    }
}

#[test]
fn generated_changes_rebuild_to_the_byte_and_conflict_like_the_model() {
    fn matches_model(steps: &[(u32, u8, u8)]) -> bool {
        let disk = SimulatedDisk::default();
        // Small segments of a few changes each, so that the history spans several segments.
        let mut log = Log::open(Box::new(disk.clone()), 256).expect("a folder");
        import(&mut log);
        let initial = start();
        let entities =
            initial.entities.iter().map(|(key, fields)| (key.clone(), (**fields).clone())).collect();
        let mut model = Model::default();
        model.versions.push((entities, initial.to_bytes()));
        model.changes.push(change("import", 0, vec![]));
        for (n, (bits, more, behind)) in steps.iter().enumerate() {
            let count = u32::from(more % 3) + 1;
            let edits = (0..count).map(|n| generated(bits.rotate_left(n * 9))).collect();
            let base = log.head().number.saturating_sub(u64::from(behind % 4)).max(1);
            let change = change(&format!("c{n}"), base, edits);
            let ours = log.commit(change.clone());
            let same = match (model.commit(&change), ours) {
                (Ok(true), Ok(committed)) => {
                    committed.version == model.changes.len() as u64 && !committed.was_committed_before
                }
                (Ok(false), Err(ChangeRejected::Invalid(_))) => true,
                (Err(conflicting), Err(ChangeRejected::Conflict(found))) => {
                    let mut found: Vec<u64> = found.iter().map(|conflict| conflict.version).collect();
                    found.dedup();
                    conflicting == found
                }
                (theirs, ours) => panic!("model {theirs:?}, log {ours:?}: {change:?}"),
            };
            if !same {
                return false;
            }
        }
        drop(log);
        let rebuilt = model.versions.iter().zip(1..).all(|((_, bytes), number)| {
            log::version(&disk, number).expect("rebuilt").configuration.to_bytes() == *bytes
        });
        rebuilt && log::verify(&disk).expect("an intact log") == model.changes.len() as u64
    }
    for seed in 0..120 {
        let steps: Vec<(u32, u8, u8)> = Arbitrary::arbitrary(&mut Gen::from_size_and_seed(40, seed));
        assert!(matches_model(&steps), "seed {seed}");
    }
}
