//! Entries of older versions, as they were written, and what they are now.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use umbertray_routing::Snapshot;
use umbertray_routing::saved::{LearnedFigures, StoreRecord, VolumeRecord};

use crate::decide::Stamp;
use crate::format::Entry;

/// Version 1: each entry was all that was known, and told how long ago each store had started, which nobody read.
#[derive(Deserialize)]
pub struct Entry1 {
    at: Stamp,
    stores: Vec<Store1>,
    volumes: Vec<VolumeRecord>,
    promised: Duration,
}

#[derive(Deserialize)]
struct Store1 {
    store: u64,
    address: SocketAddr,
    shard: u32,
    zone: u32,
    state: u8,
    start: u64,
    _age: Option<u64>,
    learned: Option<LearnedFigures>,
}

impl From<Store1> for StoreRecord {
    fn from(store: Store1) -> StoreRecord {
        let Store1 { store, address, shard, zone, state, start, learned, .. } = store;
        StoreRecord { store, address, shard, zone, state, incarnation: start, learned }
    }
}

impl From<Entry1> for Entry {
    fn from(Entry1 { at, stores, volumes, promised }: Entry1) -> Entry {
        let stores = stores.into_iter().map(StoreRecord::from).collect();
        Entry { at, saved: Snapshot { stores, volumes, promise_duration: promised } }
    }
}
