//! The hollow gateways of one process.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use umbertray_nbd_gateway::{Clock, RunningGateway};
use umbertray_routing::Core;

use super::PrepareGateway;
use super::counters::{AppliedVersion, CounterSnapshot, Counters};
use super::host::{CountingCore, record_applied_version};
use crate::change_log;

/// Interval at which the counters of a starting gateway are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of polls of a starting gateway.
const MAX_POLLS: u32 = 2_000;

/// Why a hollow gateway could not be started or stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetError {
    /// The script of a gateway could not be read.
    #[error("{0}")]
    Prepare(String),
    /// A gateway could not listen or open its state.
    #[error("gateway {gateway} could not be started: {error}")]
    Start { gateway: u32, error: io::Error },
    /// A gateway did not shut down cleanly.
    #[error("{0}")]
    Stop(String),
    /// This process has no gateway with that number.
    #[error("this worker process has no gateway {0}")]
    UnknownGateway(u32),
}

/// One hollow gateway of the process.
struct HollowGateway {
    /// File with its script.
    file: PathBuf,
    running: Option<RunningGateway>,
    counters: Arc<Counters>,
}

/// The hollow gateways of a process. Dropping it ends them abruptly.
pub(crate) struct HollowFleet {
    prepare: Arc<PrepareGateway>,
    gateways: BTreeMap<u32, HollowGateway>,
    /// Versions that the gateways applied since [`HollowFleet::take_applied`] was called last.
    applied: Arc<Mutex<Vec<AppliedVersion>>>,
}

impl HollowFleet {
    /// An empty fleet that reads scripts with `prepare`.
    pub(crate) fn new(prepare: Arc<PrepareGateway>) -> HollowFleet {
        HollowFleet { prepare, gateways: BTreeMap::new(), applied: Arc::default() }
    }

    /// Starts a gateway, or restarts it with its previous state folder, as a restarted process would.
    pub(crate) async fn start(&mut self, gateway: u32, file: PathBuf) -> Result<(), FleetError> {
        self.stop(gateway).await?;
        let (settings, options) = (self.prepare)(file.clone()).await.map_err(FleetError::Prepare)?;
        let (clock, counters): (_, Arc<Counters>) = (Clock::start(), Arc::default());
        // Turns are counted over all restarts, all other counters since the last start.
        let turns =
            self.gateways.get(&gateway).map(|hollow| hollow.counters.core_calls.load(Ordering::Relaxed));
        counters.core_calls.store(turns.unwrap_or_default(), Ordering::Relaxed);
        let core = Core::new(settings.clone(), options.seed, clock.now());
        let (applied, host_counters) = (self.applied.clone(), counters.clone());
        record_applied_version(gateway, change_log::version_of(&settings), &counters, &applied);
        let host = CountingCore { core, gateway, counters: host_counters, applied };
        let running =
            umbertray_nbd_gateway::start_with_handler(Box::new(host), clock, settings, options).await;
        let running = running.map_err(|error| FleetError::Start { gateway, error })?;
        self.gateways.insert(gateway, HollowGateway { file, running: Some(running), counters });
        Ok(())
    }

    /// Waits until a gateway has made, or failed to make, `stores` connections to stores, for at most
    /// [`MAX_POLLS`] polls.
    pub(crate) async fn wait_until_connected(&self, gateway: u32, stores: u64) {
        let Some(hollow) = self.gateways.get(&gateway) else { return };
        let counters = &hollow.counters;
        let all_attempted = || {
            counters.connected.load(Ordering::Relaxed) + counters.failed_connections.load(Ordering::Relaxed)
                >= stores
        };
        for _ in 0..MAX_POLLS {
            if all_attempted() {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Shuts a gateway down gracefully, if it runs.
    async fn stop(&mut self, gateway: u32) -> Result<(), FleetError> {
        let running = self.gateways.get_mut(&gateway).and_then(|hollow| hollow.running.take());
        match running {
            Some(running) => running.stop().await.map_err(FleetError::Stop),
            None => Ok(()),
        }
    }

    /// Restarts a gateway with the script with which it was started.
    pub(crate) async fn restart(&mut self, gateway: u32) -> Result<(), FleetError> {
        let file = self.gateways.get(&gateway).map(|hollow| hollow.file.clone());
        self.start(gateway, file.ok_or(FleetError::UnknownGateway(gateway))?).await
    }

    /// Snapshots of all gateways' counters.
    pub(crate) fn snapshots(&self) -> Vec<CounterSnapshot> {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let seen = |(gateway, hollow): (&u32, &HollowGateway)| CounterSnapshot {
            gateway: *gateway,
            core_calls: load(&hollow.counters.core_calls),
            listed: load(&hollow.counters.listed),
            complete_lists: load(&hollow.counters.complete_lists),
            deltas: load(&hollow.counters.deltas),
            connected: load(&hollow.counters.connected),
            failed_connections: load(&hollow.counters.failed_connections),
            version: load(&hollow.counters.version),
            is_finished: hollow.running.as_ref().is_none_or(RunningGateway::has_ended),
        };
        self.gateways.iter().map(seen).collect()
    }

    /// Removes and returns the versions that the gateways applied since the last call.
    pub(crate) fn take_applied(&self) -> Vec<AppliedVersion> {
        std::mem::take(&mut *self.applied.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
