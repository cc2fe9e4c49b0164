//! A wrapper around the product's core that counts its inputs and calls; a gateway's event loop hosts it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use umbertray_routing::{Core, Input, Output, RequestHandler};

use super::counters::{AppliedVersion, Counters, increase, unix_time_us};
use crate::change_log;

/// Maximum number of records of applied versions that a process holds. The run fetches them at least once a
/// second.
///
/// Hazard: without a bound, memory would grow without limit in a run that never fetches them.
const MAX_RECORDS: usize = 1 << 20;

/// The product's core, with counters of its inputs and calls.
pub(super) struct CountingCore {
    pub(super) core: Core,
    pub(super) gateway: u32,
    pub(super) counters: Arc<Counters>,
    pub(super) applied: Arc<Mutex<Vec<AppliedVersion>>>,
}

impl RequestHandler for CountingCore {
    fn open_requests(&self) -> usize {
        self.core.open_requests()
    }

    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        increase(&self.counters.core_calls, 1);
        let mut version = None;
        for input in &inputs {
            self.counters.count_input(input);
            if let Input::SettingsChanged { settings, .. } = input {
                version = Some(change_log::version_of(settings));
            }
        }
        let outputs = self.core.handle(now, inputs);
        version
            .into_iter()
            .for_each(|version| record_applied_version(self.gateway, version, &self.counters, &self.applied));
        outputs
    }
}

/// Records that a gateway applied a version.
pub(super) fn record_applied_version(
    gateway: u32,
    version: u64,
    counters: &Counters,
    applied: &Mutex<Vec<AppliedVersion>>,
) {
    counters.version.store(version, Ordering::Relaxed);
    let mut applied = applied.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    if applied.len() < MAX_RECORDS {
        applied.push(AppliedVersion { gateway, version, at: unix_time_us() });
    }
}
