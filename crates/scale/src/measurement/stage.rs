//! A running fleet and what can be asked of it.

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
use crate::hollow::{self, Acted, Seen};
use crate::plan::{Demand, Plan};
use crate::relays::Relays;
use crate::worker::{NamedStore, Order, Reply};
use crate::worker_process::WorkerProcess;

/// Time that all gateways may take to hold the full list, and to act on the last change.
pub(super) const STEADY_TIMEOUT: Duration = Duration::from_secs(240);

/// Interval at which workers are asked for what they have observed.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a product process has to exit after it was asked to.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A running fleet; its processes end with it.
pub struct Stage {
    /// What was planned.
    pub(crate) plan: Plan,
    /// What the plan needs.
    pub(crate) demand: Demand,
    /// The endpoint list.
    pub(crate) list: WorkerProcess,
    /// The list's address.
    pub(crate) list_address: SocketAddr,
    /// The stores that the list names.
    pub(crate) listed_stores: Vec<NamedStore>,
    /// Processes of stand-in stores.
    pub(super) stores: Vec<WorkerProcess>,
    /// Processes of hollow gateways.
    pub(crate) workers: Vec<WorkerProcess>,
    /// The gateways of each worker.
    pub(crate) gateways_of_workers: Vec<Vec<u32>>,
    /// Processes of real gateways.
    pub(super) real: Vec<Process>,
    /// The relays, where the plan has some.
    pub(super) relays: Option<Relays>,
    /// The coordinator.
    pub(crate) coordinator: Process,
    /// The coordinator's address.
    pub(crate) coordinator_address: SocketAddr,
    /// Folder for the run's scripts, logs and state.
    pub(crate) folder: PathBuf,
    /// Writes the change log.
    pub(super) writer: Writer,
    /// When each version was committed, in microseconds since 1970.
    pub(crate) committed_at: BTreeMap<u64, u64>,
    /// What hollow gateways acted on, and when.
    pub(crate) acted: Vec<Acted>,
    /// Chooses the gateways to restart.
    pub(super) rng: StdRng,
    /// How long the gateways took to become steady.
    pub(crate) start_duration: Duration,
    /// Bytes of list and store connections that the start took.
    pub(crate) start_bytes: u64,
    /// Gateways that were restarted.
    pub(super) restarts: u32,
}

impl Stage {
    /// Marks all stores of a zone as gone, or as back with empty caches; returns how many the zone has.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if the list's process does not follow the order.
    pub async fn zone(&mut self, zone: u32, there: bool) -> Result<u32, ScaleError> {
        self.list.request(&Order::Zone { zone, there }).await?;
        Ok((1..=self.plan.stores).filter(|store| store % ZONES == zone).count() as u32)
    }

    /// Snapshots of the hollow gateways and the sum of their turns; what they acted on is recorded.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if a worker process does not reply.
    pub async fn look(&mut self) -> Result<(Vec<Seen>, u64), ScaleError> {
        for worker in &mut self.workers {
            worker.send(&Order::Look).await?;
        }
        let mut all = Vec::new();
        for worker in &mut self.workers {
            if let Reply::Looked(look) = worker.receive().await? {
                all.extend(look.gateways);
                self.acted.extend(look.acted);
            }
        }
        let turns = all.iter().map(|seen| seen.turns).sum();
        Ok((all, turns))
    }

    /// What crossed the sockets of the list, and of all stores, since the start.
    ///
    /// # Errors
    /// [`ScaleError::Worker`] if a worker process does not reply.
    pub async fn traffic(&mut self) -> Result<(TrafficCounts, TrafficCounts), ScaleError> {
        let list = self.list.observe().await?.traffic;
        let mut links = TrafficCounts::default();
        for store in &mut self.stores {
            links = links + store.observe().await?.traffic;
        }
        Ok((list, links))
    }

    /// Commits a change of the configuration.
    pub(crate) fn change(&mut self) -> Result<(), ScaleError> {
        let version = tokio::task::block_in_place(|| self.writer.commit_change())?;
        self.committed_at.insert(version, hollow::now());
        Ok(())
    }

    /// Resident memory of all hollow gateways' processes, in bytes.
    pub(crate) fn resident_bytes(&self) -> u64 {
        self.workers.iter().map(|worker| process_usage(worker.id()).rss).sum()
    }

    /// Ends all processes; returns a message for each that did not exit as it should.
    pub async fn end(self) -> Vec<String> {
        let mut failures = Vec::new();
        for (number, process) in self.real.into_iter().enumerate() {
            if !process.stop(EXIT_TIMEOUT).await.is_ok_and(|(_, well)| well) {
                failures.push(format!("real gateway {number} did not end well"));
            }
        }
        if !self.coordinator.stop(EXIT_TIMEOUT).await.is_ok_and(|(_, well)| well) {
            failures.push("the keeper did not end well".into());
        }
        for worker in self.workers.into_iter().chain(self.stores).chain([self.list]) {
            worker.shut_down().await;
        }
        failures
    }
}
