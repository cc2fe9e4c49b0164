//! A sample of all counters of a fleet.

use std::time::Instant;

use umbertray_fakes::traffic::TrafficCounts;

use super::Testbed;
use super::usage::{ProcessUsage, process_usage};
use crate::ScaleError;
use crate::relays::Relays;
use crate::worker_process::WorkerProcess;

/// All counters of a fleet, read at about the same time.
pub(super) struct Sample {
    /// When the processes' usage was read.
    pub(super) at: Instant,
    /// Processes of hollow gateways.
    pub(super) workers: Vec<ProcessUsage>,
    /// Processes of real gateways.
    pub(super) real: Vec<ProcessUsage>,
    pub(super) coordinator: ProcessUsage,
    pub(super) relays: Vec<ProcessUsage>,
    pub(super) list: ProcessUsage,
    /// Processes of stand-in stores.
    pub(super) stores: Vec<ProcessUsage>,
    pub(super) list_traffic: TrafficCounts,
    pub(super) link_traffic: TrafficCounts,
    /// Calls of the cores of all hollow gateways.
    pub(super) turns: u64,
}

impl Testbed {
    /// Reads all counters.
    pub(super) async fn sample(&mut self) -> Result<Sample, ScaleError> {
        let (list_traffic, link_traffic) = self.traffic().await?;
        let (_, turns) = self.observe().await?;
        let usage =
            |workers: &[WorkerProcess]| workers.iter().map(|worker| process_usage(worker.id())).collect();
        Ok(Sample {
            at: Instant::now(),
            workers: usage(&self.workers),
            real: self.real.iter().map(|process| process_usage(process.id())).collect(),
            coordinator: process_usage(self.coordinator.id()),
            relays: self.relays.iter().flat_map(Relays::process_ids).map(process_usage).collect(),
            list: process_usage(self.list.id()),
            stores: usage(&self.store_processes),
            list_traffic,
            link_traffic,
            turns,
        })
    }
}
