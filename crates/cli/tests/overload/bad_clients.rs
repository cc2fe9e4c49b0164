//! Clients that do what no usual client does.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use crate::common::{ClientConnection, op};
use crate::world::LOAD_DURATION;

/// Length of a body of the largest size.
pub(crate) const BODY: usize = 64 * 1024;

/// The head of a write whose body has this length, for a volume of its own.
pub(crate) fn head(id: u64, body: usize) -> Vec<u8> {
    let request = String::from_utf8(op("order", 0, id, 2000)).expect("text");
    let head = request.strip_suffix("data").expect("its body");
    head.replace("Content-Length: 4", &format!("Content-Length: {body}"))
        .replace("00000000000000aa", &format!("{id:016x}"))
        .replace("00000000000000bb", &format!("{id:016x}"))
        .into_bytes()
}

/// A request without a body for a volume that no other request names.
pub(crate) fn read_of_new_volume(id: u64) -> Vec<u8> {
    let request = String::from_utf8(op("look", 0, id, 2000)).expect("text");
    let name = format!("{id:016x}");
    request.replace("00000000000000aa", &name).replace("00000000000000bb", &name).into_bytes()
}

/// Opens this many connections at once. Each sends `first`, then `more` again and again with `pause` before
/// each, reads nothing until then, and is opened again when the gateway closes it.
pub(crate) async fn crowd(
    address: SocketAddr,
    count: usize,
    first: impl Fn(u64) -> Vec<u8> + Clone + Send + 'static,
    more: &'static [u8],
    pause: Duration,
) {
    let mut clients = JoinSet::new();
    for client in 0..count as u64 {
        let first = first.clone();
        clients.spawn(async move {
            for round in 0.. {
                let bytes = first(client << 24 | round);
                _ = hold(address, &bytes, more, pause).await;
            }
        });
    }
    tokio::time::sleep(LOAD_DURATION).await;
    clients.shutdown().await;
}

/// Sends `first`, then `more` again and again, until the gateway closes the connection.
async fn hold(
    address: SocketAddr,
    first: &[u8],
    more: &'static [u8],
    pause: Duration,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(first).await?;
    let (mut reader, mut writer) = stream.split();
    let send = async {
        loop {
            tokio::time::sleep(pause).await;
            writer.write_all(more).await?;
        }
    };
    let read = async {
        let mut bytes = [0; 4096];
        while reader.read(&mut bytes).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        ended = send => ended,
        ended = read => ended,
    }
}

/// Opens this many connections at once. Each sends `first` and reads nothing.
pub(crate) async fn crowd_without_reading(
    address: SocketAddr,
    count: usize,
    first: impl Fn(u64) -> Vec<u8> + Clone + Send + 'static,
) {
    let mut clients = JoinSet::new();
    for client in 0..count as u64 {
        let first = first.clone();
        clients.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            _ = stream.write_all(&first(client << 16)).await;
            std::future::pending::<()>().await;
        });
    }
    tokio::time::sleep(LOAD_DURATION).await;
    clients.shutdown().await;
}

/// What a client at full speed does with the responses.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Responses {
    Read,
    Ignore,
}

/// Sends requests on one connection as fast as it takes them, connecting again when the gateway closes it.
pub(crate) async fn flood(
    address: SocketAddr,
    responses: Responses,
    duration: Duration,
    mut next: impl FnMut() -> Vec<u8>,
) {
    let flooding = async {
        loop {
            let Ok(stream) = TcpStream::connect(address).await else { continue };
            _ = flood_connection(stream, responses, &mut next).await;
        }
    };
    _ = tokio::time::timeout(duration, flooding).await;
}

async fn flood_connection(
    mut stream: TcpStream,
    responses: Responses,
    mut next: impl FnMut() -> Vec<u8>,
) -> std::io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let send = async {
        loop {
            let batch: Vec<u8> = (0..64).flat_map(|_| next()).collect();
            writer.write_all(&batch).await?;
        }
    };
    let read = async {
        if responses == Responses::Ignore {
            std::future::pending::<()>().await;
        }
        let mut bytes = [0; 65536];
        while reader.read(&mut bytes).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        ended = send => ended,
        ended = read => ended,
    }
}

/// Sends a request as soon as the last one is answered, on one connection. Returns the number of responses.
pub(crate) async fn flood_one_by_one(
    address: SocketAddr,
    duration: Duration,
    mut next: impl FnMut() -> Vec<u8>,
) -> usize {
    let mut answered = 0;
    let flooding = async {
        let mut client = ClientConnection::connect(address).await;
        loop {
            client.write(&next()).await;
            match client.response().await {
                Some(_) => answered += 1,
                None => client = ClientConnection::connect(address).await,
            }
        }
    };
    _ = tokio::time::timeout(duration, flooding).await;
    answered
}

/// Runs clients on threads of their own, so that they do not hold up the usual clients and the store.
pub(crate) async fn on_threads_of_their_own(clients: impl Future<Output = ()> + Send + 'static) {
    const THREADS: usize = 2;
    let run = || {
        let runtime = Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
        runtime.expect("threads").block_on(clients);
    };
    tokio::task::spawn_blocking(run).await.expect("no panic of the clients");
}
