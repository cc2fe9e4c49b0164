//! Moves of extent ranges between disks, as the coordinator orders them.

use std::collections::BTreeSet;

use bytes::Bytes;
use umbertray_control_plane::fence::OrderCheck;
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order, OrderReply, PAGE};

use super::{ExecutedAt, InMemoryDisk, RunKey};

/// A range whose changes are tracked for a move, and its extents that are still to be copied.
pub(super) struct TrackedRange {
    range: ExtentRange,
    dirty: BTreeSet<u64>,
}

impl InMemoryDisk {
    /// Takes a coordinator's order for the move of this number.
    pub(crate) fn order(&mut self, clock: u64, term: u64, number: u64, order: &Order) -> OrderReply {
        let check = match self.fences.take(term, number, order) {
            Ok(check) => check,
            Err(reply) => return reply,
        };
        let range = *order.span();
        match order {
            Order::Prepare { .. } if check == OrderCheck::Apply => self.clear_range(&range),
            Order::Prepare { .. } | Order::Sync { .. } | Order::Activate { .. } => {}
            Order::TrackChanges { .. } => return OrderReply::ExtentsLeft(self.track(number, range)),
            Order::FetchNext { copied, .. } => return self.fetch_next(number, &range, *copied),
            Order::Put { content, .. } => self.put(&range, content),
            Order::Fence { .. } => {
                let left = self.tracked.get(&number).map_or(0, |tracked| tracked.dirty.len());
                return OrderReply::ExtentsLeft(left as u64);
            }
            Order::FetchExecuted { .. } => return OrderReply::ExecutedOps(self.executed_ops(clock, &range)),
            Order::RecordExecuted { marks, .. } => self.record_executed(clock, range.volume, marks),
            Order::Clear { .. } => {
                if self.fences.closed(&range) {
                    self.clear_range(&range);
                }
                self.tracked.remove(&number);
            }
            Order::Reactivate { .. } | Order::StopTracking { .. } => _ = self.tracked.remove(&number),
        }
        OrderReply::Done
    }

    /// Bytes of a range that lie here, in whole pages.
    pub fn holds(&self, span: &ExtentRange) -> usize {
        let held = self.pages.iter().filter(|((volume, extent), _)| span.contains(*volume, *extent));
        held.map(|(_, pages)| pages.len() * PAGE).sum()
    }

    /// Counts a change of an extent, which moves that track it have to copy again.
    pub(super) fn count_change(&mut self, volume: u64, extent: u64) {
        self.changes += 1;
        self.change_counts.insert((volume, extent), self.changes);
        for tracked in self.tracked.values_mut().filter(|tracked| tracked.range.contains(volume, extent)) {
            tracked.dirty.insert(extent);
        }
    }

    fn clear_range(&mut self, range: &ExtentRange) {
        self.pages.retain(|(volume, extent), _| !range.contains(*volume, *extent));
        self.change_counts.retain(|(volume, extent), _| !range.contains(*volume, *extent));
    }

    /// Starts to track a range, with all that it holds to be copied; how many extents that are.
    ///
    /// Hazard: a move begun anew copies again what it copied before; what was emptied since the first copy must not be
    /// left out, or the target would keep it. So nothing is struck off that is still to be copied.
    fn track(&mut self, number: u64, range: ExtentRange) -> u64 {
        let held = self.pages.keys().filter(|(volume, extent)| range.contains(*volume, *extent));
        let held: Vec<u64> = held.map(|(_, extent)| *extent).collect();
        let tracked = self.tracked.entry(number).or_insert(TrackedRange { range, dirty: BTreeSet::new() });
        tracked.dirty.extend(held);
        tracked.dirty.len() as u64
    }

    /// The next extent to copy; `copied` names the last one with its change count, which is done unless it changed.
    fn fetch_next(&mut self, number: u64, range: &ExtentRange, copied: Option<(u64, u64)>) -> OrderReply {
        let Some(tracked) = self.tracked.get_mut(&number) else { return OrderReply::WrongState };
        let counts = &self.change_counts;
        let change_count = |extent: u64| counts.get(&(range.volume, extent)).copied().unwrap_or_default();
        if let Some((extent, _)) = copied.filter(|(extent, copied)| change_count(*extent) == *copied) {
            tracked.dirty.remove(&extent);
        }
        // The one after what was copied last, so that a hot extent does not keep the others waiting.
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
    /// Hazard: an older copy that was delayed must not undo a newer one.
    fn put(&mut self, range: &ExtentRange, content: &ExtentContent) {
        let key = (range.volume, content.extent);
        if self.change_counts.get(&key).is_some_and(|held| *held > content.change_count) {
            return;
        }
        let page = |(number, bytes): &(u32, Bytes)| {
            let mut page = Box::new([0; PAGE]);
            page.copy_from_slice(bytes);
            (*number, page)
        };
        self.pages.insert(key, content.pages.iter().map(page).collect());
        self.change_counts.insert(key, content.change_count);
        // Its own changes are counted on from there, so that no count comes twice.
        self.changes = self.changes.max(content.change_count);
    }

    fn executed_ops(&self, clock: u64, range: &ExtentRange) -> Vec<ExecutedOp> {
        let here = self.executed.iter().filter(|(_, at)| range.contains(at.volume, at.extent));
        let executed_op = |((run, op), at): (&RunKey, &ExecutedAt)| ExecutedOp {
            gateway_run: *run,
            op: *op,
            extent: at.extent,
            remembered_for: at.until.saturating_sub(clock),
        };
        here.map(executed_op).collect()
    }

    /// Remembers operations that were executed at the source of a move.
    fn record_executed(&mut self, clock: u64, volume: u64, executed: &[ExecutedOp]) {
        for ExecutedOp { gateway_run, op, extent, remembered_for } in executed {
            let until = clock + remembered_for;
            self.remember_executed((*gateway_run, *op), ExecutedAt { volume, extent: *extent, until });
        }
    }
}
