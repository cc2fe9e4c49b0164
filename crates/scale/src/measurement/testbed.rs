//! A running fleet: its processes, and the commands to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use rand::rngs::StdRng;
use umbertray_fakes::traffic::TrafficCounts;
use umbertray_fault_tests::process::Process;

use super::ZONES;
use super::usage::process_usage;
use crate::ScaleError;
use crate::change_log::Writer;
use crate::hollow::{self, AppliedVersion, CounterSnapshot};
use crate::plan::{Demand, Plan};
use crate::relays::Relays;
use crate::worker::{Reply, StoreEntry, WorkerCommand};
use crate::worker_process::WorkerProcess;

/// Time limit for all gateways to hold the complete list and to try all connections, and to apply the last
/// change.
pub(super) const STEADY_TIMEOUT: Duration = Duration::from_secs(240);

/// Interval at which the workers' observations are polled.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for a gateway or coordinator process to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A running fleet. Dropping it ends all its processes.
pub struct Testbed {
    /// The plan of the run.
    pub(crate) plan: Plan,
    /// The resources that the plan needs.
    pub(crate) demand: Demand,
    /// Process of the endpoint list.
    pub(crate) list: WorkerProcess,
    /// Address of the endpoint list.
    pub(crate) list_address: SocketAddr,
    /// The entries of the endpoint list.
    pub(crate) listed_stores: Vec<StoreEntry>,
    /// Processes of stand-in stores.
    pub(super) store_processes: Vec<WorkerProcess>,
    /// Processes of hollow gateways.
    pub(crate) workers: Vec<WorkerProcess>,
    /// Numbers of the gateways in each process of `workers`.
    pub(crate) gateways_of_workers: Vec<Vec<u32>>,
    /// Processes of real gateways.
    pub(super) real: Vec<Process>,
    /// The relays, if the plan has some.
    pub(super) relays: Option<Relays>,
    /// Process of the coordinator.
    pub(crate) coordinator: Process,
    /// Address of the coordinator.
    pub(crate) coordinator_address: SocketAddr,
    /// Folder for the run's scripts, logs and state.
    pub(crate) folder: PathBuf,
    /// Writer of the change log.
    pub(super) writer: Writer,
    /// When each version was committed, in microseconds since 1970.
    pub(crate) committed_at: BTreeMap<u64, u64>,
    /// Versions that hollow gateways applied.
    pub(crate) applied: Vec<AppliedVersion>,
    /// Random generator that chooses the gateways to restart.
    pub(super) rng: StdRng,
    /// How long the gateways took to become steady.
    pub(crate) start_duration: Duration,
    /// Bytes on list and store connections during the start.
    pub(crate) start_bytes: u64,
    /// Number of restarts of hollow gateways by the plan's schedule.
    pub(super) restarts: u32,
}

impl Testbed {
    /// Lists all stores of a zone as gone, or as restarted with empty caches; returns the number of stores in
    /// the zone.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if the list's process does not execute the command.
    pub async fn set_zone_present(&mut self, zone: u32, present: bool) -> Result<u32, ScaleError> {
        self.list.request(&WorkerCommand::Zone { zone, present }).await?;
        Ok((1..=self.plan.stores).filter(|store| store % ZONES == zone).count() as u32)
    }

    /// Returns the counters of all hollow gateways and the sum of their turns, and records the versions that
    /// they have applied.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if a worker process does not reply.
    pub async fn observe(&mut self) -> Result<(Vec<CounterSnapshot>, u64), ScaleError> {
        for worker in &mut self.workers {
            worker.send(&WorkerCommand::Observe).await?;
        }
        let mut all = Vec::new();
        for worker in &mut self.workers {
            if let Reply::Observed(observations) = worker.receive().await? {
                all.extend(observations.gateways);
                self.applied.extend(observations.applied);
            }
        }
        let turns = all.iter().map(|seen| seen.core_calls).sum();
        Ok((all, turns))
    }

    /// Traffic on the connections of the list, and on those of all stores, since their start.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if a worker process does not reply.
    pub async fn traffic(&mut self) -> Result<(TrafficCounts, TrafficCounts), ScaleError> {
        let list = self.list.observe().await?.traffic;
        let mut links = TrafficCounts::default();
        for store in &mut self.store_processes {
            links = links + store.observe().await?.traffic;
        }
        Ok((list, links))
    }

    /// Commits a change of the configuration.
    pub(crate) fn commit_change(&mut self) -> Result<(), ScaleError> {
        let version = tokio::task::block_in_place(|| self.writer.commit_change())?;
        self.committed_at.insert(version, hollow::unix_time_us());
        Ok(())
    }

    /// Resident memory of all processes of hollow gateways, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        self.workers.iter().map(|worker| process_usage(worker.id()).rss).sum()
    }

    /// Ends all processes. Returns a message for each gateway or coordinator process that did not exit
    /// cleanly.
    pub async fn stop(self) -> Vec<String> {
        let mut failures = Vec::new();
        for (number, process) in self.real.into_iter().enumerate() {
            if !process.stop(EXIT_TIMEOUT).await.is_ok_and(|(_, is_clean)| is_clean) {
                failures.push(format!("real gateway {number} did not exit cleanly"));
            }
        }
        if !self.coordinator.stop(EXIT_TIMEOUT).await.is_ok_and(|(_, is_clean)| is_clean) {
            failures.push("the coordinator did not exit cleanly".into());
        }
        for worker in self.workers.into_iter().chain(self.store_processes).chain([self.list]) {
            worker.shut_down().await;
        }
        failures
    }
}
