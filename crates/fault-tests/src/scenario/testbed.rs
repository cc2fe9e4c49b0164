//! The testbed that all faults of a scenario act on: the stores, the processes and the record.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use tokio::sync::{Mutex as AsyncMutex, watch};
use umbertray_config_log::Configuration;
use umbertray_fakes::fleet::Fleet;

use crate::coordinator::CoordinatorProcess;
use crate::load::{ClientContext, ClientFaults};
use crate::process::{Gateway, Process};
use crate::record::{Record, TestEvent};
use crate::script::Scenario;

pub(super) struct Testbed {
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) fleet: AsyncMutex<Fleet>,
    /// A fault holds its gateway's lock for its whole duration, so faults of one process run one after
    /// another.
    pub(super) gateways: Vec<Arc<AsyncMutex<Gateway>>>,
    pub(super) client_context: Arc<ClientContext>,
    pub(super) client_faults: watch::Sender<ClientFaults>,
    /// Locked by a fault for its whole duration.
    pub(super) coordinator: Option<AsyncMutex<CoordinatorProcess>>,
    /// Address of the coordinator, available while a fault holds the coordinator's lock.
    coordinator_address: Mutex<Option<SocketAddr>>,
    /// Coordinators that another took over from; they are stalled.
    pub(super) superseded: Mutex<Vec<Process>>,
    /// Numbers of the moves that the coordinator accepted.
    pub(super) accepted_moves: Mutex<Vec<u64>>,
    /// Serializes commits to the change log.
    pub(super) commit_lock: AsyncMutex<()>,
}

pub(super) fn poisoned_lock<T>(_: T) -> io::Error {
    io::Error::other("poisoned lock: another task panicked while holding it")
}

impl Testbed {
    /// Starts the processes of a scenario.
    pub(super) async fn start(
        scenario: &Scenario,
        seed: u64,
        (program, folder): (&Path, &Path),
        fleet: Fleet,
        client_context: Arc<ClientContext>,
        client_faults: watch::Sender<ClientFaults>,
    ) -> io::Result<Testbed> {
        let endpoint_list = fleet.list.address;
        let mut testbed = Testbed {
            scenario: scenario.clone(),
            seed,
            program: program.into(),
            folder: folder.into(),
            fleet: AsyncMutex::new(fleet),
            gateways: Vec::new(),
            client_context,
            client_faults,
            coordinator: None,
            coordinator_address: Mutex::default(),
            superseded: Mutex::default(),
            accepted_moves: Mutex::default(),
            commit_lock: AsyncMutex::default(),
        };
        if scenario.has_coordinator {
            _ = std::fs::remove_dir_all(folder.join("keeper"));
            let coordinator = CoordinatorProcess::start(program, folder, endpoint_list).await?;
            testbed.set_coordinator_address(coordinator.address)?;
            testbed.coordinator = Some(AsyncMutex::new(coordinator));
        }
        if scenario.uses_change_log {
            _ = std::fs::remove_dir_all(testbed.log_folder());
            let initial = Configuration::from_calls(&scenario.document.calls());
            testbed.commit(Configuration::default().diff(&initial)).await?;
        }
        for number in 0..scenario.gateways as usize {
            // State that an earlier run left in this folder must not be reused.
            _ = std::fs::remove_dir_all(folder.join(format!("state-{number}")));
            let gateway = testbed.start_gateway(number, 0).await?;
            testbed.client_context.gateway_addresses.lock().map_err(poisoned_lock)?.push(gateway.address);
            testbed.gateways.push(Arc::new(AsyncMutex::new(gateway)));
        }
        Ok(testbed)
    }

    pub(super) fn coordinator_address(&self) -> Option<SocketAddr> {
        self.coordinator_address.lock().ok().and_then(|address| *address)
    }

    pub(super) fn set_coordinator_address(&self, address: SocketAddr) -> io::Result<()> {
        *self.coordinator_address.lock().map_err(poisoned_lock)? = Some(address);
        Ok(())
    }

    /// Records an event at the current time.
    pub(super) fn record_event(&self, event: TestEvent) {
        self.record_event_at(self.client_context.store_record.now(), event);
    }

    /// Records an event at an earlier time.
    pub(super) fn record_event_at(&self, at: u64, event: TestEvent) {
        if let Ok(mut record) = self.client_context.record.lock() {
            record.events.push((at, event));
        }
    }

    /// Takes the complete record, in chronological order.
    pub(super) async fn take_record(&self) -> io::Result<Record> {
        let mut record = std::mem::take(&mut *self.client_context.record.lock().map_err(poisoned_lock)?);
        record.client_requests.sort_by_key(|request| request.sent);
        record.events.sort_by_key(|(at, _)| *at);
        record.stores = self.fleet.lock().await.event_log.entries();
        Ok(record)
    }
}
