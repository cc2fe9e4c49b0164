//! Disruptions of a fleet, one after another: memory, traffic and time that each takes until the fleet is
//! steady again.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use crate::ScaleError;
use crate::fit::Quantiles;
use crate::hollow::Seen;
use crate::measurement::{MB, Setup, Stage, Start, load, spans, start_coordinator, start_list, start_worker};
use crate::plan::Plan;
use crate::worker::{Order, Reply};

/// How long a paused process stays paused.
const PAUSE: Duration = Duration::from_secs(10);
/// How long a fleet may take to become steady again.
const STEADY_TIMEOUT: Duration = Duration::from_secs(180);
/// Interval at which gateways are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One disruption, measured over all hollow gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Moment {
    /// What was done to the fleet.
    pub moment: String,
    /// Gateways of the fleet, real and hollow.
    pub gateways: u32,
    /// Stores that the list names.
    pub stores: u32,
    /// Of those stores, the ones that accept connections.
    pub answering: u32,
    /// Resident memory of the hollow gateways' processes once it was over, in MiB.
    pub rss_total_mb: f64,
    /// Bytes at the sockets of list and stores, both directions, for each gateway.
    pub bytes_a_gateway: f64,
    /// Seconds until the last gateway was steady again.
    pub steady_seconds: f64,
    /// Seconds until a change made meanwhile was in force at each gateway.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub in_force_seconds: Option<Quantiles>,
    /// The machine's load average over a minute, at the end.
    pub load: f64,
    /// Properties that did not hold.
    pub broken: Vec<String>,
}

/// A disruption that has begun.
struct OngoingDisruption {
    moment: &'static str,
    at: Instant,
    bytes: u64,
}

impl Stage {
    /// Bytes that crossed the sockets of list and stores since the start.
    async fn traffic_bytes(&mut self) -> Result<u64, ScaleError> {
        let (list, links) = self.traffic().await?;
        Ok(list.bytes() + links.bytes())
    }

    /// Notes the start of a disruption and forgets the changes before it.
    async fn begin(&mut self, moment: &'static str) -> Result<OngoingDisruption, ScaleError> {
        tracing::info!(moment, "beginning");
        self.committed_at.clear();
        self.acted.clear();
        Ok(OngoingDisruption { moment, bytes: self.traffic_bytes().await?, at: Instant::now() })
    }

    /// Waits until all gateways are as `wanted`; the number of those that are not when the time is up.
    async fn wait_for_all(&mut self, wanted: impl Fn(&Seen) -> bool) -> Result<usize, ScaleError> {
        let end = Instant::now() + STEADY_TIMEOUT;
        loop {
            let (seen, _) = self.look().await?;
            let late = seen.iter().filter(|seen| !wanted(seen)).count();
            if late == 0 || Instant::now() > end {
                return Ok(late);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Measures a disruption that is over.
    async fn finish(&mut self, ongoing: OngoingDisruption, late: usize) -> Result<Moment, ScaleError> {
        let steady = ongoing.at.elapsed();
        let bytes = self.traffic_bytes().await?.saturating_sub(ongoing.bytes);
        let (seen, _) = self.look().await?;
        let ended = seen.iter().filter(|seen| seen.over).count();
        let mut broken = Vec::new();
        if late > 0 {
            broken.push(format!("{late} gateways were not steady in {STEADY_TIMEOUT:?}"));
        }
        if ended > 0 {
            broken.push(format!("{ended} gateways ended early"));
        }
        Ok(self.moment(ongoing.moment, bytes, steady, broken))
    }

    /// The record of a disruption.
    fn moment(&self, moment: &str, bytes: u64, steady: Duration, broken: Vec<String>) -> Moment {
        Moment {
            moment: moment.into(),
            gateways: self.plan.gateways,
            stores: self.plan.stores,
            answering: self.demand.answering,
            rss_total_mb: self.resident_bytes() as f64 / MB,
            bytes_a_gateway: bytes as f64 / f64::from(self.plan.gateways),
            steady_seconds: steady.as_secs_f64(),
            in_force_seconds: spans(&self.committed_at, &self.acted),
            load: load(),
            broken,
        }
    }

    /// All stores of a zone are gone, then all are back with empty caches.
    async fn zone_and_back(&mut self) -> Result<Vec<Moment>, ScaleError> {
        let mut moments = Vec::new();
        for (moment, there) in [("a zone gone", false), ("a zone back, cold", true)] {
            let (seen, _) = self.look().await?;
            let before = seen.iter().map(|seen| seen.deltas).max().unwrap_or_default();
            let ongoing = self.begin(moment).await?;
            let notified = u64::from(self.zone(1, there).await?);
            // A gateway that fell too far behind receives a full list instead.
            let late =
                self.wait_for_all(|seen| seen.deltas >= before + notified || seen.whole_lists > 1).await?;
            moments.push(self.finish(ongoing, late).await?);
        }
        Ok(moments)
    }

    /// The list's process is paused, a change is made meanwhile, and the list resumes.
    async fn list_paused(&mut self) -> Result<Moment, ScaleError> {
        let ongoing = self.begin("the list stopped for 10 s").await?;
        self.list.signal(Signal::SIGSTOP)?;
        self.change()?;
        let behind = self.wait_until_in_force().await?;
        tokio::time::sleep(PAUSE.saturating_sub(ongoing.at.elapsed())).await;
        self.list.signal(Signal::SIGCONT)?;
        self.finish(ongoing, behind.len()).await
    }

    /// The list's process is killed and restarted at its address: all gateways ask it anew.
    async fn list_killed(&mut self, setup: &Setup) -> Result<Moment, ScaleError> {
        let (seen, _) = self.look().await?;
        let before: std::collections::BTreeMap<u32, u64> =
            seen.iter().map(|seen| (seen.gateway, seen.whole_lists)).collect();
        let mut ongoing = self.begin("the list killed, back at once").await?;
        let (list, _) = self.traffic().await?;
        self.list.kill().await?;
        // The new process counts its traffic from zero.
        ongoing.bytes = ongoing.bytes.saturating_sub(list.bytes());
        self.change()?;
        self.list = start_worker(setup, &self.folder, "list-again")?;
        start_list(&mut self.list, self.list_address, &self.listed_stores).await?;
        let late = self
            .wait_for_all(|seen| before.get(&seen.gateway).is_some_and(|had| seen.whole_lists > *had))
            .await?;
        self.wait_until_in_force().await?;
        self.finish(ongoing, late).await
    }

    /// The coordinator is killed and restarted at its address, and a change is made meanwhile.
    async fn coordinator_killed(&mut self, setup: &Setup) -> Result<Moment, ScaleError> {
        let ongoing = self.begin("the keeper killed, back at once").await?;
        self.coordinator.kill().await.map_err(ScaleError::io("the keeper"))?;
        self.change()?;
        (self.coordinator, _) =
            start_coordinator(setup, &self.folder, self.coordinator_address, self.list_address).await?;
        let behind = self.wait_until_in_force().await?;
        self.finish(ongoing, behind.len()).await
    }

    /// Each gateway restarts, those of one process one after another.
    async fn all_restarted(&mut self) -> Result<Moment, ScaleError> {
        let ongoing = self.begin("all gateways restarted").await?;
        for (worker, share) in self.workers.iter_mut().zip(&self.gateways_of_workers) {
            for gateway in share {
                worker.send(&Order::Restart { gateway: *gateway }).await?;
            }
        }
        for (worker, share) in self.workers.iter_mut().zip(&self.gateways_of_workers) {
            for _ in share {
                match worker.receive().await? {
                    Reply::Done => {}
                    reply => return Err(ScaleError::NotRestarted { reply }),
                }
            }
        }
        let since = ongoing.at;
        self.steady(since).await?;
        self.finish(ongoing, 0).await
    }
}

/// Starts a fleet with all gateways at once, which is the first disruption, and causes the others one after
/// another; `each` receives every record as it is made.
///
/// # Errors
/// [`ScaleError`] if the plan is rejected, or a process cannot be started or does not follow its orders.
pub async fn moments(
    plan: &Plan,
    setup: &Setup,
    each: &mut (dyn FnMut(&Moment) + Send),
) -> Result<(), ScaleError> {
    let mut stage = Stage::start(plan, setup, Start::AtOnce, "moments").await?;
    let (bytes, started) = (stage.start_bytes, stage.start_duration);
    each(&stage.moment("all gateways started at once", bytes, started, Vec::new()));
    tokio::time::sleep(PAUSE / 2).await;
    stage.zone_and_back().await?.iter().for_each(&mut *each);
    each(&stage.list_paused().await?);
    each(&stage.list_killed(setup).await?);
    each(&stage.coordinator_killed(setup).await?);
    each(&stage.all_restarted().await?);
    stage.end().await;
    Ok(())
}
