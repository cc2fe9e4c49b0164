//! What the gateway owes at each end of a connection to a store. The store is a script over the bytes of each connection.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use umbertray_fakes::platform::{Discovery, ok};
use umbertray_http::Limits;
use umbertray_http::server::{Request, RequestEvent, RequestReader};

use crate::common::{Node, config, op, within};

/// One connection at a store; complete requests are counted over all connections.
struct Peer {
    stream: TcpStream,
    requests: RequestReader,
    /// Number of connections accepted before.
    number: usize,
    taken: Arc<watch::Sender<usize>>,
}

impl Peer {
    async fn request(&mut self) -> Option<Request> {
        loop {
            if let Ok(RequestEvent::Request(request)) = self.requests.next_event() {
                self.taken.send_modify(|taken| *taken += 1);
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

    /// Resets the connection, once the gateway has had what was written.
    async fn reset(self) {
        self.stream.set_zero_linger().expect("an open socket");
    }
}

/// A store that runs the script for each connection, and the number of complete requests it received.
async fn store<F: Future<Output = ()> + Send + 'static>(
    script: impl Fn(Peer) -> F + Send + 'static,
) -> (SocketAddr, watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (taken, count) = watch::channel(0);
    let taken = Arc::new(taken);
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            let requests = RequestReader::new(Limits { head: 8192, body: 1 << 20 });
            tokio::spawn(script(Peer { stream, requests, number, taken: taken.clone() }));
        }
    });
    (address, count)
}

async fn gateway(store: SocketAddr, text: fn(SocketAddr, usize) -> String) -> (Node, Discovery) {
    let discovery = Discovery::start().await.expect("loopback");
    discovery.list("s0", store, 0, "ready");
    let node = Node::configured(&text(discovery.address, 256)).await;
    node.ready().await;
    (node, discovery)
}

/// Connections may take long to be established, and stay idle long after a response.
fn config_with_long_connect_timeout(discovery: SocketAddr, sockets: usize) -> String {
    config(discovery, sockets).replace(r#""dialTimeoutS":0.2"#, r#""dialTimeoutS":8.0"#)
}

/// Wherever a response is truncated, an op type that is not idempotent fails, and an idempotent one is retried.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_store_response_is_never_forwarded() {
    const CUT: [&[u8]; 7] = [
        b"",
        b"HTTP/1.1 2",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf of it",
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n0\r\n",
    ];
    for cut in CUT {
        let (address, taken) = store(move |mut peer| async move {
            while let Some(request) = peer.request().await {
                match &*request.method {
                    "PUT" => {
                        peer.write(cut).await;
                        return peer.reset().await;
                    }
                    _ => peer.write(&ok("its own")).await,
                }
            }
        })
        .await;
        let (node, _discovery) = gateway(address, config).await;
        let mut caller = node.connect().await;
        let what = String::from_utf8_lossy(cut);
        assert_eq!(caller.ask(&op("order", 0, 1, 1000)).await, (500, String::new()), "{what}");
        assert_eq!(caller.ask(&op("look", 0, 2, 1000)).await, (200, "its own".into()), "{what}");
        assert_eq!(*taken.borrow(), 2, "{what}");
    }
}

/// Such a response was rejected, and an op that had been executed was failed.
#[tokio::test(flavor = "multi_thread")]
async fn response_without_length_is_served_if_connection_ends_cleanly() {
    for reset in [false, true] {
        let (address, _) = store(move |mut peer| async move {
            if peer.request().await.is_some() {
                peer.write(b"HTTP/1.1 200 OK\r\nContent-Type: own/kind\r\n\r\nall of it").await;
                if reset {
                    peer.reset().await;
                }
            }
        })
        .await;
        let (node, _discovery) = gateway(address, config).await;
        let answer = node.connect().await.ask(&op("order", 0, 1, 1000)).await;
        let expected = if reset { (500, "") } else { (200, "all of it") };
        assert_eq!((answer.0, &*answer.1), expected, "reset: {reset}");
    }
}

/// A second response, a while after the first, was taken for that of the next request over the connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_second_response_is_dropped() {
    let (address, _) = store(|mut peer| async move {
        for answer in ["its own", "a second one"] {
            if peer.request().await.is_some() {
                peer.write(&ok(answer)).await;
            }
        }
    })
    .await;
    let (node, _discovery) = gateway(address, config_with_long_connect_timeout).await;
    let mut caller = node.connect().await;
    for n in 0..5 {
        assert_eq!(caller.ask(&op("order", 0, n, 2000)).await, (200, "its own".into()), "{n}");
    }
}

/// An idle connection is reused: a store allows few.
#[tokio::test(flavor = "multi_thread")]
async fn idle_store_connection_is_reused() {
    let (address, _) = store(|mut peer| async move {
        let name = peer.number.to_string();
        while peer.request().await.is_some() {
            peer.write(&ok(&name)).await;
        }
    })
    .await;
    let (node, _discovery) = gateway(address, config).await;
    let mut caller = node.connect().await;
    assert_eq!(caller.ask(&op("order", 0, 0, 2000)).await, (200, "0".into()));
    let again = async {
        for n in 1.. {
            if caller.ask(&op("order", 0, n, 2000)).await == (200, "0".into()) {
                return;
            }
        }
    };
    within(5, "the first connection again", again).await;
}
