//! Watches the endpoint list, which says which store serves which shard, for as long as the coordinator runs.

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

/// Delay between two attempts to watch the list.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The stores of the latest endpoint list, without those that are gone.
#[derive(Default)]
pub(crate) struct StoreTable {
    stores: BTreeMap<u64, ListedStore>,
}

impl StoreTable {
    /// Applies a message of the list service: the complete list if `is_complete`, otherwise the changed
    /// entries.
    pub(crate) fn update(&mut self, stores: Vec<ListedStore>, is_complete: bool) {
        if is_complete {
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

    /// The store to send a shard's orders to: the one that started the longest time ago, preferring stores
    /// that are not draining.
    pub(crate) fn store_for_shard(&self, shard: u32) -> Option<&ListedStore> {
        let candidates = self.stores.values().filter(|store| store.shard == shard);
        candidates.min_by_key(|store| {
            let is_draining = store.state == EndpointState::Draining;
            (is_draining, Reverse(store.age.unwrap_or(u64::MAX)))
        })
    }
}

/// Watches the list, and reconnects whenever the watch ends; it never returns.
pub(crate) async fn follow(endpoint_list: SocketAddr, events: mpsc::UnboundedSender<LoopEvent>) {
    loop {
        let result = watch(endpoint_list, &events).await;
        let reason = result.err().map_or("closed".into(), |error| error.to_string());
        tracing::warn!(%endpoint_list, reason, "endpoint list stale");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Watches the list until its connection closes.
async fn watch(endpoint_list: SocketAddr, events: &mpsc::UnboundedSender<LoopEvent>) -> io::Result<()> {
    let mut socket: FramedSocket = connect(endpoint_list, &ToList::Hello { run: 0 }).await?;
    socket.send(&ToList::Watch).await?;
    while let Some(message) = socket.receive().await? {
        let event = match message {
            FromList::Complete(stores) => LoopEvent::StoresListed { stores, is_complete: true },
            FromList::Changes(stores) => LoopEvent::StoresListed { stores, is_complete: false },
            FromList::Failed => return Err(io::Error::other("the list service rejected the watch")),
            _ => continue,
        };
        // If this fails, the event loop has ended, and this task is being aborted too.
        _ = events.send(event);
    }
    Ok(())
}
