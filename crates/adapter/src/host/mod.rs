//! Hosting: one scheduler for each instance of the wire.

mod instance;

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use self::instance::Instance;
use crate::codec::{Batch, Entry, Item, Record, Reply};
use crate::error::Malformed;

/// The wire counts whole microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// A time of the wire, in seconds; negative ones count as zero.
fn wire_duration(seconds: f64) -> Duration {
    Duration::from_micros((seconds.max(0.0) * MICROS_PER_SECOND).round() as u64)
}

/// Sheets of list entries by their number, as registries refer to them.
type Sheets = HashMap<u32, Vec<Entry>>;

/// All instances that run, and the sheets that they share.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    sheets: Sheets,
}

impl Host {
    /// Hands each instance its events of the batch and collects what they ask for.
    ///
    /// # Errors
    ///
    /// A registry with an unknown scope or a sheet that was not sent.
    pub fn handle(&mut self, batch: Batch) -> Result<Reply, Malformed> {
        let mut touched = Vec::new();
        for item in batch.items {
            if let Some(instance) = self.receive(item)?
                && !touched.contains(&instance)
            {
                touched.push(instance);
            }
        }
        let now = wire_duration(batch.now);
        let mut reply = Reply::default();
        for id in touched {
            if let Some(instance) = self.instances.get_mut(&id) {
                run(id, instance, now, &mut reply);
            }
        }
        Ok(reply)
    }

    /// Takes in one item; gives the instance that it concerns, if that runs.
    fn receive(&mut self, item: Item) -> Result<Option<u16>, Malformed> {
        let (id, record) = match item {
            Item::Sheet { page, entries } => {
                self.sheets.insert(page, entries);
                return Ok(None);
            }
            Item::For { instance, record } => (instance, record),
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

/// Lets an instance decide on its events. A panic there ends just that instance.
fn run(id: u16, instance: &mut Instance, now: Duration, reply: &mut Reply) {
    match catch_unwind(AssertUnwindSafe(|| instance.decide(now))) {
        Ok(actions) => {
            for action in actions {
                instance.apply_action(id, action, reply);
            }
        }
        Err(_) => reply.fatal(id, "the decision module panicked"),
    }
}
