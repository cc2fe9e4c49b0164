//! The list of stores: which store serves which shard, followed for as long as the coordinator runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, ToList};

use crate::event_loop::LoopEvent;
use crate::framed_socket::FramedSocket;
use crate::store_connection::connect;

/// Between two attempts to watch the list.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The stores that were listed last and are not gone.
#[derive(Default)]
pub(crate) struct StoreTable {
    stores: BTreeMap<u64, ListedStore>,
}

impl StoreTable {
    /// Takes what was listed: all stores where `is_full`, otherwise those that have changed.
    pub(crate) fn update(&mut self, stores: Vec<ListedStore>, is_full: bool) {
        if is_full {
            self.stores.clear();
        }
        self.stores.extend(stores.into_iter().map(|store| (store.store, store)));
        self.stores.retain(|_, store| store.state != EndpointState::Gone);
    }

    pub(crate) fn contains(&self, store: u64) -> bool {
        self.stores.contains_key(&store)
    }

    pub(crate) fn shards(&self) -> BTreeSet<u32> {
        self.stores.values().map(|store| store.shard).collect()
    }

    /// The store that has served a shard longest, of those that are not draining if there are any.
    pub(crate) fn serving(&self, shard: u32) -> Option<&ListedStore> {
        let serving = self.stores.values().filter(|store| store.shard == shard);
        serving.min_by_key(|store| {
            let is_draining = store.state == EndpointState::Draining;
            (is_draining, Reverse(store.age.unwrap_or(u64::MAX)))
        })
    }
}

/// Follows the list; it never ends by itself.
pub(crate) async fn follow(endpoint_list: SocketAddr, events: mpsc::UnboundedSender<LoopEvent>) {
    loop {
        let ended = watch(endpoint_list, &events).await;
        let reason = ended.err().map_or("closed".into(), |error| error.to_string());
        tracing::warn!(%endpoint_list, reason, "endpoint list stale");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Watches the list until its connection ends.
async fn watch(endpoint_list: SocketAddr, events: &mpsc::UnboundedSender<LoopEvent>) -> io::Result<()> {
    let mut socket: FramedSocket = connect(endpoint_list, &ToList::Hello { run: 0 }).await?;
    socket.send(&ToList::Watch).await?;
    while let Some(message) = socket.receive().await? {
        let listed = match message {
            FromList::Full(stores) => LoopEvent::StoresListed { stores, is_full: true },
            FromList::Changes(stores) => LoopEvent::StoresListed { stores, is_full: false },
            FromList::Failed => return Err(io::Error::other("the list rejected the watch")),
            _ => continue,
        };
        // The loop has ended where this fails, and this task ends with it.
        _ = events.send(listed);
    }
    Ok(())
}
