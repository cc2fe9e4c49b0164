//! Gateways of one process, without clients: the product's own, looked on where its loop hosts its core.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use umbertray_nbd_gateway::{Clock, GatewayOptions, RunningGateway};
use umbertray_routing::{Core, Input, Output, RequestHandler, Settings};
use umbertray_store_protocol::list::{EndpointState, FromList};

use crate::script;

/// Reads a gateway's script as the program does.
pub type Prepare = dyn Fn(PathBuf) -> Prepared + Send + Sync;
/// The settings and options of a gateway, once its script has been read.
type Prepared = Pin<Box<dyn Future<Output = Result<(Arc<Settings>, GatewayOptions), String>> + Send>>;

/// A gateway acted on a version of the configuration: its core has taken the settings in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acted {
    /// Number of the gateway in the run.
    pub gateway: u32,
    /// Version of the configuration.
    pub version: u64,
    /// Microseconds since 1970 by this machine's clock.
    pub at: u64,
}

/// Microseconds since 1970 by the machine's clock, which all processes of a run share.
pub(crate) fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Counters of what a gateway's core received and did since its start.
#[derive(Default)]
pub(crate) struct Counts {
    /// Calls of the core by the gateway's event loop.
    turns: AtomicU64,
    /// Stores in the last full list, without those marked as gone.
    listed: AtomicU64,
    /// Full lists received.
    whole_lists: AtomicU64,
    /// Entries received in changes of the list.
    deltas: AtomicU64,
    /// Connections to stores that were made.
    linked: AtomicU64,
    /// Connections to stores that could not be made.
    refused: AtomicU64,
    /// Version of the configuration last acted on.
    version: AtomicU64,
}

/// A snapshot of one hollow gateway's counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Number of the gateway in the run.
    pub gateway: u32,
    /// Calls of its core by its event loop, over all its restarts.
    pub turns: u64,
    /// Stores in the last full list, without those marked as gone.
    pub listed: u64,
    /// Full lists received since its start.
    pub whole_lists: u64,
    /// Entries received in changes of the list since its start.
    pub deltas: u64,
    /// Connections to stores that were made.
    pub linked: u64,
    /// Connections to stores that could not be made.
    pub refused: u64,
    /// Version of the configuration last acted on.
    pub version: u64,
    /// Whether the gateway has ended.
    pub over: bool,
}

/// The product's core, with counters around it.
struct Counted {
    core: Core,
    gateway: u32,
    counts: Arc<Counts>,
    acted: Arc<Mutex<Vec<Acted>>>,
}

/// Adds to a counter.
fn add(count: &AtomicU64, more: usize) {
    count.fetch_add(more as u64, Ordering::Relaxed);
}

impl Counts {
    /// Counts one input of the core.
    fn hear(&self, input: &Input) {
        match input {
            Input::FromList(FromList::Full(entries)) => {
                let there = entries.iter().filter(|entry| entry.state != EndpointState::Gone).count();
                self.listed.store(there as u64, Ordering::Relaxed);
                add(&self.whole_lists, 1);
            }
            Input::FromList(FromList::Changes(entries)) => add(&self.deltas, entries.len()),
            Input::StoreConnected { .. } => add(&self.linked, 1),
            Input::StoreUnreachable { .. } => add(&self.refused, 1),
            _ => {}
        }
    }
}

impl RequestHandler for Counted {
    fn open_requests(&self) -> usize {
        self.core.open_requests()
    }

    fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Vec<Output> {
        add(&self.counts.turns, 1);
        let mut version = None;
        for input in &inputs {
            self.counts.hear(input);
            if let Input::SettingsChanged { settings, .. } = input {
                version = Some(script::version(settings));
            }
        }
        let outputs = self.core.handle(now, inputs);
        version.into_iter().for_each(|version| note(self.gateway, version, &self.counts, &self.acted));
        outputs
    }
}

/// Records that a gateway acted on a version.
fn note(gateway: u32, version: u64, counts: &Counts, acted: &Mutex<Vec<Acted>>) {
    counts.version.store(version, Ordering::Relaxed);
    let mut acted = acted.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    // Whoever reads it does so each second or sooner; a run that forgot to must not grow for ever.
    if acted.len() < MOST_ACTED {
        acted.push(Acted { gateway, version, at: now() });
    }
}

const MOST_ACTED: usize = 1 << 20;
/// A gateway that starts is looked at so often, and so many times.
const WAIT: Duration = Duration::from_millis(2);
const MOST_WAITS: u32 = 2_000;

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
    pub(crate) async fn start(&mut self, gateway: u32, file: PathBuf) -> Result<(), String> {
        self.stop(gateway).await?;
        let (settings, options) = (self.prepare)(file.clone()).await?;
        let (clock, counts): (_, Arc<Counts>) = (Clock::start(), Arc::default());
        // Turns are counted over its restarts; all else is said of the present run.
        let turns = self.members.get(&gateway).map(|member| member.counts.turns.load(Ordering::Relaxed));
        counts.turns.store(turns.unwrap_or_default(), Ordering::Relaxed);
        let core = Core::new(settings.clone(), options.seed, clock.now());
        let (acted, looked_on) = (self.acted.clone(), counts.clone());
        note(gateway, script::version(&settings), &counts, &acted);
        let host = Counted { core, gateway, counts: looked_on, acted };
        let running = umbertray_nbd_gateway::start_hosting(Box::new(host), clock, settings, options).await;
        let running = running.map_err(|error| format!("gateway {gateway}: {error}"))?;
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
    async fn stop(&mut self, gateway: u32) -> Result<(), String> {
        let running = self.members.get_mut(&gateway).and_then(|member| member.running.take());
        match running {
            Some(running) => running.stop().await,
            None => Ok(()),
        }
    }

    /// Restarts a gateway on the script that it was started on.
    pub(crate) async fn restart(&mut self, gateway: u32) -> Result<(), String> {
        let file = self.members.get(&gateway).map(|member| member.file.clone());
        self.start(gateway, file.ok_or_else(|| format!("there is no gateway {gateway} here"))?).await
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
