//! Measures what saving state for restarts costs, and how long the largest state takes to save and restore.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use umbertray_fakes::fleet::Fleet;
use umbertray_routing::settings::Volume;
use umbertray_routing::snapshot_records::{LearnedValues, StoreRecord, VolumeRecord};
use umbertray_routing::{Core, Input, Output, RequestHandler as _, Snapshot};
use umbertray_snapshot::folder::{FILE_BYTES, current_stamp};
use umbertray_snapshot::{Disk, LoadResult, SnapshotStore};
use umbertray_store_protocol::volume_id;

use super::error::MeasureError;
use super::testbed::{HandlerKind, MeasuredGateway};
use super::{Arguments, COMMANDS, Comparison, Workload, measure_in_turn, ratio};
use crate::{demo, output};

/// Volumes of the largest state.
const MAX_VOLUMES: u64 = 100_000;
/// Stores of the largest state.
const MAX_STORES: u64 = 1000;
/// Volumes with a virtual time at each store.
const VOLUMES_PER_STORE: u64 = 100;
/// One in this many volumes and stores changes between two saves.
const CHANGED_ONE_IN: usize = 100;

/// Compares a gateway that saves its state with the same gateway that does not.
pub(super) async fn measure_cost(
    without: &MeasuredGateway,
    fleet: &Fleet,
    folder: &Path,
    arguments: &Arguments,
) -> Result<(), MeasureError> {
    let with = MeasuredGateway::start(HandlerKind::Core, fleet, Some(folder.into())).await?;
    with.fill().await?;
    for (name, command) in COMMANDS {
        let workload = Workload { command, depth: 1, clients: 16 };
        let Comparison { subject, baseline } = measure_in_turn(&with, without, workload, arguments).await?;
        output::print_json(&json!({
            "state_kept": name, "depth": workload.depth, "clients": workload.clients,
            "throughput_ratio": subject.per_second / baseline.per_second,
            "p99_ratio": ratio(subject.p99_us, baseline.p99_us), "with": subject, "without": baseline,
        }));
    }
    Ok(())
}

/// Measures how long a core takes for the largest snapshot, how long it takes to save a change of a hundredth
/// of it and to open it at a start, and how many bytes both saves write.
pub(super) fn measure_largest(folder: &Path) -> Result<(), MeasureError> {
    let io_error = |source| MeasureError::FolderIo { folder: folder.into(), source };
    let TakenSnapshot { duration: snapshot_duration, snapshot } = take_snapshot(&largest_snapshot())?;
    let mut store = open(folder)?.store;
    store.save(Duration::from_secs(100), current_stamp(), snapshot.clone()).map_err(io_error)?;
    let complete_bytes = largest_file_bytes(folder);
    let changed = change_one_in_a_hundred(snapshot);
    let save_started = Instant::now();
    store.save(Duration::from_secs(200), current_stamp(), changed).map_err(io_error)?;
    let save_duration = save_started.elapsed();
    let change_bytes = largest_file_bytes(folder).zip(complete_bytes).map(|(now, before)| now - before);
    drop(store);
    let open_started = Instant::now();
    let restored = open(folder)?.restored.ok_or(MeasureError::NothingRestored)?;
    let restored = &restored.snapshot;
    output::print_json(&json!({
        "largest_state": { "stores": restored.stores.len(), "volumes": restored.volumes.len() },
        "ms_to_open": open_started.elapsed().as_millis() as u64,
        "bytes": complete_bytes, "bytes_of_a_hundredth_changed": change_bytes,
        "ms_to_write_that": save_duration.as_millis() as u64,
        "ms_of_the_loop_a_save": snapshot_duration.as_secs_f64() * 1e3,
    }));
    Ok(())
}

struct OpenedState {
    store: SnapshotStore,
    restored: Option<LoadResult>,
}

fn open(folder: &Path) -> Result<OpenedState, MeasureError> {
    let disk =
        Disk::open(folder).map_err(|source| MeasureError::FolderIo { folder: folder.into(), source })?;
    let (store, restored, _) = SnapshotStore::open(Box::new(disk), 1, 1, current_stamp(), FILE_BYTES)
        .map_err(|source| MeasureError::State { folder: folder.into(), source })?;
    Ok(OpenedState { store, restored })
}

fn largest_file_bytes(folder: &Path) -> Option<u64> {
    let files = std::fs::read_dir(folder).ok()?;
    files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).max()
}

struct TakenSnapshot {
    /// How long the core took; the event loop is blocked meanwhile.
    duration: Duration,
    snapshot: Snapshot,
}

/// Restores a snapshot in a core and times how long the core takes to produce its own snapshot.
fn take_snapshot(saved: &Snapshot) -> Result<TakenSnapshot, MeasureError> {
    let mut settings = demo::document(1)?.settings;
    let volume = settings.volumes[0].clone();
    let volume_named = |number| Volume { name: format!("v{number}"), ..volume.clone() };
    settings.volumes = (0..saved.volumes.len()).map(volume_named).collect();
    let mut saved = saved.clone();
    for (record, volume) in saved.volumes.iter_mut().zip(&settings.volumes) {
        record.volume = volume_id(&volume.name);
    }
    let mut core = Core::new(Arc::new(settings), 1, Duration::ZERO);
    let age = Some(Duration::from_millis(100));
    core.handle(Duration::ZERO, vec![Input::Restore { snapshot: saved.clone(), age }]);
    let request = Input::TakeSnapshot { promise_duration: saved.promise_duration };
    let started = Instant::now();
    let outputs = core.handle(Duration::from_secs(1), vec![request]);
    let duration = started.elapsed();
    let taken = outputs.into_iter().find_map(|output| match output {
        Output::SaveSnapshot(snapshot) => Some(snapshot),
        _ => None,
    });
    // Without an endpoint list the core knows no stores, so its snapshot has none.
    let snapshot = Snapshot { stores: saved.stores, ..taken.ok_or(MeasureError::NoSnapshot)? };
    Ok(TakenSnapshot { duration, snapshot })
}

fn largest_snapshot() -> Snapshot {
    Snapshot {
        stores: (0..MAX_STORES).map(store_record).collect(),
        volumes: (0..MAX_VOLUMES).map(volume_record).collect(),
        promise_duration: Duration::from_secs(2),
    }
}

fn store_record(store: u64) -> StoreRecord {
    StoreRecord {
        store,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        shard: store as u32,
        zone: 0,
        state: 1,
        incarnation: 1,
        learned_values: Some(LearnedValues {
            latency: 0.01,
            concurrency_limit: 8.0,
            virtual_times: (0..VOLUMES_PER_STORE).map(|volume| (volume, 1.5)).collect(),
        }),
    }
}

fn volume_record(volume: u64) -> VolumeRecord {
    VolumeRecord { volume, rate: 1.5, reported_rate: 2.5, reserved_tokens: 3.5 }
}

fn change_one_in_a_hundred(mut snapshot: Snapshot) -> Snapshot {
    for volume in snapshot.volumes.iter_mut().step_by(CHANGED_ONE_IN) {
        volume.reserved_tokens *= 0.5;
    }
    let stores = snapshot.stores.iter_mut().step_by(CHANGED_ONE_IN);
    for learned in stores.filter_map(|store| store.learned_values.as_mut()) {
        learned.concurrency_limit *= 2.0;
    }
    snapshot
}
