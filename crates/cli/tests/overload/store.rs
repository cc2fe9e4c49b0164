//! A store that answers every request after the same time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use umbertray_fakes::platform::ok;
use umbertray_http::Limits;
use umbertray_http::server::{RequestEvent, RequestReader};

const LIMITS: Limits = Limits { head: 8192, body: 1 << 20 };

/// Handle of a running store. Dropping it ends the store.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    _connections: JoinSet<()>,
}

impl Store {
    /// Starts a store that answers with this many bytes after this time.
    pub(crate) async fn start(latency: Duration, response_bytes: usize) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("an address");
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let response: Arc<[u8]> = ok(&"x".repeat(response_bytes)).into();
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, latency, response.clone()));
            }
        });
        Store { address, _connections: tasks }
    }
}

async fn serve(mut stream: TcpStream, latency: Duration, response: Arc<[u8]>) {
    _ = stream.set_nodelay(true);
    let mut requests = RequestReader::new(LIMITS);
    loop {
        match requests.next_event() {
            Ok(RequestEvent::Request(_)) => {}
            Ok(_) if matches!(stream.read_buf(&mut requests.bytes).await, Ok(1..)) => continue,
            _ => return,
        }
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}
