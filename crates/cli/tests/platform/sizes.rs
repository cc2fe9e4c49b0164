//! Fleets with far more stores than one gateway has descriptors and memory for.

use std::net::SocketAddr;
use std::time::Duration;

use umbertray_fakes::platform::{Discovery, Store, StoreAction, ok};

use crate::common::{Node, config, op, within};

const STORES: u32 = 1024;
/// The lowest limit on descriptors with which a gateway must work.
const SOCKETS: usize = 256;

fn config_of_large_fleet(discovery: SocketAddr) -> String {
    let text = config(discovery, SOCKETS).replace(r#""slotsTotal":4"#, &format!(r#""slotsTotal":{STORES}"#));
    text.replace(r#""memory_mb":64"#, r#""memory_mb":32"#)
}

fn entry(shard: u32, address: SocketAddr) -> String {
    let uid = format!("{shard:->1000}");
    let zone_and_model = r#""az":"a","model":"m""#;
    let state = r#""state":"ready","capacity_hint":1.0,"boot_ms":0"#;
    format!(r#"{{"uid":"{uid}","endpoint":"{address}",{zone_and_model},"pod_group":{shard},{state}}}"#)
}

/// A watch event that changes all stores in one object of more than a megabyte: each store's name has a
/// thousand characters.
fn change_of_all(version: u64, address: SocketAddr) -> String {
    let entries: Vec<String> = (0..STORES).map(|shard| entry(shard, address)).collect();
    format!(r#"{{"rev":{version},"all":false,"targets":[{}]}}"#, entries.join(","))
}

#[tokio::test(flavor = "multi_thread")]
async fn list_of_1024_stores_is_applied_in_full_and_as_one_change() {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Write(ok("served"))).await.expect("loopback");
    let unused_address = "127.0.0.1:1".parse::<SocketAddr>().expect("an address");
    for shard in 0..STORES {
        discovery.list(&format!("{shard:->1000}"), store.address, shard, "ready");
    }
    let node = Node::start_with_config(&config_of_large_fleet(discovery.address)).await;
    node.wait_until_ready().await;
    let mut client = node.connect().await;
    for shard in [0, 511, 1023] {
        assert_eq!(
            client.request(&op("look", shard, shard as u64, 2000)).await.0,
            200,
            "a store of the complete list"
        );
    }
    within(5, "the watch", discovery.wait_for_requests(|asked| asked.iter().any(|t| t.contains("watch=1"))))
        .await;
    // All stores change twice, each time in one object: to an address at which no process listens, and back.
    let version = u64::from(STORES);
    for (n, (address, status)) in [(unused_address, 503), (store.address, 200)].into_iter().enumerate() {
        discovery.send_line(&change_of_all(version + 1 + n as u64, address));
        let change_applied = async {
            for id in 0.. {
                let id = 10_000 * (n as u64 + 1) + id;
                if client.request(&op("look", 1023, id, 2000)).await.0 == status {
                    return;
                }
            }
        };
        within(10, "the change", change_applied).await;
    }
    assert!(node.resident_kilobytes() < 32 * 1024, "{} KB", node.resident_kilobytes());
}

/// Every store is reached, one after another and all at once, although there are too few descriptors for all
/// of them.
#[tokio::test(flavor = "multi_thread")]
async fn stores_beyond_descriptor_limit_are_all_reached() {
    const REACHED: u32 = 300;
    let discovery = Discovery::start().await.expect("loopback");
    let mut stores = Vec::new();
    for shard in 0..REACHED {
        let wait = Duration::from_millis(5);
        let store =
            Store::start(move |_, _| StoreAction::WriteAfter(wait, ok("served"))).await.expect("loopback");
        discovery.list(&format!("s{shard}"), store.address, shard, "ready");
        stores.push(store);
    }
    let node = Node::start_with_config(&config_of_large_fleet(discovery.address)).await;
    node.wait_until_ready().await;
    let mut client = node.connect().await;
    for shard in 0..i64::from(REACHED) {
        assert_eq!(client.request(&op("look", shard, shard as u64, 2000)).await.0, 200, "{shard}");
    }
    let mut clients = Vec::new();
    for shard in 0..100 {
        let mut client = node.connect().await;
        client.write(&op("look", shard * 3, 1000 + shard as u64, 2000)).await;
        clients.push(client);
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.response().await.expect("a complete response").head.status, 200, "{n}");
    }
    assert_eq!(stores.iter().filter(|store| store.requests().is_empty()).count(), 0);
}
