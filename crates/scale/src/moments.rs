//! The worst moments of a fleet, one after another: what each holds, sends and takes to be steady again.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use crate::ScaleError;
use crate::fit::Quantiles;
use crate::hollow::Seen;
use crate::measurement::{MB, Setup, Stage, Start, load, spans, start_keeper, start_list, start_worker};
use crate::plan::Plan;
use crate::worker::{Order, Reply};

/// How long a paused process stays paused.
const STILL: Duration = Duration::from_secs(10);
/// How long a fleet may take to become steady again.
const STEADY: Duration = Duration::from_secs(180);
/// Interval at which gateways are polled.
const LOOK: Duration = Duration::from_millis(100);

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
struct Began {
    moment: &'static str,
    at: Instant,
    bytes: u64,
}

impl Stage {
    /// Bytes that crossed the sockets of list and stores since the start.
    async fn crossed(&mut self) -> Result<u64, ScaleError> {
        let (list, links) = self.traffic().await?;
        Ok(list.bytes() + links.bytes())
    }

    /// Notes the start of a disruption and forgets the changes before it.
    async fn began(&mut self, moment: &'static str) -> Result<Began, ScaleError> {
        tracing::info!(moment, "beginning");
        self.committed.clear();
        self.acted.clear();
        Ok(Began { moment, bytes: self.crossed().await?, at: Instant::now() })
    }

    /// Waits until all gateways are as `wanted`; the number of those that are not when the time is up.
    async fn all(&mut self, wanted: impl Fn(&Seen) -> bool) -> Result<usize, ScaleError> {
        let end = Instant::now() + STEADY;
        loop {
            let (seen, _) = self.look().await?;
            let late = seen.iter().filter(|seen| !wanted(seen)).count();
            if late == 0 || Instant::now() > end {
                return Ok(late);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Measures a disruption that is over.
    async fn over(&mut self, began: Began, late: usize) -> Result<Moment, ScaleError> {
        let steady = began.at.elapsed();
        let bytes = self.crossed().await?.saturating_sub(began.bytes);
        let (seen, _) = self.look().await?;
        let ended = seen.iter().filter(|seen| seen.over).count();
        let mut broken = Vec::new();
        if late > 0 {
            broken.push(format!("{late} gateways were not steady in {STEADY:?}"));
        }
        if ended > 0 {
            broken.push(format!("{ended} gateways ended early"));
        }
        Ok(self.moment(began.moment, bytes, steady, broken))
    }

    /// The record of a disruption.
    fn moment(&self, moment: &str, bytes: u64, steady: Duration, broken: Vec<String>) -> Moment {
        Moment {
            moment: moment.into(),
            gateways: self.plan.gateways,
            stores: self.plan.stores,
            answering: self.demand.answering,
            rss_total_mb: self.held() as f64 / MB,
            bytes_a_gateway: bytes as f64 / f64::from(self.plan.gateways),
            steady_seconds: steady.as_secs_f64(),
            in_force_seconds: spans(&self.committed, &self.acted),
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
            let began = self.began(moment).await?;
            let told = u64::from(self.zone(1, there).await?);
            // Whoever fell too far behind heard of it by a whole list.
            let late = self.all(|seen| seen.deltas >= before + told || seen.whole_lists > 1).await?;
            moments.push(self.over(began, late).await?);
        }
        Ok(moments)
    }

    /// The list's process is paused, a change is made meanwhile, and the list resumes.
    async fn list_stands_still(&mut self) -> Result<Moment, ScaleError> {
        let began = self.began("the list stopped for 10 s").await?;
        self.list.signal(Signal::SIGSTOP)?;
        self.change()?;
        let behind = self.in_force().await?;
        tokio::time::sleep(STILL.saturating_sub(began.at.elapsed())).await;
        self.list.signal(Signal::SIGCONT)?;
        self.over(began, behind.len()).await
    }

    /// The list's process is killed and restarted at its address: all gateways ask it anew.
    async fn list_killed(&mut self, setup: &Setup) -> Result<Moment, ScaleError> {
        let (seen, _) = self.look().await?;
        let before: std::collections::BTreeMap<u32, u64> =
            seen.iter().map(|seen| (seen.gateway, seen.whole_lists)).collect();
        let mut began = self.began("the list killed, back at once").await?;
        let (list, _) = self.traffic().await?;
        self.list.kill().await?;
        // Its count begins anew with it.
        began.bytes = began.bytes.saturating_sub(list.bytes());
        self.change()?;
        self.list = start_worker(setup, &self.folder, "list-again")?;
        let (address, named) = (self.listed_at, self.named.clone());
        start_list(&mut self.list, address, &named).await?;
        let late =
            self.all(|seen| before.get(&seen.gateway).is_some_and(|had| seen.whole_lists > *had)).await?;
        self.in_force().await?;
        self.over(began, late).await
    }

    /// The coordinator is killed and restarted at its address, and a change is made meanwhile.
    async fn keeper_killed(&mut self, setup: &Setup) -> Result<Moment, ScaleError> {
        let began = self.began("the keeper killed, back at once").await?;
        self.keeper.kill().await.map_err(ScaleError::io("the keeper"))?;
        self.change()?;
        let (folder, kept_at, listed_at) = (self.folder.clone(), self.kept_at, self.listed_at);
        (self.keeper, _) = start_keeper(setup, &folder, kept_at, listed_at).await?;
        let behind = self.in_force().await?;
        self.over(began, behind.len()).await
    }

    /// Each gateway restarts, those of one process one after another.
    async fn all_restarted(&mut self) -> Result<Moment, ScaleError> {
        let began = self.began("all gateways restarted").await?;
        for (worker, share) in self.workers.iter_mut().zip(&self.shares) {
            for gateway in share {
                worker.tell(&Order::Restart { gateway: *gateway }).await?;
            }
        }
        for (worker, share) in self.workers.iter_mut().zip(&self.shares) {
            for _ in share {
                match worker.hear().await? {
                    Reply::Done => {}
                    reply => return Err(ScaleError::NotRestarted { reply }),
                }
            }
        }
        let since = began.at;
        self.steady(since).await?;
        self.over(began, 0).await
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
    let (bytes, started) = (stage.start_bytes, stage.started);
    each(&stage.moment("all gateways started at once", bytes, started, Vec::new()));
    tokio::time::sleep(STILL / 2).await;
    stage.zone_and_back().await?.iter().for_each(&mut *each);
    each(&stage.list_stands_still().await?);
    each(&stage.list_killed(setup).await?);
    each(&stage.keeper_killed(setup).await?);
    each(&stage.all_restarted().await?);
    stage.end().await;
    Ok(())
}
