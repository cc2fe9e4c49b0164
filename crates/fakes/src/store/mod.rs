//! A scripted store on a loopback socket: its identity, and the handle of its running tasks.

mod attempts;
mod connection;
mod process;
mod records;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use self::process::{Process, ProcessEvent};
use crate::disk::InMemoryDisk;
use crate::event_log::{EventLog, StoreEvent};
use crate::model::{Fault, StorePerformance};
use crate::traffic::Traffic;

/// Largest chunk in which read data is sent, and buffer space reserved for each read from a socket, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// What stays the same over a store's restarts.
#[derive(Clone)]
pub struct Identity {
    /// Id of the store.
    pub store: u64,
    /// Shard that it serves.
    pub shard: u32,
    /// Performance of its model.
    pub performance: StorePerformance,
    /// The shard's data, shared with any store that replaces this one.
    pub disk: Arc<Mutex<InMemoryDisk>>,
    /// Record to which it adds its events.
    pub event_log: EventLog,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Handle of a running store. Dropping it ends the store abruptly, like a killed process.
pub struct Running {
    /// Address at which the store listens.
    pub address: SocketAddr,
    /// Traffic on all its connections.
    pub traffic: Arc<Traffic>,
    to_process: mpsc::UnboundedSender<ProcessEvent>,
    /// The task of the store's process, and the task that accepts its connections.
    tasks: [JoinHandle<()>; 2],
    identity: Identity,
}

impl Running {
    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: Fault) {
        _ = self.to_process.send(ProcessEvent::SetFault(fault));
    }

    /// Stops all work for the duration `length`.
    pub fn pause(&self, length: Duration) {
        _ = self.to_process.send(ProcessEvent::Pause(length));
    }

    /// Closes all connections. Attempts that were received on them are still executed.
    pub fn close_connections(&self) {
        _ = self.to_process.send(ProcessEvent::CloseConnections);
    }

    /// Ends the store once it has sent `chunks` more chunks of read data, which may be in the middle of a
    /// read.
    pub fn exit_after_chunks(&self, chunks: u32) {
        _ = self.to_process.send(ProcessEvent::ExitAfterChunks(chunks));
    }

    /// Whether the store has crashed or was ended by [`Running::exit_after_chunks`].
    pub fn is_down(&self) -> bool {
        self.tasks[0].is_finished()
    }

    /// Ends the store abruptly, like a killed process. Returns its identity once its sockets are closed.
    pub async fn kill(mut self) -> Identity {
        let identity = self.identity.clone();
        self.tasks.iter().for_each(JoinHandle::abort);
        for task in &mut self.tasks {
            _ = task.await;
        }
        identity
    }

    /// The store's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a store at `address`; with port 0 the system chooses the port.
///
/// # Errors
/// The address cannot be bound.
pub async fn start(identity: Identity, address: SocketAddr, cold: bool) -> io::Result<Running> {
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    let (to_process, events) = mpsc::unbounded_channel();
    let units_per_second = identity.performance.units_per_second();
    identity.event_log.record(identity.store, StoreEvent::Up { units_a_second: units_per_second, cold });
    let process = Process::new(identity.clone(), cold);
    let traffic: Arc<Traffic> = Arc::default();
    let accepting = tokio::spawn(connection::accept(listener, to_process.clone(), traffic.clone()));
    let stop_accepting = accepting.abort_handle();
    let processing = tokio::spawn(async move {
        process.run(events).await;
        stop_accepting.abort();
    });
    Ok(Running { address, traffic, to_process, tasks: [processing, accepting], identity })
}

/// Binds with `SO_REUSEADDR`, so that a restarted store can use its previous port at once.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
