//! Starts the worker processes, the endpoint list and the coordinator of a run.

use std::net::SocketAddr;
use std::path::Path;

use umbertray_fault_tests::process::Process;

use super::Setup;
use crate::worker::{Reply, StoreEntry, WorkerCommand};
use crate::worker_process::WorkerProcess;
use crate::{ScaleError, script};

/// Arguments with which the program runs as a worker process.
const WORKER_ARGUMENTS: [&str; 3] = ["--log-level", "warn", "scale-worker"];

/// Starts the program as a worker process.
pub(crate) fn start_worker(setup: &Setup, folder: &Path, role: &str) -> Result<WorkerProcess, ScaleError> {
    WorkerProcess::start(&setup.program, &WORKER_ARGUMENTS, folder, role)
}

/// Starts the endpoint list in a worker process, and returns the address of the list.
pub(crate) async fn start_list(
    list: &mut WorkerProcess,
    listen: SocketAddr,
    stores: &[StoreEntry],
) -> Result<SocketAddr, ScaleError> {
    match list.request(&WorkerCommand::List { listen, stores: stores.to_vec() }).await? {
        Reply::List(address) => Ok(address),
        reply => Err(ScaleError::NoListAddress { reply }),
    }
}

/// Starts the coordinator, and returns its process and address.
pub(crate) async fn start_coordinator(
    setup: &Setup,
    folder: &Path,
    listen: SocketAddr,
    list: SocketAddr,
) -> Result<(Process, SocketAddr), ScaleError> {
    let script = script::coordinator_script(listen, list, &folder.join("keeper-folder"));
    let started = Process::start(&setup.program, folder, ("keeper", "keeper"), &script, &[]).await;
    let (process, announcement) = started.map_err(ScaleError::io("coordinator"))?;
    let address = announcement["keeper"].as_str().and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| std::io::Error::other("the coordinator did not report its address"));
    Ok((process, address.map_err(ScaleError::io("coordinator"))?))
}
