//! A cluster of scripted stores and their list service. A test can start, kill, replace and list the stores.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use umbertray_store_protocol::list::EndpointState;

use crate::disk::InMemoryDisk;
use crate::event_log::EventLog;
use crate::list::{self, ListEntry};
use crate::model::{Fault, StorePerformance};
use crate::store::{self, Identity};

/// A loopback address with port 0, for which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Scripted stores, the list service that lists them, and the shared record of their events.
pub struct Fleet {
    /// The list service.
    pub list: list::Running,
    /// Record of the events at all stores.
    pub event_log: EventLog,
    disks: Vec<Arc<Mutex<InMemoryDisk>>>,
    performance: StorePerformance,
    stores: BTreeMap<u64, store::Running>,
    /// The last address of each store.
    addresses: BTreeMap<u64, SocketAddr>,
    next_id: u64,
    seed: u64,
}

impl Fleet {
    /// Starts `count` warm stores, each with its own shard, and lists them.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(count: u32, performance: StorePerformance, seed: u64) -> io::Result<Fleet> {
        let mut fleet = Fleet {
            list: list::start(any_port()).await?,
            event_log: EventLog::default(),
            disks: (0..count).map(|_| Arc::default()).collect(),
            performance,
            stores: BTreeMap::new(),
            addresses: BTreeMap::new(),
            next_id: 1,
            seed,
        };
        for shard in 0..count {
            fleet.add(shard, false).await?;
        }
        Ok(fleet)
    }

    /// Starts and lists a new store of a shard, and returns its id.
    ///
    /// # Errors
    /// No port can be bound.
    ///
    /// # Panics
    /// If the fleet was started without this shard.
    pub async fn add(&mut self, shard: u32, cold: bool) -> io::Result<u64> {
        let id = self.next_id;
        self.next_id += 1;
        let identity = Identity {
            store: id,
            shard,
            performance: self.performance.clone(),
            disk: self.disks[shard as usize].clone(),
            event_log: self.event_log.clone(),
            seed: self.seed,
        };
        let running = store::start(identity, any_port(), cold).await?;
        let started_at = cold.then(std::time::Instant::now);
        let listed = ListEntry {
            address: running.address,
            shard,
            zone: 0,
            state: EndpointState::Ready,
            incarnation: 1,
            started_at,
        };
        self.addresses.insert(id, running.address);
        self.stores.insert(id, running);
        self.list.set_entry(id, listed);
        Ok(id)
    }

    /// Ids of the stores that were started and not killed, in ascending order.
    pub fn ids(&self) -> Vec<u64> {
        self.stores.keys().copied().collect()
    }

    /// A store by its id.
    pub fn get(&self, id: u64) -> Option<&store::Running> {
        self.stores.get(&id)
    }

    /// The shard that a store serves.
    pub fn shard(&self, id: u64) -> Option<u32> {
        self.stores.get(&id).map(|running| running.identity().shard)
    }

    /// The store that serves a shard; if there are several, the latest one, which has the highest id.
    pub fn store_of_shard(&self, shard: u32) -> Option<u64> {
        self.stores.iter().rev().find(|(_, running)| running.identity().shard == shard).map(|(id, _)| *id)
    }

    /// Kills a store's process without notifying the list; returns the identity with which to restart it.
    pub async fn kill(&mut self, id: u64) -> Option<Identity> {
        match self.stores.remove(&id) {
            Some(running) => Some(running.kill().await),
            None => None,
        }
    }

    /// Restarts a killed store, cold and if possible at its previous address, and updates the list.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn restart(&mut self, identity: Identity) -> io::Result<()> {
        let id = identity.store;
        let address = self.addresses.get(&id).copied().unwrap_or_else(any_port);
        // A connection of another process on this machine may be using the port now.
        let running = match store::start(identity.clone(), address, true).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                store::start(identity, any_port(), true).await?
            }
            started => started?,
        };
        self.addresses.insert(id, running.address);
        self.list.restarted(id, running.address);
        self.stores.insert(id, running);
        Ok(())
    }

    /// Replaces the injected faults of a store.
    pub fn set_fault(&self, id: u64, fault: Fault) {
        if let Some(running) = self.stores.get(&id) {
            running.set_fault(fault);
        }
    }

    /// Ids of the stores that have crashed or were ended in the middle of a read.
    pub fn crashed_stores(&self) -> Vec<u64> {
        self.stores.iter().filter(|(_, running)| running.is_down()).map(|(id, _)| *id).collect()
    }
}
