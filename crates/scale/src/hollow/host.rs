//! The product's core with counters around it, as a gateway's event loop hosts it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use umbertray_routing::{Core, Input, Output, RequestHandler};

use super::counters::{Acted, Counters, increase, now};
use crate::change_log;

/// Most records of versions acted on that are held until they are taken. Whoever reads them does so each
/// second or sooner.
///
/// Hazard: without a bound, a run that never reads them would grow without end.
const MAX_RECORDS: usize = 1 << 20;

/// The product's core, with counters around it.
pub(super) struct CountingCore {
    pub(super) core: Core,
    pub(super) gateway: u32,
    pub(super) counters: Arc<Counters>,
    pub(super) acted: Arc<Mutex<Vec<Acted>>>,
}

impl RequestHandler for CountingCore {
    fn open_requests(&self) -> usize {
        self.core.open_requests()
    }

    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        increase(&self.counters.turns, 1);
        let mut version = None;
        for input in &inputs {
            self.counters.count_input(input);
            if let Input::SettingsChanged { settings, .. } = input {
                version = Some(change_log::version(settings));
            }
        }
        let outputs = self.core.handle(now, inputs);
        version
            .into_iter()
            .for_each(|version| record_version(self.gateway, version, &self.counters, &self.acted));
        outputs
    }
}

/// Records that a gateway acted on a version.
pub(super) fn record_version(gateway: u32, version: u64, counters: &Counters, acted: &Mutex<Vec<Acted>>) {
    counters.version.store(version, Ordering::Relaxed);
    let mut acted = acted.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if acted.len() < MAX_RECORDS {
        acted.push(Acted { gateway, version, at: now() });
    }
}
