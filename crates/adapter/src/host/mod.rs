//! Hosting of instances: one scheduler for each.

mod instance;

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use self::instance::Instance;
use crate::codec::{Batch, Entry, Item, Record, Reply};
use crate::error::Malformed;

/// The resolution of times on the wire is one microsecond.
const MICROS_PER_SECOND: f64 = 1e6;

/// Converts a wire time in seconds; negative values are treated as zero.
fn wire_duration(seconds: f64) -> Duration {
    Duration::from_micros((seconds.max(0.0) * MICROS_PER_SECOND).round() as u64)
}

/// Sheets of endpoint list entries by number, to which registry records refer.
type Sheets = HashMap<u32, Vec<Entry>>;

/// All running instances, and the sheets that they share.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    sheets: Sheets,
}

impl Host {
    /// Delivers the events of a batch to their instances and collects the resulting actions.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a registry record has an unknown scope or refers to a sheet that was not sent.
    pub fn handle(&mut self, batch: Batch) -> Result<Reply, Malformed> {
        let mut affected = Vec::new();
        for item in batch.items {
            if let Some(instance) = self.receive(item)?
                && !affected.contains(&instance)
            {
                affected.push(instance);
            }
        }
        let now = wire_duration(batch.now);
        let mut reply = Reply::default();
        for id in affected {
            if let Some(instance) = self.instances.get_mut(&id) {
                run_scheduler(id, instance, now, &mut reply);
            }
        }
        Ok(reply)
    }

    /// Processes one item; returns the instance that it concerns, if that is running.
    fn receive(&mut self, item: Item) -> Result<Option<u16>, Malformed> {
        let (id, record) = match item {
            Item::Sheet { page, entries } => {
                self.sheets.insert(page, entries);
                return Ok(None);
            }
            Item::Event { instance, record } => (instance, record),
        };
        match record {
            Record::Stop => {
                self.instances.remove(&id);
                return Ok(None);
            }
            Record::OpenInstance { .. } => {
                self.instances.insert(id, Instance::default());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(None) };
        instance.receive(&record, &self.sheets)?;
        Ok(Some(id))
    }
}

/// Runs an instance's scheduler on its events. A panic there fails only this instance.
fn run_scheduler(id: u16, instance: &mut Instance, now: Duration, reply: &mut Reply) {
    match catch_unwind(AssertUnwindSafe(|| instance.decide(now))) {
        Ok(actions) => {
            for action in actions {
                instance.apply_action(id, action, reply);
            }
        }
        Err(_) => reply.fatal(id, "the scheduler panicked"),
    }
}
