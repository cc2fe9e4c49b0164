//! Entries of older versions, as they were written, and what they are now.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use umbertray_routing::Saved;
use umbertray_routing::saved::{Learned, SavedStore, SavedVolume};

use crate::decide::Stamp;
use crate::format::Entry;

/// Version 1: each entry was all that was known, and told how long ago each store had started, which nobody read.
#[derive(Deserialize)]
pub struct Entry1 {
    at: Stamp,
    stores: Vec<Store1>,
    volumes: Vec<SavedVolume>,
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
    learned: Option<Learned>,
}

impl From<Store1> for SavedStore {
    fn from(store: Store1) -> SavedStore {
        let Store1 { store, address, shard, zone, state, start, learned, .. } = store;
        SavedStore { store, address, shard, zone, state, start, learned }
    }
}

impl From<Entry1> for Entry {
    fn from(Entry1 { at, stores, volumes, promised }: Entry1) -> Entry {
        let stores = stores.into_iter().map(SavedStore::from).collect();
        Entry { at, saved: Saved { stores, volumes, promised } }
    }
}
