//! Disruptions of a fleet, one after another: the memory, traffic and time that each costs until the fleet is
//! steady again.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use crate::ScaleError;
use crate::fit::Quantiles;
use crate::hollow::CounterSnapshot;
use crate::measurement::{
    MIB, Setup, Start, Testbed, apply_delays, load_average, start_coordinator, start_list, start_worker,
};
use crate::plan::Plan;
use crate::worker::{Reply, WorkerCommand};

/// How long the list's process stays paused. Half of it is the wait between the start and the next
/// disruption.
const PAUSE: Duration = Duration::from_secs(10);
/// Time limit for a fleet to become steady again.
const STEADY_TIMEOUT: Duration = Duration::from_secs(180);
/// Interval at which gateways are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The record of one disruption, measured over all hollow gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Disruption {
    /// Description of the disruption.
    #[serde(rename = "moment")]
    pub description: String,
    /// Gateways of the fleet, real and hollow.
    pub gateways: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Of those stores, the ones that accept connections.
    pub answering: u32,
    /// Resident memory of the hollow gateways' processes after the disruption, in MiB.
    pub rss_total_mb: f64,
    /// Bytes on the connections of list and stores, in both directions, per gateway.
    #[serde(rename = "bytes_a_gateway")]
    pub bytes_per_gateway: f64,
    /// Seconds until the last gateway was steady again.
    pub steady_seconds: f64,
    /// Seconds from the commit of a change during the disruption until a gateway applied it, over all
    /// gateways.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    #[serde(rename = "in_force_seconds")]
    pub apply_delay_seconds: Option<Quantiles>,
    /// The machine's load average over the last minute, after the disruption.
    pub load: f64,
    /// Messages about properties that did not hold.
    pub broken: Vec<String>,
}

/// A disruption that has begun, with the state at its start.
struct OngoingDisruption {
    description: &'static str,
    started_at: Instant,
    /// Bytes on the connections of list and stores before the disruption.
    bytes: u64,
}

impl Testbed {
    /// Bytes on the connections of list and stores since the start.
    async fn traffic_bytes(&mut self) -> Result<u64, ScaleError> {
        let (list, links) = self.traffic().await?;
        Ok(list.bytes() + links.bytes())
    }

    /// Records the start of a disruption, and discards the records of earlier changes.
    async fn begin_disruption(&mut self, description: &'static str) -> Result<OngoingDisruption, ScaleError> {
        tracing::info!(moment = description, "disruption started");
        self.committed_at.clear();
        self.applied.clear();
        Ok(OngoingDisruption { description, bytes: self.traffic_bytes().await?, started_at: Instant::now() })
    }

    /// Waits until `is_steady` holds for all hollow gateways; returns the number of those for which it does
    /// not hold after [`STEADY_TIMEOUT`].
    async fn wait_for_all(
        &mut self,
        is_steady: impl Fn(&CounterSnapshot) -> bool,
    ) -> Result<usize, ScaleError> {
        let deadline = Instant::now() + STEADY_TIMEOUT;
        loop {
            let (seen, _) = self.observe().await?;
            let late = seen.iter().filter(|seen| !is_steady(seen)).count();
            if late == 0 || Instant::now() > deadline {
                return Ok(late);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Measures a disruption that has ended; `late` gateways were not steady in time.
    async fn finish_disruption(
        &mut self,
        ongoing: OngoingDisruption,
        late: usize,
    ) -> Result<Disruption, ScaleError> {
        let steady = ongoing.started_at.elapsed();
        let bytes = self.traffic_bytes().await?.saturating_sub(ongoing.bytes);
        let (seen, _) = self.observe().await?;
        let ended = seen.iter().filter(|seen| seen.is_finished).count();
        let mut broken = Vec::new();
        if late > 0 {
            broken.push(format!("{late} gateways were not steady within {STEADY_TIMEOUT:?}"));
        }
        if ended > 0 {
            broken.push(format!("{ended} gateways ended early"));
        }
        Ok(self.disruption_record(ongoing.description, bytes, steady, broken))
    }

    /// The record of a disruption.
    fn disruption_record(
        &self,
        description: &str,
        bytes: u64,
        steady: Duration,
        broken: Vec<String>,
    ) -> Disruption {
        Disruption {
            description: description.into(),
            gateways: self.plan.gateways,
            stores: self.plan.stores,
            answering: self.demand.answering,
            rss_total_mb: self.resident_bytes() as f64 / MIB,
            bytes_per_gateway: bytes as f64 / f64::from(self.plan.gateways),
            steady_seconds: steady.as_secs_f64(),
            apply_delay_seconds: apply_delays(&self.committed_at, &self.applied),
            load: load_average(),
            broken,
        }
    }

    /// All stores of a zone are listed as gone, then all as restarted with empty caches.
    async fn zone_removed_and_restored(&mut self) -> Result<Vec<Disruption>, ScaleError> {
        let mut records = Vec::new();
        for (description, present) in [("a zone gone", false), ("a zone back, cold", true)] {
            let (seen, _) = self.observe().await?;
            let before = seen.iter().map(|seen| seen.deltas).max().unwrap_or_default();
            let ongoing = self.begin_disruption(description).await?;
            let notified = u64::from(self.set_zone_present(1, present).await?);
            // A gateway that lags too far behind receives a complete list instead of the changes.
            let late =
                self.wait_for_all(|seen| seen.deltas >= before + notified || seen.complete_lists > 1).await?;
            records.push(self.finish_disruption(ongoing, late).await?);
        }
        Ok(records)
    }

    /// The list's process is paused, a change is committed meanwhile, and the process is resumed.
    async fn list_paused(&mut self) -> Result<Disruption, ScaleError> {
        let ongoing = self.begin_disruption("the list stopped for 10 s").await?;
        self.list.signal(Signal::SIGSTOP)?;
        self.commit_change()?;
        let behind = self.wait_until_applied().await?;
        tokio::time::sleep(PAUSE.saturating_sub(ongoing.started_at.elapsed())).await;
        self.list.signal(Signal::SIGCONT)?;
        self.finish_disruption(ongoing, behind.len()).await
    }

    /// The list's process is killed and restarted at its address, so that all gateways reconnect and receive
    /// a complete list.
    async fn list_killed(&mut self, setup: &Setup) -> Result<Disruption, ScaleError> {
        let (seen, _) = self.observe().await?;
        let lists_before: std::collections::BTreeMap<u32, u64> =
            seen.iter().map(|seen| (seen.gateway, seen.complete_lists)).collect();
        let mut ongoing = self.begin_disruption("the list killed, back at once").await?;
        let (list, _) = self.traffic().await?;
        self.list.kill().await?;
        // The new process counts its traffic from zero.
        ongoing.bytes = ongoing.bytes.saturating_sub(list.bytes());
        self.commit_change()?;
        self.list = start_worker(setup, &self.folder, "list-again")?;
        start_list(&mut self.list, self.list_address, &self.listed_stores).await?;
        let late = self
            .wait_for_all(|seen| {
                lists_before.get(&seen.gateway).is_some_and(|before| seen.complete_lists > *before)
            })
            .await?;
        self.wait_until_applied().await?;
        self.finish_disruption(ongoing, late).await
    }

    /// The coordinator is killed and restarted at its address, and a change is committed meanwhile.
    async fn coordinator_killed(&mut self, setup: &Setup) -> Result<Disruption, ScaleError> {
        let ongoing = self.begin_disruption("the keeper killed, back at once").await?;
        self.coordinator.kill().await.map_err(ScaleError::io("the coordinator cannot be killed"))?;
        self.commit_change()?;
        (self.coordinator, _) =
            start_coordinator(setup, &self.folder, self.coordinator_address, self.list_address).await?;
        let behind = self.wait_until_applied().await?;
        self.finish_disruption(ongoing, behind.len()).await
    }

    /// All hollow gateways are restarted; those of one process one after another.
    async fn all_restarted(&mut self) -> Result<Disruption, ScaleError> {
        let ongoing = self.begin_disruption("all gateways restarted").await?;
        for (worker, gateways) in self.workers.iter_mut().zip(&self.gateways_of_workers) {
            for gateway in gateways {
                worker.send(&WorkerCommand::Restart { gateway: *gateway }).await?;
            }
        }
        for (worker, gateways) in self.workers.iter_mut().zip(&self.gateways_of_workers) {
            for _ in gateways {
                match worker.receive().await? {
                    Reply::Done => {}
                    reply => return Err(ScaleError::NotRestarted { reply }),
                }
            }
        }
        let since = ongoing.started_at;
        self.wait_until_steady(since).await?;
        self.finish_disruption(ongoing, 0).await
    }
}

/// Starts a fleet with all gateways at once, which is the first disruption, and causes the other disruptions
/// one after another. `each` receives every record as soon as its disruption has been measured.
///
/// # Errors
/// [`ScaleError`] if the plan is rejected, a process cannot be started, or a worker process does not execute
/// a command.
pub async fn run_disruptions(
    plan: &Plan,
    setup: &Setup,
    each: &mut (dyn FnMut(&Disruption) + Send),
) -> Result<(), ScaleError> {
    let mut testbed = Testbed::start(plan, setup, Start::AtOnce, "moments").await?;
    let (bytes, duration) = (testbed.start_bytes, testbed.start_duration);
    each(&testbed.disruption_record("all gateways started at once", bytes, duration, Vec::new()));
    tokio::time::sleep(PAUSE / 2).await;
    testbed.zone_removed_and_restored().await?.iter().for_each(&mut *each);
    each(&testbed.list_paused().await?);
    each(&testbed.list_killed(setup).await?);
    each(&testbed.coordinator_killed(setup).await?);
    each(&testbed.all_restarted().await?);
    testbed.stop().await;
    Ok(())
}
