//! Snapshots of this gateway's state, and restoring those of an earlier run with limited trust.

use std::time::Duration;

use super::SchedulerState;
use super::fair_queue::IDLE_TIMEOUT;
use super::quota::QuotaSnapshot;
use super::store::Store;
use crate::interface::{Action, StoreId, StoreSnapshot, VolumeSnapshot};

impl SchedulerState {
    /// Emits a snapshot of the current state. The reserved tokens are withheld from now on, since a crash
    /// right after the snapshot would otherwise break its promise.
    pub(super) fn snapshot(&mut self, promise_duration: Duration) {
        self.stores.apply_all_missed_sweeps(&self.settings);
        let ready = self.stores.iter().filter(|(_, store)| store.is_ready());
        let stores = ready.map(|(id, store)| store_snapshot(id, store)).collect();
        let quotas = self.quotas.snapshot(self.now, promise_duration);
        let volumes = quotas.into_iter().map(|(volume, quota)| VolumeSnapshot {
            volume,
            rate: quota.rate,
            reported_rate: quota.reported_rate,
            reserved_tokens: quota.reserved_tokens,
        });
        self.actions.push(Action::Snapshot { stores, volumes: volumes.collect() });
    }

    /// Restores an earlier run's snapshot. Trust decreases with its age, and a snapshot of unknown age is
    /// ignored. Of a volume's limit, only the tokens that the snapshot promised to leave undrawn are
    /// available, and only while the promise lasts (rule 7).
    pub(super) fn restore(
        &mut self,
        age: Option<Duration>,
        promise_duration: Duration,
        stores: Vec<StoreSnapshot>,
        volumes: &[VolumeSnapshot],
    ) {
        self.stores.apply_all_missed_sweeps(&self.settings);
        let Some(age) = age else { return };
        let trust = (-age.as_secs_f64() / IDLE_TIMEOUT.as_secs_f64()).exp();
        for snapshot in stores {
            self.restore_store(snapshot, trust);
        }
        let is_promise_valid = age <= promise_duration;
        for snapshot in volumes {
            let quota = QuotaSnapshot {
                rate: snapshot.rate,
                reported_rate: snapshot.reported_rate,
                reserved_tokens: if is_promise_valid { snapshot.reserved_tokens } else { 0.0 },
            };
            self.quotas.restore(snapshot.volume, &quota, age, self.now);
        }
    }

    fn restore_store(&mut self, snapshot: StoreSnapshot, trust: f64) {
        let initial_latency = self.store_baseline().initial_latency();
        let Some(store) = self.stores.get_mut(snapshot.store) else { return };
        store.restore_latency(snapshot.latency, trust);
        store.limit.restore(snapshot.concurrency_limit, trust);
        for (volume, virtual_time) in snapshot.virtual_times {
            store.queues.restore(volume, trust * virtual_time, initial_latency, self.now);
            self.quotas.register(volume, self.now);
        }
    }
}

fn store_snapshot(id: StoreId, store: &Store) -> StoreSnapshot {
    StoreSnapshot {
        store: id,
        latency: store.latency,
        concurrency_limit: store.limit.units(),
        virtual_times: store.queues.virtual_times(),
    }
}
