//! A simulated store: the product's fences in front of a small storage medium that orders and writes are
//! applied to.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use umbertray_control_plane::Fences;
use umbertray_control_plane::fence::{EpochCheck, OrderCheck};
use umbertray_store_protocol::list::Location;
use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, Order, OrderReply};

use crate::{EXTENT, PlantedBug, RANGE, VOLUME};

#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    pub fences: Fences,
    /// The writes that were applied; a write that was applied twice is listed twice.
    pub data: Vec<u64>,
    pub change_count: u64,
    /// The moves for which changes of the extent are tracked, and whether the extent has to be copied again
    /// for each.
    pub tracked_by: BTreeMap<u64, bool>,
    /// The move that put content into this store, and the change count of that content.
    pub content_from: Option<(u64, u64)>,
    /// Ops that were executed, here or at the source of a move.
    pub executed: BTreeSet<u64>,
}

impl Store {
    pub(crate) fn order(
        &mut self,
        term: u64,
        number: u64,
        order: &Order,
        planted_bug: PlantedBug,
    ) -> OrderReply {
        let check = match self.fences.apply_order(term, number, order) {
            Ok(check) => check,
            Err(rejection) => return rejection,
        };
        match order {
            Order::Prepare { epoch, .. } if planted_bug == PlantedBug::ActivatedBeforeFenced => {
                _ = self.fences.apply_order(term, number, &Order::Activate { range: RANGE, epoch: *epoch });
            }
            Order::Prepare { .. } if check == OrderCheck::Apply => {
                (self.data, self.content_from) = (Vec::new(), None);
            }
            Order::TrackChanges { .. } => {
                let dirty = self.tracked_by.entry(number).or_default();
                *dirty |= !self.data.is_empty();
                return OrderReply::ExtentsLeft(u64::from(*dirty));
            }
            Order::FetchNext { copied, .. } => return OrderReply::NextExtent(self.fetch(number, *copied)),
            Order::Put { content, .. } => self.put(number, content),
            Order::Fence { .. } => {
                return OrderReply::ExtentsLeft(u64::from(self.tracked_by.get(&number) == Some(&true)));
            }
            Order::FetchExecuted { .. } => {
                let mark =
                    |op: &u64| ExecutedOp { gateway_run: *op, op: *op, extent: EXTENT, remaining_micros: 1 };
                return OrderReply::ExecutedOps(self.executed.iter().map(mark).collect());
            }
            Order::RecordExecuted { executed_ops, .. } if planted_bug != PlantedBug::ExecutedOpsNotMoved => {
                self.executed.extend(executed_ops.iter().map(|executed| executed.op));
            }
            Order::Clear { .. } if self.fences.is_closed(&RANGE) => {
                (self.data, self.content_from) = (Vec::new(), None);
            }
            Order::StopTracking { .. } => _ = self.tracked_by.remove(&number),
            _ => {}
        }
        OrderReply::Done
    }

    pub(crate) fn fetch(&mut self, number: u64, copied: Option<(u64, u64)>) -> Option<ExtentContent> {
        let dirty = self.tracked_by.get_mut(&number)?;
        *dirty &= copied != Some((EXTENT, self.change_count));
        let pages = vec![(0, self.data.iter().map(|id| *id as u8).collect::<Bytes>())];
        dirty.then_some(ExtentContent { extent: EXTENT, change_count: self.change_count, pages })
    }

    pub(crate) fn put(&mut self, number: u64, content: &ExtentContent) {
        let newer = |(by, change_count)| by == number && change_count > content.change_count;
        if !self.content_from.is_some_and(newer) {
            self.content_from = Some((number, content.change_count));
            self.data = content.pages.iter().flat_map(|(_, page)| page).map(|id| u64::from(*id)).collect();
            self.change_count += 1;
        }
    }

    pub(crate) fn write(&mut self, op: u64) {
        if self.executed.insert(op) {
            self.data.push(op);
            self.data.sort_unstable();
            self.change_count += 1;
            self.tracked_by.values_mut().for_each(|dirty| *dirty = true);
        }
    }

    pub(crate) fn check_epoch(&self, epoch: u64) -> EpochCheck {
        self.fences.check_epoch(VOLUME, EXTENT, epoch)
    }

    pub(crate) fn serves(&self, shard: u32, locations: &BTreeSet<Location>) -> bool {
        locations.iter().any(|location| {
            location.shard == shard && self.check_epoch(location.epoch) == EpochCheck::Current
        })
    }
}
