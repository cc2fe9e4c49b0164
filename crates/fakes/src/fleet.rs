//! A cluster of scripted stores with their list service: started, killed, replaced and listed as a test says.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use umbertray_store_protocol::list::EndpointState;

use crate::book::Book;
use crate::disk::InMemoryDisk;
use crate::list::{self, Listed};
use crate::model::{Fault, Power};
use crate::store::{self, Identity};

/// A loopback address whose port the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Scripted stores, the list service that names them, and the shared record of what they saw.
pub struct Fleet {
    /// The list service.
    pub list: list::Running,
    /// Events seen by all stores.
    pub book: Book,
    disks: Vec<Arc<Mutex<InMemoryDisk>>>,
    power: Power,
    stores: BTreeMap<u64, store::Running>,
    /// Where each store listened last.
    addresses: BTreeMap<u64, SocketAddr>,
    next_id: u64,
    seed: u64,
}

impl Fleet {
    /// Starts so many warm stores, each with a shard of its own, and lists them.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(count: u32, power: Power, seed: u64) -> io::Result<Fleet> {
        let mut fleet = Fleet {
            list: list::start(any_port()).await?,
            book: Book::default(),
            disks: (0..count).map(|_| Arc::default()).collect(),
            power,
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

    /// Starts and lists a new store of a shard; its id.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    ///
    /// # Panics
    /// When the fleet was not started with this shard.
    pub async fn add(&mut self, shard: u32, cold: bool) -> io::Result<u64> {
        let id = self.next_id;
        self.next_id += 1;
        let identity = Identity {
            store: id,
            shard,
            power: self.power.clone(),
            medium: self.disks[shard as usize].clone(),
            book: self.book.clone(),
            seed: self.seed,
        };
        let running = store::start(identity, any_port(), cold).await?;
        let started = cold.then(std::time::Instant::now);
        let listed = Listed {
            address: running.address,
            shard,
            zone: 0,
            state: EndpointState::Ready,
            start: 1,
            started,
        };
        self.addresses.insert(id, running.address);
        self.stores.insert(id, running);
        self.list.list(id, listed);
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

    /// The store that serves a shard, the latest started if there are two.
    pub fn of_shard(&self, shard: u32) -> Option<u64> {
        self.stores.iter().rev().find(|(_, running)| running.identity().shard == shard).map(|(id, _)| *id)
    }

    /// Ends a store's process at once, without notice to the list; what is needed to start it again.
    pub async fn kill(&mut self, id: u64) -> Option<Identity> {
        match self.stores.remove(&id) {
            Some(running) => Some(running.kill().await),
            None => None,
        }
    }

    /// Starts a killed store again, cold, where it listened before, and notifies the list.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn restart(&mut self, identity: Identity) -> io::Result<()> {
        let id = identity.store;
        let address = self.addresses.get(&id).copied().unwrap_or_else(any_port);
        // A connection of another process on this machine may have taken the port in the meantime.
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

    /// Sets the fault of a store.
    pub fn fault(&self, id: u64, fault: Fault) {
        if let Some(running) = self.stores.get(&id) {
            running.fault(fault);
        }
    }

    /// Stores that crashed or ended by their script.
    pub fn fallen(&self) -> Vec<u64> {
        self.stores.iter().filter(|(_, running)| running.is_down()).map(|(id, _)| *id).collect()
    }
}
