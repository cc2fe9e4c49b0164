//! Records of earlier format versions, and their conversion to the current version.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use umbertray_routing::Snapshot;
use umbertray_routing::snapshot_records::{LearnedValues, StoreRecord, VolumeRecord};

use crate::format::StampedSnapshot;
use crate::stamp::Stamp;

/// A record of version 1. Each record was the complete state. It included the time since each store had
/// started, which was never used.
#[derive(Deserialize)]
pub(crate) struct StampedSnapshotV1 {
    taken_at: Stamp,
    stores: Vec<StoreRecordV1>,
    volumes: Vec<VolumeRecord>,
    promise_duration: Duration,
}

#[derive(Deserialize)]
struct StoreRecordV1 {
    store: u64,
    address: SocketAddr,
    shard: u32,
    zone: u32,
    state: u8,
    incarnation: u64,
    _age: Option<u64>,
    learned_values: Option<LearnedValues>,
}

impl From<StoreRecordV1> for StoreRecord {
    fn from(store: StoreRecordV1) -> StoreRecord {
        let StoreRecordV1 { store, address, shard, zone, state, incarnation, learned_values, .. } = store;
        StoreRecord { store, address, shard, zone, state, incarnation, learned_values }
    }
}

impl From<StampedSnapshotV1> for StampedSnapshot {
    fn from(snapshot: StampedSnapshotV1) -> StampedSnapshot {
        let StampedSnapshotV1 { taken_at, stores, volumes, promise_duration } = snapshot;
        let stores = stores.into_iter().map(StoreRecord::from).collect();
        StampedSnapshot { taken_at, state: Snapshot { stores, volumes, promise_duration } }
    }
}
