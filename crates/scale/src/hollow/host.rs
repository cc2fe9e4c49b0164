//! The product's core with counters around it, as a gateway's event loop hosts it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use umbertray_routing::{Core, Input, Output, RequestHandler};

use super::counters::{Acted, Counts, add, now};
use crate::change_log;

/// Most records of versions acted on that are held until they are taken. Whoever reads them does so each second or sooner.
///
/// Hazard: without a bound, a run that never reads them would grow without end.
const MOST_ACTED: usize = 1 << 20;

/// The product's core, with counters around it.
pub(super) struct Counted {
    pub(super) core: Core,
    pub(super) gateway: u32,
    pub(super) counts: Arc<Counts>,
    pub(super) acted: Arc<Mutex<Vec<Acted>>>,
}

impl RequestHandler for Counted {
    fn open_requests(&self) -> usize {
        self.core.open_requests()
    }

    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        add(&self.counts.turns, 1);
        let mut version = None;
        for input in &inputs {
            self.counts.hear(input);
            if let Input::SettingsChanged { settings, .. } = input {
                version = Some(change_log::version(settings));
            }
        }
        let outputs = self.core.handle(now, inputs);
        version.into_iter().for_each(|version| note(self.gateway, version, &self.counts, &self.acted));
        outputs
    }
}

/// Records that a gateway acted on a version.
pub(super) fn note(gateway: u32, version: u64, counts: &Counts, acted: &Mutex<Vec<Acted>>) {
    counts.version.store(version, Ordering::Relaxed);
    let mut acted = acted.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if acted.len() < MOST_ACTED {
        acted.push(Acted { gateway, version, at: now() });
    }
}
