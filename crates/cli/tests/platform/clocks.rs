//! Wall clocks that are wrong. The operators' terms: a machine's wall clock may be stepped, by seconds or by an hour; a
//! store in slow start has the same budget whatever it says. Here the gateway's clock is right and that of discovery's
//! stamps is not, which is the same to the gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use umbertray_fakes::platform::{Act, Discovery, Store, ok};

use crate::common::{Node, op, within};

/// How many clients ask at once, as fast as they are answered.
const CLIENTS: u64 = 8;
/// For so long after the store has come back; its start is 4 s in the settings, in which it bears 4 units a second.
const WATCHED: Duration = Duration::from_millis(1500);
/// Far more than the budget of that time, and far less than what the clients ask for.
const BUDGET: usize = 60;

/// Milliseconds since 1970 on a clock that is off by so many seconds.
fn stamp(off: i64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    (now + 1000 * off) as u64
}

/// Requests that a store gets in its first moments after it has come back cold.
async fn cold_requests(off: i64, started_before: bool) -> usize {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| Act::Write(ok("served"))).await.expect("loopback");
    let other = Store::start(|_, _| Act::Write(ok("served"))).await.expect("loopback");
    discovery.list("s0", store.address, 0, "ready");
    discovery.list("s1", other.address, 1, "ready");
    let back = || discovery.list_started("s0", store.address, 0, "ready", stamp(off));
    if started_before {
        back();
    }
    let node = Node::start(&discovery, 256).await;
    node.ready().await;
    within(5, "the watch", discovery.until_asked(|asked| asked.iter().any(|t| t.contains("watch=1")))).await;
    if !started_before {
        back();
        // The next news has been read once its store serves.
        discovery.list("s2", other.address, 2, "ready");
        let mut caller = node.connect().await;
        let read = async {
            for id in 1.. {
                if caller.ask(&op("look", 2, id, 2000)).await.0 == 200 {
                    return;
                }
            }
        };
        within(5, "the news", read).await;
    }
    let before = store.requests().len();
    let ids = Arc::new(AtomicU64::new(1 << 32));
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        let (mut caller, ids) = (node.connect().await, ids.clone());
        clients.spawn(async move {
            loop {
                caller.ask(&op("look", 0, ids.fetch_add(1, Ordering::Relaxed), 2000)).await;
            }
        });
    }
    tokio::time::sleep(WATCHED).await;
    clients.shutdown().await;
    store.requests().len() - before
}

/// With a clock that is ahead of the stamps a cold store was taken for warm: 5,350 requests in its first 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_store_has_its_budget_whatever_the_wall_clock_says() {
    let offs = [0, -30, -3600, 30, 3600];
    let mut over = Vec::new();
    for (off, started_before) in offs.into_iter().flat_map(|off| [(off, false), (off, true)]) {
        let requests = cold_requests(off, started_before).await;
        if requests > BUDGET {
            over.push((off, started_before, requests));
        }
    }
    assert!(over.is_empty(), "(clock off by s, started before the gateway, requests): {over:?}");
}
