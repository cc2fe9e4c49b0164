//! What all faults of a scenario share: the stores, the processes and the record.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use tokio::sync::{Mutex as AsyncMutex, watch};
use umbertray_config_log::Configuration;
use umbertray_fakes::fleet::Fleet;

use crate::coordinator::CoordinatorProcess;
use crate::day::Day;
use crate::load::{Shared, Weather};
use crate::process::{Gateway, Process};
use crate::record::{Deed, Record};

pub(super) struct Stage {
    pub(super) day: Day,
    pub(super) seed: u64,
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) fleet: AsyncMutex<Fleet>,
    /// A fault holds its gateway's lock for as long as it lasts: faults of one process follow one another.
    pub(super) gateways: Vec<Arc<AsyncMutex<Gateway>>>,
    pub(super) shared: Arc<Shared>,
    pub(super) weather: watch::Sender<Weather>,
    /// Locked by a fault for as long as it lasts.
    pub(super) coordinator: Option<AsyncMutex<CoordinatorProcess>>,
    /// Where the coordinator listens, which is known also while a fault has it.
    coordinator_address: Mutex<Option<SocketAddr>>,
    /// Coordinators that were taken over from, stopped.
    pub(super) superseded: Mutex<Vec<Process>>,
    /// Numbers of the moves that were accepted.
    pub(super) moves: Mutex<Vec<u64>>,
    /// One change is committed at a time.
    pub(super) change_log: AsyncMutex<()>,
}

pub(super) fn poisoned<T>(_: T) -> io::Error {
    io::Error::other("poisoned")
}

impl Stage {
    /// Starts the processes of a day.
    pub(super) async fn start(
        day: &Day,
        seed: u64,
        (program, folder): (&Path, &Path),
        fleet: Fleet,
        shared: Arc<Shared>,
        weather: watch::Sender<Weather>,
    ) -> io::Result<Stage> {
        let endpoint_list = fleet.list.address;
        let mut stage = Stage {
            day: day.clone(),
            seed,
            program: program.into(),
            folder: folder.into(),
            fleet: AsyncMutex::new(fleet),
            gateways: Vec::new(),
            shared,
            weather,
            coordinator: None,
            coordinator_address: Mutex::default(),
            superseded: Mutex::default(),
            moves: Mutex::default(),
            change_log: AsyncMutex::default(),
        };
        if day.keeper {
            _ = std::fs::remove_dir_all(folder.join("keeper"));
            let coordinator = CoordinatorProcess::start(program, folder, endpoint_list).await?;
            stage.set_coordinator_address(coordinator.address)?;
            stage.coordinator = Some(AsyncMutex::new(coordinator));
        }
        if day.changes {
            _ = std::fs::remove_dir_all(stage.log_folder());
            let first = Configuration::of_calls(&day.document.calls());
            stage.commit(Configuration::default().diff(&first)).await?;
        }
        for number in 0..day.gateways as usize {
            // What another run left in the same place is not this one's.
            _ = std::fs::remove_dir_all(folder.join(format!("state-{number}")));
            let gateway = stage.start_gateway(number, 0).await?;
            stage.shared.gateways.lock().map_err(poisoned)?.push(gateway.address);
            stage.gateways.push(Arc::new(AsyncMutex::new(gateway)));
        }
        Ok(stage)
    }

    pub(super) fn coordinator_address(&self) -> Option<SocketAddr> {
        self.coordinator_address.lock().ok().and_then(|address| *address)
    }

    pub(super) fn set_coordinator_address(&self, address: SocketAddr) -> io::Result<()> {
        *self.coordinator_address.lock().map_err(poisoned)? = Some(address);
        Ok(())
    }

    /// Records what is done now.
    pub(super) fn note(&self, deed: Deed) {
        self.note_at(self.shared.book.now(), deed);
    }

    /// Records what was done at a moment before.
    pub(super) fn note_at(&self, at: u64, deed: Deed) {
        if let Ok(mut record) = self.shared.record.lock() {
            record.deeds.push((at, deed));
        }
    }

    /// The whole record, in the order of time.
    pub(super) async fn take_record(&self) -> io::Result<Record> {
        let mut record = std::mem::take(&mut *self.shared.record.lock().map_err(poisoned)?);
        record.asked.sort_by_key(|asked| asked.sent);
        record.deeds.sort_by_key(|(at, _)| *at);
        record.stores = self.fleet.lock().await.book.entries();
        Ok(record)
    }
}
