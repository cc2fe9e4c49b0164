//! Measures, with a hundred thousand volumes, what configuration changes cost while requests are served, and
//! how soon they are applied.

mod long_log;
mod stream;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use umbertray_config_log::{Edit, Follower, Log};
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_nbd::Command;
use umbertray_nbd_gateway::ChangeSource;
use umbertray_snapshot::Disk;

use super::error::MeasureError;
use super::load::{Metrics, Workload, latency_histogram, run_load};
use super::testbed::{MeasuredGateway, settings_document};
use super::{Arguments, WARM_UP_TIME};
use crate::output;
use stream::{ChangeStream, commit_edit, new_log, volume_fields, volume_key};

/// Volumes in the log in addition to the demo's.
const VOLUMES: u64 = 100_000;
/// Target rates in changes per second.
const RATES: [u64; 3] = [0, 10, 1000];
/// Volumes added to measure how soon a change is applied.
const PROBES: u32 = 100;
/// Interval at which a probe checks whether its volume exists at the gateway.
const PROBE_INTERVAL: Duration = Duration::from_millis(1);

pub(super) async fn run(fleet: &Fleet, folder: &Path, arguments: &Arguments) -> Result<(), MeasureError> {
    let log_folder = folder.join("changes");
    let log = new_log(Box::new(Disk::open(&log_folder)?), VOLUMES)?;
    let log = Arc::new(Mutex::new(log));
    let gateway = start_following(fleet, &log_folder).await?;
    tokio::time::sleep(WARM_UP_TIME).await;
    gateway.fill().await?;
    measure_rates(&gateway, &log, arguments).await?;
    let latencies = measure_apply_latency(&gateway, &log).await?;
    let median = latencies.value_at_quantile(0.5);
    let p99 = latencies.value_at_quantile(0.99);
    output::print_json(&json!({ "us_from_commit_to_acted_on": { "median": median, "p99": p99 } }));
    drop(gateway);
    drop(log);
    long_log::measure_versions_held()?;
    long_log::measure_opening(&folder.join("long"), arguments.changes)
}

async fn start_following(fleet: &Fleet, folder: &Path) -> Result<MeasuredGateway, MeasureError> {
    let follower = Follower::open(&Disk::read_only(folder), None)?;
    let own = settings_document()?.settings;
    let settings = Arc::new(follower.replica.version.settings(&own));
    let changes =
        ChangeSource::Folder { folder: folder.into(), follower: Box::new(follower), state_folder: None };
    MeasuredGateway::start_following(fleet, settings, changes).await
}

/// Measures reads while changes are committed at each rate.
async fn measure_rates(
    gateway: &MeasuredGateway,
    log: &Arc<Mutex<Log>>,
    arguments: &Arguments,
) -> Result<(), MeasureError> {
    let mut first = 0;
    for _ in 0..arguments.turns {
        for rate in RATES {
            let stream = ChangeStream { log: log.clone(), rate, first };
            let measured = measure_under_changes(gateway, stream, arguments.turn_duration()).await?;
            first += measured.changes;
            output::print_json(&json!({
                "volumes": VOLUMES, "changes_a_second_asked": rate,
                "changes_a_second": measured.changes as f64 / arguments.seconds,
                "gateway": measured.metrics,
            }));
        }
    }
    Ok(())
}

struct MetricsUnderChanges {
    metrics: Metrics,
    /// Changes committed during the measurement.
    changes: u64,
}

async fn measure_under_changes(
    gateway: &MeasuredGateway,
    stream: ChangeStream,
    duration: Duration,
) -> Result<MetricsUnderChanges, MeasureError> {
    let must_stop = Arc::new(AtomicBool::new(false));
    let writer_must_stop = must_stop.clone();
    let writer = tokio::task::spawn_blocking(move || stream.commit_until(&writer_must_stop));
    let busy_before = gateway.busy_nanos();
    let workload = Workload { command: Command::Read, depth: 1, clients: 16 };
    let result = run_load(gateway, workload, duration).await?;
    must_stop.store(true, Ordering::Relaxed);
    let changes = writer.await??;
    let busy_nanos = gateway.busy_nanos() - busy_before;
    Ok(MetricsUnderChanges { metrics: result.metrics(busy_nanos, duration.as_secs_f64()), changes })
}

/// Measures the time from the commit of a new volume until a session on it can be opened, in microseconds.
async fn measure_apply_latency(
    gateway: &MeasuredGateway,
    log: &Arc<Mutex<Log>>,
) -> Result<Histogram<u64>, MeasureError> {
    let mut latencies = latency_histogram();
    for probe in 0..PROBES {
        let name = format!("probe{probe}");
        let edit = Edit::Put { key: volume_key(&name), fields: volume_fields("basic") };
        commit_edit(&mut *log.lock().map_err(|_| MeasureError::LogPoisoned)?, name.clone(), edit)?;
        let committed_at = Instant::now();
        while Connection::open(gateway.gateway.addresses[0], &name, true).await.is_err() {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        latencies.record(committed_at.elapsed().as_micros() as u64)?;
    }
    Ok(latencies)
}
