//! Tests of the proxy on the links of a soak.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use umbertray_fakes::proxy::{LinkFault, Proxy, Tap};

/// Guards against records that are late by the length of a fault: the rest of a request that was sent in two
/// pieces was only reported once the link had passed the first one on, with that time.
#[tokio::test]
async fn bytes_on_stalled_link_are_observed_when_they_are_sent() {
    let upstream = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = upstream.local_addr().expect("an address");
    let (sender, mut observed) = mpsc::unbounded_channel();
    let tap: Tap = Arc::new(move |bytes: &[u8]| _ = sender.send(bytes.to_vec()));
    let proxy = Proxy::start(Some(address), Some(tap)).await.expect("a proxy");
    proxy.set_fault(LinkFault::Stall);
    let mut client = TcpStream::connect(proxy.address).await.expect("a connection");
    for piece in [b"first", b"other"] {
        client.write_all(piece).await.expect("written");
        let seen = tokio::time::timeout(Duration::from_secs(10), observed.recv()).await;
        assert_eq!(seen.expect("observed while the link is stalled").as_deref(), Some(&piece[..]));
    }
}
