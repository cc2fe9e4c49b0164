//! Fair queuing of the volumes that share one store: Argon's quanta, assigned by virtual time.
//!
//! One volume at a time holds the store for a quantum, which is limited by a number of ops and by time. The
//! next quantum goes to the volume of the smallest virtual time, which grows by the units served divided by
//! the weight of the volume's plan.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::store::LATENCY_SMOOTHING;
use crate::interface::{Op, OpId, VolumeId};

/// A volume that has had no ops at a store for this long is removed there; trust in a snapshot decays with
/// the same time constant.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The queue of one volume at one store.
#[derive(Default)]
pub(super) struct VolumeQueue {
    /// Queued ops in the order in which they were enqueued.
    queued: Vec<OpId>,
    /// The same ops with their keys, by descending priority weight, then by order of arrival.
    ranked: Vec<(OpId, Option<u64>)>,
    in_flight: usize,
    /// Units served divided by the weight of the volume's plan.
    pub(super) virtual_time: f64,
    /// Average response latency in seconds.
    pub(super) latency: f64,
    pub(super) last_used: Duration,
    /// When the volume's next paced op may be sent while the store is in slow start.
    pub(super) next_paced_send_at: Duration,
}

impl VolumeQueue {
    fn is_active(&self) -> bool {
        !self.queued.is_empty() || self.in_flight > 0
    }

    pub(super) fn queued(&self) -> &[OpId] {
        &self.queued
    }

    pub(super) fn ranked(&self) -> &[(OpId, Option<u64>)] {
        &self.ranked
    }

    fn start_attempt(&mut self, now: Duration, units_per_weight: f64, pacing: Duration) {
        self.last_used = now;
        self.next_paced_send_at = now + pacing;
        self.in_flight += 1;
        self.virtual_time += units_per_weight;
    }

    /// Units served through other gateways count too, whereas Argon assumes that one scheduler sees the full
    /// load.
    fn finish_attempt(&mut self, now: Duration, units_elsewhere_per_weight: f64, latency: Option<f64>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_used = now;
        self.virtual_time += units_elsewhere_per_weight;
        if let Some(latency) = latency {
            self.latency += LATENCY_SMOOTHING * (latency - self.latency);
        }
    }
}

/// A volume's exclusive use of a store for a limited time.
pub(super) struct Quantum {
    pub(super) volume: VolumeId,
    /// Number of ops that the volume may still start; at least one when the quantum begins.
    pub(super) ops_left: f64,
    pub(super) ends_at: Duration,
}

/// An op to be enqueued.
pub(super) struct NewEntry {
    pub(super) op: OpId,
    pub(super) key: Option<u64>,
    pub(super) volume: VolumeId,
    /// Initial average response latency, in seconds, of a volume that is new to the store.
    pub(super) initial_latency: f64,
}

/// The queues of all volumes at one store.
///
/// Invariant: `queued_count` is the sum of the queues' lengths, and `active` names exactly the volumes with ops
/// queued or in flight. Events examine the active volumes only, since any number of others may be known.
#[derive(Default)]
pub(super) struct FairQueue {
    volumes: BTreeMap<VolumeId, VolumeQueue>,
    active: BTreeSet<VolumeId>,
    pub(super) quantum: Option<Quantum>,
    /// The key of the last op sent; consecutive ops on one key are kept together.
    pub(super) last_key: Option<u64>,
    queued_count: usize,
}

impl FairQueue {
    pub(super) fn queued_count(&self) -> usize {
        self.queued_count
    }

    pub(super) fn volume(&self, id: VolumeId) -> Option<&VolumeQueue> {
        self.volumes.get(&id)
    }

    /// Number of known volumes.
    pub(super) fn volume_count(&self) -> usize {
        self.volumes.len()
    }

    /// All known volumes.
    pub(super) fn known_volumes(&self) -> impl Iterator<Item = VolumeId> {
        self.volumes.keys().copied()
    }

    fn active_queues(&self) -> impl Iterator<Item = (VolumeId, &VolumeQueue)> {
        self.active.iter().map(|id| (*id, &self.volumes[id]))
    }

    /// All queued ops, by volume and in the order in which they were enqueued.
    pub(super) fn queued_ops(&self) -> Vec<OpId> {
        self.active_queues().flat_map(|(_, queue)| queue.queued.iter().copied()).collect()
    }

    pub(super) fn virtual_times(&self) -> Vec<(VolumeId, f64)> {
        self.volumes.iter().map(|(id, queue)| (*id, queue.virtual_time)).collect()
    }

    /// The virtual time at which a new volume starts, and the minimum for a volume that returns.
    ///
    /// It is the smallest virtual time of the active volumes, or with none active, the greatest of all. With
    /// the smallest in the latter case, a volume that had been served alone would wait until a newcomer had
    /// been served as much.
    fn virtual_time_floor(&self) -> f64 {
        let of_active = self.active_queues().map(|(_, queue)| queue.virtual_time).reduce(f64::min);
        let of_idle = || self.volumes.values().map(|queue| queue.virtual_time).reduce(f64::max);
        of_active.or_else(of_idle).unwrap_or(0.0)
    }

    /// Adds an op to its volume's queue. `rank` orders the ops of a volume, smallest first.
    pub(super) fn enqueue<R: PartialOrd>(
        &mut self,
        entry: &NewEntry,
        now: Duration,
        rank: impl Fn(&OpId) -> R,
    ) {
        self.queued_count += 1;
        let floor = self.virtual_time_floor();
        let new_queue =
            VolumeQueue { virtual_time: floor, latency: entry.initial_latency, ..VolumeQueue::default() };
        let queue = self.volumes.entry(entry.volume).or_insert(new_queue);
        queue.virtual_time = queue.virtual_time.max(floor);
        queue.last_used = now;
        let position = queue.ranked.partition_point(|(other, _)| rank(other) < rank(&entry.op));
        queue.ranked.insert(position, (entry.op, entry.key));
        queue.queued.push(entry.op);
        self.active.insert(entry.volume);
    }

    pub(super) fn dequeue(&mut self, op: OpId, volume: VolumeId) {
        self.queued_count -= 1;
        if let Some(queue) = self.volumes.get_mut(&volume) {
            queue.queued.retain(|other| *other != op);
            queue.ranked.retain(|(other, _)| *other != op);
        }
        self.deactivate_if_idle(volume);
    }

    /// An idle queue keeps no memory for its ops, since any number of volumes may be known.
    fn deactivate_if_idle(&mut self, volume: VolumeId) {
        if let Some(queue) = self.volumes.get_mut(&volume)
            && !queue.is_active()
        {
            (queue.queued, queue.ranked) = (Vec::new(), Vec::new());
            self.active.remove(&volume);
        }
    }

    /// An attempt of a volume's op ends. `units_elsewhere_per_weight` is what the store served for the volume
    /// through other gateways; `latency` is absent if it is not valid.
    pub(super) fn on_attempt_finished(
        &mut self,
        volume: VolumeId,
        now: Duration,
        units_elsewhere_per_weight: f64,
        latency: Option<f64>,
    ) {
        if let Some(queue) = self.volumes.get_mut(&volume) {
            queue.finish_attempt(now, units_elsewhere_per_weight, latency);
        }
        self.deactivate_if_idle(volume);
    }

    /// An attempt of a known volume's op starts. `units_per_weight` is its units divided by the weight of the
    /// volume's plan.
    pub(super) fn on_attempt_started(
        &mut self,
        op: &Op,
        now: Duration,
        units_per_weight: f64,
        pacing: Duration,
    ) {
        self.last_key = op.key;
        if let Some(queue) = self.volumes.get_mut(&op.volume) {
            queue.start_attempt(now, units_per_weight, pacing);
            self.active.insert(op.volume);
        }
        if let Some(quantum) = &mut self.quantum {
            quantum.ops_left -= 1.0;
        }
    }

    /// Volumes with queued ops, by ascending virtual time.
    pub(super) fn waiting_volumes(&self) -> Vec<VolumeId> {
        let waiting = self.active_queues().filter(|(_, queue)| !queue.queued.is_empty());
        let mut waiting: Vec<_> = waiting.map(|(id, queue)| (queue.virtual_time, id)).collect();
        waiting.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    pub(super) fn drop_idle(&mut self, now: Duration) {
        self.volumes.retain(|_, queue| queue.is_active() || queue.last_used + IDLE_TIMEOUT > now);
    }

    /// Drops the idle volumes whose next op will be treated as that of a new volume: those that have not been
    /// served more than the others. Volumes of which `is_kept` holds stay.
    pub(super) fn drop_settled(&mut self, is_kept: impl Fn(VolumeId) -> bool) {
        let floor = self.virtual_time_floor();
        let holder = self.quantum.as_ref().map(|quantum| quantum.volume);
        self.volumes.retain(|id, queue| {
            queue.is_active() || queue.virtual_time >= floor || Some(*id) == holder || is_kept(*id)
        });
    }

    /// Adds the virtual time from an earlier run, already scaled by its trust.
    pub(super) fn restore(
        &mut self,
        volume: VolumeId,
        virtual_time: f64,
        initial_latency: f64,
        now: Duration,
    ) {
        let new_queue = || VolumeQueue { latency: initial_latency, last_used: now, ..VolumeQueue::default() };
        self.volumes.entry(volume).or_insert_with(new_queue).virtual_time += virtual_time;
    }
}
