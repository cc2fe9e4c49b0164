//! A TCP proxy on loopback whose faults are switched while it runs: one link between two parties of a test.

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
    /// The side that answers is shut down after its next bytes, as a peer that ends in the middle.
    HalfClose,
}

/// What a link saw of the bytes towards its upstream: handed each chunk as it came.
pub type Tap = Arc<dyn Fn(&[u8]) + Send + Sync>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    fault: LinkFault,
    upstream: Option<SocketAddr>,
}

/// One link; dropped, it and its connections end.
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

const CHUNK: usize = 16 * 1024;
const TRICKLE: (usize, Duration) = (64, Duration::from_millis(4));

impl Proxy {
    /// Listens on loopback and leads to `upstream`, where there is one.
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
                connections.spawn(carry(stream, shared.subscribe(), tap.clone()));
            }
        });
        Ok(Proxy { address, state, task })
    }

    /// What happens to the bytes from now on.
    pub fn fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Where new connections lead.
    pub fn lead_to(&self, upstream: Option<SocketAddr>) {
        self.state.send_modify(|state| state.upstream = upstream);
    }
}

async fn carry(near: TcpStream, state: watch::Receiver<State>, tap: Option<Tap>) {
    let upstream = state.borrow().upstream;
    let far = match upstream {
        Some(upstream) => TcpStream::connect(upstream).await.ok(),
        None => None,
    };
    let Some(far) = far else {
        _ = near.set_zero_linger();
        return;
    };
    _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near, mut far, mut resets) = (near, far, state.clone());
    let ended = {
        let (near_reader, near_writer) = near.split();
        let (far_reader, far_writer) = far.split();
        let both = async {
            tokio::try_join!(
                pump(near_reader, far_writer, state.clone(), tap, false),
                pump(far_reader, near_writer, state.clone(), None, true),
            )
        };
        tokio::select! {
            ended = both => ended.is_ok(),
            _ = resets.wait_for(|state| state.fault == LinkFault::Reset) => false,
        }
    };
    if !ended {
        _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

/// Passes bytes one way until their end, which it passes on too.
async fn pump(
    mut reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    tap: Option<Tap>,
    answers: bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
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
        write(&mut writer, &chunk[..read], fault).await?;
        if answers && fault == LinkFault::HalfClose {
            return writer.shutdown().await;
        }
    }
}

async fn write(writer: &mut WriteHalf<'_>, bytes: &[u8], fault: LinkFault) -> io::Result<()> {
    let (size, pause) = match fault {
        LinkFault::Trickle => TRICKLE,
        LinkFault::Split => (1 + bytes.len() % 7, Duration::ZERO),
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
