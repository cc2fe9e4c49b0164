//! A scripted store on a loopback socket: its identity, and the handle to its running tasks.

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
use crate::book::{Book, Seen};
use crate::disk::InMemoryDisk;
use crate::model::{Fault, Power};
use crate::traffic::Traffic;

/// Largest chunk in which read data goes out, and room made for each read from a socket, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Who a store is; the same over its restarts.
#[derive(Clone)]
pub struct Identity {
    /// Id of the store.
    pub store: u64,
    /// Shard that it serves.
    pub shard: u32,
    /// Its capacity.
    pub power: Power,
    /// The shard's data, shared with the store that replaces this one.
    pub medium: Arc<Mutex<InMemoryDisk>>,
    /// Where its events are recorded.
    pub book: Book,
    /// Seed of its random choices.
    pub seed: u64,
}

/// A running store; dropping it ends it as a kill would.
pub struct Running {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Bytes on all its connections.
    pub traffic: Arc<Traffic>,
    to_process: mpsc::UnboundedSender<ProcessEvent>,
    /// The store's process, and the acceptor of its connections.
    tasks: [JoinHandle<()>; 2],
    identity: Identity,
}

impl Running {
    /// Sets its faults.
    pub fn fault(&self, fault: Fault) {
        _ = self.to_process.send(ProcessEvent::SetFault(fault));
    }

    /// Stops work for this long.
    pub fn pause(&self, length: Duration) {
        _ = self.to_process.send(ProcessEvent::Pause(length));
    }

    /// Ends all connections; attempts that came over them are worked on all the same.
    pub fn cut_links(&self) {
        _ = self.to_process.send(ProcessEvent::CloseConnections);
    }

    /// Ends the store after so many more data chunks, in the midst of a read.
    pub fn die_after_chunks(&self, chunks: u32) {
        _ = self.to_process.send(ProcessEvent::DieAfterChunks(chunks));
    }

    /// Whether it has crashed or ended by its script.
    pub fn is_down(&self) -> bool {
        self.tasks[0].is_finished()
    }

    /// Ends it as a kill would, and returns when its sockets are closed.
    pub async fn kill(mut self) -> Identity {
        let identity = self.identity.clone();
        self.tasks.iter().for_each(JoinHandle::abort);
        for task in &mut self.tasks {
            _ = task.await;
        }
        identity
    }

    /// Who the store is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a store; port 0 lets the system choose.
///
/// # Errors
/// Fails when the address can not be bound.
pub async fn start(identity: Identity, address: SocketAddr, cold: bool) -> io::Result<Running> {
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    let (to_process, events) = mpsc::unbounded_channel();
    let units_a_second = identity.power.units_a_second();
    identity.book.write(identity.store, Seen::Up { units_a_second, cold });
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

/// Binds with address reuse, so that a restarted store gets the port that it had a moment ago.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
