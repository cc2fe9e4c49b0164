//! All counters of a fleet at one instant.

use std::time::Instant;

use umbertray_fakes::traffic::TrafficCounts;

use super::Stage;
use super::usage::{ProcessUsage, process_usage};
use crate::ScaleError;
use crate::relays::Relays;
use crate::worker_process::WorkerProcess;

/// All that is counted, at one instant.
pub(super) struct Sample {
    pub(super) at: Instant,
    pub(super) workers: Vec<ProcessUsage>,
    pub(super) real: Vec<ProcessUsage>,
    pub(super) coordinator: ProcessUsage,
    pub(super) relays: Vec<ProcessUsage>,
    pub(super) list: ProcessUsage,
    pub(super) stores: Vec<ProcessUsage>,
    pub(super) list_traffic: TrafficCounts,
    pub(super) link_traffic: TrafficCounts,
    pub(super) turns: u64,
}

impl Stage {
    /// Reads all counters.
    pub(super) async fn sample(&mut self) -> Result<Sample, ScaleError> {
        let (list_traffic, link_traffic) = self.traffic().await?;
        let (_, turns) = self.look().await?;
        let of =
            |workers: &[WorkerProcess]| workers.iter().map(|worker| process_usage(worker.id())).collect();
        Ok(Sample {
            at: Instant::now(),
            workers: of(&self.workers),
            real: self.real.iter().map(|process| process_usage(process.id())).collect(),
            coordinator: process_usage(self.coordinator.id()),
            relays: self.relays.iter().flat_map(Relays::ids).map(process_usage).collect(),
            list: process_usage(self.list.id()),
            stores: of(&self.stores),
            list_traffic,
            link_traffic,
            turns,
        })
    }
}
