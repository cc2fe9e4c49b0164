//! A log with many volumes, and a stream of changes to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use umbertray_config_log::log::SEGMENT_BYTES;
use umbertray_config_log::model::Fields;
use umbertray_config_log::{Change, Configuration, Edit, Guard, Key, Kind, Log};
use umbertray_snapshot::Storage;

use super::VOLUMES;
use crate::measure::error::MeasureError;
use crate::measure::testbed::settings_document;

/// Longest time that the stream sleeps before it checks again whether it must stop.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Creates a log whose first version is the demo's configuration with this many additional volumes.
pub(super) fn new_log(storage: Box<dyn Storage>, volumes: u64) -> Result<Log, MeasureError> {
    let mut configuration = Configuration::from_calls(&settings_document()?.calls());
    for number in 0..volumes {
        configuration.entities.insert(volume_key(&format!("v{number}")), Arc::new(volume_fields("basic")));
    }
    let mut log = Log::open(storage, SEGMENT_BYTES)?;
    let edits = log.head().configuration.diff(&configuration);
    log.commit(new_change("first".into(), 0, edits))?;
    Ok(log)
}

/// Commits one edit, based on the newest version.
pub(super) fn commit_edit(log: &mut Log, id: String, edit: Edit) -> Result<(), MeasureError> {
    let base = log.head().number;
    log.commit(new_change(id, base, vec![edit]))?;
    Ok(())
}

fn new_change(id: String, base: u64, edits: Vec<Edit>) -> Change {
    Change {
        id,
        base,
        actor: "measure".into(),
        reason: "to measure".into(),
        at: 0,
        edits,
        allow: vec![Guard::Removal, Guard::Cut],
    }
}

pub(super) fn volume_key(name: &str) -> Key {
    Key::new(Kind::Volume, name)
}

pub(super) fn volume_fields(plan: &str) -> Fields {
    let fields = json!({ "size": 1 << 20, "plan": plan, "gateways": 1 });
    serde_json::from_value(fields).unwrap_or_default()
}

/// The edit with this number in the stream: it sets a weight, moves a volume to another plan, or adds or
/// replaces a volume.
pub(super) fn stream_edit(number: u64) -> Edit {
    match number % 10 {
        0 => set(Key::new(Kind::Plan, "basic"), "weight", json!(1.0 + (number % 7) as f64 / 10.0)),
        1..6 => {
            let is_even_round = (number / VOLUMES).is_multiple_of(2);
            let plan = if is_even_round { "priority" } else { "basic" };
            set(volume_key(&format!("v{}", number * 7919 % VOLUMES)), "plan", json!(plan))
        }
        _ => Edit::Put { key: volume_key(&format!("m{}", number % 1000)), fields: volume_fields("basic") },
    }
}

fn set(key: Key, field: &str, value: Value) -> Edit {
    Edit::Set { key, field: field.into(), value }
}

/// Changes committed at a steady rate.
pub(super) struct ChangeStream {
    pub(super) log: Arc<Mutex<Log>>,
    /// Changes per second; the disk may allow fewer.
    pub(super) rate: u64,
    /// Number of the stream's first edit.
    pub(super) first: u64,
}

impl ChangeStream {
    /// Commits changes until the flag is set; returns how many were committed.
    pub(super) fn commit_until(&self, must_stop: &AtomicBool) -> Result<u64, MeasureError> {
        let started = Instant::now();
        let mut committed = 0;
        while !must_stop.load(Ordering::Relaxed) && self.rate > 0 {
            let due = Duration::from_secs_f64(committed as f64 / self.rate as f64);
            std::thread::sleep(due.saturating_sub(started.elapsed()).min(MAX_WAIT));
            if started.elapsed() < due {
                continue;
            }
            let number = self.first + committed;
            let mut log = self.log.lock().map_err(|_| MeasureError::LogPoisoned)?;
            commit_edit(&mut log, format!("s{number}"), stream_edit(number))?;
            committed += 1;
        }
        Ok(committed)
    }
}
