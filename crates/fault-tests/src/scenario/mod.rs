//! Runs a scenario: gateways are child processes, stores and clients run in this process, and faults are
//! injected at their planned times.
//!
//! Each fault has its own task from beginning to end, so that no fault waits for another. The record holds
//! the times at which events happened, never the planned times.

mod change_log;
mod faults;
mod gateways;
mod moves;
mod pause_detector;
mod testbed;

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use umbertray_fakes::fleet::Fleet;

use crate::load::{Client, ClientContext, ClientFaults};
use crate::record::Record;
use crate::script::Scenario;
use testbed::Testbed;

/// A client waits this much longer than twice the longest op timeout before it records that there was no
/// response.
const CLIENT_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Runs a scenario with gateways of `program`; their settings and logs are in `folder`.
///
/// # Errors
/// A process does not start or exits with an error, or a move does not finish.
pub async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> io::Result<Record> {
    let fleet = Fleet::start(scenario.stores, scenario.store_performance.clone(), seed).await?;
    let (client_faults, faults) =
        watch::channel(ClientFaults::none(scenario.document.settings.volumes.len()));
    let longest_timeout = scenario.document.settings.op_types.iter().map(|op_type| op_type.op_timeout).max();
    let client_context = Arc::new(ClientContext {
        store_record: fleet.event_log.clone(),
        faults,
        record: Mutex::default(),
        next_mark: AtomicU64::new(1),
        gateway_addresses: Mutex::default(),
        response_timeout: 2 * longest_timeout.unwrap_or_default() + CLIENT_TIMEOUT_MARGIN,
    });
    let testbed = Arc::new(
        Testbed::start(scenario, seed, (program, folder), fleet, client_context, client_faults).await?,
    );
    let mut clients = start_clients(&testbed);
    inject_faults(&testbed).await?;
    // Ranges must move under load, so clients continue until the last move has finished, however slow the
    // coordinator's disk is.
    testbed.await_moves().await?;
    testbed.client_faults.send_modify(|faults| faults.finished = true);
    while clients.join_next().await.is_some() {}
    testbed.stop_gateways().await?;
    testbed.take_record().await
}

fn start_clients(testbed: &Arc<Testbed>) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    let volumes = &testbed.scenario.document.settings.volumes;
    let loads = testbed.scenario.client_loads.iter().flat_map(|load| (0..load.clients).map(move |_| load));
    for (number, load) in (0..).zip(loads) {
        let client = Client {
            number,
            gateway: number as usize % testbed.scenario.gateways as usize,
            load: load.clone(),
            volume_name: volumes[load.volume].name.clone(),
            volume_bytes: volumes[load.volume].size,
            seed: testbed.seed ^ (u64::from(number) + 1).wrapping_mul(0x2545_f491_4f6c_dd1d),
            context: testbed.client_context.clone(),
        };
        clients.spawn(client.run());
    }
    clients
}

/// Runs all faults of the scenario, each in its own task. Returns when the scenario's duration has passed and
/// all faults have finished.
async fn inject_faults(testbed: &Arc<Testbed>) -> io::Result<()> {
    let began = tokio::time::Instant::now();
    let pause_detector = tokio::spawn(pause_detector::record_pauses(testbed.client_context.clone()));
    let mut faults = JoinSet::new();
    for index in 0..testbed.scenario.faults.len() {
        let fault = faults::FaultTask::new(testbed.clone(), index, began);
        faults.spawn(fault.run());
    }
    while let Some(result) = faults.join_next().await {
        result.map_err(io::Error::other)??;
    }
    tokio::time::sleep_until(began + testbed.scenario.duration).await;
    pause_detector.abort();
    Ok(())
}
