//! A TCP proxy on loopback for the link between two processes of a test. Its injected fault can be changed
//! while it runs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// A fault that a link injects into its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes pass unchanged.
    #[default]
    None,
    /// No bytes pass. Connections stay open, and new ones are accepted but stay silent.
    Stall,
    /// All bytes are delayed by this time.
    Delay(Duration),
    /// Bytes pass in small writes with a pause after each.
    Trickle,
    /// Bytes pass in writes of one to seven bytes, without a pause.
    Split,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// The connection is shut down towards the client after the server's next bytes, as by a server that ends
    /// in the middle of a response.
    HalfClose,
}

/// Observer of the bytes that clients send to the upstream: called with each chunk as it is read.
pub type Tap = Arc<dyn Fn(&[u8]) + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    fault: LinkFault,
    upstream: Option<SocketAddr>,
}

/// Handle of a running proxy. Dropping it ends the proxy and its connections.
pub struct Proxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Maximum number of bytes in one read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks that were read and not written yet, in one direction of a connection.
const READ_AHEAD_CHUNKS: usize = 16;
/// Size of the writes of a trickling link, in bytes.
const TRICKLE_BYTES: usize = 64;
/// Pause between the writes of a trickling link.
const TRICKLE_PAUSE: Duration = Duration::from_millis(4);
/// Maximum size of the writes of a splitting link, in bytes.
const MAX_SPLIT_BYTES: usize = 7;

impl Proxy {
    /// Listens on loopback and connects each client to `upstream`; without an upstream, connections are
    /// reset.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(upstream: Option<SocketAddr>, tap: Option<Tap>) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::channel(State { fault: LinkFault::None, upstream }).0);
        let shared = state.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                connections.spawn(forward_connection(stream, shared.subscribe(), tap.clone()));
            }
        });
        Ok(Proxy { address, state, task })
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Sets the upstream for new connections.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        self.state.send_modify(|state| state.upstream = upstream);
    }
}

/// Connects to the upstream, and passes bytes in both directions until both are closed or the link is reset.
async fn forward_connection(client: TcpStream, state: watch::Receiver<State>, tap: Option<Tap>) {
    let upstream = state.borrow().upstream;
    let server = match upstream {
        Some(upstream) => TcpStream::connect(upstream).await.ok(),
        None => None,
    };
    let Some(server) = server else {
        _ = client.set_zero_linger();
        return;
    };
    _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut client, mut server, mut resets) = (client, server, state.clone());
    let closed_cleanly = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let both_directions = async {
            tokio::try_join!(
                forward_bytes(client_reader, server_writer, state.clone(), tap, false),
                forward_bytes(server_reader, client_writer, state.clone(), None, true),
            )
        };
        tokio::select! {
            result = both_directions => result.is_ok(),
            _ = resets.wait_for(|state| state.fault == LinkFault::Reset) => false,
        }
    };
    if !closed_cleanly {
        _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Passes bytes in one direction until the end of the stream, then shuts down `writer`.
async fn forward_bytes(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    state: watch::Receiver<State>,
    tap: Option<Tap>,
    from_server: bool,
) -> io::Result<()> {
    let (sender, chunks) = mpsc::channel(READ_AHEAD_CHUNKS);
    let reading = read_chunks(reader, tap, sender);
    let ((), written) = tokio::join!(reading, write_chunks(writer, chunks, state, from_server));
    written
}

/// Reads chunks until the end of the stream, an error, or the end of the writer.
///
/// Hazard: the tap's observer records when bytes were sent, so a fault of the link must not delay reading.
async fn read_chunks(mut reader: ReadHalf<'_>, tap: Option<Tap>, sender: mpsc::Sender<io::Result<Vec<u8>>>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = reader.read(&mut chunk) => read,
            () = sender.closed() => return,
        };
        let bytes = read.map(|count| chunk[..count].to_vec());
        if let (Some(tap), Ok(bytes)) = (&tap, &bytes)
            && !bytes.is_empty()
        {
            tap(bytes);
        }
        let is_last = bytes.as_ref().map_or(true, Vec::is_empty);
        if sender.send(bytes).await.is_err() || is_last {
            return;
        }
    }
}

/// Writes chunks with the fault of the link; an empty one is the end of the stream.
async fn write_chunks(
    mut writer: WriteHalf<'_>,
    mut chunks: mpsc::Receiver<io::Result<Vec<u8>>>,
    mut state: watch::Receiver<State>,
    from_server: bool,
) -> io::Result<()> {
    while let Some(chunk) = chunks.recv().await {
        _ = state.wait_for(|state| state.fault != LinkFault::Stall).await;
        let fault = state.borrow().fault;
        if let LinkFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        let chunk = chunk?;
        if chunk.is_empty() {
            return writer.shutdown().await;
        }
        write_with_fault(&mut writer, &chunk, fault).await?;
        if from_server && fault == LinkFault::HalfClose {
            return writer.shutdown().await;
        }
    }
    Ok(())
}

async fn write_with_fault(writer: &mut WriteHalf<'_>, bytes: &[u8], fault: LinkFault) -> io::Result<()> {
    let (size, pause) = match fault {
        LinkFault::Trickle => (TRICKLE_BYTES, TRICKLE_PAUSE),
        LinkFault::Split => (1 + bytes.len() % MAX_SPLIT_BYTES, Duration::ZERO),
        _ => return writer.write_all(bytes).await,
    };
    for part in bytes.chunks(size) {
        writer.write_all(part).await?;
        if pause.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}
