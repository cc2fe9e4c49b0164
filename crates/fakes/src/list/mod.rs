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

/// Changes that a watcher may lag behind before it gets the whole list instead.
const CHANGES_KEPT: usize = 1024;

/// One store as the list has it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Shard that it serves.
    pub shard: u32,
    /// Zone that it runs in.
    pub zone: u32,
    /// Its published state.
    pub state: EndpointState,
    /// Incarnation: how often its process has started.
    pub start: u64,
    /// When its process started; absent: long ago.
    pub started: Option<Instant>,
}

/// The running service; dropping it ends it.
pub struct Running {
    /// Where the service listens.
    pub address: SocketAddr,
    /// Bytes on all its connections.
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
/// Fails when the address can not be bound.
pub async fn start(address: SocketAddr) -> io::Result<Running> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (changes, _) = broadcast::channel(CHANGES_KEPT);
    let directory: Arc<Mutex<Directory>> = Arc::default();
    let (shared, sender) = (directory.clone(), changes.clone());
    let traffic: Arc<Traffic> = Arc::default();
    let counted = traffic.clone();
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(connection::serve(stream, shared.clone(), sender.subscribe(), counted.clone()));
        }
    });
    Ok(Running { address, traffic, directory, changes, task })
}

impl Running {
    fn with_directory<T>(&self, change: impl FnOnce(&mut Directory) -> T) -> T {
        change(&mut directory::lock(&self.directory))
    }

    /// Lists a store, or lists it anew, and notifies all watchers.
    pub fn list(&self, store: u64, listed: Listed) {
        self.with_directory(|directory| directory.stores.insert(store, listed));
        _ = self.changes.send(store);
    }

    /// Changes the published state of a store and notifies all watchers.
    pub fn state(&self, store: u64, state: EndpointState) {
        self.with_directory(|directory| directory.stores.get_mut(&store).map(|listed| listed.state = state));
        _ = self.changes.send(store);
    }

    /// The store's process has started again, just now.
    pub fn restarted(&self, store: u64, address: SocketAddr) {
        self.with_directory(|directory| {
            directory.stores.get_mut(&store).map(|listed| {
                listed.start += 1;
                (listed.started, listed.address) = (Some(Instant::now()), address);
                listed.state = EndpointState::Ready;
            })
        });
        _ = self.changes.send(store);
    }

    /// Sets whether all calls are answered with a failure.
    pub fn fail(&self, failing: bool) {
        self.with_directory(|directory| directory.failing = failing);
    }

    /// Sets by how much each answer is delayed.
    pub fn delay(&self, delay: Duration) {
        self.with_directory(|directory| directory.delay = delay);
    }

    /// How many extents have a place.
    pub fn places(&self) -> usize {
        self.with_directory(|directory| directory.placed_extents())
    }

    /// Where an extent lies.
    pub fn place(&self, volume: u64, extent: u64) -> Option<u32> {
        self.with_directory(|directory| directory.shard_of(volume, extent))
    }
}
