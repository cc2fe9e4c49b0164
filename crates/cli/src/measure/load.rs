//! The load of clients that each keep a number of requests in flight, and the metrics of a gateway under it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;
use umbertray_fakes::client::Connection;
use umbertray_nbd::Command;

use super::error::MeasureError;
use super::testbed::{BLOCK_BYTES, BLOCKS, MeasuredGateway};

/// Significant digits with which the histograms record latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Requests of one kind, from clients that each keep `depth` of them in flight.
#[derive(Clone, Copy)]
pub(super) struct Workload {
    pub(super) command: Command,
    pub(super) depth: u32,
    pub(super) clients: u32,
}

/// The results of the clients' requests.
pub(super) struct LoadResult {
    /// Latencies of the requests that succeeded, in microseconds.
    pub(super) latencies: Histogram<u64>,
    pub(super) failures: u64,
}

impl LoadResult {
    pub(super) fn new() -> LoadResult {
        LoadResult { latencies: latency_histogram(), failures: 0 }
    }

    pub(super) fn add(&mut self, other: &LoadResult) -> Result<(), MeasureError> {
        self.latencies.add(&other.latencies)?;
        self.failures += other.failures;
        Ok(())
    }

    /// The metrics of a gateway whose handler was busy for `busy_nanos` during this load.
    pub(super) fn metrics(&self, busy_nanos: u64, seconds: f64) -> Metrics {
        let succeeded = self.latencies.len();
        Metrics {
            per_second: succeeded as f64 / seconds,
            median_us: self.latencies.value_at_quantile(0.5),
            p99_us: self.latencies.value_at_quantile(0.99),
            core_us_an_op: busy_nanos as f64 / 1000.0 / succeeded.max(1) as f64,
            failed: self.failures,
        }
    }
}

/// The metrics of one gateway; the names of the fields are the keys of the JSON that is printed.
#[derive(Serialize)]
pub(super) struct Metrics {
    pub(super) per_second: f64,
    pub(super) median_us: u64,
    pub(super) p99_us: u64,
    pub(super) core_us_an_op: f64,
    pub(super) failed: u64,
}

pub(super) fn latency_histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("a histogram keeps 0 to 5 significant digits")
}

/// Runs a workload on a gateway for a duration.
pub(super) async fn run_load(
    gateway: &MeasuredGateway,
    workload: Workload,
    duration: Duration,
) -> Result<LoadResult, MeasureError> {
    let mut connections = Vec::new();
    for _ in 0..workload.clients {
        connections.push(Arc::new(gateway.connect().await?));
    }
    let mut tasks = JoinSet::new();
    let end = Instant::now() + duration;
    for (client, connection) in connections.iter().enumerate() {
        for slot in 0..workload.depth {
            // Distinct starts, so that clients do not send their requests to the same blocks.
            let start = client as u64 * 7919 + u64::from(slot) * 104_729;
            tasks.spawn(send_requests(connection.clone(), workload.command, start, end));
        }
    }
    let mut all = LoadResult::new();
    while let Some(result) = tasks.join_next().await {
        all.add(&result?)?;
    }
    Ok(all)
}

/// Sends one request after another until `end`, to blocks spread over the volume.
async fn send_requests(
    connection: Arc<Connection>,
    command: Command,
    start: u64,
    end: Instant,
) -> LoadResult {
    let data = match command {
        Command::Write => Bytes::from(vec![7; BLOCK_BYTES as usize]),
        _ => Bytes::new(),
    };
    let mut result = LoadResult::new();
    let mut number = start;
    while Instant::now() < end {
        number = number.wrapping_add(1);
        let offset = number.wrapping_mul(0x9e37_79b9) % BLOCKS * u64::from(BLOCK_BYTES);
        let sent_at = Instant::now();
        let reply = connection.send(command, 0, offset, BLOCK_BYTES, data.clone()).await;
        match reply.ok().flatten() {
            Some(reply) if reply.error.is_none() => {
                _ = result.latencies.record(sent_at.elapsed().as_micros() as u64);
            }
            _ => result.failures += 1,
        }
    }
    result
}
