//! Moves of extent ranges between disks, by orders of the coordinator.

use std::collections::BTreeSet;

use bytes::Bytes;
use umbertray_control_plane::fence::OrderCheck;
use umbertray_store_protocol::orders::{
    ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply, PAGE_BYTES,
};

use super::{ExecutedAt, InMemoryDisk, RunKey};

/// A range whose changes are tracked for a move, and its extents that are still to be copied.
pub(super) struct TrackedRange {
    range: ExtentRange,
    dirty: BTreeSet<u64>,
}

impl InMemoryDisk {
    /// Executes a coordinator's order for the move `number`.
    pub(crate) fn execute_order(&mut self, clock: u64, term: u64, number: u64, order: &Order) -> OrderReply {
        let check = match self.fences.apply_order(term, number, order) {
            Ok(check) => check,
            Err(reply) => return reply,
        };
        let range = *order.range();
        match order {
            Order::Prepare { .. } if check == OrderCheck::Apply => self.clear_range(&range),
            Order::Prepare { .. } | Order::Sync { .. } | Order::Activate { .. } => {}
            Order::TrackChanges { .. } => return OrderReply::ExtentsLeft(self.track(number, range)),
            Order::FetchNext { copied, .. } => return self.fetch_next(number, &range, *copied),
            Order::Put { content, .. } => self.put(&range, content),
            Order::Fence { .. } => {
                let remaining = self.tracked.get(&number).map_or(0, |tracked| tracked.dirty.len());
                return OrderReply::ExtentsLeft(remaining as u64);
            }
            Order::FetchExecuted { .. } => return OrderReply::ExecutedOps(self.executed_ops(clock, &range)),
            Order::RecordExecuted { executed_ops, .. } => {
                self.record_executed(clock, range.volume, executed_ops);
            }
            Order::Clear { .. } => {
                if self.fences.is_closed(&range) {
                    self.clear_range(&range);
                }
                self.tracked.remove(&number);
            }
            Order::Reactivate { .. } | Order::StopTracking { .. } => _ = self.tracked.remove(&number),
        }
        OrderReply::Done
    }

    /// Number of bytes that this disk holds of a range, counted in full pages.
    pub fn held_bytes(&self, range: &ExtentRange) -> usize {
        let held = self.pages.iter().filter(|((volume, extent), _)| range.contains(*volume, *extent));
        held.map(|(_, pages)| pages.len() * PAGE_BYTES).sum()
    }

    /// Counts a change of an extent, and marks the extent to be copied again by each move that tracks it.
    pub(super) fn count_change(&mut self, volume: u64, extent: u64) {
        self.change_count += 1;
        self.change_counts.insert((volume, extent), self.change_count);
        for tracked in self.tracked.values_mut().filter(|tracked| tracked.range.contains(volume, extent)) {
            tracked.dirty.insert(extent);
        }
    }

    fn clear_range(&mut self, range: &ExtentRange) {
        self.pages.retain(|(volume, extent), _| !range.contains(*volume, *extent));
        self.change_counts.retain(|(volume, extent), _| !range.contains(*volume, *extent));
    }

    /// Starts to track the changes of a range, and marks all of its extents that hold data to be copied.
    /// Returns the number of extents to copy.
    ///
    /// Hazard: a restarted move copies everything again. An extent that was emptied after its first copy must
    /// be copied again too, or the target would keep its old data. Therefore extents that are already marked
    /// to be copied stay marked.
    fn track(&mut self, number: u64, range: ExtentRange) -> u64 {
        let held = self.pages.keys().filter(|(volume, extent)| range.contains(*volume, *extent));
        let held: Vec<u64> = held.map(|(_, extent)| *extent).collect();
        let tracked = self.tracked.entry(number).or_insert(TrackedRange { range, dirty: BTreeSet::new() });
        tracked.dirty.extend(held);
        tracked.dirty.len() as u64
    }

    /// Returns the next extent to copy. `copied` is the extent that was copied last and its change count
    /// then; it is done unless it has changed since.
    fn fetch_next(&mut self, number: u64, range: &ExtentRange, copied: Option<(u64, u64)>) -> OrderReply {
        let Some(tracked) = self.tracked.get_mut(&number) else { return OrderReply::WrongState };
        let counts = &self.change_counts;
        let change_count = |extent: u64| counts.get(&(range.volume, extent)).copied().unwrap_or_default();
        if let Some((extent, _)) = copied.filter(|(extent, copied)| change_count(*extent) == *copied) {
            tracked.dirty.remove(&extent);
        }
        // Continues after the extent that was copied last, so that an extent that changes all the time does
        // not delay the others.
        let after = copied.map_or(0, |(extent, _)| extent + 1);
        let next = tracked.dirty.range(after..).next().or(tracked.dirty.first()).copied();
        OrderReply::NextExtent(next.map(|extent| {
            let pages = self.pages.get(&(range.volume, extent)).into_iter().flatten();
            let pages = pages.map(|(page, bytes)| (*page, Bytes::copy_from_slice(&bytes[..]))).collect();
            ExtentContent { extent, change_count: change_count(extent), pages }
        }))
    }

    /// Stores a copy of an extent.
    ///
    /// Hazard: a delayed older copy must not overwrite a newer one.
    fn put(&mut self, range: &ExtentRange, content: &ExtentContent) {
        let key = (range.volume, content.extent);
        if self.change_counts.get(&key).is_some_and(|held| *held > content.change_count) {
            return;
        }
        let page = |(number, bytes): &(u32, Bytes)| {
            let mut page = Box::new([0; PAGE_BYTES]);
            page.copy_from_slice(bytes);
            (*number, page)
        };
        self.pages.insert(key, content.pages.iter().map(page).collect());
        self.change_counts.insert(key, content.change_count);
        // This disk's own counts continue above the copied one, so that no count is used twice.
        self.change_count = self.change_count.max(content.change_count);
    }

    fn executed_ops(&self, clock: u64, range: &ExtentRange) -> Vec<ExecutedOp> {
        let in_range = self.executed.iter().filter(|(_, at)| range.contains(at.volume, at.extent));
        let executed_op = |((run, op), at): (&RunKey, &ExecutedAt)| ExecutedOp {
            gateway_run: *run,
            op: *op,
            extent: at.extent,
            remaining_micros: at.until.saturating_sub(clock),
        };
        in_range.map(executed_op).collect()
    }

    /// Remembers operations that were executed at the source of a move.
    fn record_executed(&mut self, clock: u64, volume: u64, executed: &[ExecutedOp]) {
        for ExecutedOp { gateway_run, op, extent, remaining_micros } in executed {
            let until = clock + remaining_micros;
            self.remember_executed((*gateway_run, *op), ExecutedAt { volume, extent: *extent, until });
        }
    }
}
