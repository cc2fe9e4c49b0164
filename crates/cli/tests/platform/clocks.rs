//! Wrong wall clocks. The operators' terms: a machine's wall clock may be stepped, by seconds or by an hour,
//! and a store in slow start has the same budget whatever the clock shows. In these tests the gateway's clock
//! is right and the clock of discovery's timestamps is wrong, which is equivalent for the gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umbertray_fakes::platform::{Discovery, Store, StoreAction, ok};

use crate::common::{Node, op, within};

/// Number of concurrent clients; each sends its next request once it has the response to the last.
const CLIENTS: u64 = 8;
/// Time for which requests are counted after the store has restarted. Its slow start takes 4 s in the
/// settings, at 4 units per second.
const COUNTING_TIME: Duration = Duration::from_millis(1500);
/// Most requests that may be counted: far more than the budget for that time, and far fewer than the clients
/// send.
const MAX_REQUESTS: usize = 60;

/// Milliseconds since 1970 on a clock that is wrong by this many seconds.
fn timestamp_ms(offset_seconds: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    (now + 1000 * offset_seconds) as u64
}

/// Number of requests that a store receives directly after a cold restart.
async fn requests_to_cold_store(offset_seconds: i64, started_before: bool) -> usize {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Write(ok("served"))).await.expect("loopback");
    let other = Store::start(|_, _| StoreAction::Write(ok("served"))).await.expect("loopback");
    discovery.list("s0", store.address, 0, "ready");
    discovery.list("s1", other.address, 1, "ready");
    let list_restarted =
        || discovery.list_started("s0", store.address, 0, "ready", timestamp_ms(offset_seconds));
    if started_before {
        list_restarted();
    }
    let node = Node::start(&discovery, 256).await;
    node.wait_until_ready().await;
    within(5, "the watch", discovery.wait_for_requests(|asked| asked.iter().any(|t| t.contains("watch=1"))))
        .await;
    if !started_before {
        list_restarted();
        // The next watch event has been applied once its store serves.
        discovery.list("s2", other.address, 2, "ready");
        let mut client = node.connect().await;
        let event_applied = async {
            for id in 1.. {
                if client.request(&op("look", 2, id, 2000)).await.0 == 200 {
                    return;
                }
            }
        };
        within(5, "the watch event", event_applied).await;
    }
    let before = store.requests().len();
    let ids = Arc::new(AtomicU64::new(1 << 32));
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        let (mut client, ids) = (node.connect().await, ids.clone());
        clients.spawn(async move {
            loop {
                client.request(&op("look", 0, ids.fetch_add(1, Ordering::Relaxed), 2000)).await;
            }
        });
    }
    tokio::time::sleep(COUNTING_TIME).await;
    clients.shutdown().await;
    store.requests().len() - before
}

/// Guards against overload of a cold store: with a clock ahead of the timestamps, the store was treated as
/// warm and received 5,350 requests in its first 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn cold_store_with_wrong_wall_clock_keeps_slow_start_budget() {
    let offsets = [0, -30, -3600, 30, 3600];
    let mut over_budget = Vec::new();
    for (offset_seconds, started_before) in
        offsets.into_iter().flat_map(|offset_seconds| [(offset_seconds, false), (offset_seconds, true)])
    {
        let requests = requests_to_cold_store(offset_seconds, started_before).await;
        if requests > MAX_REQUESTS {
            over_budget.push((offset_seconds, started_before, requests));
        }
    }
    assert!(
        over_budget.is_empty(),
        "(clock off by s, started before the gateway, requests): {over_budget:?}"
    );
}
