//! What clients receive when a connection to a store ends in the middle of a request or response. The store
//! is a script over the bytes of each connection.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use umbertray_fakes::platform::{Discovery, ok};
use umbertray_http::Limits;
use umbertray_http::server::{Request, RequestEvent, RequestReader};

use crate::common::{Node, config, op, within};

/// A connection accepted by a store; complete requests are counted over all connections.
struct StoreConnection {
    stream: TcpStream,
    requests: RequestReader,
    /// Number of connections that the store accepted before this one.
    number: usize,
    received: Arc<watch::Sender<usize>>,
}

impl StoreConnection {
    async fn request(&mut self) -> Option<Request> {
        loop {
            if let Ok(RequestEvent::Request(request)) = self.requests.next_event() {
                self.received.send_modify(|received| *received += 1);
                return Some(request);
            }
            if !matches!(self.stream.read_buf(&mut self.requests.bytes).await, Ok(1..)) {
                return None;
            }
        }
    }

    async fn write(&mut self, bytes: &[u8]) {
        _ = self.stream.write_all(bytes).await;
    }

    /// Resets the connection, once the gateway has received what was written.
    async fn reset(self) {
        self.stream.set_zero_linger().expect("an open socket");
    }
}

/// Starts a store that runs the script for each connection; returns also the number of complete requests it
/// received.
async fn start_store<F: Future<Output = ()> + Send + 'static>(
    script: impl Fn(StoreConnection) -> F + Send + 'static,
) -> (SocketAddr, watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (received, count) = watch::channel(0);
    let received = Arc::new(received);
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            let requests = RequestReader::new(Limits { head: 8192, body: 1 << 20 });
            tokio::spawn(script(StoreConnection { stream, requests, number, received: received.clone() }));
        }
    });
    (address, count)
}

async fn start_gateway(store: SocketAddr, config: fn(SocketAddr, usize) -> String) -> (Node, Discovery) {
    let discovery = Discovery::start().await.expect("loopback");
    discovery.list("s0", store, 0, "ready");
    let node = Node::start_with_config(&config(discovery.address, 256)).await;
    node.wait_until_ready().await;
    (node, discovery)
}

/// A configuration in which connections may take long to be established and stay idle long after a response.
fn config_with_long_connect_timeout(discovery: SocketAddr, sockets: usize) -> String {
    config(discovery, sockets).replace(r#""dialTimeoutS":0.2"#, r#""dialTimeoutS":8.0"#)
}

/// Wherever a response is truncated, an op type that is not idempotent fails, and an idempotent one is
/// retried.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_store_response_is_never_forwarded() {
    const TRUNCATED: [&[u8]; 7] = [
        b"",
        b"HTTP/1.1 2",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf of it",
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n0\r\n",
    ];
    for truncated in TRUNCATED {
        let (address, received) = start_store(move |mut connection| async move {
            while let Some(request) = connection.request().await {
                match &*request.method {
                    "PUT" => {
                        connection.write(truncated).await;
                        return connection.reset().await;
                    }
                    _ => connection.write(&ok("its own")).await,
                }
            }
        })
        .await;
        let (node, _discovery) = start_gateway(address, config).await;
        let mut client = node.connect().await;
        let case = String::from_utf8_lossy(truncated);
        assert_eq!(client.request(&op("order", 0, 1, 1000)).await, (500, String::new()), "{case}");
        assert_eq!(client.request(&op("look", 0, 2, 1000)).await, (200, "its own".into()), "{case}");
        assert_eq!(*received.borrow(), 2, "{case}");
    }
}

/// Guards against the failure of executed ops: a response without a length was rejected, and its op was
/// failed although it had been executed.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_length_is_served_if_connection_ends_cleanly() {
    for reset in [false, true] {
        let (address, _) = start_store(move |mut connection| async move {
            if connection.request().await.is_some() {
                connection.write(b"HTTP/1.1 200 OK\r\nContent-Type: own/kind\r\n\r\nall of it").await;
                if reset {
                    connection.reset().await;
                }
            }
        })
        .await;
        let (node, _discovery) = start_gateway(address, config).await;
        let response = node.connect().await.request(&op("order", 0, 1, 1000)).await;
        let expected = if reset { (500, "") } else { (200, "all of it") };
        assert_eq!((response.0, &*response.1), expected, "reset: {reset}");
    }
}

/// Guards against a second response to a request: coming a while after the first, it was treated as the
/// response to the next request over the connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_second_response_is_dropped() {
    let (address, _) = start_store(|mut connection| async move {
        for body in ["its own", "a second one"] {
            if connection.request().await.is_some() {
                connection.write(&ok(body)).await;
            }
        }
    })
    .await;
    let (node, _discovery) = start_gateway(address, config_with_long_connect_timeout).await;
    let mut client = node.connect().await;
    for n in 0..5 {
        assert_eq!(client.request(&op("order", 0, n, 2000)).await, (200, "its own".into()), "{n}");
    }
}

/// An idle connection is reused, since a store allows only a few connections.
#[tokio::test(flavor = "multi_thread")]
async fn idle_store_connection_is_reused() {
    let (address, _) = start_store(|mut connection| async move {
        let name = connection.number.to_string();
        while connection.request().await.is_some() {
            connection.write(&ok(&name)).await;
        }
    })
    .await;
    let (node, _discovery) = start_gateway(address, config).await;
    let mut client = node.connect().await;
    assert_eq!(client.request(&op("order", 0, 0, 2000)).await, (200, "0".into()));
    let reused = async {
        for n in 1.. {
            if client.request(&op("order", 0, n, 2000)).await == (200, "0".into()) {
                return;
            }
        }
    };
    within(5, "reuse of the first connection", reused).await;
}
