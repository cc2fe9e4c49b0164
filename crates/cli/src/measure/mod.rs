//! `umbertray measure`: the gateway against its own pass-through, side by side in one run on loopback.

mod changes;
mod pass;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use serde::Serialize;
use umbertray_config::SettingsDocument;
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::Power;
use umbertray_fault_tests::run::Gateway;
use umbertray_nbd::Command;
use umbertray_nbd_gateway::{Clock, GatewayOptions, RunningGateway};
use umbertray_routing::saved::{LearnedFigures, StoreRecord, VolumeRecord};
use umbertray_routing::settings::Volume;
use umbertray_routing::{Core, Input, Output, RequestHandler as _, Snapshot};
use umbertray_snapshot::Disk;
use umbertray_snapshot::folder::{FILE_BYTES, SnapshotStore, current_stamp};
use umbertray_store_protocol::store::OperationKind;

use crate::{demo, output};
use pass::{PassThrough, Timed, WORKS};

#[derive(clap::Args)]
pub struct Arguments {
    /// Seconds of each turn; the two take turns.
    #[arg(long, default_value_t = 1.0)]
    seconds: f64,
    /// Turns of each.
    #[arg(long, default_value_t = 3)]
    turns: u32,
    /// Idle clients whose memory is measured.
    #[arg(long, default_value_t = 2000)]
    idle: u32,
    /// Only what changes in service cost.
    #[arg(long)]
    only_changes: bool,
    /// Changes in the log whose opening is timed.
    #[arg(long, default_value_t = 1_000_000)]
    changes: u64,
}

const BLOCK: u32 = 4096;
/// Requests go to so many blocks of the volume, written beforehand.
const BLOCKS: u64 = 4096;

struct Side {
    gateway: RunningGateway,
    spent: Arc<AtomicU64>,
}

#[derive(Serialize)]
struct Figures {
    per_second: f64,
    median_us: u64,
    p99_us: u64,
    core_us_an_op: f64,
    failed: u64,
}

/// Stores so quick that the gateway is what is measured.
async fn fleet() -> Result<Fleet, String> {
    let power = Power { cores: 16, unit_ms: 0.0005, queue: 100_000, put_off: 0.0, ..Power::default() };
    Fleet::start(4, power, 1).await.map_err(|error| format!("stores: {error}"))
}

fn settings(document: &mut SettingsDocument) {
    document.settings.bounds.bytes = 256 << 20;
    // Plans as large as the stores, so that dues hold nothing back.
    document.settings.plans.iter_mut().for_each(|plan| (plan.rate, plan.reserve) = (1e6, 0.0));
}

async fn side(core: bool, fleet: &Fleet, state: Option<PathBuf>) -> Result<Side, String> {
    let mut document = demo::document(1)?;
    settings(&mut document);
    let (clock, spent) = (Clock::start(), Arc::new(AtomicU64::new(0)));
    let settings = Arc::new(document.settings);
    let options = GatewayOptions {
        listen: document.listen,
        endpoint_list: fleet.list.address,
        coordinator: None,
        seed: 1,
        state,
        changes: None,
    };
    let spending = spent.clone();
    let host: Box<dyn umbertray_routing::RequestHandler> = if core {
        Box::new(Timed { host: Core::new(settings.clone(), 1, clock.now()), spent: spending })
    } else {
        Box::new(Timed { host: PassThrough::new(&settings), spent: spending })
    };
    let gateway = umbertray_nbd_gateway::start_hosting(host, clock, settings, options).await;
    Ok(Side { gateway: gateway.map_err(|error| error.to_string())?, spent })
}

async fn turn(
    side: &Side,
    work: OperationKind,
    depth: u32,
    clients: u32,
    span: Duration,
) -> Result<(Histogram<u64>, u64), String> {
    let command = if work == OperationKind::Read { Command::Read } else { Command::Write };
    let mut opened = Vec::new();
    for _ in 0..clients {
        let connection = Connection::open(side.gateway.addresses[0], "central", true).await;
        opened.push(Arc::new(connection.map_err(|error| error.to_string())?));
    }
    let mut tasks = tokio::task::JoinSet::new();
    let end = Instant::now() + span;
    for (client, connection) in opened.iter().enumerate() {
        for place in 0..depth {
            let connection = connection.clone();
            let data = if work == OperationKind::Write {
                Bytes::from(vec![7; BLOCK as usize])
            } else {
                Bytes::new()
            };
            tasks.spawn(async move {
                let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
                let (mut failed, mut n) = (0, client as u64 * 7919 + u64::from(place) * 104_729);
                while Instant::now() < end {
                    n = n.wrapping_add(1);
                    let asked = Instant::now();
                    let offset = n.wrapping_mul(0x9e37_79b9) % BLOCKS * u64::from(BLOCK);
                    let ended = connection.send(command, 0, offset, BLOCK, data.clone()).await;
                    match ended.ok().flatten() {
                        Some(whole) if whole.error.is_none() => {
                            _ = latencies.record(asked.elapsed().as_micros() as u64);
                        }
                        _ => failed += 1,
                    }
                }
                (latencies, failed)
            });
        }
    }
    let (mut all, mut failures) = (Histogram::<u64>::new(3).expect("three digits are allowed"), 0);
    while let Some(ended) = tasks.join_next().await {
        let (latencies, failed) = ended.map_err(|error| error.to_string())?;
        all.add(latencies).map_err(|error| error.to_string())?;
        failures += failed;
    }
    Ok((all, failures))
}

fn figures(latencies: &Histogram<u64>, failed: u64, spent: u64, seconds: f64) -> Figures {
    let ops = latencies.len().max(1) as f64;
    Figures {
        per_second: latencies.len() as f64 / seconds,
        median_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
        core_us_an_op: spent as f64 / 1000.0 / ops,
        failed,
    }
}

async fn fill(side: &Side) -> Result<(), String> {
    let connection = Connection::open(side.gateway.addresses[0], "central", true).await;
    let connection = connection.map_err(|error| error.to_string())?;
    for block in (0..BLOCKS).step_by(16) {
        // What is throttled at first is asked again.
        for _ in 0..100 {
            let data = Bytes::from(vec![7; 16 * BLOCK as usize]);
            let ended = connection.write(block * u64::from(BLOCK), data).await;
            if ended.is_some_and(|whole| whole.error.is_none()) {
                break;
            }
        }
    }
    Ok(())
}

pub async fn run(arguments: Arguments) -> Result<(), String> {
    let fleet = fleet().await?;
    let folder = std::env::temp_dir().join(format!("umbertray-measure-{}", std::process::id()));
    if arguments.only_changes {
        let measured = changes::run(&fleet, &folder, &arguments).await;
        _ = std::fs::remove_dir_all(&folder);
        return measured;
    }
    let (core, pass) = (side(true, &fleet, None).await?, side(false, &fleet, None).await?);
    // The list and the links come up first.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fill(&core).await?;
    fill(&pass).await?;
    for (name, work) in WORKS {
        for depth in [1, 32] {
            for clients in [1, 16, 256] {
                let figures = turns(&[&core, &pass], work, depth, clients, &arguments).await?;
                let (ours, theirs) = (&figures[0], &figures[1]);
                let row = serde_json::json!({
                    "work": name, "bytes": BLOCK, "depth": depth, "clients": clients,
                    "throughput_ratio": ours.per_second / theirs.per_second,
                    "median_ratio": ratio(ours.median_us, theirs.median_us),
                    "p99_ratio": ratio(ours.p99_us, theirs.p99_us),
                    "gateway": ours, "pass_through": theirs,
                });
                output::print_line(&row.to_string());
            }
        }
    }
    drop(pass);
    let measured = async {
        cost_of_state(&core, &fleet, &folder.join("state"), &arguments).await?;
        drop(core);
        largest_state(&folder.join("largest"))?;
        memory(&fleet, &folder, &arguments).await
    };
    let measured = measured.await;
    _ = std::fs::remove_dir_all(&folder);
    measured
}

fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}

/// The sides in turn, as often as asked; the figures of each.
async fn turns(
    sides: &[&Side],
    work: OperationKind,
    depth: u32,
    clients: u32,
    arguments: &Arguments,
) -> Result<Vec<Figures>, String> {
    let span = Duration::from_secs_f64(arguments.seconds);
    let empty = || Histogram::<u64>::new(3).map_err(|error| error.to_string());
    let mut sums = sides.iter().map(|_| Ok((empty()?, 0, 0))).collect::<Result<Vec<_>, String>>()?;
    for _ in 0..arguments.turns {
        for (side, sum) in sides.iter().zip(&mut sums) {
            let before = side.spent.load(Ordering::Relaxed);
            let (latencies, failed) = turn(side, work, depth, clients, span).await?;
            sum.0.add(latencies).map_err(|error| error.to_string())?;
            sum.1 += failed;
            sum.2 += side.spent.load(Ordering::Relaxed) - before;
        }
    }
    let seconds = arguments.seconds * f64::from(arguments.turns);
    Ok(sums.iter().map(|(latencies, failed, spent)| figures(latencies, *failed, *spent, seconds)).collect())
}

/// The same gateway with a state folder and without.
async fn cost_of_state(
    without: &Side,
    fleet: &Fleet,
    folder: &Path,
    arguments: &Arguments,
) -> Result<(), String> {
    let with = side(true, fleet, Some(folder.into())).await?;
    fill(&with).await?;
    for (name, work) in WORKS {
        let figures = turns(&[&with, without], work, 1, 16, arguments).await?;
        let (with, without) = (&figures[0], &figures[1]);
        let row = serde_json::json!({
            "state_kept": name, "depth": 1, "clients": 16,
            "throughput_ratio": with.per_second / without.per_second,
            "p99_ratio": ratio(with.p99_us, without.p99_us), "with": with, "without": without,
        });
        output::print_line(&row.to_string());
    }
    Ok(())
}

/// How long the core takes to tell all that it knows, having recalled this; and what it then tells.
fn remember(saved: &Snapshot) -> Result<(Duration, Snapshot), String> {
    let mut settings = demo::document(1)?.settings;
    let volume = settings.volumes[0].clone();
    settings.volumes =
        (0..saved.volumes.len()).map(|n| Volume { name: format!("v{n}"), ..volume.clone() }).collect();
    let ids = settings.volumes.iter().map(|volume| umbertray_store_protocol::volume_id(&volume.name));
    let mut saved = saved.clone();
    saved.volumes.iter_mut().zip(ids).for_each(|(volume, id)| volume.volume = id);
    let mut core = Core::new(Arc::new(settings), 1, Duration::ZERO);
    let age = Some(Duration::from_millis(100));
    core.handle(Duration::ZERO, vec![Input::Restore { snapshot: saved.clone(), age }]);
    let began = Instant::now();
    let told = core.handle(
        Duration::from_secs(1),
        vec![Input::TakeSnapshot { promise_duration: saved.promise_duration }],
    );
    let spent = began.elapsed();
    let known = told.into_iter().find_map(|output| match output {
        Output::SaveSnapshot(known) => Some(Snapshot { stores: saved.stores.clone(), ..known }),
        _ => None,
    });
    Ok((spent, known.ok_or("the core told nothing")?))
}

/// How long a start takes that finds the largest state wished for, and how large that is.
fn largest_state(folder: &Path) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| format!("{}: {error}", folder.display());
    let volumes = (0..100_000u64).map(|volume| VolumeRecord {
        volume,
        rate: 1.5,
        reported_rate: 2.5,
        reserved_tokens: 3.5,
    });
    let stores = (0..1000u64).map(|store| StoreRecord {
        store,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        shard: store as u32,
        zone: 0,
        state: 1,
        incarnation: 1,
        learned: Some(LearnedFigures {
            latency: 0.01,
            concurrency_limit: 8.0,
            virtual_times: (0..100).map(|v| (v, 1.5)).collect(),
        }),
    });
    let saved = Snapshot {
        stores: stores.collect(),
        volumes: volumes.collect(),
        promise_duration: Duration::from_secs(2),
    };
    let open = || {
        let disk = Box::new(Disk::open(folder).map_err(|error| failed(&error))?);
        SnapshotStore::open(disk, 1, 1, current_stamp(), FILE_BYTES).map_err(|error| failed(&error))
    };
    let (remembering, known) = remember(&saved)?;
    let mut writing = open()?.0;
    writing.save(Duration::from_secs(100), current_stamp(), known.clone()).map_err(|error| failed(&error))?;
    let size =
        || std::fs::read_dir(folder).ok()?.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).max();
    let whole = size();
    // Of a hundred volumes and stores one has changed.
    let mut later = known;
    later.volumes.iter_mut().step_by(100).for_each(|volume| volume.reserved_tokens *= 0.5);
    later
        .stores
        .iter_mut()
        .step_by(100)
        .filter_map(|store| store.learned.as_mut())
        .for_each(|known| known.concurrency_limit *= 2.0);
    let changing = Instant::now();
    writing.save(Duration::from_secs(200), current_stamp(), later).map_err(|error| failed(&error))?;
    let changed = changing.elapsed();
    let change = size().zip(whole).map(|(now, before)| now - before);
    drop(writing);
    let began = Instant::now();
    let recalled = open()?.1.ok_or("nothing was recalled")?;
    let row = serde_json::json!({
        "largest_state": { "stores": recalled.snapshot.stores.len(), "volumes": recalled.snapshot.volumes.len() },
        "ms_to_open": began.elapsed().as_millis() as u64,
        "bytes": whole, "bytes_of_a_hundredth_changed": change, "ms_to_write_that": changed.as_millis() as u64,
        "ms_of_the_loop_a_save": remembering.as_secs_f64() * 1e3,
    });
    output::print_line(&row.to_string());
    Ok(())
}

/// Resident bytes of a process.
fn resident(id: u32) -> Result<u64, String> {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).map_err(|error| error.to_string())?;
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|pages| pages.parse().ok());
    Ok(pages.ok_or("statm has no second figure")? * 4096)
}

/// A gateway in a process of its own: what an idle client costs, whether a run leaves something behind, how it ends.
async fn memory(fleet: &Fleet, folder: &Path, arguments: &Arguments) -> Result<(), String> {
    let mut document = demo::document(1)?;
    settings(&mut document);
    document.endpoint_list = fleet.list.address;
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    measure_memory(&document, folder, arguments).await
}

async fn measure_memory(
    document: &SettingsDocument,
    folder: &Path,
    arguments: &Arguments,
) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let gateway = Gateway::start(&program, folder, "gateway", &document.as_script()).await;
    let gateway = gateway.map_err(|error| error.to_string())?;
    let id = gateway.id().ok_or("the gateway has ended")?;
    let before = resident(id)?;
    let mut idle = Vec::new();
    for _ in 0..arguments.idle {
        let connection = Connection::open(gateway.address, "central", true).await;
        idle.push(connection.map_err(|error| error.to_string())?);
    }
    let with_idle = resident(id)?;
    let mut after = Vec::new();
    for _ in 0..4 {
        let connection = Connection::open(gateway.address, "central", true).await;
        let connection = connection.map_err(|error| error.to_string())?;
        let end = Instant::now() + Duration::from_secs_f64(arguments.seconds * 2.0);
        while Instant::now() < end {
            let asked: Vec<_> = (0..64u64)
                .map(|n| connection.send(Command::Write, 0, n * 65536, 65536, Bytes::from(vec![1; 65536])))
                .collect();
            for request in asked {
                _ = request.await;
            }
        }
        after.push(resident(id)?);
    }
    drop(idle);
    let (took, well) = gateway.stop(Duration::from_secs(30)).await.map_err(|error| error.to_string())?;
    let row = serde_json::json!({
        "idle_clients": arguments.idle,
        "bytes_an_idle_client": (with_idle.saturating_sub(before)) / u64::from(arguments.idle.max(1)),
        "resident_after_each_quarter_of_a_run": after,
        "ms_from_sigterm_to_exit": took.as_millis() as u64, "ended_well": well,
    });
    output::print_line(&row.to_string());
    Ok(())
}
