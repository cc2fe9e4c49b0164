//! The hollow gateways of one process.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use umbertray_nbd_gateway::{Clock, RunningGateway};
use umbertray_routing::Core;

use super::Prepare;
use super::counters::{Acted, Counters, Seen};
use super::host::{CountingCore, record_version};
use crate::change_log;

/// Interval at which a gateway that starts is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How often a gateway that starts is polled at most.
const MAX_POLLS: u32 = 2_000;

/// Why a hollow gateway could not be started or stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FleetError {
    /// Its script could not be read.
    #[error("{0}")]
    Prepare(String),
    /// It could not listen or open its state.
    #[error("gateway {gateway}: {error}")]
    Start { gateway: u32, error: io::Error },
    /// It did not shut down as it should.
    #[error("{0}")]
    Stop(String),
    /// This process has no gateway of that number.
    #[error("there is no gateway {0} here")]
    Unknown(u32),
}

/// One hollow gateway of the process.
struct HollowGateway {
    file: PathBuf,
    running: Option<RunningGateway>,
    counters: Arc<Counters>,
}

/// The hollow gateways of a process. Dropping it ends them at once.
pub(crate) struct HollowFleet {
    prepare: Arc<Prepare>,
    gateways: BTreeMap<u32, HollowGateway>,
    acted: Arc<Mutex<Vec<Acted>>>,
}

impl HollowFleet {
    /// An empty fleet that reads scripts by `prepare`.
    pub(crate) fn new(prepare: Arc<Prepare>) -> HollowFleet {
        HollowFleet { prepare, gateways: BTreeMap::new(), acted: Arc::default() }
    }

    /// Starts a gateway, or restarts it on the state folder that it had, as a restarted process would.
    pub(crate) async fn start(&mut self, gateway: u32, file: PathBuf) -> Result<(), FleetError> {
        self.stop(gateway).await?;
        let (settings, options) = (self.prepare)(file.clone()).await.map_err(FleetError::Prepare)?;
        let (clock, counters): (_, Arc<Counters>) = (Clock::start(), Arc::default());
        // Turns are counted over all restarts, everything else since the last one.
        let turns = self.gateways.get(&gateway).map(|hollow| hollow.counters.turns.load(Ordering::Relaxed));
        counters.turns.store(turns.unwrap_or_default(), Ordering::Relaxed);
        let core = Core::new(settings.clone(), options.seed, clock.now());
        let (acted, host_counters) = (self.acted.clone(), counters.clone());
        record_version(gateway, change_log::version(&settings), &counters, &acted);
        let host = CountingCore { core, gateway, counters: host_counters, acted };
        let running = umbertray_nbd_gateway::start_hosting(Box::new(host), clock, settings, options).await;
        let running = running.map_err(|error| FleetError::Start { gateway, error })?;
        self.gateways.insert(gateway, HollowGateway { file, running: Some(running), counters });
        Ok(())
    }

    /// Returns once a gateway has made or failed to make a connection to each of `stores` stores, or after
    /// [`MAX_POLLS`] looks.
    pub(crate) async fn wait_until_connected(&self, gateway: u32, stores: u64) {
        let Some(hollow) = self.gateways.get(&gateway) else { return };
        let counters = &hollow.counters;
        let over =
            || counters.linked.load(Ordering::Relaxed) + counters.refused.load(Ordering::Relaxed) >= stores;
        for _ in 0..MAX_POLLS {
            if over() {
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

    /// Restarts a gateway on the script that it was started on.
    pub(crate) async fn restart(&mut self, gateway: u32) -> Result<(), FleetError> {
        let file = self.gateways.get(&gateway).map(|hollow| hollow.file.clone());
        self.start(gateway, file.ok_or(FleetError::Unknown(gateway))?).await
    }

    /// Snapshots of all gateways' counters.
    pub(crate) fn snapshots(&self) -> Vec<Seen> {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let seen = |(gateway, hollow): (&u32, &HollowGateway)| Seen {
            gateway: *gateway,
            turns: of(&hollow.counters.turns),
            listed: of(&hollow.counters.listed),
            whole_lists: of(&hollow.counters.whole_lists),
            deltas: of(&hollow.counters.deltas),
            linked: of(&hollow.counters.linked),
            refused: of(&hollow.counters.refused),
            version: of(&hollow.counters.version),
            over: hollow.running.as_ref().is_none_or(RunningGateway::has_ended),
        };
        self.gateways.iter().map(seen).collect()
    }

    /// Takes what was acted on since the last call.
    pub(crate) fn take_acted(&self) -> Vec<Acted> {
        std::mem::take(&mut *self.acted.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
