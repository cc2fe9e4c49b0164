//! Measures the memory of a gateway in its own process: per idle client, and what remains after a load.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use umbertray_fakes::client::Connection;
use umbertray_fakes::fleet::Fleet;
use umbertray_fault_tests::process::Gateway;
use umbertray_nbd::Command;

use super::Arguments;
use super::error::MeasureError;
use super::testbed::{VOLUME, settings_document};
use crate::output;

/// Bytes of a page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;
/// Parts of the load after each of which memory is read.
const QUARTERS: usize = 4;
/// Bytes of each write of the load.
const WRITE_BYTES: u32 = 64 << 10;
/// Writes of the load that are in flight together.
const WRITES_IN_FLIGHT: u64 = 64;
/// Time in which the gateway must stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) async fn measure(fleet: &Fleet, folder: &Path, arguments: &Arguments) -> Result<(), MeasureError> {
    let mut document = settings_document()?;
    document.endpoint_list = fleet.list.address;
    std::fs::create_dir_all(folder)?;
    let program = std::env::current_exe()?;
    let gateway = Gateway::start(&program, folder, "gateway", &document.as_script()).await?;
    let process = gateway.id().ok_or(MeasureError::GatewayEnded)?;
    let before = resident_bytes(process)?;
    let mut idle_clients = Vec::new();
    for _ in 0..arguments.idle {
        idle_clients.push(Connection::open(gateway.address, VOLUME, true).await?);
    }
    let with_idle = resident_bytes(process)?;
    let mut after_quarters = Vec::new();
    for _ in 0..QUARTERS {
        write_for(gateway.address, arguments.turn_duration() * 2).await?;
        after_quarters.push(resident_bytes(process)?);
    }
    drop(idle_clients);
    let (stop_duration, exited_well) = gateway.stop(STOP_TIMEOUT).await?;
    output::print_json(&json!({
        "idle_clients": arguments.idle,
        "bytes_an_idle_client": with_idle.saturating_sub(before) / u64::from(arguments.idle.max(1)),
        "resident_after_each_quarter_of_a_run": after_quarters,
        "ms_from_sigterm_to_exit": stop_duration.as_millis() as u64, "ended_well": exited_well,
    }));
    Ok(())
}

/// Writes over one connection for a duration.
async fn write_for(address: SocketAddr, duration: Duration) -> Result<(), MeasureError> {
    let connection = Connection::open(address, VOLUME, true).await?;
    let data = Bytes::from(vec![1; WRITE_BYTES as usize]);
    let end = Instant::now() + duration;
    while Instant::now() < end {
        let offsets = (0..WRITES_IN_FLIGHT).map(|number| number * u64::from(WRITE_BYTES));
        let sent: Vec<_> = offsets
            .map(|offset| connection.send(Command::Write, 0, offset, WRITE_BYTES, data.clone()))
            .collect();
        for reply in sent {
            _ = reply.await;
        }
    }
    Ok(())
}

/// The resident memory of a process in bytes.
pub(super) fn resident_bytes(process: u32) -> Result<u64, MeasureError> {
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm"))?;
    let pages: Option<u64> = statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok());
    Ok(pages.ok_or(MeasureError::NoResidentSize)? * PAGE_BYTES)
}
