//! Starts of single processes of a run.

use std::net::SocketAddr;
use std::path::Path;

use umbertray_fault_tests::process::Process;

use super::Setup;
use crate::worker::{NamedStore, Order, Reply};
use crate::worker_process::WorkerProcess;
use crate::{ScaleError, script};

/// Arguments of the program that make it a worker process.
const WORKER_ARGUMENTS: [&str; 3] = ["--log-level", "warn", "scale-worker"];

/// Starts a worker process of the program.
pub(crate) fn start_worker(setup: &Setup, folder: &Path, role: &str) -> Result<WorkerProcess, ScaleError> {
    WorkerProcess::start(&setup.program, &WORKER_ARGUMENTS, folder, role)
}

/// Starts the endpoint list in a worker process; returns its address.
pub(crate) async fn start_list(
    list: &mut WorkerProcess,
    listen: SocketAddr,
    named: &[NamedStore],
) -> Result<SocketAddr, ScaleError> {
    match list.request(&Order::List { listen, stores: named.to_vec() }).await? {
        Reply::List(address) => Ok(address),
        reply => Err(ScaleError::NoListAddress { reply }),
    }
}

/// Starts the coordinator; returns its process and address.
pub(crate) async fn start_coordinator(
    setup: &Setup,
    folder: &Path,
    listen: SocketAddr,
    list: SocketAddr,
) -> Result<(Process, SocketAddr), ScaleError> {
    let script = script::coordinator_script(listen, list, &folder.join("keeper-folder"));
    let started = Process::start(&setup.program, folder, ("keeper", "keeper"), &script, &[]).await;
    let (process, announcement) = started.map_err(ScaleError::io("keeper"))?;
    let address = announcement["keeper"].as_str().and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| std::io::Error::other("it did not say where it listens"));
    Ok((process, address.map_err(ScaleError::io("keeper"))?))
}
