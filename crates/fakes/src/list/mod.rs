//! The list of stores and the directory of extents, as one scripted service.

mod connection;
mod directory;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::task::{JoinHandle, JoinSet};
use umbertray_store_protocol::list::EndpointState;

use self::directory::Directory;
use crate::traffic::Traffic;

/// Number of changes that a watcher may lag behind before it receives the complete list instead.
const MAX_WATCH_LAG: usize = 1024;

/// A store's entry in the list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Address at which the store listens.
    pub address: SocketAddr,
    /// Shard that it serves.
    pub shard: u32,
    /// Zone that it runs in.
    pub zone: u32,
    /// State that the list publishes for it.
    pub state: EndpointState,
    /// The store's incarnation: how many times its process has been started.
    pub incarnation: u64,
    /// When its process was started; `None` if that was long ago.
    pub started_at: Option<Instant>,
}

/// Handle of the running service. Dropping it ends the service.
pub struct Running {
    /// Address at which the service listens.
    pub address: SocketAddr,
    /// Traffic on all its connections.
    pub traffic: Arc<Traffic>,
    directory: Arc<Mutex<Directory>>,
    changes: broadcast::Sender<u64>,
    task: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the service on `address`.
///
/// # Errors
/// The address cannot be bound.
pub async fn start(address: SocketAddr) -> io::Result<Running> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (changes, _) = broadcast::channel(MAX_WATCH_LAG);
    let directory: Arc<Mutex<Directory>> = Arc::default();
    let (shared, sender) = (directory.clone(), changes.clone());
    let traffic: Arc<Traffic> = Arc::default();
    let shared_traffic = traffic.clone();
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(connection::serve(
                stream,
                shared.clone(),
                sender.subscribe(),
                shared_traffic.clone(),
            ));
        }
    });
    Ok(Running { address, traffic, directory, changes, task })
}

impl Running {
    fn with_directory<T>(&self, change: impl FnOnce(&mut Directory) -> T) -> T {
        change(&mut directory::lock(&self.directory))
    }

    /// Adds a store's entry or replaces it, and notifies all watchers.
    pub fn set_entry(&self, store: u64, listed: ListEntry) {
        self.with_directory(|directory| directory.stores.insert(store, listed));
        _ = self.changes.send(store);
    }

    /// Changes the published state of a store, and notifies all watchers.
    pub fn set_state(&self, store: u64, state: EndpointState) {
        self.with_directory(|directory| directory.stores.get_mut(&store).map(|listed| listed.state = state));
        _ = self.changes.send(store);
    }

    /// Publishes that the store's process has just been restarted at `address`, and notifies all watchers.
    pub fn restarted(&self, store: u64, address: SocketAddr) {
        self.with_directory(|directory| {
            directory.stores.get_mut(&store).map(|listed| {
                listed.incarnation += 1;
                (listed.started_at, listed.address) = (Some(Instant::now()), address);
                listed.state = EndpointState::Ready;
            })
        });
        _ = self.changes.send(store);
    }

    /// Sets whether the service responds to all requests except hello with a failure.
    pub fn set_failing(&self, failing: bool) {
        self.with_directory(|directory| directory.is_failing = failing);
    }

    /// Sets the delay of each response and notification.
    pub fn set_delay(&self, delay: Duration) {
        self.with_directory(|directory| directory.delay = delay);
    }

    /// Number of extents that are assigned to a shard.
    pub fn assigned_extents(&self) -> usize {
        self.with_directory(|directory| directory.placed_extents())
    }

    /// The shard that holds an extent; `None` if it is not assigned to one.
    pub fn shard_of(&self, volume: u64, extent: u64) -> Option<u32> {
        self.with_directory(|directory| directory.shard_of(volume, extent))
    }
}
