//! Clients that close a connection with much unread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::bad_clients::read_of_new_volume;
use crate::store::Behavior;
use crate::world::Expected::Served;
use crate::world::{LOAD_DURATION, assert_held_at_all_limits};

/// The attempt that is open when a client closes its connection breaks this long after its start. Another one
/// must not follow.
const BREAKS_AFTER: Duration = Duration::from_millis(250);
/// How long a client goes on sending before it closes its connection.
const SENDING: Duration = Duration::from_millis(50);
/// How long after a client's close an attempt for it may still begin.
const CLOSE_NOTICED_WITHIN: Duration = Duration::from_millis(100);
/// Time in which a request that was begun reaches the store.
const DELIVERY: Duration = Duration::from_millis(50);

/// Number of clients that close their connections.
const CLIENTS: u64 = 8;

/// Sends this many requests on each of some connections without reading, as far as the connection takes them,
/// and closes all. Then no request of theirs may be sent on.
async fn assert_nothing_sent_after_close(requests: u64) {
    let requests_of = |client: u64| -> Vec<u8> {
        (0..requests).flat_map(|n| read_of_new_volume(client << 32 | n)).collect()
    };
    let bytes: Vec<Arc<[u8]>> = (0..CLIENTS).map(|client| requests_of(client).into()).collect();
    let behavior = Behavior {
        first_attempt_breaks_after: Some(BREAKS_AFTER),
        ..Behavior::answer(Duration::from_millis(2), 200)
    };
    let name = format!("a close behind {requests} requests");
    assert_held_at_all_limits(&name, behavior, Served, async |world| {
        let mut clients = JoinSet::new();
        for bytes in &bytes {
            clients.spawn(send_and_close(world.node.address, bytes.clone()));
        }
        clients.join_all().await;
        let closed_at = Instant::now();
        tokio::time::sleep(LOAD_DURATION).await;
        let runs = world.store.runs.lock().expect("no panic with the lock");
        let sent_after = runs.of_bad_clients_after(closed_at + CLOSE_NOTICED_WITHIN + DELIVERY);
        println!("{name}: {sent_after} sent on after the close");
        assert_eq!(sent_after, 0, "{:?}, {requests} requests", world.limits);
    })
    .await;
}

async fn send_and_close(address: SocketAddr, bytes: Arc<[u8]>) {
    let mut stream = TcpStream::connect(address).await.expect("the gateway listens");
    _ = tokio::time::timeout(SENDING, stream.write_all(&bytes)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn few_requests_of_closed_connection_are_not_sent_on() {
    assert_nothing_sent_after_close(20).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hundreds_of_requests_of_closed_connection_are_not_sent_on() {
    assert_nothing_sent_after_close(600).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn megabytes_of_requests_of_closed_connection_are_not_sent_on() {
    assert_nothing_sent_after_close(50_000).await;
}
