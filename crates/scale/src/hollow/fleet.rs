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
use super::counters::{Acted, Counts, Seen};
use super::host::{Counted, note};
use crate::change_log;

/// Interval at which a gateway that starts is polled.
const WAIT: Duration = Duration::from_millis(2);

/// How often a gateway that starts is polled at most.
const MOST_WAITS: u32 = 2_000;

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
struct Member {
    file: PathBuf,
    running: Option<RunningGateway>,
    counts: Arc<Counts>,
}

/// The hollow gateways of a process. Dropping it ends them at once.
pub(crate) struct Fleet {
    prepare: Arc<Prepare>,
    members: BTreeMap<u32, Member>,
    acted: Arc<Mutex<Vec<Acted>>>,
}

impl Fleet {
    /// An empty fleet that reads scripts by `prepare`.
    pub(crate) fn new(prepare: Arc<Prepare>) -> Fleet {
        Fleet { prepare, members: BTreeMap::new(), acted: Arc::default() }
    }

    /// Starts a gateway, or restarts it on the state folder that it had, as a restarted process would.
    pub(crate) async fn start(&mut self, gateway: u32, file: PathBuf) -> Result<(), FleetError> {
        self.stop(gateway).await?;
        let (settings, options) = (self.prepare)(file.clone()).await.map_err(FleetError::Prepare)?;
        let (clock, counts): (_, Arc<Counts>) = (Clock::start(), Arc::default());
        // Turns are counted over its restarts; all else is said of the present run.
        let turns = self.members.get(&gateway).map(|member| member.counts.turns.load(Ordering::Relaxed));
        counts.turns.store(turns.unwrap_or_default(), Ordering::Relaxed);
        let core = Core::new(settings.clone(), options.seed, clock.now());
        let (acted, looked_on) = (self.acted.clone(), counts.clone());
        note(gateway, change_log::version(&settings), &counts, &acted);
        let host = Counted { core, gateway, counts: looked_on, acted };
        let running = umbertray_nbd_gateway::start_hosting(Box::new(host), clock, settings, options).await;
        let running = running.map_err(|error| FleetError::Start { gateway, error })?;
        self.members.insert(gateway, Member { file, running: Some(running), counts });
        Ok(())
    }

    /// Returns once a gateway has made or failed to make a connection to each of `stores` stores, or after
    /// [`MOST_WAITS`] looks.
    pub(crate) async fn linked(&self, gateway: u32, stores: u64) {
        let Some(member) = self.members.get(&gateway) else { return };
        let counts = &member.counts;
        let over =
            || counts.linked.load(Ordering::Relaxed) + counts.refused.load(Ordering::Relaxed) >= stores;
        for _ in 0..MOST_WAITS {
            if over() {
                return;
            }
            tokio::time::sleep(WAIT).await;
        }
    }

    /// Shuts a gateway down gracefully, if it runs.
    async fn stop(&mut self, gateway: u32) -> Result<(), FleetError> {
        let running = self.members.get_mut(&gateway).and_then(|member| member.running.take());
        match running {
            Some(running) => running.stop().await.map_err(FleetError::Stop),
            None => Ok(()),
        }
    }

    /// Restarts a gateway on the script that it was started on.
    pub(crate) async fn restart(&mut self, gateway: u32) -> Result<(), FleetError> {
        let file = self.members.get(&gateway).map(|member| member.file.clone());
        self.start(gateway, file.ok_or(FleetError::Unknown(gateway))?).await
    }

    /// Snapshots of all gateways' counters.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let seen = |(gateway, member): (&u32, &Member)| Seen {
            gateway: *gateway,
            turns: of(&member.counts.turns),
            listed: of(&member.counts.listed),
            whole_lists: of(&member.counts.whole_lists),
            deltas: of(&member.counts.deltas),
            linked: of(&member.counts.linked),
            refused: of(&member.counts.refused),
            version: of(&member.counts.version),
            over: member.running.as_ref().is_none_or(RunningGateway::has_ended),
        };
        self.members.iter().map(seen).collect()
    }

    /// Takes what was acted on since the last call.
    pub(crate) fn acted(&self) -> Vec<Acted> {
        std::mem::take(&mut *self.acted.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
