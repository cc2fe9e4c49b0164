//! Fleets far larger than the descriptors and the memory of one gateway.

use std::net::SocketAddr;
use std::time::Duration;

use umbertray_fakes::platform::{Act, Discovery, Store, ok};

use crate::common::{Node, config, op, within};

const STORES: u32 = 1024;
/// The lowest limit that a gateway must work with.
const SOCKETS: usize = 256;

fn config_of_large_fleet(discovery: SocketAddr) -> String {
    let text = config(discovery, SOCKETS).replace(r#""slotsTotal":4"#, &format!(r#""slotsTotal":{STORES}"#));
    text.replace(r#""memory_mb":64"#, r#""memory_mb":32"#)
}

fn entry(shard: u32, address: SocketAddr) -> String {
    let uid = format!("{shard:->1000}");
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":{shard},"state":"ready","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// A change of all in one object, each store with a name of a thousand letters: more than a megabyte.
fn change_of_all(version: u64, address: SocketAddr) -> String {
    let entries: Vec<String> = (0..STORES).map(|shard| entry(shard, address)).collect();
    format!(r#"{{"rev":{version},"all":false,"targets":[{}]}}"#, entries.join(","))
}

#[tokio::test(flavor = "multi_thread")]
async fn list_of_1024_stores_is_applied_in_full_and_as_one_change() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| Act::Write(ok("served"))).await.expect("loopback");
    let nobody = "127.0.0.1:1".parse::<SocketAddr>().expect("an address");
    for shard in 0..STORES {
        discovery.list(&format!("{shard:->1000}"), store.address, shard, "ready");
    }
    let node = Node::configured(&config_of_large_fleet(discovery.address)).await;
    node.ready().await;
    let mut caller = node.connect().await;
    for shard in [0, 511, 1023] {
        assert_eq!(caller.ask(&op("look", shard, shard as u64, 2000)).await.0, 200, "of the whole list");
    }
    within(5, "the watch", discovery.until_asked(|asked| asked.iter().any(|t| t.contains("watch=1")))).await;
    // Twice all of them change in one object: to where nobody listens, and back.
    let version = u64::from(STORES);
    for (n, (address, status)) in [(nobody, 503), (store.address, 200)].into_iter().enumerate() {
        discovery.say(&change_of_all(version + 1 + n as u64, address));
        let change_applied = async {
            for id in 0.. {
                let id = 10_000 * (n as u64 + 1) + id;
                if caller.ask(&op("look", 1023, id, 2000)).await.0 == status {
                    return;
                }
            }
        };
        within(10, "the change", change_applied).await;
    }
    assert!(node.memory() < 32 * 1024, "{} KB", node.memory());
}

/// Every store is reached, one after the other and all at once, although there are too few descriptors for all.
#[tokio::test(flavor = "multi_thread")]
async fn stores_beyond_descriptor_limit_are_all_reached() {
    const REACHED: u32 = 300;
    let discovery = Discovery::start().await.expect("loopback");
    let mut stores = Vec::new();
    for shard in 0..REACHED {
        let wait = Duration::from_millis(5);
        let store = Store::start(move |_, _| Act::WriteAfter(wait, ok("served"))).await.expect("loopback");
        discovery.list(&format!("s{shard}"), store.address, shard, "ready");
        stores.push(store);
    }
    let node = Node::configured(&config_of_large_fleet(discovery.address)).await;
    node.ready().await;
    let mut caller = node.connect().await;
    for shard in 0..i64::from(REACHED) {
        assert_eq!(caller.ask(&op("look", shard, shard as u64, 2000)).await.0, 200, "{shard}");
    }
    let mut callers = Vec::new();
    for shard in 0..100 {
        let mut caller = node.connect().await;
        caller.write(&op("look", shard * 3, 1000 + shard as u64, 2000)).await;
        callers.push(caller);
    }
    for (n, caller) in callers.iter_mut().enumerate() {
        assert_eq!(caller.answer().await.expect("a whole answer").head.status, 200, "{n}");
    }
    assert_eq!(stores.iter().filter(|store| store.requests().is_empty()).count(), 0);
}
