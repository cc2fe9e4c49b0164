//! What changes in service cost, and how soon they are acted on, with a hundred thousand volumes.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use umbertray_config_log::log::{Log, SEGMENT_BYTES};
use umbertray_config_log::model::Fields;
use umbertray_config_log::{Change, Configuration, Edit, Follower, Guard, Key, Kind, Version};
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_nbd_gateway::{ChangeSource, Clock, GatewayOptions};
use umbertray_routing::Core;
use umbertray_snapshot::{Disk, Storage};
use umbertray_store_protocol::store::OperationKind;

use super::{Arguments, Figures, Side, Timed, figures, fill, settings, turn};
use crate::{demo, output};

const VOLUMES: u64 = 100_000;

fn failed(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn fields(plan: &str) -> Fields {
    let fields = json!({ "size": 1 << 20, "plan": plan, "gateways": 1 });
    serde_json::from_value(fields).unwrap_or_default()
}

fn volume(name: String) -> Key {
    Key::new(Kind::Volume, &name)
}

fn change(id: String, base: u64, edits: Vec<Edit>) -> Change {
    let (actor, reason) = ("measure".to_string(), "to measure".to_string());
    Change { id, base, actor, reason, at: 0, edits, allow: vec![Guard::Removal, Guard::Cut] }
}

/// The nth change of a stream: weights, moves, volumes that come and go.
fn nth(n: u64) -> Edit {
    let set = |key, field: &str, value| Edit::Set { key, field: field.into(), value };
    match n % 10 {
        0 => set(Key::new(Kind::Plan, "basic"), "weight", json!(1.0 + (n % 7) as f64 / 10.0)),
        1..6 => {
            let plan = if (n / VOLUMES).is_multiple_of(2) { "priority" } else { "basic" };
            set(volume(format!("v{}", n * 7919 % VOLUMES)), "plan", json!(plan))
        }
        _ => Edit::Put { key: volume(format!("m{}", n % 1000)), fields: fields("basic") },
    }
}

/// A log whose first version is the demo's with so many volumes more.
fn begin(layer: Box<dyn Storage>, volumes: u64) -> Result<Log, String> {
    let mut document = demo::document(1)?;
    settings(&mut document);
    let mut first = Configuration::of_calls(&document.calls());
    for n in 0..volumes {
        first.entities.insert(volume(format!("v{n}")), Arc::new(fields("basic")));
    }
    let mut log = Log::open(layer, SEGMENT_BYTES).map_err(failed)?;
    let edits = log.head().configuration.diff(&first);
    log.commit(change("first".into(), 0, edits)).map_err(failed)?;
    Ok(log)
}

fn own() -> Result<umbertray_config::SettingsDocument, String> {
    let mut document = demo::document(1)?;
    settings(&mut document);
    Ok(document)
}

async fn following(fleet: &Fleet, folder: &Path) -> Result<Side, String> {
    let follower = Follower::open(&Disk::read_only(folder), None).map_err(failed)?;
    let document = own()?;
    let settings = Arc::new(follower.replica.version.settings(&document.settings));
    let (clock, spent) = (Clock::start(), Arc::new(AtomicU64::new(0)));
    let host = Timed { host: Core::new(settings.clone(), 1, clock.now()), spent: spent.clone() };
    let changes =
        Some(ChangeSource::Folder { folder: folder.into(), follower: Box::new(follower), acted: None });
    let options = GatewayOptions {
        listen: document.listen,
        endpoint_list: fleet.list.address,
        coordinator: None,
        seed: 1,
        state: None,
        changes,
    };
    let gateway = umbertray_nbd_gateway::start_hosting(Box::new(host), clock, settings, options).await;
    Ok(Side { gateway: gateway.map_err(failed)?, spent })
}

/// Commits so many changes a second, as far as the disk allows; the count.
fn stream(log: &Arc<Mutex<Log>>, rate: u64, over: &AtomicBool, from: u64) -> Result<u64, String> {
    let (began, mut done) = (Instant::now(), 0);
    while !over.load(Ordering::Relaxed) && rate > 0 {
        let due = Duration::from_secs_f64(done as f64 / rate as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()).min(Duration::from_millis(20)));
        if began.elapsed() < due {
            continue;
        }
        let mut log = log.lock().map_err(failed)?;
        let base = log.head().number;
        log.commit(change(format!("s{}", from + done), base, vec![nth(from + done)])).map_err(failed)?;
        done += 1;
    }
    Ok(done)
}

async fn loaded(
    side: &Side,
    log: &Arc<Mutex<Log>>,
    rate: u64,
    from: u64,
    span: Duration,
) -> Result<(Figures, u64), String> {
    let over = Arc::new(AtomicBool::new(false));
    let (streaming, ending) = (log.clone(), over.clone());
    let writer = tokio::task::spawn_blocking(move || stream(&streaming, rate, &ending, from));
    let before = side.spent.load(Ordering::Relaxed);
    let (latencies, failures) = turn(side, OperationKind::Read, 1, 16, span).await?;
    over.store(true, Ordering::Relaxed);
    let changes = writer.await.map_err(failed)??;
    let spent = side.spent.load(Ordering::Relaxed) - before;
    Ok((figures(&latencies, failures, spent, span.as_secs_f64()), changes))
}

/// From a commit to the first session on the volume that it added.
async fn until_acted_on(side: &Side, log: &Arc<Mutex<Log>>) -> Result<Histogram<u64>, String> {
    let mut waits = Histogram::new(3).map_err(failed)?;
    for n in 0..100 {
        let name = format!("probe{n}");
        let edit = Edit::Put { key: volume(name.clone()), fields: fields("basic") };
        {
            let mut log = log.lock().map_err(failed)?;
            let base = log.head().number;
            log.commit(change(name.clone(), base, vec![edit])).map_err(failed)?;
        }
        let committed = Instant::now();
        while Connection::open(side.gateway.addresses[0], &name, true).await.is_err() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        waits.record(committed.elapsed().as_micros() as u64).map_err(failed)?;
    }
    Ok(waits)
}

/// A disk that is never waited for: to make long logs, not to keep them.
struct Unsynced(Disk);

impl Storage for Unsynced {
    fn names(&self) -> std::io::Result<Vec<String>> {
        self.0.names()
    }
    fn read(&self, name: &str, most: usize) -> std::io::Result<Vec<u8>> {
        self.0.read(name, most)
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.0.write(name, bytes)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.0.append(name, bytes)
    }
    fn sync(&mut self, _: &str) -> std::io::Result<()> {
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// How long opening takes, for a writer and a gateway, after so many changes.
fn long_log(folder: &Path, changes: u64) -> Result<(), String> {
    let layer = Unsynced(Disk::open(folder).map_err(failed)?);
    let mut log = begin(Box::new(layer), VOLUMES)?;
    let began = Instant::now();
    for n in 0..changes {
        let base = log.head().number;
        log.commit(change(format!("s{n}"), base, vec![nth(n)])).map_err(failed)?;
    }
    let (committing, head) = (began.elapsed(), log.head().number);
    drop(log);
    let began = Instant::now();
    let version = Follower::open(&Disk::read_only(folder), None).map_err(failed)?.replica.version.number;
    let following = began.elapsed();
    let began = Instant::now();
    drop(Log::open(Box::new(Disk::open(folder).map_err(failed)?), SEGMENT_BYTES).map_err(failed)?);
    let row = json!({
        "changes": changes, "volumes": VOLUMES, "newest": head, "followed_to": version,
        "us_a_commit_without_sync": committing.as_micros() as f64 / changes.max(1) as f64,
        "s_to_follow": following.as_secs_f64(), "s_to_open_to_write": began.elapsed().as_secs_f64(),
    });
    output::print_line(&row.to_string());
    Ok(())
}

/// Bytes that one more version costs while all are held, by what the process holds; so many that what was freed before
/// does not hide them.
fn memory() -> Result<(), String> {
    let layer = umbertray_snapshot::sim::SimulatedDisk::default();
    let first = begin(Box::new(layer), VOLUMES)?;
    let mut versions: Vec<Version> = vec![first.head().clone()];
    let before = super::resident(std::process::id())?;
    for n in 0..100_000 {
        let last = &versions[versions.len() - 1];
        versions.push(last.next(&[nth(n)]).map_err(|problems| problems.join("; "))?.0);
    }
    let grown = super::resident(std::process::id())?.saturating_sub(before);
    let row = json!({ "versions_held": versions.len(), "bytes_a_version": grown / versions.len() as u64 });
    output::print_line(&row.to_string());
    Ok(())
}

pub async fn run(fleet: &Fleet, folder: &Path, arguments: &Arguments) -> Result<(), String> {
    let place = folder.join("changes");
    let log = begin(Box::new(Disk::open(&place).map_err(failed)?), VOLUMES)?;
    let log = Arc::new(Mutex::new(log));
    let side = following(fleet, &place).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fill(&side).await?;
    let (span, mut from) = (Duration::from_secs_f64(arguments.seconds), 0);
    for _ in 0..arguments.turns {
        for rate in [0, 10, 1000] {
            let (figures, changes) = loaded(&side, &log, rate, from, span).await?;
            from += changes;
            let achieved = changes as f64 / span.as_secs_f64();
            let row = json!({ "volumes": VOLUMES, "changes_a_second_asked": rate, "changes_a_second": achieved, "gateway": figures });
            output::print_line(&row.to_string());
        }
    }
    let waits = until_acted_on(&side, &log).await?;
    let (median, p99) = (waits.value_at_quantile(0.5), waits.value_at_quantile(0.99));
    output::print_line(
        &json!({ "us_from_commit_to_acted_on": { "median": median, "p99": p99 } }).to_string(),
    );
    drop((side, log));
    memory()?;
    long_log(&folder.join("long"), arguments.changes)
}
