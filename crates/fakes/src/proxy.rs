//! A TCP proxy on loopback whose faults are switched while it runs: one link between two processes of a test.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a link does to the bytes that pass it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes pass unchanged.
    #[default]
    None,
    /// No byte passes; connections stay open, and new ones come up and are silent.
    Hold,
    /// All bytes come later by so much.
    Delay(Duration),
    /// A few bytes at a time, a little apart.
    Trickle,
    /// Writes of one to seven bytes, without a pause.
    Split,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// The side that answers is shut down after its next bytes, as by a peer that ends in the midst of a response.
    HalfClose,
}

/// Observes the bytes towards the upstream: called with each chunk as it came.
pub type Tap = Arc<dyn Fn(&[u8]) + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    fault: LinkFault,
    upstream: Option<SocketAddr>,
}

/// A running proxy; dropping it ends it and its connections.
pub struct Proxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Most bytes that are passed at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes at a time of a trickling link.
const TRICKLE_BYTES: usize = 64;
/// Time between the writes of a trickling link.
const TRICKLE_PAUSE: Duration = Duration::from_millis(4);
/// Most bytes in a write of a splitting link.
const MAX_SPLIT_BYTES: usize = 7;

impl Proxy {
    /// Listens on loopback and connects each client to `upstream`; without one, connections are reset.
    ///
    /// # Errors
    /// Fails when no port can be bound.
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

    /// Sets the fault from now on.
    pub fn fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Sets the upstream of new connections.
    pub fn lead_to(&self, upstream: Option<SocketAddr>) {
        self.state.send_modify(|state| state.upstream = upstream);
    }
}

/// Connects to the upstream, and passes bytes both ways until both ends are closed or the link is reset.
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
    let ended_in_order = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let both_ways = async {
            tokio::try_join!(
                forward_bytes(client_reader, server_writer, state.clone(), tap, false),
                forward_bytes(server_reader, client_writer, state.clone(), None, true),
            )
        };
        tokio::select! {
            result = both_ways => result.is_ok(),
            _ = resets.wait_for(|state| state.fault == LinkFault::Reset) => false,
        }
    };
    if !ended_in_order {
        _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Passes bytes one way until their end, which it passes on too.
async fn forward_bytes(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    tap: Option<Tap>,
    from_server: bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = reader.read(&mut chunk).await?;
        if let Some(tap) = tap.as_ref().filter(|_| read > 0) {
            tap(&chunk[..read]);
        }
        _ = state.wait_for(|state| state.fault != LinkFault::Hold).await;
        let fault = state.borrow().fault;
        if let LinkFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        if read == 0 {
            return writer.shutdown().await;
        }
        write_with_fault(&mut writer, &chunk[..read], fault).await?;
        if from_server && fault == LinkFault::HalfClose {
            return writer.shutdown().await;
        }
    }
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
